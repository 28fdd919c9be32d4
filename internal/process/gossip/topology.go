package gossip

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/daisytide/daisytide/internal/process/membership"
)

// The topology consists of four kinds of rings. Each node computes them from
// the member list alone, so both ends of a link agree on it, and each ring
// gives a node at most two links:
//
//   - The data centre ring links the nodes of each data centre in hash order.
//   - The rack ring links each node to one in another rack of its data centre;
//     without racks it is a second data centre ring.
//   - Each bridge ring links one node of every data centre. These are the only
//     links that cross data centres, so that an item crosses a bounded number of
//     them whatever the number of nodes.
//   - The inner ring links the nodes of each data centre that are on no bridge ring,
//     so that they have as many links as the others.
//
// A node that joins or leaves changes only the links of its ring neighbours, and
// those of a bridge ring if it is the node of its data centre there.
const (
	dataCentreSalt = "data-centre/"
	rackSalt       = "rack/"
	bridgeSalt     = "bridge/"
	innerSalt      = "inner/"
)

// Limits of the topology.
const (
	// MaxNeighbours is the maximum number of neighbours of a node: four in
	// its data centre and two on a bridge ring or the inner ring.
	MaxNeighbours = 6
	// minBridges is the number of bridge rings, and nodesPerBridge the number of
	// nodes of a data centre for each beyond them. A data centre is cut off for
	// a moment if its node has failed on each ring that it is on.
	minBridges     = 3
	nodesPerBridge = 8
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
	dataCentres := groupByDataCentre(members)
	for _, nodes := range dataCentres {
		for _, r := range nodes {
			t[r.Address] = nil
		}
		t.addDataCentre(nodes)
	}
	for _, ring := range bridgeRings(dataCentres) {
		t.addRing(ring)
	}
	return t
}

// groupByDataCentre returns the members that are not Leaving or Gone by data centre.
func groupByDataCentre(members []membership.Record) map[string][]*membership.Record {
	out := map[string][]*membership.Record{}
	for i := range members {
		if r := &members[i]; r.State <= membership.Suspect {
			out[r.DataCentre] = append(out[r.DataCentre], r)
		}
	}
	return out
}

// bridgeRings returns the bridge rings. Each has its own order of the data centres.
// A data centre without a free node for a ring is not on it; the first ring has all.
func bridgeRings(dataCentres map[string][]*membership.Record) [][]ringPosition {
	var rings [][]ringPosition
	for name, nodes := range dataCentres {
		for i, node := range bridgeNodes(nodes) {
			if i == len(rings) {
				rings = append(rings, nil)
			}
			rings[i] = append(rings[i], ringPosition{hash: xxhash.Sum64String(bridgeName(i) + name), node: node})
		}
	}
	for _, ring := range rings {
		slices.SortFunc(ring, ringPosition.compare)
	}
	return rings
}

// bridgeNodes returns the nodes of a data centre on the bridge rings, by the number
// of the ring: the free one with the lowest hash for that ring.
func bridgeNodes(nodes []*membership.Record) []*membership.Record {
	free := newRing(nodes, bridgeSalt)
	count := min(len(nodes), max(minBridges, len(nodes)/nodesPerBridge))
	out := make([]*membership.Record, 0, count)
	var key [9]byte
	for i := range count {
		key[8] = byte(i)
		best, lowest := 0, uint64(math.MaxUint64)
		for k, p := range free {
			binary.LittleEndian.PutUint64(key[:8], p.hash)
			if hash := xxhash.Sum64(key[:]); hash < lowest {
				best, lowest = k, hash
			}
		}
		out = append(out, free[best].node)
		free = slices.Delete(free, best, best+1)
	}
	return out
}

func bridgeName(i int) string { return bridgeSalt + strconv.Itoa(i) + "/" }

// addDataCentre adds the rings within one data centre.
func (t Topology) addDataCentre(nodes []*membership.Record) {
	t.addRing(newRing(nodes, dataCentreSalt))
	t.addRackRing(newRing(nodes, rackSalt))
	bridges := bridgeNodes(nodes)
	inner := make([]*membership.Record, 0, len(nodes))
	for _, r := range nodes {
		if !slices.Contains(bridges, r) {
			inner = append(inner, r)
		}
	}
	t.addRing(newRing(inner, innerSalt))
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
// at the cost of one scan of the fleet, its bridge rings and the rings of the
// member's data centre.
func Neighbours(members []membership.Record, self string) []string {
	dataCentres := groupByDataCentre(members)
	t := Topology{}
	for _, nodes := range dataCentres {
		if slices.ContainsFunc(nodes, func(r *membership.Record) bool { return r.Address == self }) {
			t.addDataCentre(nodes)
			for _, ring := range bridgeRings(dataCentres) {
				t.addRing(ring)
			}
		}
	}
	return t[self]
}

func (p ringPosition) compare(o ringPosition) int {
	return cmp.Or(cmp.Compare(p.hash, o.hash), cmp.Compare(p.node.Address, o.node.Address))
}
