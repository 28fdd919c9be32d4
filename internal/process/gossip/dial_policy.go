package gossip

import (
	"maps"
	"slices"
	"time"

	"github.com/daisytide/daisytide/internal/process/membership"
)

// Limits of dialling.
const (
	// backoffFirst and backoffMost bound the wait after a failed dial, which
	// doubles; the wait is drawn below it.
	backoffFirst = 250 * time.Millisecond
	backoffMost  = 15 * time.Second
	// busyWait spreads the dials of a peer that refused.
	busyWait = 2 * time.Second
	// failsUnreachable is the number of failed dials in a row after which
	// the graph is drawn without the address.
	failsUnreachable = 2
	// unreachableFor is how long an address stays out of the graph before it
	// is tried again.
	unreachableFor = 20 * time.Second
	// forgottenAfter is how long after its last dial an address that is no
	// neighbour is forgotten.
	forgottenAfter = 2 * time.Minute
	// higherWaits is how long the end with the higher address leaves it to
	// the other to dial.
	higherWaits = time.Second
	// maxHints bounds the addresses that refusals named.
	maxHints = 32
)

// choice is what a node decides from: whom it wants as neighbours and whom it
// may dial. It is a state machine that takes its time; the manager's lock
// guards it.
type choice struct {
	// wanted are the neighbours that the graph gives this node.
	wanted map[string]bool
	// generation is that of the members that wanted was computed from.
	generation uint64
	stale      bool
	targets    map[string]*target
	// hints are addresses that refusals named.
	hints []string
}

// target is what dialling an address has shown.
type target struct {
	fails int
	// next is the earliest time of the next dial.
	next    time.Time
	dialing bool
	// wantedSince is when the graph named the address, or its link ended.
	wantedSince time.Time
	// incarnation is that of the record which could not be reached.
	incarnation uint64
	// asking tells whether others are being asked about it.
	asking bool
}

func newChoice() choice {
	return choice{wanted: map[string]bool{}, targets: map[string]*target{}, stale: true}
}

// target returns the state of an address.
func (c *choice) target(address string) *target {
	t := c.targets[address]
	if t == nil {
		t = &target{}
		c.targets[address] = t
	}
	return t
}

// refresh computes the neighbours anew when members or reachability changed.
func (c *choice) refresh(members *membership.Table, self string, now time.Time) {
	c.forgive(now)
	generation := members.Generation()
	if generation == c.generation && !c.stale {
		return
	}
	c.generation, c.stale = generation, false
	var view []membership.Record
	for _, r := range members.Index().Members {
		if r.Address == self || !c.unreachable(r) {
			view = append(view, r)
		}
	}
	wanted := map[string]bool{}
	for _, a := range Neighbours(view, self) {
		wanted[a] = true
		if !c.wanted[a] {
			c.target(a).wantedSince = now
		}
	}
	c.wanted = wanted
	maps.DeleteFunc(c.targets, func(a string, t *target) bool {
		return !wanted[a] && t.fails == 0 && !t.dialing && !t.asking
	})
}

// unreachable tells whether the node could not reach a member's process.
func (c *choice) unreachable(r membership.Record) bool {
	t := c.targets[r.Address]
	return t != nil && t.fails >= failsUnreachable && t.incarnation >= r.Incarnation
}

// forgive lets addresses that could not be reached be tried again, and drops
// those that the graph has not named since: hosts come and go for good.
func (c *choice) forgive(now time.Time) {
	for a, t := range c.targets {
		if !c.wanted[a] && !t.dialing && !t.asking && now.Sub(t.next) > forgottenAfter {
			delete(c.targets, a)
			continue
		}
		if t.fails >= failsUnreachable && now.Sub(t.next) > unreachableFor && !t.dialing {
			t.fails = failsUnreachable - 1
			c.stale = true
		}
	}
}

// due lists the neighbours to dial now.
func (c *choice) due(self string, linked func(string) bool, now time.Time) []string {
	var out []string
	for a := range c.wanted {
		t := c.target(a)
		if linked(a) || t.dialing || now.Before(t.next) {
			continue
		}
		if a < self && now.Sub(t.wantedSince) < higherWaits {
			continue
		}
		out = append(out, a)
	}
	slices.Sort(out)
	return out
}

// failed notes a dial that failed; span is a draw from [0,1). It returns the
// number of failures in a row.
func (c *choice) failed(address string, incarnation uint64, span float64, now time.Time) int {
	t := c.target(address)
	t.dialing = false
	t.fails++
	t.incarnation = incarnation
	wait := min(backoffMost, backoffFirst<<min(t.fails-1, 10))
	t.next = now.Add(time.Duration(span * float64(wait)))
	if t.fails == failsUnreachable {
		c.stale = true
	}
	return t.fails
}

// refused notes a dial that the peer refused: it lives and is busy.
func (c *choice) refused(address string, span float64, now time.Time) {
	t := c.target(address)
	t.dialing, t.fails = false, 0
	t.next = now.Add(backoffFirst + time.Duration(span*float64(busyWait)))
}

// reached notes that a link with the address stands.
func (c *choice) reached(address string) {
	t := c.target(address)
	t.fails, t.dialing = 0, false
}

// ended notes that the link with an address ended.
func (c *choice) ended(address string, span time.Duration, now time.Time) {
	t := c.target(address)
	t.wantedSince = now
	t.next = now.Add(span)
}

// hint adds addresses that a refusal named.
func (c *choice) hint(addresses []string) {
	for _, a := range addresses {
		if !slices.Contains(c.hints, a) {
			c.hints = append(c.hints, a)
		}
	}
	if len(c.hints) > maxHints {
		c.hints = slices.Clone(c.hints[len(c.hints)-maxHints:])
	}
}
