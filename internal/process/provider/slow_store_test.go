package provider

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisytide/daisytide/internal/conn/kvstore"
	"github.com/daisytide/daisytide/internal/standin/store"
)

// boundedStore applies the platform client's limits: a second for a list, and 700 ms
// beyond its wait for a watch.
type boundedStore struct{ *store.Store }

func (s boundedStore) List(ctx context.Context, prefix string, stale bool) ([]kvstore.Entry, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	return s.Store.List(ctx, prefix, stale)
}

func (s boundedStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]kvstore.Entry, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+700*time.Millisecond)
	defer cancel()
	return s.Store.Watch(ctx, prefix, after, wait)
}

// Guards against a watcher that gets no change any more from a store that takes 1.1 s for
// each call, because its lists, which take longer than a second, always fail.
func TestWatcherHasChangesFromAStoreThatIsSlowerThanAList(t *testing.T) {
	for name, reported := range map[string]bool{"alone": false, "another node has lost the store": true} {
		t.Run(name, func(t *testing.T) { expectChangeFromSlowStore(t, reported) })
	}
}

func expectChangeFromSlowStore(t *testing.T, reported bool) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(1)
		putValue(t, s, opConfig, "1")
		limited := kvstore.NewRateLimitedStore(boundedStore{s}, 4)
		limited.MaxBackoff = time.Second
		f := newFollower(limited).Follower
		setWatcher(f)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = f.Run(ctx)
		}()
		time.Sleep(10 * time.Second)
		s.SetFaults(store.Faults{Delay: 1100 * time.Millisecond})
		if reported {
			f.StoreLostElsewhere()
		}
		time.Sleep(10 * time.Second)
		putValue(t, s, opConfig, "2")
		time.Sleep(15 * time.Second)
		if n := f.HighestNumber(); n != 2 {
			t.Errorf("configuration %d is in force 15 s after the change, want 2", n)
		}
		cancel()
		<-done
	})
}
