package gossip

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/daisytide/daisytide/internal/process/membership"
)

// The graph is three rings. Each node computes it from the members alone, so
// that both ends of a link agree on it, and a ring gives each node at most two
// links:
//
//   - the fleet ring runs through all nodes in the order of a hash. It alone
//     connects every member, whichever they are, and mixes data centres and
//     regions.
//   - the data centre ring does the same within each data centre, in another
//     order.
//   - the rack ring joins each node with one of another rack of its data
//     centre; without racks it is a second data centre ring.
//
// A node that comes or goes changes the links of its ring neighbours only.
const (
	fleetSalt = "fleet/"
	dcSalt    = "data-centre/"
	rackSalt  = "rack/"
)

// Bounds of a node's links.
const (
	// MaxNeighbours is the most links that the graph gives a node: four in its
	// data centre and two in the fleet.
	MaxNeighbours = 6
	// rackWindow is how far along the rack ring another rack is looked for.
	rackWindow = 16
)

// place is a member's position on one ring.
type place struct {
	hash uint64
	node *membership.Record
}

// Topology gives the neighbours of every member that is not Leaving or Gone. It
// is a pure function of the set of members.
type Topology map[string][]string

// NewTopology computes the graph.
func NewTopology(members []membership.Record) Topology {
	g := make(Topology, len(members))
	centres := map[string][]*membership.Record{}
	var all []*membership.Record
	for i := range members {
		r := &members[i]
		if r.State > membership.Suspect {
			continue
		}
		g[r.Address] = nil
		all = append(all, r)
		centres[r.DataCentre] = append(centres[r.DataCentre], r)
	}
	g.addRing(ring(all, fleetSalt))
	for _, c := range centres {
		g.addCentre(c)
	}
	return g
}

// addCentre adds the two rings of one data centre.
func (g Topology) addCentre(nodes []*membership.Record) {
	g.addRing(ring(nodes, dcSalt))
	g.addRacks(ring(nodes, rackSalt))
}

// ring orders nodes by a salted hash of their address.
func ring(nodes []*membership.Record, salt string) []place {
	out := make([]place, len(nodes))
	for i, n := range nodes {
		out[i] = place{hash: xxhash.Sum64String(salt + n.Address), node: n}
	}
	slices.SortFunc(out, place.compare)
	return out
}

// addRing joins each node of a ring with the next.
func (g Topology) addRing(r []place) {
	for i := range r {
		g.join(r[i].node, r[(i+1)%len(r)].node)
	}
}

// addRacks joins each node with the next of another rack that no node before
// it took, else with the next that is free.
func (g Topology) addRacks(r []place) {
	taken := make([]bool, len(r))
	for i := range r {
		j := nextOfOtherRack(r, i, taken)
		if j < 0 {
			continue
		}
		taken[j] = true
		g.join(r[i].node, r[j].node)
	}
}

func nextOfOtherRack(r []place, i int, taken []bool) int {
	free := -1
	for step := 1; step <= min(rackWindow, len(r)-1); step++ {
		j := (i + step) % len(r)
		if taken[j] {
			continue
		}
		if r[j].node.Rack != r[i].node.Rack {
			return j
		}
		if free < 0 {
			free = j
		}
	}
	return free
}

func (g Topology) join(a, b *membership.Record) {
	if a.Address == b.Address || slices.Contains(g[a.Address], b.Address) {
		return
	}
	g[a.Address] = append(g[a.Address], b.Address)
	g[b.Address] = append(g[b.Address], a.Address)
}

// Neighbours gives what NewTopology gives one member, at the cost of a scan of
// the fleet and of the rings of its data centre.
func Neighbours(members []membership.Record, self string) []string {
	var own *membership.Record
	for i := range members {
		if members[i].Address == self && members[i].State <= membership.Suspect {
			own = &members[i]
		}
	}
	if own == nil {
		return nil
	}
	var centre []*membership.Record
	for i := range members {
		if r := &members[i]; r.State <= membership.Suspect && r.DataCentre == own.DataCentre {
			centre = append(centre, r)
		}
	}
	g := Topology{}
	g.addCentre(centre)
	out := g[self]
	for _, a := range onFleetRing(members, own) {
		if a != self && !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}

// onFleetRing finds the nodes before and after one on the fleet ring.
func onFleetRing(members []membership.Record, own *membership.Record) [2]string {
	at := place{hash: xxhash.Sum64String(fleetSalt + own.Address), node: own}
	before, after := at, at
	for i := range members {
		r := &members[i]
		if r.State > membership.Suspect || r.Address == own.Address {
			continue
		}
		p := place{hash: xxhash.Sum64String(fleetSalt + r.Address), node: r}
		if between(at, p, after) {
			after = p
		}
		if between(before, p, at) {
			before = p
		}
	}
	return [2]string{before.node.Address, after.node.Address}
}

// between tells whether p stands between from and to on a ring; where both
// are one place, that is the whole ring.
func between(from, p, to place) bool {
	if from.compare(to) < 0 {
		return from.compare(p) < 0 && p.compare(to) < 0
	}
	return from.compare(p) < 0 || p.compare(to) < 0
}

func (p place) compare(o place) int {
	return cmp.Or(cmp.Compare(p.hash, o.hash), cmp.Compare(p.node.Address, o.node.Address))
}
