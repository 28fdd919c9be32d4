package balancer

import (
	"math/rand/v2"
	"time"

	"github.com/daisytide/daisytide/internal/process/membership"
)

// Parameters of the selection by expected time.
const (
	// fullLoadSlowdown is the relative increase of run times at an upstream
	// whose slots are all in use.
	fullLoadSlowdown = 0.5
	// highLoadSamples, lowLoadSamples and remoteSamples are the numbers of
	// upstreams that one selection compares: in the entry's own data centre at
	// and above a mean utilization of lowLoadUtilization, below it, and in
	// another data centre. Load reports reach entries some tenths of a second
	// late; if every entry compared all upstreams, they would all send to the
	// same one and fill it. docs/DESIGN.md has the measurements.
	highLoadSamples    = 2
	lowLoadSamples     = 3
	lowLoadUtilization = 0.5
	remoteSamples      = 6
	// drawsPerSample bounds the random draws per sample: a drawn upstream may
	// be a duplicate, tried before, or ejected.
	drawsPerSample = 4
	// leaveLocalAbove and useRemoteBelow are multiples of the objective. The
	// entry's own data centre is left if the expected time there is above the
	// first, and another one is used only if its expected time is at most the
	// second: if all data centres are equally busy, a transfer between them
	// gains nothing.
	leaveLocalAbove = 1.25
	useRemoteBelow  = 0.7
	// costJitter is the relative random increase of each estimate, so that
	// entries with the same information do not all select the same upstream.
	costJitter = 0.15
	// maxSmallWait is the longest wait of a small message for a host's link: it
	// passes beside the queued transfers and waits for one of them at most. In the
	// table of docs/design/links.md 99 in 100 wait up to 31 ms.
	maxSmallWait = 50 * time.Millisecond
)

// Requirements describes a request for the selection by expected time.
type Requirements struct {
	// MeanRunTime is the moving average of the route's run time; 0 if unknown.
	MeanRunTime time.Duration
	// HasBody is set if the request has a body. LargeBody is set if the body has to
	// wait for those already queued on the link of the upstream's host, and
	// LargeResponse if the response has to.
	HasBody, LargeBody, LargeResponse bool
	// Objective is the time in which the response should arrive. A request leaves
	// a data centre that is expected to take longer for one that is not; 0
	// disables this. Requests with a body stay, because transfers between data
	// centres are expensive.
	Objective time.Duration
	// MaxExpected excludes nodes with a longer expected time; 0 excludes none.
	MaxExpected time.Duration
}

// PickByExpectedTime selects the node with the lowest expected response time
// among those of key that are not in tried. It returns false if none is left.
// It suits upstreams of different speeds and loads in several data centres.
// Package ingress uses it.
//
// The nearest data centre with an available node is preferred: transfers
// between data centres are expensive, and the gates of the own data centre have
// the exact state of their queues. Farther nodes are used after nearer ones
// have refused the request, or if the nearer ones would miss the objective.
func (p *Picker) PickByExpectedTime(index *membership.Index, key membership.UpstreamKey, tried []string, now time.Time, rng *rand.Rand, req Requirements) (Selection, bool) {
	return p.selectWith(index, key, tried, func(groups *[distanceCount][]Candidate) (Distance, int, bool) {
		return fastest(groups, now, rng, req)
	})
}

// estimate is a candidate with its expected response time in seconds.
type estimate struct {
	distance Distance
	index    int
	cost     float64
	found    bool
}

// fastest returns the candidate with the lowest expected time at the nearest
// distance that has an available one. If none is available at any distance,
// ejected candidates are used too, except unreachable ones for which another
// call is the probe: a host that is gone would delay each call for as long as
// its timeout allows.
func fastest(groups *[distanceCount][]Candidate, now time.Time, rng *rand.Rand, req Requirements) (distance Distance, index int, found bool) {
	load := meanLoadOf(groups, now)
	for _, includeUnavailable := range []bool{false, true} {
		var nearest estimate
		for d := range Distance(distanceCount) {
			if !includeUnavailable && !anyAvailable(groups[d], now) {
				continue
			}
			best := fastestAt(groups, d, load, now, rng, req)
			switch {
			case !best.found:
				continue
			case !nearest.found && req.acceptable(best), nearest.found && req.worthRemote(best):
				return best.distance, best.index, true
			case !nearest.found:
				nearest = best
			}
		}
		if nearest.found {
			return nearest.distance, nearest.index, true
		}
	}
	return 0, 0, false
}

// acceptable reports whether farther data centres need not be considered.
func (r Requirements) acceptable(o estimate) bool {
	return r.HasBody || r.Objective <= 0 || o.cost <= leaveLocalAbove*r.Objective.Seconds()
}

// worthRemote reports whether an upstream in a farther data centre is fast
// enough to justify the transfer.
func (r Requirements) worthRemote(o estimate) bool {
	return o.cost <= useRemoteBelow*r.Objective.Seconds()
}

// anyAvailable reports whether a group has an untried candidate that is neither
// ejected nor on probation.
func anyAvailable(group []Candidate, now time.Time) bool {
	for i := range group {
		if c := &group[i]; !c.Tried && !c.Stats.Ejected(now) && !c.Stats.onProbation() {
			return true
		}
	}
	return false
}

// fastestAt returns the fastest of a few random candidates at one distance. If
// the samples contain no usable candidate, it compares all of them.
func fastestAt(groups *[distanceCount][]Candidate, d Distance, load meanLoad, now time.Time, rng *rand.Rand, req Requirements) estimate {
	group := groups[d]
	if len(group) == 0 {
		return estimate{}
	}
	s := sampler{group: group, exempt: ejectionExempt(group, now), distance: d, load: load, now: now, requirements: req}
	if samples := sampleSize(d, load.utilization); samples < len(group) {
		for draws := samples * drawsPerSample; draws > 0 && s.count < samples; draws-- {
			s.consider(rng.IntN(len(group)), rng)
		}
		if s.best.found {
			return s.best
		}
	}
	first := rng.IntN(len(group))
	for k := range group {
		s.consider((first+k)%len(group), rng)
	}
	return s.best
}

// sampleSize is the number of candidates at a distance that one selection
// compares.
func sampleSize(d Distance, utilization float64) int {
	switch {
	case d != SameDataCentre:
		return remoteSamples
	case utilization < lowLoadUtilization:
		return lowLoadSamples
	default:
		return highLoadSamples
	}
}

// sampler compares candidates at one distance.
type sampler struct {
	group        []Candidate
	exempt       int
	distance     Distance
	load         meanLoad
	now          time.Time
	requirements Requirements

	// sampled holds the indexes of the first candidates compared; count is the
	// number of candidates compared.
	sampled [remoteSamples]int
	count   int
	best    estimate
}

// consider compares a candidate with the best one so far, unless it is not
// usable.
func (s *sampler) consider(i int, rng *rand.Rand) {
	c := &s.group[i]
	if c.Tried || c.Stats.awaitingProbe() || c.Stats.Ejected(s.now) && i != s.exempt {
		return
	}
	for k := range min(s.count, len(s.sampled)) {
		if s.sampled[k] == i {
			return
		}
	}
	if s.count < len(s.sampled) {
		s.sampled[s.count] = i
	}
	s.count++
	cost := c.Stats.expectedTime(s.now, c.Slots, s.load, s.requirements.MeanRunTime) + distanceCost[s.distance].Seconds()
	cost += s.linkWait(c).Seconds()
	if s.requirements.MaxExpected > 0 && cost > s.requirements.MaxExpected.Seconds() {
		return
	}
	cost *= 1 + costJitter*rng.Float64()
	if !s.best.found || cost < s.best.cost {
		s.best = estimate{distance: s.distance, index: i, cost: cost, found: true}
	}
}

// linkWait is how long a request and its response will wait for the host's link. What
// the entry's own host serves does not cross it.
func (s *sampler) linkWait(c *Candidate) time.Duration {
	if c.Local {
		return 0
	}
	body, response := c.Stats.remainingBacklogs(s.now)
	if !s.requirements.LargeBody {
		body = min(body, maxSmallWait)
	}
	if !s.requirements.LargeResponse {
		response = min(response, maxSmallWait)
	}
	return body + response
}

// meanLoad is the mean utilization and the mean service time in seconds of the
// upstreams with a recent load report. It is used for upstreams whose load is
// unknown.
type meanLoad struct {
	utilization, serviceTime float64
}

func meanLoadOf(groups *[distanceCount][]Candidate, now time.Time) meanLoad {
	utilization, serviceTime, n := defaultUtilization, 0.0, 0.0
	for _, group := range groups {
		for i := range group {
			if s := group[i].Stats; now.Sub(s.loadAt) < loadDecayTime {
				reported, _ := s.reportedUtilization(now, group[i].Slots, defaultUtilization)
				utilization, serviceTime, n = utilization+reported, serviceTime+max(s.load.ServiceTime, minServiceTime).Seconds(), n+1
			}
		}
	}
	if n == 0 {
		return meanLoad{utilization: defaultUtilization, serviceTime: minServiceTime.Seconds()}
	}
	return meanLoad{utilization: utilization / (n + 1), serviceTime: serviceTime / n}
}

// expectedTime estimates the response time in seconds without the network: the
// wait for a slot plus the run time. The run time is the route's mean, scaled
// by the upstream's service time relative to the mean of all.
func (s *UpstreamStats) expectedTime(now time.Time, announcedSlots int, load meanLoad, meanRunTime time.Duration) float64 {
	utilization := s.utilization(now, announcedSlots, load.utilization)
	serviceTime := load.serviceTime
	if !s.loadAt.IsZero() {
		serviceTime = max(s.load.ServiceTime, minServiceTime).Seconds()
	}
	run := serviceTime
	if meanRunTime > 0 {
		run = meanRunTime.Seconds() * serviceTime / load.serviceTime
	}
	wait := max(0, utilization-1) * serviceTime
	return (wait + run*(1+fullLoadSlowdown*min(1, utilization*utilization))) * s.failurePenalty(now)
}
