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

	"github.com/daisytide/daisytide/internal/conn/platform"
	"github.com/daisytide/daisytide/internal/pause"
	"github.com/daisytide/daisytide/internal/process/membership"
)

// Times and sizes of the seeds key.
const (
	// seedsEvery is the mean time between two looks of a keeper at the key.
	seedsInterval = time.Minute
	// seedsPerCentre is the number of addresses kept of each data centre.
	seedsPerDataCentre = 3
	// seedsWait is how long a node that starts looks for peers by its
	// settings before it reads the key.
	seedsDelay = 2 * time.Second
	// seedsTimeout bounds one exchange with the store.
	seedsTimeout = 5 * time.Second
)

// Seeds keeps the store's list of live peers for nodes that start, and reads
// it when this one finds no peer.
type Seeds struct {
	Store   platform.Store
	Members *membership.Table
	Self    func() membership.Record
	// LinkCount returns the number of links that stand.
	LinkCount func() int
	// Configured are the addresses that the node was told.
	Configured []string

	mu     sync.Mutex
	stored []string
}

// Addresses returns the addresses to start from.
func (s *Seeds) Addresses() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append(slices.Clone(s.Configured), s.stored...)
}

// Run reads the key while the node has no link, and keeps it while the node
// is the first of its data centre, until ctx ends.
func (s *Seeds) Run(ctx context.Context) error {
	pause.For(ctx, seedsDelay)
	for ctx.Err() == nil {
		switch {
		case s.LinkCount() == 0:
			s.load(ctx)
			pause.For(ctx, seedsDelay+rand.N(seedsDelay))
			continue
		case WatcherRank(s.Members.Index().Members, s.Self()) == 0:
			s.update(ctx)
		}
		pause.For(ctx, seedsInterval/2+rand.N(seedsInterval))
	}
	return nil
}

func (s *Seeds) load(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, seedsTimeout)
	defer cancel()
	e, err := s.Store.Get(ctx, platform.KeySeeds)
	if err != nil {
		klog.V(1).Infof(logPrefix+"read the seeds: %v", err)
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

// keep writes the key when it does not name the peers that it should. One
// that races with another keeper loses, which is as good: both hold the same
// members, and the next look repairs the rest.
func (s *Seeds) update(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, seedsTimeout)
	defer cancel()
	e, err := s.Store.Get(ctx, platform.KeySeeds)
	if err != nil {
		klog.V(1).Infof(logPrefix+"read the seeds: %v", err)
		return
	}
	value, err := json.Marshal(SelectSeeds(s.Members.Index().Members))
	if err != nil || bytes.Equal(value, e.Value) {
		return
	}
	if _, err := s.Store.CompareAndSwap(ctx, platform.KeySeeds, e.Revision, value, ""); err != nil {
		klog.V(1).Infof(logPrefix+"write the seeds: %v", err)
	}
}

// SelectSeeds picks the first live members of each data centre, in address order.
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
