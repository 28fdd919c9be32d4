package provider

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisytide/daisytide/internal/conn/kvstore"
	"github.com/daisytide/daisytide/internal/process/membership"
	"github.com/daisytide/daisytide/internal/standin/store"
)

// silentStore never replies to a node: a list ends after the platform client's second, a
// watch 700 ms after its wait. With refuse set, all calls fail at once.
type silentStore struct {
	*store.Store
	mu             sync.Mutex
	silent, refuse bool
}

func (s *silentStore) set(silent, refuse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent, s.refuse = silent, refuse
}

func (s *silentStore) reply(ctx context.Context, timeout time.Duration) error {
	s.mu.Lock()
	silent, refuse := s.silent, s.refuse
	s.mu.Unlock()
	switch {
	case refuse:
		return &kvstore.Error{Outcome: kvstore.OutcomeNotReached}
	case !silent:
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	<-ctx.Done()
	return &kvstore.Error{Outcome: kvstore.OutcomeUnknown, Err: ctx.Err()}
}

func (s *silentStore) List(ctx context.Context, prefix string, stale bool) ([]kvstore.Entry, uint64, error) {
	if err := s.reply(ctx, time.Second); err != nil {
		return nil, 0, err
	}
	return s.Store.List(ctx, prefix, stale)
}

func (s *silentStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]kvstore.Entry, uint64, error) {
	if err := s.reply(ctx, wait+700*time.Millisecond); err != nil {
		return nil, 0, err
	}
	entries, revision, err := s.Store.Watch(ctx, prefix, after, wait)
	if lost := s.reply(ctx, 700*time.Millisecond); lost != nil {
		return nil, 0, lost
	}
	return entries, revision, err
}

// Guards against a data centre that is large enough for the nodes before the only one that
// the store serves to try in turn for longer than the time in which a change must be in
// force. Records reach all nodes at once.
func TestTheOnlyNodeServedReplacesTheWatchersInTimeInALargeDataCentre(t *testing.T) {
	const applyLimit, watchers = 2 * time.Second, 3
	for _, refuse := range []bool{true, false} {
		for _, n := range []int{4, 12, 24, 48} {
			t.Run(fmt.Sprintf("refuse=%v/%d", refuse, n), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					records := make([]membership.Record, n)
					for i := range records {
						records[i] = membership.Record{Address: fmt.Sprintf("10.0.0.%d:1", i), DataCentre: "a", State: membership.Alive}
					}
					slices.SortFunc(records, func(a, b membership.Record) int {
						if watcherHash(a.Address) < watcherHash(b.Address) {
							return -1
						}
						return 1
					})
					var mu sync.Mutex
					s := store.New(1)
					putValue(t, s, opConfig, "7")
					followers, stores := make([]*Follower, n), make([]*silentStore, n)
					for i := range n {
						stores[i] = &silentStore{Store: s}
						limited := kvstore.NewRateLimitedStore(stores[i], 4)
						limited.MaxBackoff = time.Second
						f := newFollower(limited).Follower
						f.WatcherCount = func() int { return 9 }
						f.View = func() WatchView {
							mu.Lock()
							defer mu.Unlock()
							return NewWatchView(records, records[i], 3, nil, watchers)
						}
						f.PublishAccess = func(a membership.StoreAccess) {
							mu.Lock()
							changed := records[i].Store != a
							records[i].Store = a
							mu.Unlock()
							for k, other := range followers {
								if changed && a == membership.StoreLost && k != i {
									other.StoreLostElsewhere()
								}
							}
						}
						f.Start()
						followers[i] = f
					}
					ctx, cancel := context.WithCancel(context.Background())
					var done sync.WaitGroup
					for _, f := range followers {
						done.Go(func() { _ = f.Run(ctx) })
					}
					time.Sleep(30 * time.Second)
					for _, other := range stores[:n-1] {
						other.set(true, refuse)
					}
					putValue(t, s, opConfig, "8")
					written := time.Now()
					for followers[n-1].HighestNumber() < 8 && time.Since(written) < time.Minute {
						time.Sleep(10 * time.Millisecond)
					}
					took := time.Since(written).Round(10 * time.Millisecond)
					t.Logf("in force after %v", took)
					if took > applyLimit {
						t.Errorf("the change is in force after %v, want at most %v", took, applyLimit)
					}
					cancel()
					done.Wait()
				})
			})
		}
	}
}
