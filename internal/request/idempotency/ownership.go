package idempotency

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// The gates classify the attempts that arrive without a number or as number 1.
// Rendezvous hashing gives each key an owner among the gates of the roster, and
// the owner decides which attempt is the first. All others are treated as repeated
// attempts. A first attempt taken for a repeated one costs time; a repeated one
// taken for the first could run a request twice. So a gate that is not sure
// reports neither.
//
// Two gates must never both act as the owner of a key. A joining gate announces
// itself to every gate of the roster and takes over the claims on the keys that
// it now owns. Until a gate has acknowledged the announcement, the joining gate
// decides nothing for keys that the other one may still act as owner of.

// rendezvousWeight returns the weight of a gate for a key; the highest owns it.
func rendezvousWeight(g GateID, key uint64) uint64 {
	x := key ^ g.Incarnation
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// hashKey returns the hash by which claims identify keys. A collision makes a
// first attempt a repeated one, which is harmless.
func hashKey(key string) uint64 { return xxhash.Sum64String(key) }

// Owner returns the gate that owns a key; false for an empty roster.
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

// isSoleOwner reports whether self owns a key and no other gate may still act as
// its owner. roster is the newest known roster, in order of registration; knows
// reports whether a gate has acknowledged self.
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
		// g knows at least the gates that registered before it.
		if owner, _ := (Roster{Gates: roster.Gates[:i+1]}).Owner(key); owner == g {
			return false
		}
	}
	return false
}

// claimSet holds the keys claimed by a first attempt, for one to two windows.
type claimSet struct {
	window time.Duration

	mu        sync.Mutex
	rotatedAt time.Time
	current   map[uint64]struct{}
	previous  map[uint64]struct{}
}

// claim adds a key and reports whether it was not claimed before. If the set is
// full, it always returns false.
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

// release removes a key.
func (c *claimSet) release(key uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.current, key)
	delete(c.previous, key)
}

// rotate drops keys after one to two windows. The caller holds mu.
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

// add adds keys that were claimed at another gate.
func (c *claimSet) add(keys []uint64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rotate(now)
	for _, k := range keys {
		c.current[k] = struct{}{}
	}
}

// ownedBy returns the keys that g owns according to roster.
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
