// Package loop runs work that comes due by the clock or at once when asked.
package loop

import (
	"context"
	"time"
)

// Waker makes a loop run before its wait is over.
type Waker chan struct{}

// NewWaker returns a Waker for one loop.
func NewWaker() Waker { return make(Waker, 1) }

// Wake makes the loop run at once, or once more if it runs; it never waits.
func (w Waker) Wake() {
	select {
	case w <- struct{}{}:
	default:
	}
}

// Run calls tick, which returns the wait until the next call, until ctx ends.
func (w Waker) Run(ctx context.Context, tick func(ctx context.Context, now time.Time) time.Duration) {
	for {
		wait := tick(ctx, time.Now())
		select {
		case <-ctx.Done():
			return
		case <-w:
		case <-time.After(wait):
		}
	}
}
