package egress

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/daisytide/daisytide/internal/request/gate"
)

// incoming bounds the bodies that are on their way to a gate. It answers many
// large bodies at a host with a slow link: those that would come too late are
// refused before a byte of them has crossed.
type bodyLimiter struct {
	once     sync.Once
	capacity int64
	sem      *semaphore.Weighted
	// bytes counts the bodies on their way or waiting to be asked for.
	pending atomic.Int64
}

// backlog is how long a link of a rate, in bytes a second, is busy with the
// bodies that came before; 0 where the rate is not known.
func (n *bodyLimiter) backlog(rate int64) time.Duration { return transferTime(n.pending.Load(), rate) }

func transferTime(bytes, rate int64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / float64(rate) * float64(time.Second))
}

// acquire waits until a body of a size, -1 for unknown, may come over a link of
// a rate in bytes a second; 0 sets no bound. A body above all room takes all.
func (n *bodyLimiter) acquire(ctx context.Context, size, rate int64) (release func(), err error) {
	if rate <= 0 {
		return func() {}, nil
	}
	n.once.Do(func() {
		n.capacity = max(1, int64(float64(rate)*gate.MaxLinkBacklog.Seconds()))
		n.sem = semaphore.NewWeighted(n.capacity)
	})
	if size < 0 {
		size = n.capacity
	}
	weight := min(size, n.capacity)
	n.pending.Add(size)
	if err := n.sem.Acquire(ctx, weight); err != nil {
		n.pending.Add(-size)
		return nil, err
	}
	return func() {
		n.sem.Release(weight)
		n.pending.Add(-size)
	}, nil
}
