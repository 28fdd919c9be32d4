package registry

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisytide/daisytide/internal/conn/kvstore"
	"github.com/daisytide/daisytide/internal/conn/wire"
	"github.com/daisytide/daisytide/internal/process/membership"
	"github.com/daisytide/daisytide/internal/standin/store"
)

func newRegistry(s kvstore.Store, address string) *Registry {
	return &Registry{
		Store: s, Members: membership.NewTable(), LinkCount: func() int { return 0 }, TTL: time.Second,
		Self: func() membership.Record {
			return membership.Record{Address: address, DataCentre: "a", Incarnation: 1, State: membership.Alive}
		},
	}
}

func startRegistry(t *testing.T, r *Registry) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		_ = r.Run(ctx)
		close(done)
	}()
	stop = func() {
		cancel()
		<-done
	}
	t.Cleanup(stop)
	return stop
}

func countEntries(t *testing.T, s *store.Store) int {
	t.Helper()
	all, _, err := s.List(context.Background(), kvstore.PrefixNodes, false)
	if err != nil {
		t.Fatal(err)
	}
	return len(all)
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting for " + what)
		}
	}
}

func TestNodesDiscoverEachOtherThroughEntries(t *testing.T) {
	s := store.New(1)
	a, b := newRegistry(s, "10.0.0.1:1"), newRegistry(s, "10.0.0.2:1")
	startRegistry(t, a)
	startRegistry(t, b)
	waitFor(t, "the other node's entry", func() bool { return len(a.Peers()) == 1 && len(b.Peers()) == 1 })
	if _, ok := a.Members.Get("10.0.0.2:1"); !ok {
		t.Error("the other node is not a member")
	}
}

func TestLapsedEntryIsWrittenAgain(t *testing.T) {
	s := store.New(1)
	startRegistry(t, newRegistry(s, "10.0.0.1:1"))
	waitFor(t, "the entry", func() bool { return countEntries(t, s) == 1 })
	s.LapseLeases()
	if countEntries(t, s) != 0 {
		t.Fatal("the entry did not lapse")
	}
	waitFor(t, "the rewritten entry", func() bool { return countEntries(t, s) == 1 })
}

func TestEntryOfAnEarlierStartIsReplacedAndRemovedAtStop(t *testing.T) {
	s := store.New(1)
	ctx := context.Background()
	if _, err := s.CompareAndSwap(ctx, kvstore.PrefixNodes+"10.0.0.1:1", 0, []byte("old"), ""); err != nil {
		t.Fatal(err)
	}
	stop := startRegistry(t, newRegistry(s, "10.0.0.1:1"))
	waitFor(t, "the entry", func() bool {
		e, err := s.Get(ctx, kvstore.PrefixNodes+"10.0.0.1:1")
		return err == nil && e.Lease != ""
	})
	stop()
	if countEntries(t, s) != 0 {
		t.Error("the entry exists after the stop")
	}
}

// countingStore counts the calls by kind.
type countingStore struct {
	*store.Store
	mu    sync.Mutex
	calls map[string]int
}

func (s *countingStore) count(op string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calls == nil {
		s.calls = map[string]int{}
	}
	s.calls[op]++
}

func (s *countingStore) List(ctx context.Context, prefix string, stale bool) ([]kvstore.Entry, uint64, error) {
	s.count(map[bool]string{false: "list", true: "stale list"}[stale])
	return s.Store.List(ctx, prefix, stale)
}

func (s *countingStore) Grant(ctx context.Context, ttl time.Duration) (kvstore.Lease, error) {
	s.count("grant")
	return s.Store.Grant(ctx, ttl)
}

func (s *countingStore) CompareAndSwap(ctx context.Context, key string, revision uint64, value []byte, lease string) (kvstore.Entry, error) {
	s.count("write")
	return s.Store.CompareAndSwap(ctx, key, revision, value, lease)
}

func (s *countingStore) Get(ctx context.Context, key string) (kvstore.Entry, error) {
	s.count("get")
	return s.Store.Get(ctx, key)
}

// A node that restarts after a crash or a planned stop reuses its previous
// entry, without a write or a fresh list.
func TestRestartedNodeReusesItsEntry(t *testing.T) {
	for _, planned := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			s := &countingStore{Store: store.New(1)}
			first := newRegistry(s, "10.0.0.1:1")
			first.TTL, first.Restarting = 10*time.Second, func() bool { return true }
			if planned {
				stop := startRegistry(t, first)
				time.Sleep(time.Second)
				stop()
			} else {
				lease, err := first.register(context.Background())
				if err != nil || lease.ID == "" {
					t.Fatal(err)
				}
			}
			s.calls = nil
			restarted := newRegistry(s, "10.0.0.1:1")
			restarted.TTL = 10 * time.Second
			restarted.LinkCount = func() int { return 1 }
			startRegistry(t, restarted)
			time.Sleep(12 * time.Second)
			if n := countEntries(t, s.Store); n != 1 {
				t.Errorf("planned %v: %d entries 12 s after the start", planned, n)
			}
			if s.calls["write"]+s.calls["grant"]+s.calls["get"]+s.calls["list"] > 0 {
				t.Errorf("planned %v: calls %v", planned, s.calls)
			}
		})
	}
}

// If the previous entry has lapsed or its content differs from the node's
// current record, it is written again.
func TestEntryThatCannotBeReusedIsWrittenAgain(t *testing.T) {
	for _, tc := range []struct {
		name   string
		before func(t *testing.T, s *store.Store, r *Registry)
	}{
		{"lapsed", func(t *testing.T, s *store.Store, r *Registry) { s.LapseLeases() }},
		{"another gate", func(t *testing.T, s *store.Store, r *Registry) {
			r.Self = func() membership.Record {
				return membership.Record{Address: "10.0.0.1:1", DataCentre: "a", Gate: "10.0.0.1:9", Incarnation: 2, State: membership.Alive}
			}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := store.New(1)
				if _, err := newRegistry(s, "10.0.0.1:1").register(context.Background()); err != nil {
					t.Fatal(err)
				}
				restarted := newRegistry(s, "10.0.0.1:1")
				tc.before(t, s, restarted)
				startRegistry(t, restarted)
				time.Sleep(5 * time.Second)
				e, err := s.Get(context.Background(), kvstore.PrefixNodes+"10.0.0.1:1")
				var got membership.Record
				if err != nil || e.Lease == "" || wire.Unmarshal(e.Value, &got) != nil || got.Gate != restarted.Self().Gate {
					t.Errorf("%+v, %v: %+v", e, err, got)
				}
			})
		})
	}
}

func TestForeignEntriesAreIgnored(t *testing.T) {
	s := store.New(1)
	ctx := context.Background()
	if _, err := s.CompareAndSwap(ctx, kvstore.PrefixNodes+"x", 0, []byte{0xff, 0x00}, ""); err != nil {
		t.Fatal(err)
	}
	r := newRegistry(s, "10.0.0.1:1")
	r.listEntries(ctx, false)
	if len(r.Peers()) != 0 || len(r.Members.All()) != 0 {
		t.Errorf("%v, %v", r.Peers(), r.Members.All())
	}
}

func TestSeedHostsBecomePeersAtOwnPort(t *testing.T) {
	r := newRegistry(store.New(1), "10.0.0.1:77")
	r.AddSeedHosts([]string{"10.0.0.2:5", "10.0.0.1:5", "what"})
	if p := r.Peers(); len(p) != 1 || p[0] != "10.0.0.2:77" {
		t.Errorf("%v", p)
	}
}

// listCounter counts the lists of all entries.
type listCounter struct {
	kvstore.Store
	lists atomic.Int64
}

func (s *listCounter) List(ctx context.Context, prefix string, stale bool) ([]kvstore.Entry, uint64, error) {
	s.lists.Add(1)
	return s.Store.List(ctx, prefix, stale)
}

func TestLateNodeListsEntriesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(1)
		startRegistry(t, newRegistry(s, "10.0.0.1:1"))
		time.Sleep(5 * time.Second)
		late := newRegistry(s, "10.0.0.2:1")
		var lists atomic.Int64
		late.OnList = func() { lists.Add(1) }
		startRegistry(t, late)
		time.Sleep(100 * time.Millisecond)
		if len(late.Peers()) != 1 || lists.Load() != 1 {
			t.Errorf("peers %v, OnList called %d times", late.Peers(), lists.Load())
		}
	})
}

// At the first start of a fleet most nodes are linked before their list is due.
// A linked node must skip it, since gossip delivers the same records.
func TestLinkedNodeSkipsListAtFirstStart(t *testing.T) {
	for links, wantList := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			s := &listCounter{Store: store.New(1)}
			r := newRegistry(s, "10.0.0.1:1")
			r.FirstStart, r.LinkCount = true, func() int { return links }
			startRegistry(t, r)
			time.Sleep(firstListDelay + firstListJitter + time.Millisecond)
			synctest.Wait()
			// A node without links lists repeatedly.
			if got := s.lists.Load(); (got > 0) != wantList {
				t.Errorf("%d links: %d lists", links, got)
			}
		})
	}
}
