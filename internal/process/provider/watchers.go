package provider

import (
	"github.com/cespare/xxhash/v2"

	"github.com/daisytide/daisytide/internal/process/membership"
)

// WatchersPerDataCentre is the number of nodes of a data centre that watch the store.
const WatchersPerDataCentre = 2

// rankSalt makes the order of watchers differ from those of the links.
const watcherSalt = "watcher/"

// WatcherRank returns a node's place, from 0, among the live members of its data
// centre by rendezvous hashing. Two nodes whose views differ may take the
// same place: a watch too many costs a call and nothing more.
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
