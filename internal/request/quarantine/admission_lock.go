package quarantine

import (
	"context"
	"sync"
	"time"
)

// admissionLock admits many requests concurrently or one exclusively. A waiting
// exclusive request blocks new shared ones.
type admissionLock struct {
	mu            sync.Mutex
	sharedHolders int
	exclusiveHeld bool
	// exclusiveWaiters counts the waiting exclusive requests, waiters all of them.
	exclusiveWaiters int
	waiters          int
	// changed is closed when the state has changed; nil if no request waits.
	changed chan struct{}
}

// acquire admits a request, or returns false if maxWait has passed. The caller
// must call release after true.
func (l *admissionLock) acquire(ctx context.Context, exclusive bool, maxWait time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if exclusive {
		l.exclusiveWaiters++
		defer func() { l.exclusiveWaiters-- }()
	}
	if !l.available(exclusive) && !l.wait(ctx, exclusive, maxWait) {
		// Admit the requests that waited for this one.
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

// wait waits until the request can be admitted. The caller holds mu.
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

// available reports whether a request can be admitted. The caller holds mu.
func (l *admissionLock) available(exclusive bool) bool {
	if exclusive {
		return !l.exclusiveHeld && l.sharedHolders == 0
	}
	return !l.exclusiveHeld && l.exclusiveWaiters == 0
}

// release ends an admission.
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

// notify wakes all waiting requests. The caller holds mu.
func (l *admissionLock) notify() {
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}
