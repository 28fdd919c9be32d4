package provider

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisytide/daisytide/internal/conn/kvstore"
	"github.com/daisytide/daisytide/internal/standin/store"
)

// Guards against an outage reported as long as the pause between two reads of a node that
// does not watch: the end of an outage makes all nodes renew their leases.
func TestOneFailedReadOfANodeThatDoesNotWatchIsNoLongOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &limitingStore{Store: store.New(1)}
		limited := kvstore.NewRateLimitedStore(s, 4)
		limited.MaxBackoff = time.Second
		var outages []time.Duration
		limited.OnRecovery = func(outage time.Duration) { outages = append(outages, outage) }
		f := newFollower(limited).Follower
		f.View = viewOf(3, false)
		f.Start()
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = f.Run(ctx)
		}()
		time.Sleep(10 * time.Second)
		s.down.Store(true)
		f.StoreLostElsewhere()
		time.Sleep(400 * time.Millisecond)
		s.down.Store(false)
		time.Sleep(time.Hour)
		f.StoreLostElsewhere()
		time.Sleep(10 * time.Second)
		for _, outage := range outages {
			if outage > 10*time.Second {
				t.Errorf("an outage of %v is reported, the store was away for 0.4 s", outage)
			}
		}
		t.Log(outages)
		cancel()
		<-done
	})
}
