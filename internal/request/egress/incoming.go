package egress

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"
)

// incomingSpan is how long the link may be busy with the bodies that were asked
// for: what is small, such as a call of a running upstream, waits behind them.
// With 100 ms the links of 10 Mbit/s of cushion-mesh-grown stood idle between
// bodies and uploads waited (0.717 of worth), with 500 ms calls waited (0.742);
// 250 ms gave 0.757.
const incomingSpan = 250 * time.Millisecond

// incoming bounds the bodies that are on their way to a gate. It answers many
// large bodies at a host with a slow link.
type incoming struct {
	once  sync.Once
	bytes int64
	room  *semaphore.Weighted
}

// acquire waits until a body of a size, -1 for unknown, may come over a link of
// a rate in bytes a second; 0 sets no bound. A body above all room takes all.
func (n *incoming) acquire(ctx context.Context, size, rate int64) (release func(), err error) {
	if rate <= 0 {
		return func() {}, nil
	}
	n.once.Do(func() {
		n.bytes = max(1, int64(float64(rate)*incomingSpan.Seconds()))
		n.room = semaphore.NewWeighted(n.bytes)
	})
	if size < 0 || size > n.bytes {
		size = n.bytes
	}
	if err := n.room.Acquire(ctx, size); err != nil {
		return nil, err
	}
	return func() { n.room.Release(size) }, nil
}
