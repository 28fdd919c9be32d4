// Package loop runs periodic work that can be woken early.
package loop

import (
	"context"
	"time"
)

// Waker wakes a loop before its wait is over.
type Waker chan struct{}

// NewWaker returns a Waker for one loop.
func NewWaker() Waker { return make(Waker, 1) }

// Wake makes the loop run at once, or once more if it is running; it never
// blocks.
func (w Waker) Wake() {
	select {
	case w <- struct{}{}:
	default:
	}
}

// Run calls tick repeatedly until ctx ends; tick returns the wait until the next
// call.
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
