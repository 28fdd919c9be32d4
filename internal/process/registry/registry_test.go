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

func start(t *testing.T, r *Registry) (stop func()) {
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

func entries(t *testing.T, s *store.Store) int {
	t.Helper()
	all, _, err := s.List(context.Background(), kvstore.PrefixNodes, false)
	if err != nil {
		t.Fatal(err)
	}
	return len(all)
}

func await(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("waited in vain for " + what)
		}
	}
}

func TestNodesFindEachOtherByTheirEntries(t *testing.T) {
	s := store.New(1)
	a, b := newRegistry(s, "10.0.0.1:1"), newRegistry(s, "10.0.0.2:1")
	start(t, a)
	start(t, b)
	await(t, "the other", func() bool { return len(a.Peers()) == 1 && len(b.Peers()) == 1 })
	if _, ok := a.Members.Get("10.0.0.2:1"); !ok {
		t.Error("the other is no member")
	}
}

func TestLapsedEntryIsBackAfterTheStoresReturn(t *testing.T) {
	s := store.New(1)
	start(t, newRegistry(s, "10.0.0.1:1"))
	await(t, "the entry", func() bool { return entries(t, s) == 1 })
	s.ExpireLeases()
	if entries(t, s) != 0 {
		t.Fatal("it did not lapse")
	}
	await(t, "its return", func() bool { return entries(t, s) == 1 })
}

func TestEntryOfAnEarlierStartIsReplacedAndTakenBackAtTheStop(t *testing.T) {
	s := store.New(1)
	ctx := context.Background()
	if _, err := s.CompareAndSwap(ctx, kvstore.PrefixNodes+"10.0.0.1:1", 0, []byte("old"), ""); err != nil {
		t.Fatal(err)
	}
	stop := start(t, newRegistry(s, "10.0.0.1:1"))
	await(t, "the entry", func() bool {
		e, err := s.Get(ctx, kvstore.PrefixNodes+"10.0.0.1:1")
		return err == nil && e.Lease != ""
	})
	stop()
	if entries(t, s) != 0 {
		t.Error("it stands after the stop")
	}
}

// tally counts the calls of each kind that a node makes.
type tally struct {
	*store.Store
	mu    sync.Mutex
	calls map[string]int
}

func (s *tally) count(op string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calls == nil {
		s.calls = map[string]int{}
	}
	s.calls[op]++
}

func (s *tally) List(ctx context.Context, prefix string, stale bool) ([]kvstore.Entry, uint64, error) {
	s.count(map[bool]string{false: "list", true: "stale list"}[stale])
	return s.Store.List(ctx, prefix, stale)
}

func (s *tally) Grant(ctx context.Context, ttl time.Duration) (kvstore.Lease, error) {
	s.count("grant")
	return s.Store.Grant(ctx, ttl)
}

func (s *tally) CompareAndSwap(ctx context.Context, key string, revision uint64, value []byte, lease string) (kvstore.Entry, error) {
	s.count("write")
	return s.Store.CompareAndSwap(ctx, key, revision, value, lease)
}

func (s *tally) Get(ctx context.Context, key string) (kvstore.Entry, error) {
	s.count("get")
	return s.Store.Get(ctx, key)
}

// A node that is started again, after a crash or a planned stop, goes on with
// the entry of its last start: no write and no full read.
func TestNodeThatStartsAgainKeepsItsEntry(t *testing.T) {
	for _, planned := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			s := &tally{Store: store.New(1)}
			first := newRegistry(s, "10.0.0.1:1")
			first.TTL, first.Restarting = 10*time.Second, func() bool { return true }
			if planned {
				stop := start(t, first)
				time.Sleep(time.Second)
				stop()
			} else {
				lease, err := first.register(context.Background())
				if err != nil || lease.ID == "" {
					t.Fatal(err)
				}
			}
			s.calls = nil
			again := newRegistry(s, "10.0.0.1:1")
			again.TTL = 10 * time.Second
			again.LinkCount = func() int { return 1 }
			start(t, again)
			time.Sleep(12 * time.Second)
			if n := entries(t, s.Store); n != 1 {
				t.Errorf("planned %v: %d entries 12 s after the start", planned, n)
			}
			if s.calls["write"]+s.calls["grant"]+s.calls["get"]+s.calls["list"] > 0 {
				t.Errorf("planned %v: calls %v", planned, s.calls)
			}
		})
	}
}

// The entry of the last start lapses before it can be kept, or says something
// else than the node does now: then it is written anew.
func TestEntryThatCannotBeKeptIsWrittenAnew(t *testing.T) {
	for _, tc := range []struct {
		name   string
		before func(t *testing.T, s *store.Store, r *Registry)
	}{
		{"lapsed", func(t *testing.T, s *store.Store, r *Registry) { s.ExpireLeases() }},
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
				again := newRegistry(s, "10.0.0.1:1")
				tc.before(t, s, again)
				start(t, again)
				time.Sleep(5 * time.Second)
				e, err := s.Get(context.Background(), kvstore.PrefixNodes+"10.0.0.1:1")
				var got membership.Record
				if err != nil || e.Lease == "" || wire.Unmarshal(e.Value, &got) != nil || got.Gate != again.Self().Gate {
					t.Errorf("%+v, %v: %+v", e, err, got)
				}
			})
		})
	}
}

func TestForeignEntriesNameNobody(t *testing.T) {
	s := store.New(1)
	ctx := context.Background()
	if _, err := s.CompareAndSwap(ctx, kvstore.PrefixNodes+"x", 0, []byte{0xff, 0x00}, ""); err != nil {
		t.Fatal(err)
	}
	r := newRegistry(s, "10.0.0.1:1")
	r.list(ctx, false)
	if len(r.Peers()) != 0 || len(r.Members.All()) != 0 {
		t.Errorf("%v, %v", r.Peers(), r.Members.All())
	}
}

func TestSeedHostsArePeersAtOurOwnPort(t *testing.T) {
	r := newRegistry(store.New(1), "10.0.0.1:77")
	r.AddSeedHosts([]string{"10.0.0.2:5", "10.0.0.1:5", "what"})
	if p := r.Peers(); len(p) != 1 || p[0] != "10.0.0.2:77" {
		t.Errorf("%v", p)
	}
}

// listing counts the readings of all entries.
type listing struct {
	kvstore.Store
	lists atomic.Int64
}

func (s *listing) List(ctx context.Context, prefix string, stale bool) ([]kvstore.Entry, uint64, error) {
	s.lists.Add(1)
	return s.Store.List(ctx, prefix, stale)
}

func TestNodeThatStartsLaterReadsTheEntriesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(1)
		start(t, newRegistry(s, "10.0.0.1:1"))
		time.Sleep(5 * time.Second)
		late := newRegistry(s, "10.0.0.2:1")
		var found atomic.Int64
		late.OnList = func() { found.Add(1) }
		start(t, late)
		time.Sleep(100 * time.Millisecond)
		if len(late.Peers()) != 1 || found.Load() != 1 {
			t.Errorf("peers %v, told %d times", late.Peers(), found.Load())
		}
	})
}

// At the first start of a fleet most nodes are linked before their reading is
// due; each reading would cost a call for what the links bring anyway.
func TestLinkedNodeOfAFirstStartReadsNothing(t *testing.T) {
	for links, reads := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			s := &listing{Store: store.New(1)}
			r := newRegistry(s, "10.0.0.1:1")
			r.FirstStart, r.LinkCount = true, func() int { return links }
			start(t, r)
			time.Sleep(listFirst + listSpan + time.Millisecond)
			synctest.Wait()
			// A node without links reads again from time to time.
			if got := s.lists.Load(); (got > 0) != reads {
				t.Errorf("%d links: %d readings", links, got)
			}
		})
	}
}
