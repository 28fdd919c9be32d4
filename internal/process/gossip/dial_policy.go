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
	backoffMin = 250 * time.Millisecond
	backoffMax = 15 * time.Second
	// busyWait spreads the dials of a peer that refused.
	refusedJitter = 2 * time.Second
	// failsUnreachable is the number of failed dials in a row after which
	// the graph is drawn without the address.
	unreachableFailures = 2
	// unreachableFor is how long an address stays out of the graph before it
	// is tried again.
	unreachableTime = 20 * time.Second
	// forgottenAfter is how long after its last dial an address that is no
	// neighbour is forgotten.
	targetExpiry = 2 * time.Minute
	// higherWaits is how long the end with the higher address leaves it to
	// the other to dial.
	higherAddressDelay = time.Second
	// maxHints bounds the addresses that refusals named.
	maxHints = 32
)

// choice is what a node decides from: whom it wants as neighbours and whom it
// may dial. It is a state machine that takes its time; the manager's lock
// guards it.
type dialPolicy struct {
	// wanted are the neighbours that the graph gives this node.
	neighbours map[string]bool
	// generation is that of the members that wanted was computed from.
	generation uint64
	stale      bool
	targets    map[string]*dialTarget
	// hints are addresses that refusals named.
	hints []string
}

// target is what dialling an address has shown.
type dialTarget struct {
	failures int
	// next is the earliest time of the next dial.
	nextDial time.Time
	dialing  bool
	// wantedSince is when the graph named the address, or its link ended.
	wantedSince time.Time
	// incarnation is that of the record which could not be reached.
	incarnation uint64
	// asking tells whether others are being asked about it.
	probing bool
}

func newDialPolicy() dialPolicy {
	return dialPolicy{neighbours: map[string]bool{}, targets: map[string]*dialTarget{}, stale: true}
}

// target returns the state of an address.
func (d *dialPolicy) target(address string) *dialTarget {
	t := d.targets[address]
	if t == nil {
		t = &dialTarget{}
		d.targets[address] = t
	}
	return t
}

// refresh computes the neighbours anew when members or reachability changed.
func (d *dialPolicy) refreshNeighbours(members *membership.Table, self string, now time.Time) {
	d.expireTargets(now)
	generation := members.Generation()
	if generation == d.generation && !d.stale {
		return
	}
	d.generation, d.stale = generation, false
	var reachable []membership.Record
	for _, r := range members.Index().Members {
		if r.Address == self || !d.isUnreachable(r) {
			reachable = append(reachable, r)
		}
	}
	neighbours := map[string]bool{}
	for _, a := range Neighbours(reachable, self) {
		neighbours[a] = true
		if !d.neighbours[a] {
			d.target(a).wantedSince = now
		}
	}
	d.neighbours = neighbours
	maps.DeleteFunc(d.targets, func(a string, t *dialTarget) bool {
		return !neighbours[a] && t.failures == 0 && !t.dialing && !t.probing
	})
}

// unreachable tells whether the node could not reach a member's process.
func (d *dialPolicy) isUnreachable(r membership.Record) bool {
	t := d.targets[r.Address]
	return t != nil && t.failures >= unreachableFailures && t.incarnation >= r.Incarnation
}

// forgive lets addresses that could not be reached be tried again, and drops
// those that the graph has not named since: hosts come and go for good.
func (d *dialPolicy) expireTargets(now time.Time) {
	for a, t := range d.targets {
		if !d.neighbours[a] && !t.dialing && !t.probing && now.Sub(t.nextDial) > targetExpiry {
			delete(d.targets, a)
			continue
		}
		if t.failures >= unreachableFailures && now.Sub(t.nextDial) > unreachableTime && !t.dialing {
			t.failures = unreachableFailures - 1
			d.stale = true
		}
	}
}

// due lists the neighbours to dial now.
func (d *dialPolicy) dueDials(self string, linked func(string) bool, now time.Time) []string {
	var out []string
	for a := range d.neighbours {
		t := d.target(a)
		if linked(a) || t.dialing || now.Before(t.nextDial) {
			continue
		}
		if a < self && now.Sub(t.wantedSince) < higherAddressDelay {
			continue
		}
		out = append(out, a)
	}
	slices.Sort(out)
	return out
}

// failed notes a dial that failed; span is a draw from [0,1). It returns the
// number of failures in a row.
func (d *dialPolicy) recordFailure(address string, incarnation uint64, random float64, now time.Time) int {
	t := d.target(address)
	t.dialing = false
	t.failures++
	t.incarnation = incarnation
	wait := min(backoffMax, backoffMin<<min(t.failures-1, 10))
	t.nextDial = now.Add(time.Duration(random * float64(wait)))
	if t.failures == unreachableFailures {
		d.stale = true
	}
	return t.failures
}

// refused notes a dial that the peer refused: it lives and is busy.
func (d *dialPolicy) recordRefusal(address string, random float64, now time.Time) {
	t := d.target(address)
	t.dialing, t.failures = false, 0
	t.nextDial = now.Add(backoffMin + time.Duration(random*float64(refusedJitter)))
}

// reached notes that a link with the address stands.
func (d *dialPolicy) recordSuccess(address string) {
	t := d.target(address)
	t.failures, t.dialing = 0, false
}

// ended notes that the link with an address ended.
func (d *dialPolicy) recordLinkEnd(address string, delay time.Duration, now time.Time) {
	t := d.target(address)
	t.wantedSince = now
	t.nextDial = now.Add(delay)
}

// hint adds addresses that a refusal named.
func (d *dialPolicy) addHints(addresses []string) {
	for _, a := range addresses {
		if !slices.Contains(d.hints, a) {
			d.hints = append(d.hints, a)
		}
	}
	if len(d.hints) > maxHints {
		d.hints = slices.Clone(d.hints[len(d.hints)-maxHints:])
	}
}
