package gossip

import (
	"maps"
	"slices"
	"time"

	"github.com/daisytide/daisytide/internal/process/membership"
)

// Dialling limits.
const (
	// The wait after a failed dial is random, below a bound that starts at
	// backoffMin and doubles up to backoffMax.
	backoffMin = 250 * time.Millisecond
	backoffMax = 15 * time.Second
	// refusedJitter is the random part of the wait after a refused dial.
	refusedJitter = 2 * time.Second
	// unreachableFailures is the number of consecutive failed dials after
	// which the topology is computed without the address.
	unreachableFailures = 2
	// unreachableTime is how long an address is left out of the topology
	// before it is dialled again.
	unreachableTime = 20 * time.Second
	// targetExpiry is the time after the last dial at which the state of an
	// address that is not a neighbour is discarded.
	targetExpiry = 2 * time.Minute
	// higherAddressDelay is how long the node with the higher address waits
	// for the other one to dial.
	higherAddressDelay = time.Second
	// maxHints bounds the addresses kept from refusals.
	maxHints = 32
)

// dialPolicy decides which neighbours a node needs and which addresses it may
// dial. It does no I/O and takes the current time as an argument; it is
// guarded by the manager's lock.
type dialPolicy struct {
	// neighbours are this node's neighbours in the topology.
	neighbours map[string]bool
	// generation is the member table's generation that neighbours was
	// computed from.
	generation uint64
	// stale is set if neighbours must be recomputed even if the generation has
	// not changed.
	stale   bool
	targets map[string]*dialTarget
	// hints are addresses received in refusals.
	hints []string
}

// dialTarget is the dial state of one address.
type dialTarget struct {
	failures int
	// nextDial is the earliest time of the next dial.
	nextDial time.Time
	dialing  bool
	// wantedSince is when the address became a neighbour or its link closed.
	wantedSince time.Time
	// incarnation is the incarnation of the record that was unreachable.
	incarnation uint64
	// probing is set while other members probe the address.
	probing bool
}

func newDialPolicy() dialPolicy {
	return dialPolicy{neighbours: map[string]bool{}, targets: map[string]*dialTarget{}, stale: true}
}

// target returns the dial state of an address and creates it if needed.
func (d *dialPolicy) target(address string) *dialTarget {
	t := d.targets[address]
	if t == nil {
		t = &dialTarget{}
		d.targets[address] = t
	}
	return t
}

// refreshNeighbours recomputes the neighbours if the members or their
// reachability changed.
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

// isUnreachable reports whether dials to this incarnation of the member have
// failed repeatedly.
func (d *dialPolicy) isUnreachable(r membership.Record) bool {
	t := d.targets[r.Address]
	return t != nil && t.failures >= unreachableFailures && t.incarnation >= r.Incarnation
}

// expireTargets allows unreachable addresses to be dialled again after
// unreachableTime. It removes the state of addresses that are no longer
// neighbours, since otherwise the states of removed hosts would accumulate.
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

// dueDials returns the neighbours to dial now, sorted.
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

// recordFailure records a failed dial and returns the number of consecutive
// failures; random is in [0,1) and scales the backoff.
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

// recordRefusal records a dial that the peer refused: the peer is alive but
// busy.
func (d *dialPolicy) recordRefusal(address string, random float64, now time.Time) {
	t := d.target(address)
	t.dialing, t.failures = false, 0
	t.nextDial = now.Add(backoffMin + time.Duration(random*float64(refusedJitter)))
}

// recordSuccess records that a link with the address is established.
func (d *dialPolicy) recordSuccess(address string) {
	t := d.target(address)
	t.failures, t.dialing = 0, false
}

// recordLinkEnd records that the link with an address closed.
func (d *dialPolicy) recordLinkEnd(address string, delay time.Duration, now time.Time) {
	t := d.target(address)
	t.wantedSince = now
	t.nextDial = now.Add(delay)
}

// addHints adds addresses received in a refusal.
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
