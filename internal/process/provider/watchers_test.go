package provider

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisytide/daisytide/internal/conn/kvstore"
	"github.com/daisytide/daisytide/internal/process/membership"
	"github.com/daisytide/daisytide/internal/standin/store"
	"github.com/daisytide/daisytide/internal/version/snapshot"
)

// fleetOf returns n members of a data centre, of which the first lost have lost the store.
func fleetOf(n, lost int, rng *rand.Rand) []membership.Record {
	out := make([]membership.Record, n)
	for i, k := range rng.Perm(n) {
		out[i] = membership.Record{Address: fmt.Sprintf("10.0.0.%d:1", k), DataCentre: "a", State: membership.Alive}
		if i < lost {
			out[i].Store = membership.StoreLost
		}
	}
	return out
}

// Guards against a data centre whose watchers are all nodes that the store does not serve,
// and against watchers that increase with the number of such nodes.
func TestNodesThatTheStoreServesWatchIt(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 2000 {
		n, watchers := 1+rng.IntN(40), 1+rng.IntN(3)
		lost := rng.IntN(n + 1)
		members := fleetOf(n, lost, rng)
		watching := func() (out []int) {
			for i, self := range members {
				if NewWatchView(members, self, 3, watchers).Watches() {
					out = append(out, i)
				}
			}
			return out
		}
		first := watching()
		if len(first) < min(watchers, n-lost) || len(first) > 2*watchers {
			t.Fatalf("%d of %d nodes watch, %d have lost the store, %d are wanted", len(first), n, lost, watchers)
		}
		for _, i := range first {
			if members[i].Store == membership.StoreLost {
				t.Fatal("a node that has lost the store watches it")
			}
			members[i].Store = membership.StoreServes
		}
		if settled := watching(); len(settled) != min(watchers, n-lost) {
			t.Fatalf("%d of %d nodes go on watching, %d have lost the store, %d are wanted", len(settled), n, lost, watchers)
		}
	}
}

// Guards against an outage that costs more calls the larger the fleet is.
func TestCallsDuringAnOutageDoNotGrowWithTheFleet(t *testing.T) {
	const watchers, limit = 2, 2.1
	for _, n := range []int{4, 40, 400} {
		members := fleetOf(n, n, rand.New(rand.NewPCG(1, 1)))
		delay := NewWatchView(members, members[0], 3, watchers).retestDelay(time.Second)
		if perSecond := float64(n) / delay.Seconds(); perSecond > limit {
			t.Errorf("%d nodes make %.1f attempts a second, want at most %.1f", n, perSecond, limit)
		}
	}
}

// accessLog records what a node tells of its access to the store.
type accessLog struct {
	mu   sync.Mutex
	last membership.StoreAccess
}

func (l *accessLog) publish(a membership.StoreAccess) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last = a
}

func (l *accessLog) lost() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.last == membership.StoreLost
}

// storeReader is what a Provider and a Follower have in common.
type storeReader interface {
	Run(context.Context) error
	StoreLostElsewhere()
}

// withStoreReaders runs a test with a Follower and with a Provider of a node with links.
// applyLimit is the time within which a change must be in force.
func withStoreReaders(t *testing.T, watches *atomic.Bool, test func(t *testing.T, s *store.Store, r storeReader, l *accessLog, applyLimit time.Duration)) {
	for name, applyLimit := range map[string]time.Duration{"follower": 2 * time.Second, "provider": 4 * time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, l := store.New(1), &accessLog{}
				view := func() WatchView {
					v := viewOf(3, watches.Load())()
					v.Lost = l.lost()
					return v
				}
				var r storeReader
				if name == "follower" {
					f := newFollower(s).Follower
					f.View, f.PublishAccess = view, l.publish
					f.Start()
					r = f
				} else {
					p := &Provider{Store: s, Holder: &snapshot.Holder{}, View: view, PublishAccess: l.publish}
					p.Start()
					r = p
				}
				ctx, cancel := context.WithCancel(context.Background())
				done := make(chan struct{})
				go func() {
					defer close(done)
					_ = r.Run(ctx)
				}()
				time.Sleep(5 * time.Second)
				test(t, s, r, l, applyLimit)
				cancel()
				<-done
			})
		})
	}
}

// Guards against news that nobody hears because the watchers have lost the store without
// knowing yet, and against nodes that read it at every such report.
func TestNodeThatDoesNotWatchReadsTheStoreOnceWhenAnotherHasLostIt(t *testing.T) {
	var watches atomic.Bool
	withStoreReaders(t, &watches, func(t *testing.T, s *store.Store, r storeReader, _ *accessLog, _ time.Duration) {
		before := s.Counts().Reads
		time.Sleep(time.Minute)
		if reads := s.Counts().Reads - before; reads != 0 {
			t.Errorf("%d reads without a report, want 0", reads)
		}
		r.StoreLostElsewhere()
		time.Sleep(time.Minute)
		if reads := s.Counts().Reads - before; reads != 1 {
			t.Errorf("%d reads after a report, want 1", reads)
		}
	})
}

// Guards against a watcher that keeps its place although the store is away, and against
// one that stays away for longer than the store.
func TestWatcherTellsThatItHasLostTheStoreAndThatItIsServedAgain(t *testing.T) {
	var watches atomic.Bool
	watches.Store(true)
	withStoreReaders(t, &watches, func(t *testing.T, s *store.Store, _ storeReader, l *accessLog, applyLimit time.Duration) {
		s.SetFaults(store.Faults{Down: true})
		time.Sleep(time.Second)
		if !l.lost() {
			t.Error("not lost after a second of an outage")
		}
		s.SetFaults(store.Faults{})
		time.Sleep(applyLimit)
		if l.lost() {
			t.Errorf("still lost %v after an outage", applyLimit)
		}
	})
}

// Guards against a node that counts the rejection of a call beyond the rate as a loss.
func TestStoreThatLimitsCallsIsNotLost(t *testing.T) {
	l := &accessLog{}
	a := storeAccess{publish: l.publish, maxRetestInterval: retestInterval}
	for range 10 {
		a.failed(&kvstore.Error{Outcome: kvstore.OutcomeRateLimited}, WatchView{}, time.Now())
	}
	if l.lost() {
		t.Error("lost after ten rejections by a rate limit")
	}
}
