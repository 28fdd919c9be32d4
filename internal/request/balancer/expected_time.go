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
	fullSlowdown = 0.5
	// busyLooks, calmLooks and farLooks are how many upstreams one choice
	// compares: of the own data centre while at least calmUse of the slots are in
	// use, and below, and of another data centre. Entries hear of a load some
	// tenths of a second late; were each to take the best of all, they would fill
	// it together. docs/DESIGN.md has the figures.
	busyLooks = 2
	calmLooks = 3
	calmUse   = 0.5
	farLooks  = 6
	// drawsPerLook bounds the draws for one upstream to look at: some were drawn
	// before, were tried, or are put aside.
	drawsPerLook = 4
	// leaveAbove times the objective is the expected time from which the own data
	// centre is left, moveBelow times the objective the one up to which another is
	// worth its bytes: where all are as busy, nothing is gained on the way.
	leaveAbove = 1.25
	moveBelow  = 0.7
	// spreadPart varies each estimate, so that entries that know the same do
	// not all choose the same upstream.
	spreadPart = 0.15
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
	return p.choose(x, key, tried, func(groups *[distances][]Candidate) (Distance, int, bool) {
		return cheapest(groups, now, rng, w)
	})
}

// option is a candidate with its expected cost in seconds.
type option struct {
	distance Distance
	place    int
	cost     float64
	found    bool
}

// cheapest returns the candidate with the lowest expected time of the nearest
// distance that has an open one. Where none is open anywhere, one that is put
// aside is used all the same, unless it was not reached and another call finds
// out whether it can be: a host that is gone would keep each call for as long as
// it may wait.
func cheapest(groups *[distances][]Candidate, now time.Time, rng *rand.Rand, w Requirements) (distance Distance, place int, found bool) {
	mean := meanOf(groups, now)
	for _, closed := range []bool{false, true} {
		var nearest option
		for d := range Distance(distances) {
			if !closed && !anyOpen(groups[d], now) {
				continue
			}
			o := cheapestOf(groups, d, mean, now, rng, w)
			switch {
			case !o.found:
				continue
			case !nearest.found && w.stays(o), nearest.found && w.moves(o):
				return o.distance, o.place, true
			case !nearest.found:
				nearest = o
			}
		}
		if nearest.found {
			return nearest.distance, nearest.place, true
		}
	}
	return 0, 0, false
}

// stays tells that farther data centres need not be looked at.
func (w Requirements) stays(o option) bool {
	return w.HasBody || w.Objective <= 0 || o.cost <= leaveAbove*w.Objective.Seconds()
}

// moves tells that an upstream of a farther data centre is worth the way.
func (w Requirements) moves(o option) bool { return o.cost <= moveBelow*w.Objective.Seconds() }

// anyOpen tells whether a group has an untried candidate that is neither put
// aside nor busy with its first request after that.
func anyOpen(group []Candidate, now time.Time) bool {
	for i := range group {
		if c := &group[i]; !c.Tried && !c.Stats.Ejected(now) && !c.Stats.onProbation() {
			return true
		}
	}
	return false
}

// cheapestOf returns the cheapest of a few candidates of one distance, drawn at
// random. Where the draws found none that may be used, all are looked at.
func cheapestOf(groups *[distances][]Candidate, d Distance, mean means, now time.Time, rng *rand.Rand, w Requirements) option {
	group := groups[d]
	if len(group) == 0 {
		return option{}
	}
	l := look{group: group, spare: spared(group, now), distance: d, mean: mean, now: now, want: w}
	if looks := looksAt(d, mean.use); looks < len(group) {
		for draws := looks * drawsPerLook; draws > 0 && l.seen < looks; draws-- {
			l.at(rng.IntN(len(group)), rng)
		}
		if l.best.found {
			return l.best
		}
	}
	first := rng.IntN(len(group))
	for k := range group {
		l.at((first+k)%len(group), rng)
	}
	return l.best
}

// looksAt is how many candidates of a distance one choice compares.
func looksAt(d Distance, use float64) int {
	switch {
	case d != SameDataCentre:
		return farLooks
	case use < calmUse:
		return calmLooks
	default:
		return busyLooks
	}
}

// look is the comparing of candidates of one distance.
type look struct {
	group    []Candidate
	spare    int
	distance Distance
	mean     means
	now      time.Time
	want     Requirements

	// drawn holds the first candidates looked at, seen counts them.
	drawn [farLooks]int
	seen  int
	best  option
}

// at compares one candidate with the best so far, unless it may not be used.
func (l *look) at(i int, rng *rand.Rand) {
	c := &l.group[i]
	if c.Tried || c.Stats.hopeless() || c.Stats.Ejected(l.now) && i != l.spare {
		return
	}
	for k := range min(l.seen, len(l.drawn)) {
		if l.drawn[k] == i {
			return
		}
	}
	if l.seen < len(l.drawn) {
		l.drawn[l.seen] = i
	}
	l.seen++
	cost := c.Stats.expected(l.now, c.Slots, l.mean, l.want.MeanRunTime) + farCost[l.distance].Seconds()
	backlog := c.Stats.backlog(l.now)
	if !l.want.HasBody {
		// It waits only for those that are on the link already.
		backlog = min(backlog, gate.MaxLinkBacklog)
	}
	cost += backlog.Seconds()
	if l.want.MaxExpected > 0 && cost > l.want.MaxExpected.Seconds() {
		return
	}
	cost *= 1 + spreadPart*rng.Float64()
	if !l.best.found || cost < l.best.cost {
		l.best = option{distance: l.distance, place: i, cost: cost, found: true}
	}
}

// means are the mean use and slot time, in seconds, of the upstreams whose load
// was heard of lately; they stand for those of which nothing is known.
type means struct {
	use, held float64
}

func meanOf(groups *[distances][]Candidate, now time.Time) means {
	use, held, n := usualUse, 0.0, 0.0
	for _, group := range groups {
		for i := range group {
			if s := group[i].Stats; now.Sub(s.loadAt) < staleAfter {
				u, _ := s.known(now, group[i].Slots, usualUse)
				use, held, n = use+u, held+max(s.load.ServiceTime, heldFloor).Seconds(), n+1
			}
		}
	}
	if n == 0 {
		return means{use: usualUse, held: heldFloor.Seconds()}
	}
	return means{use: use / (n + 1), held: held / n}
}

// expected estimates the time until the answer, in seconds, without the way:
// the wait for a slot, and the run, which takes the route's usual time at the
// speed that the upstream has beside the others.
func (s *UpstreamStats) expected(now time.Time, announced int, mean means, need time.Duration) float64 {
	use := s.use(now, announced, mean.use)
	held := mean.held
	if !s.loadAt.IsZero() {
		held = max(s.load.ServiceTime, heldFloor).Seconds()
	}
	run := held
	if need > 0 {
		run = need.Seconds() * held / mean.held
	}
	wait := max(0, use-1) * held
	return (wait + run*(1+fullSlowdown*min(1, use*use))) * s.penalty(now)
}
