package balancer

import (
	"math/rand/v2"
	"time"
)

// Distance orders the data centres of upstreams as seen from an entry.
type Distance uint8

// The distances, the nearest first.
const (
	SameDataCentre Distance = iota
	SameRegion
	OtherRegion
	distanceCount = 3
)

// Parameters of the choice.
const (
	// heldFloor is the shortest time that a slot is taken to be held, so that
	// use counts among upstreams that are idle or have not answered yet.
	minServiceTime = 100 * time.Microsecond
)

// Policy is how a choice weighs.
type Policy struct {
	// SubsetSize is how many upstreams of one distance an entry uses first.
	SubsetSize int
	// SpilloverUtilization is the use of slots from which upstreams farther away are
	// weighed against the best of the nearer ones.
	SpilloverUtilization float64
}

// DefaultPolicy is the one that docs/DESIGN.md gives figures for.
var DefaultPolicy = Policy{SubsetSize: 4, SpilloverUtilization: 1.1}

// farCost is the time that a distance adds to a call.
var distanceCost = [distanceCount]time.Duration{0, 3 * time.Millisecond, 60 * time.Millisecond}

// Candidate is one upstream as a choice sees it.
type Candidate struct {
	Stats *UpstreamStats
	Slots int
	// Tried tells that this call was refused there.
	Tried bool
}

// Choose picks one of a call's candidates, which are grouped by distance and
// in each group in the entry's order of preference. It returns the group and
// the place in it; false where all were tried.
//
// The better of two random ones of the nearest group is taken, unless its
// slots are nearly all in use or its calls fail: then the better of two of
// the next group is weighed against it.
func (p Policy) Choose(groups *[distanceCount][]Candidate, now time.Time, rng *rand.Rand) (Distance, int, bool) {
	var best scoredCandidate
	for d := range groups {
		o := p.betterOfTwo(groups[d], now, rng)
		if !o.found {
			continue
		}
		o.distance = Distance(d)
		o.cost += distanceCost[d].Seconds()
		if !best.found || o.cost < best.cost {
			best = o
		}
		if best.utilization < p.SpilloverUtilization && !best.recentlyFailed {
			break
		}
	}
	return best.distance, best.index, best.found
}

// option is a candidate with what it is expected to cost.
type scoredCandidate struct {
	found          bool
	distance       Distance
	index          int
	cost           float64
	utilization    float64
	recentlyFailed bool
}

// better takes two open candidates of a group at random and returns the one
// that costs less.
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
	use, _ := c.Stats.reportedUtilization(now, c.Slots, defaultUtilization)
	return use
}

func score(group []Candidate, place int, now time.Time, reference float64) scoredCandidate {
	c := &group[place]
	use := c.Stats.utilization(now, c.Slots, reference)
	return scoredCandidate{found: true, index: place, cost: c.Stats.expectedCost(now, use), utilization: use, recentlyFailed: c.Stats.recentlyFailed(now)}
}

// draw returns a random open candidate among the first p.Subset untried
// ones, other than except; -1 where there is none.
func (p Policy) sample(group []Candidate, now time.Time, rng *rand.Rand, except int) int {
	spare := ejectionExempt(group, now)
	chosen, seen := -1, 0
	for i := range group {
		c := &group[i]
		if c.Tried || i == except || (c.Stats.Ejected(now) && i != spare) {
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

// spared returns the ejected candidate that is used all the same, because
// more than half of the group is ejected: the one whose ejection ends first.
// Else it returns -1. So faults never empty a group.
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
