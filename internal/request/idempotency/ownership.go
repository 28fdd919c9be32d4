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
func rendezvousWeight(g GateID, key uint64) uint64 {
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
	return slices.MaxFunc(r.Gates, func(a, b GateID) int { return compareWeight(a, b, key) }), true
}

func compareWeight(a, b GateID, key uint64) int {
	if rendezvousWeight(a, key) < rendezvousWeight(b, key) {
		return -1
	}
	return 1
}

// mayNumber tells whether self may number a key. View is the newest roster
// that it knows, in order of entry; heard tells which gates know of self.
func isSoleOwner(roster Roster, self GateID, knows func(GateID) bool, key uint64) bool {
	if owner, ok := roster.Owner(key); !ok || owner != self {
		return false
	}
	for i, g := range roster.Gates {
		if g == self {
			return true
		}
		if knows(g) {
			continue
		}
		// g knows at least the gates that entered before it.
		if owner, _ := (Roster{Gates: roster.Gates[:i+1]}).Owner(key); owner == g {
			return false
		}
	}
	return false
}

// claims remembers which keys were numbered, for one to two windows.
type claimSet struct {
	window time.Duration

	mu        sync.Mutex
	rotatedAt time.Time
	current   map[uint64]struct{}
	previous  map[uint64]struct{}
}

// first tells whether a key is new, and remembers it. When the claims are
// full it is never new.
func (c *claimSet) claim(key uint64, limit int, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rotate(now)
	_, inCurrent := c.current[key]
	_, inPrevious := c.previous[key]
	if len(c.current) >= limit && !inCurrent {
		return false
	}
	c.current[key] = struct{}{}
	return !inCurrent && !inPrevious
}

// back makes a key new again.
func (c *claimSet) release(key uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.current, key)
	delete(c.previous, key)
}

// rotate forgets what is older than a window; the caller holds mu.
func (c *claimSet) rotate(now time.Time) {
	if c.current != nil && now.Sub(c.rotatedAt) < c.window {
		return
	}
	c.previous = c.current
	if now.Sub(c.rotatedAt) >= 2*c.window {
		c.previous = nil
	}
	c.current = map[uint64]struct{}{}
	c.rotatedAt = now
}

// add takes over keys that another gate numbered.
func (c *claimSet) add(keys []uint64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rotate(now)
	for _, k := range keys {
		c.current[k] = struct{}{}
	}
}

// of lists the keys whose home in view is g.
func (c *claimSet) ownedBy(roster Roster, g GateID) []uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []uint64
	for _, m := range []map[uint64]struct{}{c.current, c.previous} {
		for k := range m {
			if owner, ok := roster.Owner(k); ok && owner == g {
				out = append(out, k)
			}
		}
	}
	return out
}
