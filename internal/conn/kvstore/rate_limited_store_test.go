package kvstore_test

import (
	"context"
	"sync/atomic"
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

// A store that refuses calls beyond its rate has not been away: the nodes must not
// renew their leases together when it takes calls again.
func TestRateLimitOfTheStoreIsNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(1)
		limited := kvstore.NewRateLimitedStore(s, 100)
		limited.MaxBackoff = 50 * time.Millisecond
		recoveries := 0
		limited.OnRecovery = func(time.Duration) { recoveries++ }
		get := func() error {
			_, err := limited.Get(context.Background(), "k")
			return err
		}
		if err := get(); err != nil {
			t.Fatal(err)
		}
		s.SetFaults(store.Faults{ReadsPerSecond: 1})
		for range 5 {
			_ = get()
		}
		if err := get(); kvstore.OutcomeOf(err) != kvstore.OutcomeRateLimited {
			t.Fatalf("error %v, want the rate limit", err)
		}
		if !limited.Reachable() {
			t.Error("the store counts as out of reach")
		}
		time.Sleep(3 * time.Second)
		s.SetFaults(store.Faults{})
		if err := get(); err != nil || recoveries != 0 {
			t.Errorf("error %v, %d recoveries reported, want none", err, recoveries)
		}
	})
}

// slowStore never answers its first read, and takes two seconds for later ones.
type slowStore struct {
	*store.Store
	reads atomic.Int64
}

func (s *slowStore) Get(ctx context.Context, key string) (kvstore.Entry, error) {
	if s.reads.Add(1) == 1 {
		<-ctx.Done()
		return kvstore.Entry{}, &kvstore.Error{Outcome: kvstore.OutcomeUnknown, Err: ctx.Err()}
	}
	select {
	case <-ctx.Done():
		return kvstore.Entry{}, &kvstore.Error{Outcome: kvstore.OutcomeUnknown, Err: ctx.Err()}
	case <-time.After(2 * time.Second):
		return s.Store.Get(ctx, key)
	}
}

// A read that starts after a write must not end with the deadline of a read that
// started before it.
func TestReadAfterAWriteHasItsOwnDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limited := kvstore.NewRateLimitedStore(&slowStore{Store: store.New(1)}, 100)
		early, cancelEarly := context.WithTimeout(context.Background(), time.Second)
		defer cancelEarly()
		done := make(chan struct{})
		go func() {
			defer close(done)
			_, _ = limited.Get(early, "k")
		}()
		time.Sleep(500 * time.Millisecond)
		if _, err := limited.CompareAndSwap(context.Background(), "k", 0, []byte("v"), ""); err != nil {
			t.Fatal(err)
		}
		late, cancelLate := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancelLate()
		if e, err := limited.Get(late, "k"); err != nil || string(e.Value) != "v" {
			t.Errorf("%q, %v", e.Value, err)
		}
		<-done
	})
}
