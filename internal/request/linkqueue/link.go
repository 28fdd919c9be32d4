package linkqueue

import (
	"context"
	"sync"
	"time"
)

// Cause says why a transfer was refused.
type Cause uint8

// Causes of refusals.
const (
	// Full: the transfer would not have ended in time.
	Full Cause = iota
	// Displaced: a smaller one that could be in time took its place.
	Displaced
	// Expired: the deadline or the caller's leaving ended its wait.
	Expired
	causes
)

// String returns the cause's name in metrics.
func (c Cause) String() string { return [causes]string{"full", "displaced", "expired"}[c] }

// Causes lists all causes.
func Causes() []Cause { return []Cause{Full, Displaced, Expired} }

// Link is the link of a host, which the entry and the gate of its node share. Its
// directions are nil if its rate is unknown; a nil direction queues nothing.
type Link struct{ In, Out *Direction }

// NewLink returns a link of the given rate in both directions; 0 means unknown.
func NewLink(bytesPerSecond int64) Link {
	if bytesPerSecond <= 0 {
		return Link{}
	}
	return Link{In: newDirection(bytesPerSecond, true), Out: newDirection(bytesPerSecond, false)}
}

// Direction is one direction of a link, for concurrent use.
type Direction struct {
	mu      sync.Mutex
	queue   Queue
	timer   *time.Timer
	refused [causes]uint64
}

func newDirection(bytesPerSecond int64, arrives bool) *Direction {
	return &Direction{queue: Queue{Rate: float64(bytesPerSecond), Arrives: arrives}}
}

// Large reports whether transfers of a size are queued.
func (d *Direction) Large(bytes int64) bool { return d != nil && d.queue.Large(bytes) }

// Rate is in bytes per second, 0 if unknown.
func (d *Direction) Rate() float64 {
	if d == nil {
		return 0
	}
	return d.queue.Rate
}

// Backlog is how long the direction is busy with large transfers.
func (d *Direction) Backlog(now time.Time) time.Duration {
	if d == nil {
		return 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queue.Backlog(now)
}

// PendingBytes is the number of bytes of large transfers that wait or are in
// progress.
func (d *Direction) PendingBytes() int64 {
	if d == nil {
		return 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queue.PendingBytes()
}

// Refused returns how many transfers were refused for a cause.
func (d *Direction) Refused(c Cause) uint64 {
	if d == nil {
		return 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.refused[c]
}

// Pass counts a message that crosses at once.
func (d *Direction) Pass(now time.Time, bytes int64) {
	if d == nil || bytes == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queue.Pass(now, bytes)
}

// Reserve is Queue.Reserve. The transfer must be ended with End.
func (d *Direction) Reserve(now time.Time, t *Transfer, lead time.Duration) Decision {
	if d == nil {
		return Decision{OK: true}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	decision := d.queue.Reserve(now, t, lead)
	if !decision.OK {
		d.refused[Full]++
	}
	return decision
}

// Acquire waits until a transfer may start, or returns the refusal. An accepted one
// must be ended with End. Without a decision before the end of ctx it returns the
// error of ctx.
func (d *Direction) Acquire(ctx context.Context, now time.Time, t *Transfer) (Decision, error) {
	if d == nil {
		return Decision{OK: true}, nil
	}
	d.mu.Lock()
	decision := d.queue.Add(now, t)
	if !decision.OK {
		d.refused[Full]++
		d.mu.Unlock()
		return decision, nil
	}
	d.startLocked(now)
	d.mu.Unlock()
	return d.wait(ctx, t)
}

// AcquireReady waits until a transfer may start that cannot be refused any more,
// reserved or not. It must be ended with End.
func (d *Direction) AcquireReady(ctx context.Context, now time.Time, t *Transfer, size int64) (Decision, error) {
	if d == nil {
		return Decision{OK: true}, nil
	}
	d.mu.Lock()
	d.queue.Ready(t, size)
	d.startLocked(now)
	d.mu.Unlock()
	return d.wait(ctx, t)
}

func (d *Direction) wait(ctx context.Context, t *Transfer) (Decision, error) {
	select {
	case ok := <-t.decided:
		return d.decision(t, ok)
	case <-ctx.Done():
	}
	d.mu.Lock()
	undecided := t.state == waiting
	d.queue.Remove(t)
	if undecided {
		d.refused[Expired]++
	}
	d.startLocked(time.Now())
	d.mu.Unlock()
	if !undecided {
		if ok := <-t.decided; !ok {
			return d.decision(t, false)
		}
	}
	return Decision{}, ctx.Err()
}

func (d *Direction) decision(t *Transfer, ok bool) (Decision, error) {
	if ok {
		return Decision{OK: true}, nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refused[t.cause]++
	return Decision{RetryAfter: t.retryAfter}, nil
}

// End ends a transfer, whatever its state. A second call has no effect.
func (d *Direction) End(now time.Time, t *Transfer) {
	if d == nil || t == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if t.state == started {
		d.queue.End(now, t)
	} else {
		d.queue.Remove(t)
	}
	d.startLocked(now)
}

// startLocked starts what may start and sets the timer for the next call.
func (d *Direction) startLocked(now time.Time) {
	next := d.queue.Start(now)
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
	if next.IsZero() {
		return
	}
	d.timer = time.AfterFunc(max(0, next.Sub(now)), func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.startLocked(time.Now())
	})
}
