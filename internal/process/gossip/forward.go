package gossip

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// passDelay is how long a fact waits before it is passed on. A peer that
// sends it meanwhile is not sent it, so that most links carry it once; facts
// that arrive together share a message.
const forwardDelay = 10 * time.Millisecond

// later holds facts for one peer, by hash.
type forwardQueue struct {
	mu    sync.Mutex
	items map[uint64]pendingItem
}

type pendingItem struct {
	topic string
	item  []byte
}

// has drops a fact that the peer has sent itself.
func (p *peer) dropPending(hash uint64) {
	p.forwards.mu.Lock()
	defer p.forwards.mu.Unlock()
	delete(p.forwards.items, hash)
}

// wait adds facts and tells whether they are the first to wait.
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

// take returns what still waits, by topic, in messages' sizes.
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

// passOn floods what is new over all links but the one that it came by.
func (m *Manager) forward(source *peer, topic string, items [][]byte) {
	if len(items) == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.links {
		if p != source && p.forwards.add(topic, items) {
			time.AfterFunc(forwardDelay, func() { m.flushForwards(p) })
		}
	}
}

// passWaiting sends a peer what it has not sent itself meanwhile.
func (m *Manager) flushForwards(p *peer) {
	for topic, items := range p.forwards.drain() {
		m.sendFacts(p, topic, items, false)
	}
}
