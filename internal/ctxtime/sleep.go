// Package pause waits.
package ctxtime

import (
	"context"
	"time"
)

// For waits for d, or until ctx ends; it tells whether d is over.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
