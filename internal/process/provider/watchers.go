package provider

import (
	"github.com/cespare/xxhash/v2"

	"github.com/daisytide/daisytide/internal/process/membership"
)

// WatchersPerDataCentre is the number of nodes per data centre that watch the store.
const WatchersPerDataCentre = 2

// watcherSalt makes the order of the watchers independent of other rendezvous
// hashes, such as that of the links.
const watcherSalt = "watcher/"

// WatcherRank returns a node's rank, from 0, among the live members of its data
// centre by rendezvous hashing. Nodes with different views of the members may get
// the same rank; the only cost is an additional watch.
func WatcherRank(members []membership.Record, self membership.Record) int {
	own := xxhash.Sum64String(watcherSalt + self.Address)
	rank := 0
	for _, r := range members {
		if r.State != membership.Alive || r.DataCentre != self.DataCentre || r.Address == self.Address {
			continue
		}
		if xxhash.Sum64String(watcherSalt+r.Address) < own {
			rank++
		}
	}
	return rank
}
