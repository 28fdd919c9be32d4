package provider

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisytide/daisytide/internal/conn/kvstore"
	"github.com/daisytide/daisytide/internal/process/evacuation"
	"github.com/daisytide/daisytide/internal/standin/store"
	"github.com/daisytide/daisytide/internal/version/snapshot"
	"github.com/daisytide/daisytide/internal/version/traffic"
)

const (
	opPrefix = "op/"
	opConfig = "op/config"
	opOrders = "op/orders/"
)

// decodeNumber decodes a configuration whose value is its number.
func decodeNumber(value []byte) (uint64, traffic.Config, error) {
	n, err := strconv.ParseUint(string(value), 10, 64)
	return n, traffic.Config{}, err
}

type followerHarness struct {
	*Follower
	orders atomic.Int64
}

// viewOf returns the view of a node that watches the store, or leaves it to another one.
func viewOf(links int, watches bool) func() WatchView {
	v := WatchView{Links: links, Watchers: 1}
	if !watches {
		v.Before, v.Served = 1, 1
	}
	return func() WatchView { return v }
}

func newFollower(s kvstore.Store) *followerHarness {
	r := &followerHarness{}
	r.Follower = &Follower{
		Store: s, Holder: &snapshot.Holder{},
		Keys:    traffic.OperatorKeys{Prefix: opPrefix, Config: opConfig, Orders: opOrders, Decode: decodeNumber},
		OnOrder: func(kvstore.Entry, bool) error { r.orders.Add(1); return nil },
		View:    viewOf(0, true), WatcherCount: func() int { return 1 },
	}
	r.Start()
	return r
}

func putValue(t *testing.T, s *store.Store, key, value string) {
	t.Helper()
	e, err := s.Get(context.Background(), key)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.CompareAndSwap(context.Background(), key, e.Revision, []byte(value), ""); err != nil {
		t.Fatal(err)
	}
}

func (r *followerHarness) waitFor(t *testing.T, event string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s; configuration %d in force", event, r.HighestNumber())
		}
	}
}

func startFollower(t *testing.T, r *followerHarness) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = r.Run(ctx) }()
}

func TestFollowerAppliesChangesButNeverAnOlderNumber(t *testing.T) {
	s := store.New(1)
	r := newFollower(s)
	startFollower(t, r)
	putValue(t, s, opConfig, "7")
	r.waitFor(t, "the first configuration", func() bool { return r.HighestNumber() == 7 })
	putValue(t, s, opConfig, "12")
	r.waitFor(t, "the changed configuration", func() bool { return r.HighestNumber() == 12 })
	putValue(t, s, opConfig, "9")
	putValue(t, s, opOrders+"s", "order")
	r.waitFor(t, "the order", func() bool { return r.orders.Load() == 1 })
	if r.HighestNumber() != 12 {
		t.Errorf("configuration %d in force, want 12", r.HighestNumber())
	}
}

func TestInvalidConfigurationKeepsCurrentOne(t *testing.T) {
	s := store.New(1)
	r := newFollower(s)
	startFollower(t, r)
	putValue(t, s, opConfig, "7")
	r.waitFor(t, "the first configuration", func() bool { return r.HighestNumber() == 7 })
	putValue(t, s, opConfig, "not a number")
	putValue(t, s, opOrders+"s", "order")
	r.waitFor(t, "the order", func() bool { return r.orders.Load() == 1 })
	if r.HighestNumber() != 7 {
		t.Errorf("configuration %d in force, want 7", r.HighestNumber())
	}
	putValue(t, s, opConfig, "8")
	r.waitFor(t, "the next configuration", func() bool { return r.HighestNumber() == 8 })
}

// lossyWatchStore is a store whose watches miss all changes while drop is set, as
// can happen before the store drops its history.
type lossyWatchStore struct {
	*store.Store
	drop atomic.Bool
}

func (d *lossyWatchStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]kvstore.Entry, uint64, error) {
	if !d.drop.Load() {
		return d.Store.Watch(ctx, prefix, after, wait)
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	<-ctx.Done()
	return nil, 0, &kvstore.Error{Op: "watch", Key: prefix, Outcome: kvstore.OutcomeUnknown, Err: ctx.Err()}
}

func TestChangeDroppedFromHistoryIsFound(t *testing.T) {
	s := &lossyWatchStore{Store: store.New(1)}
	putValue(t, s.Store, opConfig, "7")
	s.drop.Store(true)
	r := newFollower(s)
	startFollower(t, r)
	r.waitFor(t, "the first configuration", func() bool { return r.HighestNumber() == 7 })
	putValue(t, s.Store, opConfig, "8")
	s.CompactHistory()
	s.drop.Store(false)
	r.waitFor(t, "the changed configuration", func() bool { return r.HighestNumber() == 8 })
}

func TestStoreOutageOnlyDelaysChange(t *testing.T) {
	s := store.New(1)
	r := newFollower(s)
	putValue(t, s, opConfig, "7")
	startFollower(t, r)
	r.waitFor(t, "the first configuration", func() bool { return r.HighestNumber() == 7 })
	s.SetFaults(store.Faults{Down: true})
	s.SetFaults(store.Faults{})
	putValue(t, s, opConfig, "8")
	r.waitFor(t, "the changed configuration", func() bool { return r.HighestNumber() == 8 })
}

func TestNodeWithoutPeersUsesShorterWatches(t *testing.T) {
	r := newFollower(store.New(1))
	if r.watchDuration(false) > watchWithoutLinks {
		t.Error("a node without links watches longer than watchWithoutLinks")
	}
	r.View = viewOf(3, true)
	r.WatcherCount = func() int { return 1000 }
	for range 100 {
		if w := r.watchDuration(false); w < maxWatch/2 {
			t.Fatalf("a node in a fleet with 1,000 watchers starts a watch every %v", w)
		}
	}
}

func TestNonWatcherListsOnceAndWatchesAfterLosingItsLinks(t *testing.T) {
	s := store.New(1)
	putValue(t, s, opConfig, "7")
	r := newFollower(s)
	var links atomic.Int64
	links.Store(3)
	r.View = func() WatchView { return viewOf(int(links.Load()), false)() }
	startFollower(t, r)
	r.waitFor(t, "the first configuration", func() bool { return r.HighestNumber() == 7 })
	putValue(t, s, opConfig, "8")
	time.Sleep(2 * pollInterval)
	if c := s.Counts(); c.Watches != 0 || r.HighestNumber() != 7 {
		t.Errorf("%d watches and configuration %d, want none and 7", c.Watches, r.HighestNumber())
	}
	links.Store(0)
	r.waitFor(t, "the changed configuration", func() bool { return r.HighestNumber() == 8 })
}

func TestFirstStartSkipsReadIfPeersSupplyConfiguration(t *testing.T) {
	for _, tc := range []struct {
		name                 string
		links                int
		watcher, peersSupply bool
		reads                bool
	}{
		{"peers supply it", 3, false, true, false},
		{"peers supply nothing", 3, false, false, true},
		{"node is a watcher", 3, true, true, true},
		{"node has no links", 0, false, true, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := store.New(1)
				putValue(t, s, opConfig, "7")
				r := newFollower(s)
				r.FirstStart, r.View = true, viewOf(tc.links, tc.watcher)
				if tc.peersSupply {
					if err := r.applyConfig([]byte("7")); err != nil {
						t.Fatal(err)
					}
				}
				before := s.Counts().Reads
				startFollower(t, r)
				time.Sleep(joinJitter + joinTimeout + time.Second)
				synctest.Wait()
				if reads := s.Counts().Reads > before; reads != tc.reads || r.HighestNumber() != 7 {
					t.Errorf("read the store: %v, configuration %d", reads, r.HighestNumber())
				}
			})
		})
	}
}

// A watch may deliver a usable configuration and a later one that is not. The usable
// one must come into force.
func TestConfigurationBeforeAnInvalidOneInTheSameWatchIsApplied(t *testing.T) {
	r := newFollower(store.New(1))
	r.applyNewestConfig([]kvstore.Entry{
		{Key: opConfig, Value: []byte("7"), Revision: 1}, {Key: opConfig, Value: []byte("8"), Revision: 2},
		{Key: opConfig, Value: []byte("not a number"), Revision: 3},
	})
	if r.HighestNumber() != 8 || r.InvalidEntries() != 1 {
		t.Errorf("configuration %d in force and %d invalid entries, want 8 and 1", r.HighestNumber(), r.InvalidEntries())
	}
}

// Guards against orders that outlast their removal, seen as a deletion or as the absence
// from a list, and against an order that is written while a list of several pages is
// read and ended by that list.
func TestFollowerPassesEvacuationsOn(t *testing.T) {
	const prefix = "op/evacuate/"
	newEvacuating := func(s kvstore.Store) *followerHarness {
		r := newFollower(s)
		r.Keys.Evacuations, r.Evacuations = prefix, &evacuation.Set{}
		return r
	}
	await := func(t *testing.T, r *followerHarness, want ...string) {
		t.Helper()
		r.waitFor(t, fmt.Sprint("the evacuation of ", want), func() bool { return slices.Equal(r.Evacuations.View().Names(), want) })
	}
	remove := func(t *testing.T, s *store.Store, key string) {
		t.Helper()
		e, err := s.Get(context.Background(), key)
		if err == nil {
			_, err = s.CompareAndSwap(context.Background(), key, e.Revision, nil, "")
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	t.Run("events and a list after lost history", func(t *testing.T) {
		s := &lossyWatchStore{Store: store.New(1)}
		putValue(t, s.Store, prefix+"a", "")
		putValue(t, s.Store, prefix+"b", "{}")
		r := newEvacuating(s)
		startFollower(t, r)
		await(t, r, "a", "b")
		remove(t, s.Store, prefix+"a")
		await(t, r, "b")
		s.drop.Store(true)
		remove(t, s.Store, prefix+"b")
		putValue(t, s.Store, prefix+"c", "{}")
		s.CompactHistory()
		s.drop.Store(false)
		await(t, r, "c")
		if r.InvalidEntries() != 0 {
			t.Errorf("%d invalid entries", r.InvalidEntries())
		}
	})
	t.Run("order written during a list", func(t *testing.T) {
		r := newEvacuating(store.New(1))
		if err := r.Evacuations.Apply(evacuation.Order{DataCentre: "a", Revision: 12, InForce: true}); err != nil {
			t.Fatal(err)
		}
		r.applyListedEvacuations([]kvstore.Entry{{Key: opConfig, Revision: 3}, {Key: prefix + "z", Revision: 13}}, 10)
		await(t, r, "a", "z")
		r.applyListedEvacuations(nil, 13)
		await(t, r)
	})
	t.Run("key without a name", func(t *testing.T) {
		r := newEvacuating(store.New(1))
		r.applyChangedEvacuations([]kvstore.Entry{{Key: prefix, Revision: 3}, {Key: prefix + "a", Revision: 4}})
		await(t, r, "a")
		if r.InvalidEntries() != 1 {
			t.Errorf("%d invalid entries, want 1", r.InvalidEntries())
		}
	})
}
