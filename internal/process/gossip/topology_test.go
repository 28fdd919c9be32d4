package gossip

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/daisytide/daisytide/internal/process/membership"
)

// Sizes of the fleet that the product is designed for.
const (
	fleetNodes   = 1000
	fleetCentres = 9
	fleetRegions = 3
	fleetRacks   = 4
	graphSeeds   = 40
	// graphSeedsShort is for runs under the race detector.
	graphSeedsShort = 3
)

func seedsOfGraphs() uint64 {
	if testing.Short() {
		return graphSeedsShort
	}
	return graphSeeds
}

func fleet(seed uint64, n int) []membership.Record {
	rng := rand.New(rand.NewPCG(seed, 1))
	out := make([]membership.Record, n)
	for i := range out {
		dc := i % fleetCentres
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

// largest returns the size of the largest part of the graph among the nodes
// that remain, over the edges that hold.
func largest(g Topology, remain map[string]bool, holds func(a, b string) bool) int {
	seen := map[string]bool{}
	best := 0
	for start := range remain {
		if seen[start] {
			continue
		}
		seen[start] = true
		queue := []string{start}
		for i := 0; i < len(queue); i++ {
			for _, next := range g[queue[i]] {
				if remain[next] && !seen[next] && holds(queue[i], next) {
					seen[next] = true
					queue = append(queue, next)
				}
			}
		}
		best = max(best, len(queue))
	}
	return best
}

func always(string, string) bool { return true }

func keep(members []membership.Record, stays func(i int, r membership.Record) bool) (map[string]bool, []membership.Record) {
	set := map[string]bool{}
	var out []membership.Record
	for i, r := range members {
		if stays(i, r) {
			set[r.Address] = true
			out = append(out, r)
		}
	}
	return set, out
}

func TestGraphBoundsTheLinksOfBothEnds(t *testing.T) {
	for _, n := range []int{1, 2, 3, 5, 27, 200, fleetNodes} {
		for address, links := range NewTopology(fleet(1, n)) {
			if len(links) > MaxNeighbours {
				t.Errorf("%d nodes: %s has %d links", n, address, len(links))
			}
		}
	}
}

func TestGraphConnectsAnyMembers(t *testing.T) {
	for n := 1; n < 60; n++ {
		members := fleet(uint64(n), n)
		remain, _ := keep(members, func(int, membership.Record) bool { return true })
		if got := largest(NewTopology(members), remain, always); got != n {
			t.Errorf("%d nodes: the largest part has %d", n, got)
		}
	}
}

// A node keeps no link with the probability 0.3^6, so of 700 survivors at
// most a handful stand alone until they choose anew; 99% must hold together
// at once, and all of them after the choice.
func TestGraphHoldsWithAThirdOfTheNodesGone(t *testing.T) {
	for seed := range seedsOfGraphs() {
		rng := rand.New(rand.NewPCG(seed, 2))
		members := fleet(seed, fleetNodes)
		remain, left := keep(members, func(int, membership.Record) bool { return rng.Float64() >= 0.3 })
		if got := largest(NewTopology(members), remain, always); got < len(remain)*99/100 {
			t.Errorf("seed %d: %d of %d hold together at once", seed, got, len(remain))
		}
		if got := largest(NewTopology(left), remain, always); got != len(remain) {
			t.Errorf("seed %d: %d of %d hold together after the choice", seed, got, len(remain))
		}
	}
}

// Each survivor knows only of the dead among those it tried to reach. It
// chooses again without them until it finds no more; the links that both or
// one of the ends want must connect all.
func TestGraphHealsByLocalKnowledge(t *testing.T) {
	for seed := range uint64(3) {
		rng := rand.New(rand.NewPCG(seed, 3))
		members := fleet(seed, 200)
		remain, left := keep(members, func(int, membership.Record) bool { return rng.Float64() >= 0.3 })
		healed := Topology{}
		for _, self := range left {
			for _, a := range chooseAround(members, self.Address, remain) {
				healed[self.Address] = append(healed[self.Address], a)
				healed[a] = append(healed[a], self.Address)
			}
		}
		if got := largest(healed, remain, always); got != len(remain) {
			t.Errorf("seed %d: %d of %d hold together", seed, got, len(remain))
		}
	}
}

func chooseAround(members []membership.Record, self string, remain map[string]bool) []string {
	dead := map[string]bool{}
	for {
		_, view := keep(members, func(_ int, r membership.Record) bool { return !dead[r.Address] })
		links := Neighbours(view, self)
		found := false
		for _, a := range links {
			if !remain[a] {
				dead[a] = true
				found = true
			}
		}
		if !found {
			return links
		}
	}
}

func TestGraphHoldsWithADataCentreGone(t *testing.T) {
	for seed := range seedsOfGraphs() {
		members := fleet(seed, fleetNodes)
		gone := fmt.Sprint("dc-", seed%fleetCentres)
		remain, _ := keep(members, func(_ int, r membership.Record) bool { return r.DataCentre != gone })
		if got := largest(NewTopology(members), remain, always); got != len(remain) {
			t.Errorf("seed %d: %d of %d hold together", seed, got, len(remain))
		}
	}
}

func TestGraphHoldsWithARegionLinkCut(t *testing.T) {
	for seed := range seedsOfGraphs() {
		members := fleet(seed, fleetNodes)
		region := map[string]string{}
		for _, r := range members {
			region[r.Address] = r.Region
		}
		remain, _ := keep(members, func(int, membership.Record) bool { return true })
		holds := func(a, b string) bool {
			return region[a] == region[b] || region[a] == "region-2" || region[b] == "region-2"
		}
		if got := largest(NewTopology(members), remain, holds); got != len(remain) {
			t.Errorf("seed %d: %d of %d hold together", seed, got, len(remain))
		}
	}
}

func TestGraphChangesFewLinksWithOneMember(t *testing.T) {
	members := fleet(1, fleetNodes)
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
	// Closing three rings around one node makes three new links, seen from
	// both ends; the rack ring may shift within its window.
	if limit := 2 * (2 + 2*rackWindow); changed > limit {
		t.Errorf("%d ends of links changed, want at most %d", changed, limit)
	}
}

func TestNeighboursAreThoseOfTheGraph(t *testing.T) {
	for _, n := range []int{1, 2, 3, 10, 40, 300} {
		members := fleet(uint64(n), n)
		members[0].State = membership.Leaving
		graph := NewTopology(members)
		for _, r := range members {
			got, want := Neighbours(members, r.Address), slices.Clone(graph[r.Address])
			slices.Sort(got)
			slices.Sort(want)
			if !slices.Equal(got, want) {
				t.Errorf("%d nodes: %s has %v, want %v", n, r.Address, got, want)
			}
		}
	}
}

// BenchmarkNeighbours computes one node's links in the target's fleet.
func BenchmarkNeighbours(b *testing.B) {
	members := fleet(1, fleetNodes)
	for b.Loop() {
		Neighbours(members, members[7].Address)
	}
}

// BenchmarkGraph computes the whole graph of the target's fleet.
func BenchmarkGraph(b *testing.B) {
	members := fleet(1, fleetNodes)
	for b.Loop() {
		NewTopology(members)
	}
}
