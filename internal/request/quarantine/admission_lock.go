package quarantine

import (
	"context"
	"sync"
	"time"
)

// turnstile lets many requests run at once, or one alone. A request that
// waits to run alone keeps new neighbours out.
type admissionLock struct {
	mu            sync.Mutex
	sharedHolders int
	exclusiveHeld bool
	// queue counts those who wait to run alone, waiting all who wait.
	exclusiveWaiters int
	waiters          int
	// changed is closed when something changed and somebody waits.
	changed chan struct{}
}

// enter takes a place; false when there was none within patience. leave must
// be called after true.
func (l *admissionLock) acquire(ctx context.Context, exclusive bool, maxWait time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if exclusive {
		l.exclusiveWaiters++
		defer func() { l.exclusiveWaiters-- }()
	}
	if !l.available(exclusive) && !l.wait(ctx, exclusive, maxWait) {
		// Those whom this one kept out may go in.
		defer l.notify()
		return false
	}
	if exclusive {
		l.exclusiveHeld = true
	} else {
		l.sharedHolders++
	}
	return true
}

// wait waits until the request may go in; the caller holds mu.
func (l *admissionLock) wait(ctx context.Context, exclusive bool, maxWait time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	l.waiters++
	defer func() { l.waiters-- }()
	for !l.available(exclusive) && ctx.Err() == nil {
		if l.changed == nil {
			l.changed = make(chan struct{})
		}
		changed := l.changed
		l.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		l.mu.Lock()
	}
	return l.available(exclusive)
}

// free tells whether a request may go in; the caller holds mu.
func (l *admissionLock) available(exclusive bool) bool {
	if exclusive {
		return !l.exclusiveHeld && l.sharedHolders == 0
	}
	return !l.exclusiveHeld && l.exclusiveWaiters == 0
}

// leave gives a place back.
func (l *admissionLock) release(exclusive bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if exclusive {
		l.exclusiveHeld = false
	} else {
		l.sharedHolders--
	}
	l.notify()
}

// wake tells those who wait that something changed; the caller holds mu.
func (l *admissionLock) notify() {
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}
