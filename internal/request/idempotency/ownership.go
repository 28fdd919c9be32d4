package idempotency

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A caller that does not number its attempts is numbered here. Each key has a
// home among the gates of the roster: it says which attempt is the first. The
// others go the way of later attempts. A wrong "later" costs time, a wrong
// "first" could run a request twice; so a gate that can't be sure says neither.
//
// Two gates must never both take themselves for the home of a key. A gate
// that joins tells every gate of the roster, and takes over the claims of the
// keys that move to it. As long as one has not heard, the joining gate leaves
// alone the keys for which that one may take itself for the home.

// rank orders gates for a key; the highest is its home.
func rank(g GateID, key uint64) uint64 {
	x := key ^ g.Incarnation
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// hashKey is the form in which claims hold keys. Keys that share one are
// taken for one, which makes a first attempt a later one and does no harm.
func hashKey(key string) uint64 { return xxhash.Sum64String(key) }

// Owner returns the gate that numbers a key; false for an empty roster.
func (r Roster) Owner(key uint64) (GateID, bool) {
	if len(r.Gates) == 0 {
		return GateID{}, false
	}
	return slices.MaxFunc(r.Gates, func(a, b GateID) int { return compareRank(a, b, key) }), true
}

func compareRank(a, b GateID, key uint64) int {
	if rank(a, key) < rank(b, key) {
		return -1
	}
	return 1
}

// mayNumber tells whether self may number a key. View is the newest roster
// that it knows, in order of entry; heard tells which gates know of self.
func mayNumber(view Roster, self GateID, heard func(GateID) bool, key uint64) bool {
	if home, ok := view.Owner(key); !ok || home != self {
		return false
	}
	for i, g := range view.Gates {
		if g == self {
			return true
		}
		if heard(g) {
			continue
		}
		// g knows at least the gates that entered before it.
		if home, _ := (Roster{Gates: view.Gates[:i+1]}).Owner(key); home == g {
			return false
		}
	}
	return false
}

// claims remembers which keys were numbered, for one to two windows.
type claims struct {
	window time.Duration

	mu      sync.Mutex
	rotated time.Time
	now     map[uint64]struct{}
	before  map[uint64]struct{}
}

// first tells whether a key is new, and remembers it. When the claims are
// full it is never new.
func (c *claims) first(key uint64, limit int, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rotate(now)
	_, recent := c.now[key]
	_, old := c.before[key]
	if len(c.now) >= limit && !recent {
		return false
	}
	c.now[key] = struct{}{}
	return !recent && !old
}

// back makes a key new again.
func (c *claims) back(key uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.now, key)
	delete(c.before, key)
}

// rotate forgets what is older than a window; the caller holds mu.
func (c *claims) rotate(now time.Time) {
	if c.now != nil && now.Sub(c.rotated) < c.window {
		return
	}
	c.before = c.now
	if now.Sub(c.rotated) >= 2*c.window {
		c.before = nil
	}
	c.now = map[uint64]struct{}{}
	c.rotated = now
}

// add takes over keys that another gate numbered.
func (c *claims) add(keys []uint64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rotate(now)
	for _, k := range keys {
		c.now[k] = struct{}{}
	}
}

// of lists the keys whose home in view is g.
func (c *claims) of(view Roster, g GateID) []uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []uint64
	for _, m := range []map[uint64]struct{}{c.now, c.before} {
		for k := range m {
			if home, ok := view.Owner(k); ok && home == g {
				out = append(out, k)
			}
		}
	}
	return out
}
