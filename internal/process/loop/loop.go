// Package loop runs work that comes due by the clock or at once when asked.
package loop

import (
	"context"
	"time"
)

// Wake makes a loop run before its wait is over.
type Wake chan struct{}

// NewWake returns a Wake for one loop.
func NewWake() Wake { return make(Wake, 1) }

// Nudge makes the loop run at once, or once more if it runs; it never waits.
func (w Wake) Nudge() {
	select {
	case w <- struct{}{}:
	default:
	}
}

// Run calls tick, which returns the wait until the next call, until ctx ends.
func (w Wake) Run(ctx context.Context, tick func(ctx context.Context, now time.Time) time.Duration) {
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
