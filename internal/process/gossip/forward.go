package gossip

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// passDelay is how long a fact waits before it is passed on. A peer that
// sends it meanwhile is not sent it, so that most links carry it once; facts
// that arrive together share a message.
const passDelay = 10 * time.Millisecond

// later holds facts for one peer, by hash.
type later struct {
	mu    sync.Mutex
	facts map[uint64]waiting
}

type waiting struct {
	topic string
	item  []byte
}

// has drops a fact that the peer has sent itself.
func (p *peer) has(h uint64) {
	p.later.mu.Lock()
	defer p.later.mu.Unlock()
	delete(p.later.facts, h)
}

// wait adds facts and tells whether they are the first to wait.
func (l *later) wait(topic string, items [][]byte) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := l.facts == nil
	if first {
		l.facts = make(map[uint64]waiting, len(items))
	}
	for _, item := range items {
		l.facts[xxhash.Sum64(item)] = waiting{topic: topic, item: item}
	}
	return first
}

// take returns what still waits, by topic, in messages' sizes.
func (l *later) take() map[string][][]byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string][][]byte{}
	for _, w := range l.facts {
		out[w.topic] = append(out[w.topic], w.item)
	}
	l.facts = nil
	return out
}

// passOn floods what is new over all links but the one that it came by.
func (m *Manager) passOn(from *peer, topic string, items [][]byte) {
	if len(items) == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.links {
		if p != from && p.later.wait(topic, items) {
			time.AfterFunc(passDelay, func() { m.passWaiting(p) })
		}
	}
}

// passWaiting sends a peer what it has not sent itself meanwhile.
func (m *Manager) passWaiting(p *peer) {
	for topic, items := range p.later.take() {
		m.sendFacts(p, topic, items, false)
	}
}
