package kvstore_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisytide/daisytide/internal/conn/kvstore"
	"github.com/daisytide/daisytide/internal/standin/store"
)

// A read that outlives its callers in a backoff leaves a blocked goroutine,
// which synctest reports.
func TestSharedReadEndsWithItsLastCaller(t *testing.T) {
	for range 50 {
		synctest.Test(t, func(t *testing.T) {
			s := store.New(1)
			s.SetFaults(store.Faults{Down: true})
			g := kvstore.NewRateLimitedStore(s, 2)
			for range 12 {
				ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
				_, _ = g.Get(ctx, "k")
				cancel()
			}
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan error, 2)
			for range 2 {
				go func() {
					_, err := g.Get(ctx, "k")
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

func TestSharedReadGoesOnWhileOneCallerWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(1)
		s.SetFaults(store.Faults{Delay: time.Second})
		g := kvstore.NewRateLimitedStore(s, 2)
		first, giveUp := context.WithCancel(context.Background())
		go func() { _, _ = g.Get(first, "k") }()
		synctest.Wait()
		done := make(chan error, 1)
		go func() {
			_, err := g.Get(context.Background(), "k")
			done <- err
		}()
		synctest.Wait()
		giveUp()
		if err := <-done; err != nil {
			t.Errorf("the second caller got %v", err)
		}
		if n := s.Counts().Reads; n != 1 {
			t.Errorf("%d reads, want 1", n)
		}
	})
}

// The first answer of all is no return; neither is each answer after one.
func TestReturnOfTheStoreIsToldOnceWithItsAbsence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(1)
		g := kvstore.NewRateLimitedStore(s, 100)
		g.MaxBackoff = 50 * time.Millisecond
		var told []time.Duration
		g.OnRecovery = func(away time.Duration) { told = append(told, away) }
		ask := func() { _, _ = g.Get(context.Background(), "k") }
		ask()
		s.SetFaults(store.Faults{Down: true})
		ask()
		time.Sleep(3 * time.Second)
		ask()
		s.SetFaults(store.Faults{})
		if len(told) != 0 {
			t.Fatalf("told of a return before it: %v", told)
		}
		ask()
		ask()
		if len(told) != 1 || told[0] < 3*time.Second || told[0] > 4*time.Second {
			t.Errorf("told %v", told)
		}
	})
}
