package registry

import (
	"encoding/binary"
	"errors"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

// TopicStoreRecoveries is the name of the topic that counts the store's returns.
const TopicStoreRecoveries = "store-returns"

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

// StoreRecoveries counts the store's returns, as far as any node has noticed one, and
// is the spread topic of that count. Leases may lapse while the store is away,
// and a node that had nothing to ask it meanwhile would notice at its next
// renewal only.
type StoreRecoveries struct {
	mu    sync.Mutex
	count uint64
	// at is when the count rose last.
	at time.Time
	// risen holds a value after a rise that the keeper has not seen yet.
	risen chan struct{}
}

// Name implements gossip.Topic.
func (r *StoreRecoveries) Name() string { return TopicStoreRecoveries }

// Merge implements gossip.Topic: the highest count stands.
func (r *StoreRecoveries) Merge(item []byte) (bool, error) {
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

// Checksum implements gossip.Topic.
func (r *StoreRecoveries) Checksum() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}

// Items implements gossip.Topic.
func (r *StoreRecoveries) Items() [][]byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return [][]byte{binary.BigEndian.AppendUint64(nil, r.count)}
}

// notice counts a return that this node has noticed; nil when it was told of
// already.
func (r *StoreRecoveries) notice(now time.Time) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.at.IsZero() && now.Sub(r.at) < returnGap {
		return nil
	}
	r.rise(r.count + 1)
	return binary.BigEndian.AppendUint64(nil, r.count)
}

// rise sets the count and wakes the keeper; the caller holds mu.
func (r *StoreRecoveries) rise(count uint64) {
	r.count, r.at = count, time.Now()
	select {
	case r.risen <- struct{}{}:
	default:
	}
}

// StoreRecoveries is the topic to be spread.
func (r *Registry) StoreRecoveries() *StoreRecoveries {
	r.once.Do(func() { r.returns = &StoreRecoveries{risen: make(chan struct{}, 1)} })
	return r.returns
}

// StoreRecovered is told that the store answers this node again after a time.
func (r *Registry) StoreRecovered(away time.Duration) {
	if away < returnLeast {
		return
	}
	if item := r.StoreRecoveries().notice(time.Now()); item != nil && r.Publisher != nil {
		klog.Infof(logPrefix+"the store is back after %v: all nodes renew", away.Round(time.Millisecond))
		r.Publisher.Publish(TopicStoreRecoveries, item)
	}
}
