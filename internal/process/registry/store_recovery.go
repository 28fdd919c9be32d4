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
	minOutage = time.Second
	// returnGap is the time in which returns that nodes notice are the same one.
	recoveryWindow = 3 * time.Second
	// returnSpan spreads the renewals after a return: entries must be back
	// within two seconds of it.
	renewJitter = time.Second
)

var errItemLength = errors.New("a count of returns has eight bytes")

// StoreRecoveries counts the store's returns, as far as any node has noticed one, and
// is the spread topic of that count. Leases may lapse while the store is away,
// and a node that had nothing to ask it meanwhile would notice at its next
// renewal only.
type StoreRecoveries struct {
	mu    sync.Mutex
	count uint64
	// at is when the count rose last.
	lastIncrease time.Time
	// risen holds a value after a rise that the keeper has not seen yet.
	increased chan struct{}
}

// Name implements gossip.Topic.
func (r *StoreRecoveries) Name() string { return TopicStoreRecoveries }

// Merge implements gossip.Topic: the highest count stands.
func (r *StoreRecoveries) Merge(item []byte) (bool, error) {
	if len(item) != 8 {
		return false, errItemLength
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	count := binary.BigEndian.Uint64(item)
	if count <= r.count {
		return false, nil
	}
	r.increaseLocked(count)
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
func (r *StoreRecoveries) recordRecovery(now time.Time) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.lastIncrease.IsZero() && now.Sub(r.lastIncrease) < recoveryWindow {
		return nil
	}
	r.increaseLocked(r.count + 1)
	return binary.BigEndian.AppendUint64(nil, r.count)
}

// rise sets the count and wakes the keeper; the caller holds mu.
func (r *StoreRecoveries) increaseLocked(count uint64) {
	r.count, r.lastIncrease = count, time.Now()
	select {
	case r.increased <- struct{}{}:
	default:
	}
}

// StoreRecoveries is the topic to be spread.
func (r *Registry) StoreRecoveries() *StoreRecoveries {
	r.recoveriesOnce.Do(func() { r.recoveries = &StoreRecoveries{increased: make(chan struct{}, 1)} })
	return r.recoveries
}

// StoreRecovered is told that the store answers this node again after a time.
func (r *Registry) StoreRecovered(outage time.Duration) {
	if outage < minOutage {
		return
	}
	if item := r.StoreRecoveries().recordRecovery(time.Now()); item != nil && r.Publisher != nil {
		klog.Infof(logPrefix+"the store is back after %v: all nodes renew", outage.Round(time.Millisecond))
		r.Publisher.Publish(TopicStoreRecoveries, item)
	}
}
