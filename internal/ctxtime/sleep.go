// Package ctxtime provides time functions that respect a context.
package ctxtime

import (
	"context"
	"time"
)

// Sleep waits for d or until ctx is done. It reports whether d has passed.
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
