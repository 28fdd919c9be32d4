package egress

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/daisytide/daisytide/internal/request/gate"
)

// bodyLimiter bounds the request bodies in transfer to a gate. It is for hosts
// with slow links that get many large bodies: its backlog lets Queue.Preview
// refuse a body that would arrive too late before any byte of it is sent.
type bodyLimiter struct {
	once     sync.Once
	capacity int64
	sem      *semaphore.Weighted
	// pending is the number of body bytes in transfer or waiting to be
	// requested.
	pending atomic.Int64
}

// backlog is the time that a link of the given rate in bytes per second needs
// for the pending bodies; 0 if the rate is unknown.
func (l *bodyLimiter) backlog(rate int64) time.Duration { return transferTime(l.pending.Load(), rate) }

// transferTime is the time that a link needs for a number of bytes; 0 if its
// rate is unknown.
func transferTime(bytes, rate int64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / float64(rate) * float64(time.Second))
}

// acquire waits until a body of the given size (-1 if unknown) may be sent over
// a link of the given rate in bytes per second; a rate of 0 disables the limit.
// A body larger than the whole capacity takes all of it.
func (l *bodyLimiter) acquire(ctx context.Context, size, rate int64) (release func(), err error) {
	if rate <= 0 {
		return func() {}, nil
	}
	l.once.Do(func() {
		l.capacity = max(1, int64(float64(rate)*gate.MaxLinkBacklog.Seconds()))
		l.sem = semaphore.NewWeighted(l.capacity)
	})
	if size < 0 {
		size = l.capacity
	}
	weight := min(size, l.capacity)
	l.pending.Add(size)
	if err := l.sem.Acquire(ctx, weight); err != nil {
		l.pending.Add(-size)
		return nil, err
	}
	return func() {
		l.sem.Release(weight)
		l.pending.Add(-size)
	}, nil
}
