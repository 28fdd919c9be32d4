package orders

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisytide/daisytide/internal/conn/kvstore"
	"github.com/daisytide/daisytide/internal/standin/store"
)

// silentStore never replies to a read.
type silentStore struct{ *store.Store }

func (silentStore) Get(ctx context.Context, key string) (kvstore.Entry, error) {
	<-ctx.Done()
	return kvstore.Entry{}, &kvstore.Error{Op: "get", Key: key, Outcome: kvstore.OutcomeUnknown, Err: ctx.Err()}
}

// timedPublisher keeps when counts were published.
type timedPublisher struct {
	mu    sync.Mutex
	times []time.Time
}

func (p *timedPublisher) Publish(topic string, _ []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if topic == CountsTopicName {
		p.times = append(p.times, time.Now())
	}
}

// Guards against a bad version that stays longer because the node whose turn it is to write
// the status publishes no counts while a store that is silent to it holds its call.
func TestSilentStoreDoesNotHoldBackCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &timedPublisher{}
		m := newTestManager("n0", silentStore{store.New(1)}, nil)
		m.cfg.Publisher = p
		m.AddOrder(testOrder, time.Now())
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = m.Run(ctx)
		}()
		for end := time.Now().Add(9 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			observe(m, "v1", 1, 0)
		}
		cancel()
		<-done
		p.mu.Lock()
		defer p.mu.Unlock()
		longest := time.Duration(0)
		for i := 1; i < len(p.times); i++ {
			longest = max(longest, p.times[i].Sub(p.times[i-1]))
		}
		if len(p.times) < 2 || longest > maxCountsInterval {
			t.Errorf("%d publications, the longest pause is %v, want at most %v", len(p.times), longest, maxCountsInterval)
		}
	})
}
