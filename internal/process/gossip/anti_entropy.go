package gossip

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/daisytide/daisytide/internal/conn/link"
)

// differsLimit is the number of digests in a row that must differ before a
// repair: one that differs once crossed a fact on its way.
const differsLimit = 2

// factsBytes bounds the items of one message of facts.
const factsBytes = 64 << 10

// seenLimit bounds each of the two generations of facts seen lately.
const seenLimit = 4096

// seen remembers the facts that came lately, so that the copies of a flood
// are dropped without decoding. It keeps two generations; the older one goes
// when the younger is full.
type seen struct {
	mu         sync.Mutex
	young, old map[uint64]struct{}
}

// first tells whether a fact's hash was not seen lately, and remembers it.
func (s *seen) first(h uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.young[h]; ok {
		return false
	}
	_, ok := s.old[h]
	if s.young == nil || len(s.young) >= seenLimit {
		s.young, s.old = map[uint64]struct{}{}, s.young
	}
	s.young[h] = struct{}{}
	return !ok
}

func (m *Manager) digest() *link.Message {
	d := &link.Digest{Checksums: make(map[string]uint64, len(m.topics))}
	d.ConfigNumber = m.cfg.Holder.Current().Number()
	for name, t := range m.topics {
		d.Checksums[name] = t.Checksum()
	}
	return &link.Message{Digest: d}
}

func (m *Manager) handleDigest(p *peer, d *link.Digest) {
	first := !p.greeted.Load()
	m.heardOf(p, d.ConfigNumber)
	for name, sum := range d.Checksums {
		t := m.topics[name]
		if t == nil {
			continue
		}
		if t.Checksum() == sum {
			p.differs[name] = 0
			continue
		}
		p.differs[name]++
		if first || p.differs[name] >= differsLimit {
			p.differs[name] = 0
			m.repair(p, t)
		}
	}
	p.greeted.Store(true)
}

// repair begins the exchange of what differs. For a topic in buckets the
// lower address begins, so that the two ends don't do it twice.
func (m *Manager) repair(p *peer, t Topic) {
	b, ok := t.(BucketedTopic)
	if !ok {
		m.send(p, &link.Message{ItemRequest: &link.ItemRequest{Topic: t.Name()}})
		return
	}
	if m.cfg.Self().Address < p.address {
		m.send(p, &link.Message{BucketChecksums: &link.BucketChecksums{Topic: t.Name(), Checksums: b.BucketChecksums()}})
	}
}

// handleBuckets sends the facts of the buckets that differ and asks for the
// peer's.
func (m *Manager) handleBuckets(p *peer, in *link.BucketChecksums) {
	t, ok := m.topics[in.Topic].(BucketedTopic)
	if !ok {
		return
	}
	var differ []int
	for i, sum := range t.BucketChecksums() {
		if i >= len(in.Checksums) || in.Checksums[i] != sum {
			differ = append(differ, i)
		}
	}
	if len(differ) == 0 {
		return
	}
	m.send(p, &link.Message{ItemRequest: &link.ItemRequest{Topic: in.Topic, Buckets: differ}})
	m.sendRepair(p, in.Topic, t.BucketItems(differ))
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

// sendRepair sends facts that a peer lacks.
func (m *Manager) sendRepair(p *peer, topic string, items [][]byte) {
	m.count(func(c *Counters) { c.Repairs += uint64(len(items)) })
	m.sendFacts(p, topic, items, true)
}

// sendFacts sends facts in messages of bounded size.
func (m *Manager) sendFacts(p *peer, topic string, items [][]byte, repair bool) {
	for len(items) > 0 {
		n, size := 0, 0
		for n < len(items) && (n == 0 || size+len(items[n]) <= factsBytes) {
			size += len(items[n])
			n++
		}
		m.send(p, &link.Message{Items: &link.Items{Topic: topic, Encoded: items[:n], Repair: repair}})
		items = items[n:]
	}
}

// handleFacts merges what came and passes on what is new.
func (m *Manager) handleItems(p *peer, f *link.Items) error {
	t := m.topics[f.Topic]
	if t == nil {
		return nil
	}
	bucketed, _ := t.(BucketedTopic)
	var news, newer [][]byte
	for _, item := range f.Encoded {
		h := xxhash.Sum64(item)
		p.has(h)
		if !m.seen.first(h) && !f.Repair {
			continue
		}
		changed, err := t.Merge(item)
		if err != nil {
			return err
		}
		if changed {
			news = append(news, item)
			continue
		}
		if bucketed == nil {
			continue
		}
		if n := bucketed.Superseding(item); n != nil {
			newer = append(newer, n)
		}
	}
	m.sendRepair(p, f.Topic, newer)
	m.passOn(p, f.Topic, news)
	return nil
}
