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
	fleetSalt      = "fleet/"
	dataCentreSalt = "data-centre/"
	rackSalt       = "rack/"
)

// Bounds of a node's links.
const (
	// MaxNeighbours is the most links that the graph gives a node: four in its
	// data centre and two in the fleet.
	MaxNeighbours = 6
	// rackWindow is how far along the rack ring another rack is looked for.
	rackSearchWindow = 16
)

// place is a member's position on one ring.
type ringPosition struct {
	hash uint64
	node *membership.Record
}

// Topology gives the neighbours of every member that is not Leaving or Gone. It
// is a pure function of the set of members.
type Topology map[string][]string

// NewTopology computes the graph.
func NewTopology(members []membership.Record) Topology {
	t := make(Topology, len(members))
	dataCentres := map[string][]*membership.Record{}
	var all []*membership.Record
	for i := range members {
		r := &members[i]
		if r.State > membership.Suspect {
			continue
		}
		t[r.Address] = nil
		all = append(all, r)
		dataCentres[r.DataCentre] = append(dataCentres[r.DataCentre], r)
	}
	t.addRing(newRing(all, fleetSalt))
	for _, nodes := range dataCentres {
		t.addDataCentre(nodes)
	}
	return t
}

// addCentre adds the two rings of one data centre.
func (t Topology) addDataCentre(nodes []*membership.Record) {
	t.addRing(newRing(nodes, dataCentreSalt))
	t.addRackRing(newRing(nodes, rackSalt))
}

// ring orders nodes by a salted hash of their address.
func newRing(nodes []*membership.Record, salt string) []ringPosition {
	out := make([]ringPosition, len(nodes))
	for i, n := range nodes {
		out[i] = ringPosition{hash: xxhash.Sum64String(salt + n.Address), node: n}
	}
	slices.SortFunc(out, ringPosition.compare)
	return out
}

// addRing joins each node of a ring with the next.
func (t Topology) addRing(r []ringPosition) {
	for i := range r {
		t.connect(r[i].node, r[(i+1)%len(r)].node)
	}
}

// addRacks joins each node with the next of another rack that no node before
// it took, else with the next that is free.
func (t Topology) addRackRing(r []ringPosition) {
	taken := make([]bool, len(r))
	for i := range r {
		j := nextInOtherRack(r, i, taken)
		if j < 0 {
			continue
		}
		taken[j] = true
		t.connect(r[i].node, r[j].node)
	}
}

func nextInOtherRack(r []ringPosition, i int, taken []bool) int {
	free := -1
	for step := 1; step <= min(rackSearchWindow, len(r)-1); step++ {
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

func (t Topology) connect(a, b *membership.Record) {
	if a.Address == b.Address || slices.Contains(t[a.Address], b.Address) {
		return
	}
	t[a.Address] = append(t[a.Address], b.Address)
	t[b.Address] = append(t[b.Address], a.Address)
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
	var dataCentre []*membership.Record
	for i := range members {
		if r := &members[i]; r.State <= membership.Suspect && r.DataCentre == own.DataCentre {
			dataCentre = append(dataCentre, r)
		}
	}
	t := Topology{}
	t.addDataCentre(dataCentre)
	out := t[self]
	for _, a := range fleetRingNeighbours(members, own) {
		if a != self && !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}

// onFleetRing finds the nodes before and after one on the fleet ring.
func fleetRingNeighbours(members []membership.Record, own *membership.Record) [2]string {
	position := ringPosition{hash: xxhash.Sum64String(fleetSalt + own.Address), node: own}
	before, after := position, position
	for i := range members {
		r := &members[i]
		if r.State > membership.Suspect || r.Address == own.Address {
			continue
		}
		p := ringPosition{hash: xxhash.Sum64String(fleetSalt + r.Address), node: r}
		if isBetween(position, p, after) {
			after = p
		}
		if isBetween(before, p, position) {
			before = p
		}
	}
	return [2]string{before.node.Address, after.node.Address}
}

// between tells whether p stands between from and to on a ring; where both
// are one place, that is the whole ring.
func isBetween(from, p, to ringPosition) bool {
	if from.compare(to) < 0 {
		return from.compare(p) < 0 && p.compare(to) < 0
	}
	return from.compare(p) < 0 || p.compare(to) < 0
}

func (p ringPosition) compare(o ringPosition) int {
	return cmp.Or(cmp.Compare(p.hash, o.hash), cmp.Compare(p.node.Address, o.node.Address))
}
