package gossip

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/daisytide/daisytide/internal/conn/link"
)

// mismatchLimit is the number of consecutive digests that must differ before
// a repair starts: a single mismatch usually means that an item was in flight.
const mismatchLimit = 2

// maxItemsBytes bounds the items of one Items message.
const maxItemsBytes = 64 << 10

// invalidItemLogInterval is the minimum time between two log lines on invalid items.
const invalidItemLogInterval = 10 * time.Second

// recentCapacity bounds each of the two generations of recentHashes.
const recentCapacity = 4096

// recentHashes remembers the hashes of recently received items, so that
// duplicates from flooding are dropped without decoding. It keeps two
// generations and discards the older one when the newer one is full.
type recentHashes struct {
	mu                sync.Mutex
	current, previous map[uint64]struct{}
}

// add records a hash and reports whether it was new.
func (r *recentHashes) add(hash uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.current[hash]; ok {
		return false
	}
	_, ok := r.previous[hash]
	if r.current == nil || len(r.current) >= recentCapacity {
		r.current, r.previous = map[uint64]struct{}{}, r.current
	}
	r.current[hash] = struct{}{}
	return !ok
}

func (m *Manager) buildDigest() *link.Message {
	d := &link.Digest{Checksums: make(map[string]uint64, len(m.topics))}
	d.ConfigNumber = m.cfg.Holder.Current().Number()
	for name, t := range m.topics {
		if _, local := t.(DataCentreTopic); !local {
			d.Checksums[name] = t.Checksum()
		}
	}
	return &link.Message{Digest: d}
}

func (m *Manager) handleDigest(p *peer, d *link.Digest) {
	first := !p.digestReceived.Load()
	m.recordPeerNumber(p, d.ConfigNumber)
	for name, sum := range d.Checksums {
		t := m.topics[name]
		if _, local := t.(DataCentreTopic); t == nil || local {
			continue
		}
		if t.Checksum() == sum {
			p.mismatches[name] = 0
			continue
		}
		p.mismatches[name]++
		if first || p.mismatches[name] >= mismatchLimit {
			p.mismatches[name] = 0
			m.startRepair(p, t)
		}
	}
	p.digestReceived.Store(true)
}

// startRepair starts anti-entropy for a topic whose digest differs. For a
// bucketed topic only the node with the lower address starts, so that the two
// ends do not repair it twice.
func (m *Manager) startRepair(p *peer, t Topic) {
	b, ok := t.(BucketedTopic)
	if !ok {
		m.send(p, &link.Message{ItemRequest: &link.ItemRequest{Topic: t.Name()}})
		return
	}
	if m.cfg.Self().Address < p.address {
		m.send(p, &link.Message{BucketChecksums: &link.BucketChecksums{Topic: t.Name(), Checksums: b.BucketChecksums()}})
	}
}

// handleBuckets sends the items of the differing buckets and requests the
// peer's.
func (m *Manager) handleBuckets(p *peer, in *link.BucketChecksums) {
	t, ok := m.topics[in.Topic].(BucketedTopic)
	if !ok {
		return
	}
	var differing []int
	for i, sum := range t.BucketChecksums() {
		if i >= len(in.Checksums) || in.Checksums[i] != sum {
			differing = append(differing, i)
		}
	}
	if len(differing) == 0 {
		return
	}
	m.send(p, &link.Message{ItemRequest: &link.ItemRequest{Topic: in.Topic, Buckets: differing}})
	m.sendRepair(p, in.Topic, t.BucketItems(differing))
}

func (m *Manager) handleWant(p *peer, w *link.ItemRequest) {
	t := m.topics[w.Topic]
	if t == nil {
		return
	}
	if b, ok := t.(BucketedTopic); ok {
		m.sendRepair(p, w.Topic, b.BucketItems(w.Buckets))
		return
	}
	m.sendRepair(p, w.Topic, t.Items())
}

// sendRepair sends items that a peer is missing.
func (m *Manager) sendRepair(p *peer, topic string, items [][]byte) {
	m.updateCounters(func(c *Counters) { c.Repairs += uint64(len(items)) })
	m.sendItems(p, topic, items, true)
}

// sendItems sends items in messages of bounded size.
func (m *Manager) sendItems(p *peer, topic string, items [][]byte, repair bool) {
	for len(items) > 0 {
		n, size := 0, 0
		for n < len(items) && (n == 0 || size+len(items[n]) <= maxItemsBytes) {
			size += len(items[n])
			n++
		}
		m.send(p, &link.Message{Items: &link.Items{Topic: topic, Encoded: items[:n], Repair: repair}})
		items = items[n:]
	}
}

// handleItems merges the received items and forwards those that changed
// something. An invalid item is left out: closing the link instead would cut the
// sender off for as long as it holds the item, since every repair sends it again.
func (m *Manager) handleItems(p *peer, f *link.Items) {
	t := m.topics[f.Topic]
	if t == nil {
		return
	}
	bucketed, _ := t.(BucketedTopic)
	var applied, superseding [][]byte
	for _, item := range f.Encoded {
		hash := xxhash.Sum64(item)
		p.dropPending(hash)
		if !m.recent.add(hash) && !f.Repair {
			continue
		}
		changed, err := t.Merge(item)
		if err != nil {
			m.recordInvalidItem(p, f.Topic, err)
			continue
		}
		if changed {
			applied = append(applied, item)
			continue
		}
		if bucketed == nil {
			continue
		}
		if newer := bucketed.Superseding(item); newer != nil {
			superseding = append(superseding, newer)
		}
	}
	m.sendRepair(p, f.Topic, superseding)
	m.forward(p, f.Topic, applied)
}

// recordInvalidItem counts an item that was left out and logs it, at most once per
// invalidItemLogInterval.
func (m *Manager) recordInvalidItem(p *peer, topic string, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counters.InvalidItems++
	if now := time.Now(); now.Sub(m.invalidItemLogged) >= invalidItemLogInterval {
		m.invalidItemLogged = now
		klog.Warningf(logPrefix+"left out an item of %s from %s, %d so far: %v", topic, p.address, m.counters.InvalidItems, err)
	}
}
