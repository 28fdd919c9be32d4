// Package pick chooses the node whose upstream gets a call.
package pick

import (
	"math/rand/v2"

	"github.com/daisytide/daisytide/internal/process/member"
)

// Picker chooses among the nodes of one version of a service.
type Picker struct {
	// DataCentre is preferred.
	DataCentre string
}

// Pick returns one of nodes that is not in tried; false where none is left.
func (p *Picker) Pick(nodes []member.Record, tried []string, rng *rand.Rand) (member.Record, bool) {
	var open []member.Record
	for _, n := range nodes {
		if !contains(tried, n.Address) {
			open = append(open, n)
		}
	}
	if len(open) == 0 {
		return member.Record{}, false
	}
	return open[rng.IntN(len(open))], true
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}
