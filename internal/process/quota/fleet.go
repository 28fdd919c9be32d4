package quota

import (
	"time"

	"github.com/daisytide/daisytide/internal/process/membership"
)

// Fleet counts the nodes that may hold a vote. A node that is gone may be cut off and
// still serve its share, so it counts for lostTTL, unless it said that it was leaving
// or its host refuses connections.
type Fleet struct {
	nodes map[string]*fleetNode
}

type fleetNode struct {
	seenAt  time.Time
	lostAt  time.Time
	leaving bool
}

// lostTTL is how long a node counts after it was lost. It is the time for which
// membership keeps the record of a node that is gone.
const lostTTL = membership.TombstoneTTL

// joinTime is how long a new node does not count yet: it lends its vote only after a
// lease, which is longer.
const joinTime = 750 * time.Millisecond

// NewFleet returns a fleet without nodes.
func NewFleet() *Fleet { return &Fleet{nodes: map[string]*fleetNode{}} }

// Update returns the nodes that may be owners, the number of nodes that may hold a
// vote, and those among the lost ones whose end is not certain.
func (f *Fleet) Update(records []membership.Record, now time.Time) (owners []string, size int, lost []string) {
	present := make(map[string]bool, len(records))
	for _, r := range records {
		if r.State == membership.Gone {
			continue
		}
		present[r.Address] = true
		n := f.nodes[r.Address]
		if n == nil {
			n = &fleetNode{seenAt: now}
			f.nodes[r.Address] = n
		}
		n.lostAt, n.leaving = time.Time{}, r.State == membership.Leaving
		if r.State == membership.Alive {
			owners = append(owners, r.Address)
		}
	}
	for address, n := range f.nodes {
		switch {
		case present[address]:
			if now.Sub(n.seenAt) >= joinTime {
				size++
			}
			continue
		case n.lostAt.IsZero() && !n.leaving:
			n.lostAt = now
		}
		if n.leaving || now.Sub(n.lostAt) > lostTTL {
			delete(f.nodes, address)
			continue
		}
		lost = append(lost, address)
	}
	return owners, size + len(lost), lost
}

// Ended records that no process runs at the address of a lost node.
func (f *Fleet) Ended(address string) {
	if n := f.nodes[address]; n != nil && !n.lostAt.IsZero() {
		delete(f.nodes, address)
	}
}
