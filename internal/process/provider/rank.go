package provider

import (
	"github.com/cespare/xxhash/v2"

	"github.com/daisytide/daisytide/internal/process/member"
)

// Watchers is the number of nodes of a data centre that watch the store.
const Watchers = 2

// rankSalt makes the order of watchers differ from those of the links.
const rankSalt = "watcher/"

// Rank returns a node's place, from 0, among the live members of its data
// centre by rendezvous hashing. Two nodes whose views differ may take the
// same place: a watch too many costs a call and nothing more.
func Rank(members []member.Record, self member.Record) int {
	own := xxhash.Sum64String(rankSalt + self.Address)
	rank := 0
	for _, r := range members {
		if r.State != member.Alive || r.DataCentre != self.DataCentre || r.Address == self.Address {
			continue
		}
		if xxhash.Sum64String(rankSalt+r.Address) < own {
			rank++
		}
	}
	return rank
}
