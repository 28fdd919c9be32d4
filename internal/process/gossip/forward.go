package gossip

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// forwardDelay is how long an item is held before it is forwarded. If a peer
// sends the same item in that time, it is not sent back, so most links carry
// each item once; items that arrive together share a message.
const forwardDelay = 10 * time.Millisecond

// forwardQueue holds the items to forward to one peer, by hash.
type forwardQueue struct {
	mu    sync.Mutex
	items map[uint64]pendingItem
}

type pendingItem struct {
	topic string
	item  []byte
}

// dropPending removes an item from the queue because the peer sent it itself.
func (p *peer) dropPending(hash uint64) {
	p.forwards.mu.Lock()
	defer p.forwards.mu.Unlock()
	delete(p.forwards.items, hash)
}

// add queues items and reports whether the queue was empty before.
func (q *forwardQueue) add(topic string, items [][]byte) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	first := q.items == nil
	if first {
		q.items = make(map[uint64]pendingItem, len(items))
	}
	for _, item := range items {
		q.items[xxhash.Sum64(item)] = pendingItem{topic: topic, item: item}
	}
	return first
}

// drain empties the queue and returns the items by topic.
func (q *forwardQueue) drain() map[string][][]byte {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := map[string][][]byte{}
	for _, pending := range q.items {
		out[pending.topic] = append(out[pending.topic], pending.item)
	}
	q.items = nil
	return out
}

// forward queues new items for all links except the one they came from.
func (m *Manager) forward(source *peer, topic string, items [][]byte) {
	if len(items) == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.links {
		if p != source && m.inScope(topic, p) && p.forwards.add(topic, items) {
			time.AfterFunc(forwardDelay, func() { m.flushForwards(p) })
		}
	}
}

// flushForwards sends the items that are still queued for a peer.
func (m *Manager) flushForwards(p *peer) {
	for topic, items := range p.forwards.drain() {
		m.sendItems(p, topic, items, false)
	}
}
