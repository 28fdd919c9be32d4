package provider

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisytide/daisytide/internal/conn/kvstore"
	"github.com/daisytide/daisytide/internal/standin/store"
)

// limitingStore rejects the calls of one node with 429 while limited is set, and counts
// the calls.
type limitingStore struct {
	*store.Store
	limited, down atomic.Bool
	lists, calls  atomic.Int64
}

func (s *limitingStore) reject() error {
	s.calls.Add(1)
	switch {
	case s.limited.Load():
		return &kvstore.Error{Outcome: kvstore.OutcomeRateLimited}
	case s.down.Load():
		return &kvstore.Error{Outcome: kvstore.OutcomeNotReached}
	}
	return nil
}

func (s *limitingStore) List(ctx context.Context, prefix string, stale bool) ([]kvstore.Entry, uint64, error) {
	s.lists.Add(1)
	if err := s.reject(); err != nil {
		return nil, 0, err
	}
	return s.Store.List(ctx, prefix, stale)
}

func (s *limitingStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]kvstore.Entry, uint64, error) {
	if err := s.reject(); err != nil {
		return nil, 0, err
	}
	return s.Store.Watch(ctx, prefix, after, wait)
}

// runFollower runs a follower with links on s, under the limits of a node, for the
// duration of test.
func runFollower(t *testing.T, s kvstore.Store, l *accessLog, v WatchView, test func(f *Follower)) {
	limited := kvstore.NewRateLimitedStore(s, 4)
	limited.MaxBackoff = time.Second
	f := newFollower(limited).Follower
	f.PublishAccess = l.publish
	f.WatcherCount = func() int { return 9 }
	f.View = func() WatchView {
		v.Lost = l.lost()
		return v
	}
	f.Start()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f.Run(ctx)
	}()
	time.Sleep(10 * time.Second)
	test(f)
	cancel()
	<-done
}

// Guards against a watcher that keeps its place although the store rejects all its calls
// with 429: the store may do that to some nodes while it serves the others.
func TestWatcherThatTheStoreRejectsWith429GivesUpItsPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, l := &limitingStore{Store: store.New(1)}, &accessLog{}
		runFollower(t, s, l, WatchView{Links: 3, Watchers: 1}, func(*Follower) {
			s.limited.Store(true)
			time.Sleep(20 * time.Second)
			if !l.lost() {
				t.Errorf("not lost after 20 s in which the store rejected each call, published %v", l.last)
			}
		})
	})
}

// Guards against a node that has lost the store and then calls it without a pause because
// the store rejects its calls with 429: an attempt must be as rare as one that fails.
func TestNodeThatHasLostTheStoreTriesItAsSeldomWhenItIsRejectedWith429(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, l := &limitingStore{Store: store.New(1)}, &accessLog{}
		// 39 other members have lost the store, two watch: an attempt each 20 s.
		runFollower(t, s, l, WatchView{Links: 3, Watchers: 2, LostNearby: 39}, func(*Follower) {
			s.down.Store(true)
			time.Sleep(time.Minute)
			before := s.calls.Load()
			time.Sleep(5 * time.Minute)
			whenDown := s.calls.Load() - before
			s.limited.Store(true)
			time.Sleep(time.Minute)
			before = s.calls.Load()
			time.Sleep(5 * time.Minute)
			whenLimited := s.calls.Load() - before
			t.Logf("%d calls in 5 minutes of an outage, %d in 5 minutes of rejections", whenDown, whenLimited)
			if whenLimited > 2*whenDown {
				t.Errorf("%d calls in 5 minutes of rejections, want about the %d of an outage", whenLimited, whenDown)
			}
		})
	})
}

// Guards against a read of all keys by every watcher for each report of a node that loses
// the store and reaches it again, which are frequent while the store loses answers.
func TestReportsOfLossInQuickSuccessionDoNotMultiplyReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, l := &limitingStore{Store: store.New(1)}, &accessLog{}
		runFollower(t, s, l, WatchView{Links: 3, Watchers: 1}, func(f *Follower) {
			before := s.calls.Load()
			time.Sleep(time.Minute)
			calm := s.calls.Load() - before
			before, lists := s.calls.Load(), s.lists.Load()
			for range 60 {
				f.StoreLostElsewhere()
				time.Sleep(time.Second)
			}
			calls, reads := s.calls.Load()-before, s.lists.Load()-lists
			t.Logf("%d calls in a calm minute; with a report a second %d, %d of them lists", calm, calls, reads)
			if calls > 3*calm {
				t.Errorf("%d calls in a minute with a report a second, %d in a calm one", calls, calm)
			}
		})
	})
}
