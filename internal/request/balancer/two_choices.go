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
	distances = 3
)

// Parameters of the choice.
const (
	// heldFloor is the shortest time that a slot is taken to be held, so that
	// use counts among upstreams that are idle or have not answered yet.
	heldFloor = 100 * time.Microsecond
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
var farCost = [distances]time.Duration{0, 3 * time.Millisecond, 60 * time.Millisecond}

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
func (p Policy) Choose(groups *[distances][]Candidate, now time.Time, rng *rand.Rand) (Distance, int, bool) {
	var best weighed
	for d := range groups {
		o := p.better(groups[d], now, rng)
		if !o.found {
			continue
		}
		o.distance = Distance(d)
		o.cost += farCost[d].Seconds()
		if !best.found || o.cost < best.cost {
			best = o
		}
		if best.use < p.SpilloverUtilization && !best.faulty {
			break
		}
	}
	return best.distance, best.place, best.found
}

// option is a candidate with what it is expected to cost.
type weighed struct {
	found    bool
	distance Distance
	place    int
	cost     float64
	use      float64
	faulty   bool
}

// better takes two open candidates of a group at random and returns the one
// that costs less.
func (p Policy) better(group []Candidate, now time.Time, rng *rand.Rand) weighed {
	first := p.draw(group, now, rng, -1)
	if first < 0 {
		return weighed{}
	}
	second := p.draw(group, now, rng, first)
	if second < 0 {
		return weigh(group, first, now, usualUse)
	}
	a := weigh(group, first, now, knownUse(&group[second], now))
	b := weigh(group, second, now, knownUse(&group[first], now))
	if b.cost < a.cost {
		return b
	}
	return a
}

func knownUse(c *Candidate, now time.Time) float64 {
	use, _ := c.Stats.known(now, c.Slots, usualUse)
	return use
}

func weigh(group []Candidate, place int, now time.Time, reference float64) weighed {
	c := &group[place]
	use := c.Stats.use(now, c.Slots, reference)
	return weighed{found: true, place: place, cost: c.Stats.cost(now, use), use: use, faulty: c.Stats.faulty(now)}
}

// draw returns a random open candidate among the first p.Subset untried
// ones, other than except; -1 where there is none.
func (p Policy) draw(group []Candidate, now time.Time, rng *rand.Rand, except int) int {
	spare := spared(group, now)
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
func spared(group []Candidate, now time.Time) int {
	ejected, earliest := 0, -1
	for i := range group {
		c := &group[i]
		if !c.Stats.Ejected(now) {
			continue
		}
		ejected++
		if !c.Tried && (earliest < 0 || c.Stats.until.Before(group[earliest].Stats.until)) {
			earliest = i
		}
	}
	if 2*ejected <= len(group) {
		return -1
	}
	return earliest
}
