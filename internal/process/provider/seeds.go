package provider

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/daisytide/daisytide/internal/conn/kvstore"
	"github.com/daisytide/daisytide/internal/ctxtime"
	"github.com/daisytide/daisytide/internal/process/membership"
)

// Timing and size of the stored seed list.
const (
	// seedsInterval is the mean time between two checks of the list by the node
	// that maintains it.
	seedsInterval = time.Minute
	// seedsPerDataCentre is the number of addresses kept per data centre.
	seedsPerDataCentre = 3
	// seedsDelay is how long a starting node tries the configured peers before it
	// reads the list.
	seedsDelay = 2 * time.Second
	// seedsTimeout bounds one check with its read and write.
	seedsTimeout = 5 * time.Second
)

// Seeds maintains the store's list of live peers for starting nodes, and reads it
// if this node has no peer.
type Seeds struct {
	Store   kvstore.Store
	Members *membership.Table
	Self    func() membership.Record
	// LinkCount returns the number of established peer links.
	LinkCount func() int
	// Configured holds the seed addresses from the settings.
	Configured []string

	mu     sync.Mutex
	stored []string
}

// Addresses returns the configured and the stored seed addresses.
func (s *Seeds) Addresses() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append(slices.Clone(s.Configured), s.stored...)
}

// Run reads the list while the node has no link, and maintains it while the node
// ranks first in its data centre, until ctx ends.
func (s *Seeds) Run(ctx context.Context) error {
	ctxtime.Sleep(ctx, seedsDelay)
	for ctx.Err() == nil {
		switch {
		case s.LinkCount() == 0:
			s.load(ctx)
			ctxtime.Sleep(ctx, seedsDelay+rand.N(seedsDelay))
			continue
		case WatcherRank(s.Members.Index().Members, s.Self()) == 0:
			s.update(ctx)
		}
		ctxtime.Sleep(ctx, seedsInterval/2+rand.N(seedsInterval))
	}
	return nil
}

func (s *Seeds) load(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, seedsTimeout)
	defer cancel()
	e, err := s.Store.Get(ctx, kvstore.KeySeeds)
	if err != nil {
		klog.V(1).Infof(logPrefix+"read the seed list: %v", err)
		return
	}
	var list []string
	if e.Revision == 0 || json.Unmarshal(e.Value, &list) != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stored = list
}

// update writes the list if it differs from the current seeds. Losing a write race
// to another node is harmless: both have nearly the same members, and the next
// check corrects any difference.
func (s *Seeds) update(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, seedsTimeout)
	defer cancel()
	e, err := s.Store.Get(ctx, kvstore.KeySeeds)
	if err != nil {
		klog.V(1).Infof(logPrefix+"read the seed list: %v", err)
		return
	}
	value, err := json.Marshal(SelectSeeds(s.Members.Index().Members))
	if err != nil || bytes.Equal(value, e.Value) {
		return
	}
	if _, err := s.Store.CompareAndSwap(ctx, kvstore.KeySeeds, e.Revision, value, ""); err != nil {
		klog.V(1).Infof(logPrefix+"write the seed list: %v", err)
	}
}

// SelectSeeds picks the first live members of each data centre in address order.
func SelectSeeds(members []membership.Record) []string {
	var out []string
	perDataCentre := map[string]int{}
	for _, r := range members {
		if r.State == membership.Alive && perDataCentre[r.DataCentre] < seedsPerDataCentre {
			perDataCentre[r.DataCentre]++
			out = append(out, r.Address)
		}
	}
	return out
}
