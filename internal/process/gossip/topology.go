package gossip

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/daisytide/daisytide/internal/process/membership"
)

// The topology consists of three kinds of rings. Each node computes them from
// the member list alone, so both ends of a link agree on it, and each ring
// gives a node at most two links:
//
//   - The fleet ring links all nodes in hash order. It connects all members
//     without the other rings, and its links cross data centres and regions.
//   - The data centre ring does the same within each data centre, with another
//     hash order.
//   - The rack ring links each node to one in another rack of its data centre;
//     without racks it is a second data centre ring.
//
// A node that joins or leaves changes only the links of its ring neighbours.
const (
	fleetSalt      = "fleet/"
	dataCentreSalt = "data-centre/"
	rackSalt       = "rack/"
)

// Limits of the topology.
const (
	// MaxNeighbours is the maximum number of neighbours of a node: four in
	// its data centre and two on the fleet ring.
	MaxNeighbours = 6
	// rackSearchWindow is how many positions along the rack ring are searched
	// for another rack.
	rackSearchWindow = 16
)

// ringPosition is a member's position on a ring.
type ringPosition struct {
	hash uint64
	node *membership.Record
}

// Topology maps every member that is not Leaving or Gone to its neighbours.
// It is a pure function of the set of members.
type Topology map[string][]string

// NewTopology computes the topology of the whole fleet.
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

// addDataCentre adds the two rings of one data centre.
func (t Topology) addDataCentre(nodes []*membership.Record) {
	t.addRing(newRing(nodes, dataCentreSalt))
	t.addRackRing(newRing(nodes, rackSalt))
}

// newRing orders nodes by a salted hash of their address.
func newRing(nodes []*membership.Record, salt string) []ringPosition {
	out := make([]ringPosition, len(nodes))
	for i, n := range nodes {
		out[i] = ringPosition{hash: xxhash.Sum64String(salt + n.Address), node: n}
	}
	slices.SortFunc(out, ringPosition.compare)
	return out
}

// addRing links each node of a ring to the next.
func (t Topology) addRing(r []ringPosition) {
	for i := range r {
		t.connect(r[i].node, r[(i+1)%len(r)].node)
	}
}

// addRackRing links each node to the next free one in another rack, or to the
// next free one if no other rack is within rackSearchWindow.
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

// Neighbours returns the same neighbours as NewTopology for a single member,
// at the cost of one scan of the fleet and the rings of its data centre.
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

// fleetRingNeighbours returns the previous and the next node on the fleet
// ring.
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

// isBetween reports whether p lies between from and to on a ring. If from and
// to are the same position, the interval is the whole ring.
func isBetween(from, p, to ringPosition) bool {
	if from.compare(to) < 0 {
		return from.compare(p) < 0 && p.compare(to) < 0
	}
	return from.compare(p) < 0 || p.compare(to) < 0
}

func (p ringPosition) compare(o ringPosition) int {
	return cmp.Or(cmp.Compare(p.hash, o.hash), cmp.Compare(p.node.Address, o.node.Address))
}
