package quarantine

import (
	"context"
	"sync"
	"time"
)

// turnstile lets many requests run at once, or one alone. A request that
// waits to run alone keeps new neighbours out.
type turnstile struct {
	mu     sync.Mutex
	shared int
	alone  bool
	// queue counts those who wait to run alone, waiting all who wait.
	queue   int
	waiting int
	// changed is closed when something changed and somebody waits.
	changed chan struct{}
}

// enter takes a place; false when there was none within patience. leave must
// be called after true.
func (t *turnstile) enter(ctx context.Context, alone bool, patience time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if alone {
		t.queue++
		defer func() { t.queue-- }()
	}
	if !t.free(alone) && !t.wait(ctx, alone, patience) {
		// Those whom this one kept out may go in.
		defer t.wake()
		return false
	}
	if alone {
		t.alone = true
	} else {
		t.shared++
	}
	return true
}

// wait waits until the request may go in; the caller holds mu.
func (t *turnstile) wait(ctx context.Context, alone bool, patience time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	t.waiting++
	defer func() { t.waiting-- }()
	for !t.free(alone) && ctx.Err() == nil {
		if t.changed == nil {
			t.changed = make(chan struct{})
		}
		changed := t.changed
		t.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		t.mu.Lock()
	}
	return t.free(alone)
}

// free tells whether a request may go in; the caller holds mu.
func (t *turnstile) free(alone bool) bool {
	if alone {
		return !t.alone && t.shared == 0
	}
	return !t.alone && t.queue == 0
}

// leave gives a place back.
func (t *turnstile) leave(alone bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if alone {
		t.alone = false
	} else {
		t.shared--
	}
	t.wake()
}

// wake tells those who wait that something changed; the caller holds mu.
func (t *turnstile) wake() {
	if t.changed != nil {
		close(t.changed)
		t.changed = nil
	}
}
