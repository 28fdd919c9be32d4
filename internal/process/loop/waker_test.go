package loop

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

func TestWakeRunsTheLoopBeforeItsWaitIsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := NewWaker()
		ctx, cancel := context.WithCancel(t.Context())
		var at []time.Duration
		start := time.Now()
		done := make(chan struct{})
		go func() {
			defer close(done)
			w.Run(ctx, func(_ context.Context, now time.Time) time.Duration {
				at = append(at, now.Sub(start))
				return time.Hour
			})
		}()
		time.Sleep(time.Minute)
		w.Wake()
		w.Wake()
		time.Sleep(90 * time.Minute)
		cancel()
		<-done
		// The first wake-up runs the loop at once, the second once more.
		if want := []time.Duration{0, time.Minute, time.Minute, 61 * time.Minute}; !slices.Equal(at, want) {
			t.Fatalf("the loop ran at %v, want %v", at, want)
		}
	})
}
