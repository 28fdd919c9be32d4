package registry

import (
	"encoding/binary"
	"errors"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

// TopicReturns is the name of the topic that counts the store's returns.
const TopicReturns = "store-returns"

const (
	// returnLeast is how long the store must have been away for its return to
	// be told: a lost answer lets no lease lapse.
	returnLeast = time.Second
	// returnGap is the time in which returns that nodes notice are the same one.
	returnGap = 3 * time.Second
	// returnSpan spreads the renewals after a return: entries must be back
	// within two seconds of it.
	returnSpan = time.Second
)

var errReturns = errors.New("a count of returns has eight bytes")

// Returns counts the store's returns, as far as any node has noticed one, and
// is the spread topic of that count. Leases may lapse while the store is away,
// and a node that had nothing to ask it meanwhile would notice at its next
// renewal only.
type Returns struct {
	mu    sync.Mutex
	count uint64
	// at is when the count rose last.
	at time.Time
	// risen holds a value after a rise that the keeper has not seen yet.
	risen chan struct{}
}

// Name implements spread.Topic.
func (r *Returns) Name() string { return TopicReturns }

// Merge implements spread.Topic: the highest count stands.
func (r *Returns) Merge(item []byte) (bool, error) {
	if len(item) != 8 {
		return false, errReturns
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	count := binary.BigEndian.Uint64(item)
	if count <= r.count {
		return false, nil
	}
	r.rise(count)
	return true, nil
}

// Sum implements spread.Topic.
func (r *Returns) Sum() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}

// Items implements spread.Topic.
func (r *Returns) Items() [][]byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return [][]byte{binary.BigEndian.AppendUint64(nil, r.count)}
}

// notice counts a return that this node has noticed; nil when it was told of
// already.
func (r *Returns) notice(now time.Time) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.at.IsZero() && now.Sub(r.at) < returnGap {
		return nil
	}
	r.rise(r.count + 1)
	return binary.BigEndian.AppendUint64(nil, r.count)
}

// rise sets the count and wakes the keeper; the caller holds mu.
func (r *Returns) rise(count uint64) {
	r.count, r.at = count, time.Now()
	select {
	case r.risen <- struct{}{}:
	default:
	}
}

// Returns is the topic to be spread.
func (r *Registry) Returns() *Returns {
	r.once.Do(func() { r.returns = &Returns{risen: make(chan struct{}, 1)} })
	return r.returns
}

// StoreReturned is told that the store answers this node again after a time.
func (r *Registry) StoreReturned(away time.Duration) {
	if away < returnLeast {
		return
	}
	if item := r.Returns().notice(time.Now()); item != nil && r.Publisher != nil {
		klog.Infof(logPrefix+"the store is back after %v: all nodes renew", away.Round(time.Millisecond))
		r.Publisher.Publish(TopicReturns, item)
	}
}
