package balancer

import (
	"math/rand/v2"
	"time"

	"github.com/daisytide/daisytide/internal/process/membership"
	"github.com/daisytide/daisytide/internal/request/gate"
)

// Parameters of placing by expected time.
const (
	// fullSlowdown is how much longer runs take in an upstream whose slots are
	// all in use, as a part.
	fullLoadSlowdown = 0.5
	// busyLooks, calmLooks and farLooks are how many upstreams one choice
	// compares: of the own data centre while at least calmUse of the slots are in
	// use, and below, and of another data centre. Entries hear of a load some
	// tenths of a second late; were each to take the best of all, they would fill
	// it together. docs/DESIGN.md has the figures.
	highLoadSamples    = 2
	lowLoadSamples     = 3
	lowLoadUtilization = 0.5
	remoteSamples      = 6
	// drawsPerLook bounds the draws for one upstream to look at: some were drawn
	// before, were tried, or are put aside.
	drawsPerSample = 4
	// leaveAbove times the objective is the expected time from which the own data
	// centre is left, moveBelow times the objective the one up to which another is
	// worth its bytes: where all are as busy, nothing is gained on the way.
	leaveLocalAbove = 1.25
	useRemoteBelow  = 0.7
	// spreadPart varies each estimate, so that entries that know the same do
	// not all choose the same upstream.
	costJitter = 0.15
)

// Requirements is what placing needs to know of a request.
type Requirements struct {
	// MeanRunTime is the usual time of its route's runs; 0 where it is not known.
	MeanRunTime time.Duration
	// HasBody tells that a body goes with it, which waits for those that are on
	// their way to the upstream's host.
	HasBody bool
	// Objective is the time in which the answer should come: a data centre that is
	// expected to take longer is left for another that is not. 0 leaves none.
	// Bodies are dear to carry far, so a request with one is not taken away.
	Objective time.Duration
	// MaxExpected leaves out the nodes at which no answer is expected within it; 0
	// leaves out none.
	MaxExpected time.Duration
}

// PickByExpectedTime chooses the node at which the request is expected to be answered
// first, among those of key that are not in tried; false where none is left.
// The nearest data centre with one is taken, since bytes between data centres
// are dear and the gates there know best whether they have room: the entry
// leaves it when they have refused. It answers upstreams of different speeds
// and loads in several data centres.
func (p *Picker) PickByExpectedTime(x *membership.Index, key membership.UpstreamKey, tried []string, now time.Time, rng *rand.Rand, w Requirements) (Selection, bool) {
	return p.selectWith(x, key, tried, func(groups *[distanceCount][]Candidate) (Distance, int, bool) {
		return fastest(groups, now, rng, w)
	})
}

// option is a candidate with its expected cost in seconds.
type estimate struct {
	distance Distance
	index    int
	cost     float64
	found    bool
}

// cheapest returns the candidate with the lowest expected time of the nearest
// distance that has an open one. Where none is open anywhere, one that is put
// aside is used all the same, unless it was not reached and another call finds
// out whether it can be: a host that is gone would keep each call for as long as
// it may wait.
func fastest(groups *[distanceCount][]Candidate, now time.Time, rng *rand.Rand, w Requirements) (distance Distance, place int, found bool) {
	mean := meanLoadOf(groups, now)
	for _, closed := range []bool{false, true} {
		var nearest estimate
		for d := range Distance(distanceCount) {
			if !closed && !anyAvailable(groups[d], now) {
				continue
			}
			o := fastestAt(groups, d, mean, now, rng, w)
			switch {
			case !o.found:
				continue
			case !nearest.found && w.acceptable(o), nearest.found && w.worthRemote(o):
				return o.distance, o.index, true
			case !nearest.found:
				nearest = o
			}
		}
		if nearest.found {
			return nearest.distance, nearest.index, true
		}
	}
	return 0, 0, false
}

// stays tells that farther data centres need not be looked at.
func (w Requirements) acceptable(o estimate) bool {
	return w.HasBody || w.Objective <= 0 || o.cost <= leaveLocalAbove*w.Objective.Seconds()
}

// moves tells that an upstream of a farther data centre is worth the way.
func (w Requirements) worthRemote(o estimate) bool {
	return o.cost <= useRemoteBelow*w.Objective.Seconds()
}

// anyOpen tells whether a group has an untried candidate that is neither put
// aside nor busy with its first request after that.
func anyAvailable(group []Candidate, now time.Time) bool {
	for i := range group {
		if c := &group[i]; !c.Tried && !c.Stats.Ejected(now) && !c.Stats.onProbation() {
			return true
		}
	}
	return false
}

// cheapestOf returns the cheapest of a few candidates of one distance, drawn at
// random. Where the draws found none that may be used, all are looked at.
func fastestAt(groups *[distanceCount][]Candidate, d Distance, mean meanLoad, now time.Time, rng *rand.Rand, w Requirements) estimate {
	group := groups[d]
	if len(group) == 0 {
		return estimate{}
	}
	l := sampler{group: group, exempt: ejectionExempt(group, now), distance: d, load: mean, now: now, requirements: w}
	if looks := sampleSize(d, mean.utilization); looks < len(group) {
		for draws := looks * drawsPerSample; draws > 0 && l.count < looks; draws-- {
			l.consider(rng.IntN(len(group)), rng)
		}
		if l.best.found {
			return l.best
		}
	}
	first := rng.IntN(len(group))
	for k := range group {
		l.consider((first+k)%len(group), rng)
	}
	return l.best
}

// looksAt is how many candidates of a distance one choice compares.
func sampleSize(d Distance, use float64) int {
	switch {
	case d != SameDataCentre:
		return remoteSamples
	case use < lowLoadUtilization:
		return lowLoadSamples
	default:
		return highLoadSamples
	}
}

// look is the comparing of candidates of one distance.
type sampler struct {
	group        []Candidate
	exempt       int
	distance     Distance
	load         meanLoad
	now          time.Time
	requirements Requirements

	// drawn holds the first candidates looked at, seen counts them.
	sampled [remoteSamples]int
	count   int
	best    estimate
}

// at compares one candidate with the best so far, unless it may not be used.
func (l *sampler) consider(i int, rng *rand.Rand) {
	c := &l.group[i]
	if c.Tried || c.Stats.awaitingProbe() || c.Stats.Ejected(l.now) && i != l.exempt {
		return
	}
	for k := range min(l.count, len(l.sampled)) {
		if l.sampled[k] == i {
			return
		}
	}
	if l.count < len(l.sampled) {
		l.sampled[l.count] = i
	}
	l.count++
	cost := c.Stats.expectedTime(l.now, c.Slots, l.load, l.requirements.MeanRunTime) + distanceCost[l.distance].Seconds()
	backlog := c.Stats.remainingBacklog(l.now)
	if !l.requirements.HasBody {
		// It waits only for those that are on the link already.
		backlog = min(backlog, gate.MaxLinkBacklog)
	}
	cost += backlog.Seconds()
	if l.requirements.MaxExpected > 0 && cost > l.requirements.MaxExpected.Seconds() {
		return
	}
	cost *= 1 + costJitter*rng.Float64()
	if !l.best.found || cost < l.best.cost {
		l.best = estimate{distance: l.distance, index: i, cost: cost, found: true}
	}
}

// means are the mean use and slot time, in seconds, of the upstreams whose load
// was heard of lately; they stand for those of which nothing is known.
type meanLoad struct {
	utilization, serviceTime float64
}

func meanLoadOf(groups *[distanceCount][]Candidate, now time.Time) meanLoad {
	use, held, n := defaultUtilization, 0.0, 0.0
	for _, group := range groups {
		for i := range group {
			if s := group[i].Stats; now.Sub(s.loadAt) < loadDecayTime {
				u, _ := s.reportedUtilization(now, group[i].Slots, defaultUtilization)
				use, held, n = use+u, held+max(s.load.ServiceTime, minServiceTime).Seconds(), n+1
			}
		}
	}
	if n == 0 {
		return meanLoad{utilization: defaultUtilization, serviceTime: minServiceTime.Seconds()}
	}
	return meanLoad{utilization: use / (n + 1), serviceTime: held / n}
}

// expected estimates the time until the answer, in seconds, without the way:
// the wait for a slot, and the run, which takes the route's usual time at the
// speed that the upstream has beside the others.
func (s *UpstreamStats) expectedTime(now time.Time, announced int, mean meanLoad, need time.Duration) float64 {
	use := s.utilization(now, announced, mean.utilization)
	held := mean.serviceTime
	if !s.loadAt.IsZero() {
		held = max(s.load.ServiceTime, minServiceTime).Seconds()
	}
	run := held
	if need > 0 {
		run = need.Seconds() * held / mean.serviceTime
	}
	wait := max(0, use-1) * held
	return (wait + run*(1+fullLoadSlowdown*min(1, use*use))) * s.failurePenalty(now)
}
