package kvstore_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisytide/daisytide/internal/conn/kvstore"
	"github.com/daisytide/daisytide/internal/standin/store"
)

// Guards against a read that still waits for the backoff after its last caller
// was cancelled: synctest reports the blocked goroutine.
func TestSharedReadIsCancelledWithItsLastCaller(t *testing.T) {
	for range 50 {
		synctest.Test(t, func(t *testing.T) {
			s := store.New(1)
			s.SetFaults(store.Faults{Down: true})
			limited := kvstore.NewRateLimitedStore(s, 2)
			for range 12 {
				ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
				_, _ = limited.Get(ctx, "k")
				cancel()
			}
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan error, 2)
			for range 2 {
				go func() {
					_, err := limited.Get(ctx, "k")
					done <- err
				}()
			}
			synctest.Wait()
			cancel()
			<-done
			<-done
		})
	}
}

func TestSharedReadContinuesWhileOneCallerWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(1)
		s.SetFaults(store.Faults{Delay: time.Second})
		limited := kvstore.NewRateLimitedStore(s, 2)
		first, cancelFirst := context.WithCancel(context.Background())
		go func() { _, _ = limited.Get(first, "k") }()
		synctest.Wait()
		done := make(chan error, 1)
		go func() {
			_, err := limited.Get(context.Background(), "k")
			done <- err
		}()
		synctest.Wait()
		cancelFirst()
		if err := <-done; err != nil {
			t.Errorf("the second caller got error %v, want none", err)
		}
		if n := s.Counts().Reads; n != 1 {
			t.Errorf("%d reads, want 1", n)
		}
	})
}

// OnRecovery must be called neither for the first response ever nor for each
// response after a recovery.
func TestRecoveryIsReportedOnceWithTheOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(1)
		limited := kvstore.NewRateLimitedStore(s, 100)
		limited.MaxBackoff = 50 * time.Millisecond
		var outages []time.Duration
		limited.OnRecovery = func(outage time.Duration) { outages = append(outages, outage) }
		get := func() { _, _ = limited.Get(context.Background(), "k") }
		get()
		s.SetFaults(store.Faults{Down: true})
		get()
		time.Sleep(3 * time.Second)
		get()
		s.SetFaults(store.Faults{})
		if len(outages) != 0 {
			t.Fatalf("recovery reported while the store was down: %v", outages)
		}
		get()
		get()
		if len(outages) != 1 || outages[0] < 3*time.Second || outages[0] > 4*time.Second {
			t.Errorf("reported outages %v, want one of 3 to 4 s", outages)
		}
	})
}
