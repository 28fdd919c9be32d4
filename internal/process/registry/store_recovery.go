package registry

import (
	"encoding/binary"
	"errors"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

// TopicStoreRecoveries is the name of the topic that counts the store's
// recoveries.
const TopicStoreRecoveries = "store-returns"

const (
	// minOutage is the shortest outage whose end is published: a lost reply
	// does not let a lease lapse.
	minOutage = time.Second
	// recoveryWindow is the time within which recoveries detected by several
	// nodes count as one.
	recoveryWindow = 3 * time.Second
	// renewJitter spreads the renewals after a recovery: entries must be back
	// within two seconds of it.
	renewJitter = time.Second
)

var errItemLength = errors.New("a store recovery count must have eight bytes")

// StoreRecoveries is the gossip topic that counts the store's recoveries
// detected by any node. Leases may lapse during an outage, and a node that made
// no call in that time would not notice before its next renewal.
type StoreRecoveries struct {
	mu    sync.Mutex
	count uint64
	// lastIncrease is when the count last increased.
	lastIncrease time.Time
	// increased holds a value if the count has increased since keepLease last
	// received from it.
	increased chan struct{}
}

// Name implements gossip.Topic.
func (r *StoreRecoveries) Name() string { return TopicStoreRecoveries }

// Merge implements gossip.Topic: the later count wins. Counts are compared as
// serial numbers, so that a damaged one next to the highest value does not end the
// counting when the next recovery adds to it.
func (r *StoreRecoveries) Merge(item []byte) (bool, error) {
	if len(item) != 8 {
		return false, errItemLength
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	count := binary.BigEndian.Uint64(item)
	if int64(count-r.count) <= 0 {
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

// recordRecovery counts a recovery that this node detected and returns the item
// to publish, or nil if the recovery was counted already.
func (r *StoreRecoveries) recordRecovery(now time.Time) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.lastIncrease.IsZero() && now.Sub(r.lastIncrease) < recoveryWindow {
		return nil
	}
	r.increaseLocked(r.count + 1)
	return binary.BigEndian.AppendUint64(nil, r.count)
}

// increaseLocked sets the count and wakes keepLease; the caller holds mu.
func (r *StoreRecoveries) increaseLocked(count uint64) {
	r.count, r.lastIncrease = count, time.Now()
	select {
	case r.increased <- struct{}{}:
	default:
	}
}

// StoreRecoveries returns the topic to register with the gossip manager.
func (r *Registry) StoreRecoveries() *StoreRecoveries {
	r.recoveriesOnce.Do(func() { r.recoveries = &StoreRecoveries{increased: make(chan struct{}, 1)} })
	return r.recoveries
}

// StoreRecovered is called when the store replies to this node again after an
// outage.
func (r *Registry) StoreRecovered(outage time.Duration) {
	if outage < minOutage {
		return
	}
	if item := r.StoreRecoveries().recordRecovery(time.Now()); item != nil && r.Publisher != nil {
		klog.Infof(logPrefix+"the store recovered after %v; all nodes renew their leases", outage.Round(time.Millisecond))
		r.Publisher.Publish(TopicStoreRecoveries, item)
	}
}
