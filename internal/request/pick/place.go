package pick

import (
	"math/rand/v2"
	"time"

	"github.com/daisytide/daisytide/internal/process/member"
)

// Parameters of placing by expected time.
const (
	// fullSlowdown is how much longer runs take in an upstream whose slots are
	// all in use, as a part.
	fullSlowdown = 0.5
	// sampled is how many upstreams of another data centre one choice looks at.
	sampled = 6
	// spreadPart varies each estimate, so that entries that know the same do
	// not all choose the same upstream.
	spreadPart = 0.15
)

// Want is what placing needs to know of a request.
type Want struct {
	// Need is the usual time of its route's runs; 0 where it is not known.
	Need time.Duration
	// Within leaves out the nodes at which no answer is expected within it; 0
	// leaves out none.
	Within time.Duration
}

// Place chooses the node at which the request is expected to be answered
// first, among those of key that are not in tried; false where none is left.
// The nearest data centre with one is taken, since bytes between data centres
// are dear and the gates there know best whether they have room: the entry
// leaves it when they have refused. It answers upstreams of different speeds
// and loads in several data centres.
func (p *Picker) Place(x *member.Index, key member.UpstreamKey, tried []string, now time.Time, rng *rand.Rand, w Want) (Picked, bool) {
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
// aside is used all the same.
func cheapest(groups *[distances][]Candidate, now time.Time, rng *rand.Rand, w Want) (distance Distance, place int, found bool) {
	mean := meanOf(groups, now)
	for _, closed := range []bool{false, true} {
		for d := range Distance(distances) {
			if !closed && !anyOpen(groups[d], now) {
				continue
			}
			if o := cheapestOf(groups, d, mean, now, rng, w); o.found {
				return o.distance, o.place, true
			}
		}
	}
	return 0, 0, false
}

// anyOpen tells whether a group has an untried candidate that is neither put
// aside nor busy with its first request after that.
func anyOpen(group []Candidate, now time.Time) bool {
	for i := range group {
		if c := &group[i]; !c.Tried && !c.Sight.Ejected(now) && !c.Sight.onProbation() {
			return true
		}
	}
	return false
}

// cheapestOf returns the cheapest candidate of one distance.
func cheapestOf(groups *[distances][]Candidate, d Distance, mean means, now time.Time, rng *rand.Rand, w Want) option {
	best := option{distance: d}
	group := groups[d]
	spare := spared(group, now)
	first, n := 0, len(group)
	if d != SameDataCentre && n > sampled {
		first, n = rng.IntN(n), sampled
	}
	for k := range n {
		i := (first + k) % len(group)
		c := &group[i]
		if c.Tried || c.Sight.Ejected(now) && i != spare {
			continue
		}
		cost := c.Sight.expected(now, c.Slots, mean, w.Need) + farCost[d].Seconds()
		if w.Within > 0 && cost > w.Within.Seconds() {
			continue
		}
		cost *= 1 + spreadPart*rng.Float64()
		if !best.found || cost < best.cost {
			best.place, best.cost, best.found = i, cost, true
		}
	}
	return best
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
			if s := group[i].Sight; now.Sub(s.loadAt) < staleAfter {
				u, _ := s.known(now, group[i].Slots, usualUse)
				use, held, n = use+u, held+max(s.load.Held, heldFloor).Seconds(), n+1
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
func (s *Sight) expected(now time.Time, announced int, mean means, need time.Duration) float64 {
	use := s.use(now, announced, mean.use)
	held := mean.held
	if !s.loadAt.IsZero() {
		held = max(s.load.Held, heldFloor).Seconds()
	}
	run := held
	if need > 0 {
		run = need.Seconds() * held / mean.held
	}
	wait := max(0, use-1) * held
	return (wait + run*(1+fullSlowdown*min(1, use*use))) * s.penalty(now)
}
