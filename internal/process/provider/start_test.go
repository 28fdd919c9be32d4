package provider_test

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisytide/daisytide/internal/conn/kvstore"
	"github.com/daisytide/daisytide/internal/process/membership"
	"github.com/daisytide/daisytide/internal/process/provider"
	"github.com/daisytide/daisytide/internal/standin/quiet"
	"github.com/daisytide/daisytide/internal/standin/store"
	"github.com/daisytide/daisytide/internal/version/document"
	"github.com/daisytide/daisytide/internal/version/snapshot"
)

func TestMain(m *testing.M) {
	quiet.DiscardLogs()
	os.Exit(m.Run())
}

func buildSnapshot(t *testing.T, number uint64) *snapshot.Snapshot {
	t.Helper()
	a := document.AcceptedConfig{Number: number, Session: fmt.Sprint("s", number), Document: documentText(0, int(number))}
	envelope, err := a.Encode()
	if err != nil {
		t.Fatal(err)
	}
	s, err := snapshot.Build(envelope)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// withProvider runs a provider on a store with faults during a test function.
func withProvider(t *testing.T, f store.Faults, settled *atomic.Bool, test func(p *provider.Provider, s *store.Store)) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(1)
		s.SetFaults(f)
		p := &provider.Provider{
			Store:  kvstore.NewRateLimitedStore(s, storeCallsPerSecond),
			Holder: &snapshot.Holder{},
			Synced: settled.Load,
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error)
		go func() { done <- p.Run(ctx) }()
		test(p, s)
		cancel()
		<-done
	})
}

func TestStartWaitsUntilPeersHaveSettled(t *testing.T) {
	var settled atomic.Bool
	withProvider(t, store.Faults{Down: true}, &settled, func(p *provider.Provider, _ *store.Store) {
		p.Offer(buildSnapshot(t, 5))
		time.Sleep(time.Hour)
		if n := p.Holder.Current().Number(); n != 0 || p.HighestNumber() != 5 {
			t.Errorf("%d in force and %d held before the peers settled, want 0 and 5", n, p.HighestNumber())
		}
		p.Offer(buildSnapshot(t, 7))
		p.Offer(buildSnapshot(t, 6))
		settled.Store(true)
		time.Sleep(time.Minute)
		if n := p.Holder.Current().Number(); n != 7 || p.Source() != provider.SourcePeers {
			t.Errorf("%d in force from the %s, want 7 from the peers", n, p.Source())
		}
	})
}

func TestStartPrefersStoreOverSettledPeers(t *testing.T) {
	var settled atomic.Bool
	settled.Store(true)
	withProvider(t, store.Faults{Delay: time.Second}, &settled, func(p *provider.Provider, s *store.Store) {
		envelope := buildSnapshot(t, 9).Envelope
		if _, err := s.CompareAndSwap(context.Background(), kvstore.KeyConfig, 0, envelope, ""); err != nil {
			t.Fatal(err)
		}
		p.Offer(buildSnapshot(t, 8))
		time.Sleep(10 * time.Second)
		if n := p.Holder.Current().Number(); n != 9 || p.Source() != provider.SourceStore {
			t.Errorf("%d in force from the %s, want 9 from the store", n, p.Source())
		}
	})
}

func TestStartWithEmptyStoreUsesPeersConfiguration(t *testing.T) {
	var settled atomic.Bool
	withProvider(t, store.Faults{}, &settled, func(p *provider.Provider, _ *store.Store) {
		p.Offer(buildSnapshot(t, 3))
		time.Sleep(time.Second)
		if n := p.Holder.Current().Number(); n != 3 {
			t.Errorf("%d in force, want 3", n)
		}
	})
}

func TestSeedListHoldsLiveNodesOfEachDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(1)
		members := membership.NewTable()
		for i := range 12 {
			r := membership.Record{Address: fmt.Sprintf("10.0.0.%02d:1", i), DataCentre: fmt.Sprint("dc-", i%3), Incarnation: 1, State: membership.Alive}
			if i < 3 {
				r.State = membership.Gone
			}
			members.Merge(r)
		}
		var first membership.Record
		for _, r := range members.Index().Members {
			if provider.WatcherRank(members.Index().Members, r) == 0 {
				first = r
			}
		}
		seeds := &provider.Seeds{Store: s, Members: members, Self: func() membership.Record { return first }, LinkCount: func() int { return 1 }}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error)
		go func() { done <- seeds.Run(ctx) }()
		time.Sleep(10 * time.Minute)
		cancel()
		<-done
		e, err := s.Get(context.Background(), kvstore.KeySeeds)
		var list []string
		if err != nil || json.Unmarshal(e.Value, &list) != nil || len(list) != 9 {
			t.Fatalf("stored seed list %q, %v, want 9 addresses", e.Value, err)
		}
		for _, a := range list {
			if r, _ := members.Get(a); r.State != membership.Alive {
				t.Errorf("seed %s is %s, want alive", a, r.State)
			}
		}
		if writes := s.Counts().Writes; writes != 1 {
			t.Errorf("%d writes of an unchanged seed list, want 1", writes)
		}
	})
}
