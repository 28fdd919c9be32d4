package gossip

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/daisytide/daisytide/internal/process/membership"
)

// Design size of a fleet.
const (
	fleetNodes       = 1000
	fleetDataCentres = 9
	fleetRegions     = 3
	fleetRacks       = 4
	topologySeeds    = 40
	// topologySeedsShort is for -short runs, such as those with the race detector.
	topologySeedsShort = 3
)

func topologySeedCount() uint64 {
	if testing.Short() {
		return topologySeedsShort
	}
	return topologySeeds
}

func newFleet(seed uint64, n int) []membership.Record {
	rng := rand.New(rand.NewPCG(seed, 1))
	out := make([]membership.Record, n)
	for i := range out {
		dc := i % fleetDataCentres
		out[i] = membership.Record{
			Address:    fmt.Sprintf("10.%d.%d.%d:7946", rng.IntN(250), i/250, i%250),
			Region:     fmt.Sprint("region-", dc%fleetRegions),
			DataCentre: fmt.Sprint("dc-", dc),
			Rack:       fmt.Sprint("rack-", rng.IntN(fleetRacks)),
			State:      membership.Alive,
		}
	}
	return out
}

// largestComponent returns the size of the largest connected component of the
// remaining nodes, over the links for which up returns true.
func largestComponent(t Topology, remaining map[string]bool, up func(a, b string) bool) int {
	seen := map[string]bool{}
	best := 0
	for start := range remaining {
		if seen[start] {
			continue
		}
		seen[start] = true
		queue := []string{start}
		for i := 0; i < len(queue); i++ {
			for _, next := range t[queue[i]] {
				if remaining[next] && !seen[next] && up(queue[i], next) {
					seen[next] = true
					queue = append(queue, next)
				}
			}
		}
		best = max(best, len(queue))
	}
	return best
}

func allLinksUp(string, string) bool { return true }

func filterMembers(members []membership.Record, include func(i int, r membership.Record) bool) (map[string]bool, []membership.Record) {
	set := map[string]bool{}
	var out []membership.Record
	for i, r := range members {
		if include(i, r) {
			set[r.Address] = true
			out = append(out, r)
		}
	}
	return set, out
}

func TestTopologyBoundsLinksPerNode(t *testing.T) {
	for _, n := range []int{1, 2, 3, 5, 27, 200, fleetNodes} {
		for address, links := range NewTopology(newFleet(1, n)) {
			if len(links) > MaxNeighbours {
				t.Errorf("%d nodes: %s has %d links", n, address, len(links))
			}
		}
	}
}

func TestTopologyIsConnected(t *testing.T) {
	for n := 1; n < 60; n++ {
		members := newFleet(uint64(n), n)
		remaining, _ := filterMembers(members, func(int, membership.Record) bool { return true })
		if got := largestComponent(NewTopology(members), remaining, allLinksUp); got != n {
			t.Errorf("%d nodes: the largest component has %d", n, got)
		}
	}
}

// A node loses all six links with probability 0.3^6, so of 700 survivors only a
// few are isolated until they recompute their neighbours: 99% must stay
// connected at once, and all of them after the recomputation.
func TestTopologyStaysConnectedWithAThirdOfTheNodesGone(t *testing.T) {
	for seed := range topologySeedCount() {
		rng := rand.New(rand.NewPCG(seed, 2))
		members := newFleet(seed, fleetNodes)
		remaining, survivors := filterMembers(members, func(int, membership.Record) bool { return rng.Float64() >= 0.3 })
		if got := largestComponent(NewTopology(members), remaining, allLinksUp); got < len(remaining)*99/100 {
			t.Errorf("seed %d: %d of %d are connected at once", seed, got, len(remaining))
		}
		if got := largestComponent(NewTopology(survivors), remaining, allLinksUp); got != len(remaining) {
			t.Errorf("seed %d: %d of %d are connected after the recomputation", seed, got, len(remaining))
		}
	}
}

// Each survivor knows only those failed nodes that it tried to dial, and
// recomputes its neighbours without them until none has failed. The links
// chosen by either end must connect all survivors.
func TestTopologyRecoversWithLocalKnowledge(t *testing.T) {
	for seed := range uint64(3) {
		rng := rand.New(rand.NewPCG(seed, 3))
		members := newFleet(seed, 200)
		remaining, survivors := filterMembers(members, func(int, membership.Record) bool { return rng.Float64() >= 0.3 })
		recovered := Topology{}
		for _, self := range survivors {
			for _, a := range neighboursAmongSurvivors(members, self.Address, remaining) {
				recovered[self.Address] = append(recovered[self.Address], a)
				recovered[a] = append(recovered[a], self.Address)
			}
		}
		if got := largestComponent(recovered, remaining, allLinksUp); got != len(remaining) {
			t.Errorf("seed %d: %d of %d are connected", seed, got, len(remaining))
		}
	}
}

func neighboursAmongSurvivors(members []membership.Record, self string, remaining map[string]bool) []string {
	failed := map[string]bool{}
	for {
		_, view := filterMembers(members, func(_ int, r membership.Record) bool { return !failed[r.Address] })
		links := Neighbours(view, self)
		found := false
		for _, a := range links {
			if !remaining[a] {
				failed[a] = true
				found = true
			}
		}
		if !found {
			return links
		}
	}
}

func TestTopologyStaysConnectedWithADataCentreGone(t *testing.T) {
	for seed := range topologySeedCount() {
		members := newFleet(seed, fleetNodes)
		gone := fmt.Sprint("dc-", seed%fleetDataCentres)
		remaining, _ := filterMembers(members, func(_ int, r membership.Record) bool { return r.DataCentre != gone })
		if got := largestComponent(NewTopology(members), remaining, allLinksUp); got != len(remaining) {
			t.Errorf("seed %d: %d of %d are connected", seed, got, len(remaining))
		}
	}
}

func TestTopologyStaysConnectedWithARegionLinkDown(t *testing.T) {
	for seed := range topologySeedCount() {
		members := newFleet(seed, fleetNodes)
		region := map[string]string{}
		for _, r := range members {
			region[r.Address] = r.Region
		}
		remaining, _ := filterMembers(members, func(int, membership.Record) bool { return true })
		up := func(a, b string) bool {
			return region[a] == region[b] || region[a] == "region-2" || region[b] == "region-2"
		}
		if got := largestComponent(NewTopology(members), remaining, up); got != len(remaining) {
			t.Errorf("seed %d: %d of %d are connected", seed, got, len(remaining))
		}
	}
}

func TestTopologyChangesFewLinksWhenOneMemberLeaves(t *testing.T) {
	members := newFleet(1, fleetNodes)
	before, after := NewTopology(members), NewTopology(members[1:])
	changed := 0
	for address, links := range after {
		old := map[string]bool{}
		for _, a := range before[address] {
			old[a] = true
		}
		for _, a := range links {
			if !old[a] {
				changed++
			}
		}
	}
	// Closing three rings around the removed node adds three links, counted at
	// both ends; the rack ring may shift within its search window.
	if limit := 2 * (2 + 2*rackSearchWindow); changed > limit {
		t.Errorf("%d link ends changed, want at most %d", changed, limit)
	}
}

func TestNeighboursMatchTopology(t *testing.T) {
	for _, n := range []int{1, 2, 3, 10, 40, 300} {
		members := newFleet(uint64(n), n)
		members[0].State = membership.Leaving
		topology := NewTopology(members)
		for _, r := range members {
			got, want := Neighbours(members, r.Address), slices.Clone(topology[r.Address])
			slices.Sort(got)
			slices.Sort(want)
			if !slices.Equal(got, want) {
				t.Errorf("%d nodes: %s has %v, want %v", n, r.Address, got, want)
			}
		}
	}
}

// BenchmarkNeighbours computes one node's neighbours in a fleet of design size.
func BenchmarkNeighbours(b *testing.B) {
	members := newFleet(1, fleetNodes)
	for b.Loop() {
		Neighbours(members, members[7].Address)
	}
}

// BenchmarkTopology computes the topology of a fleet of design size.
func BenchmarkTopology(b *testing.B) {
	members := newFleet(1, fleetNodes)
	for b.Loop() {
		NewTopology(members)
	}
}
