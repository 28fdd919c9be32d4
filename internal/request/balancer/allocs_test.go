//go:build !race

// The race detector makes sync.Pool drop items at random, so allocations are
// counted without it.

package balancer

import (
	"math/rand/v2"
	"testing"
)

func TestPickTwoChoicesDoesNotAllocate(t *testing.T) {
	members, p := newMembers()
	index := members.Index()
	rng := rand.New(rand.NewPCG(1, 1))
	if n := testing.AllocsPerRun(1000, func() {
		picked, _ := p.PickTwoChoices(index, upstreamKey, nil, epoch, rng)
		picked.Done(epoch, Success, load(1), true)
	}); n > 0 {
		t.Errorf("%v allocations", n)
	}
}
