package balancer

import (
	"math/rand/v2"
	"time"
)

// Distance classifies an upstream by the network distance between its data
// centre and the entry.
type Distance uint8

// Distances, nearest first.
const (
	SameDataCentre Distance = iota
	SameRegion
	OtherRegion
	distanceCount = 3
)

const (
	// minServiceTime is the lower bound of the service time in estimates, so
	// that utilization still counts for upstreams that are idle or have not
	// reported a load yet.
	minServiceTime = 100 * time.Microsecond
)

// Policy configures the selection by power of two choices.
type Policy struct {
	// SubsetSize is the number of upstreams at one distance that an entry
	// samples from.
	SubsetSize int
	// SpilloverUtilization is the slot utilization at and above which upstreams
	// at the next distance are compared with the best nearer one.
	SpilloverUtilization float64
}

// DefaultPolicy is the policy whose measurements are in docs/DESIGN.md.
var DefaultPolicy = Policy{SubsetSize: 4, SpilloverUtilization: 1.1}

// distanceCost is the network time that a distance adds to a call.
var distanceCost = [distanceCount]time.Duration{0, 3 * time.Millisecond, 60 * time.Millisecond}

// Candidate is an upstream as input to the selection.
type Candidate struct {
	Stats *UpstreamStats
	Slots int
	// Tried is set if an earlier attempt of this call was made there.
	Tried bool
	// Local is set if the upstream is beside the entry.
	Local bool
}

// Choose selects one of a call's candidates. They are grouped by distance and
// sorted by the entry's preference within a group. It returns the group and the
// index in it, or false if all candidates were tried.
//
// Choose samples two candidates of the nearest group and takes the one with the
// lower cost. If that one's utilization reaches SpilloverUtilization or its
// last call failed, the better of two candidates of the next group is compared
// with it.
func (p Policy) Choose(groups *[distanceCount][]Candidate, now time.Time, rng *rand.Rand) (Distance, int, bool) {
	var best scoredCandidate
	for d := range groups {
		candidate := p.betterOfTwo(groups[d], now, rng)
		if !candidate.found {
			continue
		}
		candidate.distance = Distance(d)
		candidate.cost += distanceCost[d].Seconds()
		if !best.found || candidate.cost < best.cost {
			best = candidate
		}
		if best.utilization < p.SpilloverUtilization && !best.recentlyFailed {
			break
		}
	}
	return best.distance, best.index, best.found
}

// scoredCandidate is a candidate with its expected cost in seconds.
type scoredCandidate struct {
	found          bool
	distance       Distance
	index          int
	cost           float64
	utilization    float64
	recentlyFailed bool
}

// betterOfTwo samples two available candidates of a group and returns the one
// with the lower cost.
func (p Policy) betterOfTwo(group []Candidate, now time.Time, rng *rand.Rand) scoredCandidate {
	first := p.sample(group, now, rng, -1)
	if first < 0 {
		return scoredCandidate{}
	}
	second := p.sample(group, now, rng, first)
	if second < 0 {
		return score(group, first, now, defaultUtilization)
	}
	a := score(group, first, now, reportedUtilization(&group[second], now))
	b := score(group, second, now, reportedUtilization(&group[first], now))
	if b.cost < a.cost {
		return b
	}
	return a
}

func reportedUtilization(c *Candidate, now time.Time) float64 {
	utilization, _ := c.Stats.reportedUtilization(now, c.Slots, defaultUtilization)
	return utilization
}

func score(group []Candidate, index int, now time.Time, reference float64) scoredCandidate {
	c := &group[index]
	utilization := c.Stats.utilization(now, c.Slots, reference)
	return scoredCandidate{found: true, index: index, cost: c.Stats.expectedCost(now, utilization), utilization: utilization, recentlyFailed: c.Stats.recentlyFailed(now)}
}

// sample returns a random candidate among the first p.SubsetSize ones that are
// neither tried nor ejected, excluding index except. It returns -1 if there is
// none.
func (p Policy) sample(group []Candidate, now time.Time, rng *rand.Rand, except int) int {
	exempt := ejectionExempt(group, now)
	chosen, seen := -1, 0
	for i := range group {
		c := &group[i]
		if c.Tried || i == except || (c.Stats.Ejected(now) && i != exempt) {
			continue
		}
		seen++
		if rng.IntN(seen) == 0 {
			chosen = i
		}
		if seen == p.SubsetSize {
			break
		}
	}
	return chosen
}

// ejectionExempt returns the ejected candidate that remains selectable because
// more than half of the group is ejected: the one whose ejection ends first. It
// returns -1 if at most half are ejected. Ejections therefore never empty a
// group.
func ejectionExempt(group []Candidate, now time.Time) int {
	ejected, earliest := 0, -1
	for i := range group {
		c := &group[i]
		if !c.Stats.Ejected(now) {
			continue
		}
		ejected++
		if !c.Tried && (earliest < 0 || c.Stats.ejectedUntil.Before(group[earliest].Stats.ejectedUntil)) {
			earliest = i
		}
	}
	if 2*ejected <= len(group) {
		return -1
	}
	return earliest
}
