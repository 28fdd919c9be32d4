package gossip

import (
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/daisytide/daisytide/internal/conn/link"
	"github.com/daisytide/daisytide/internal/version/delta"
	"github.com/daisytide/daisytide/internal/version/document"
	"github.com/daisytide/daisytide/internal/version/snapshot"
)

// Times and sizes of pulls.
const (
	// pullTimeout is how long a peer has to send a configuration before it
	// is asked of another; a megabyte takes 80 ms at 100 Mbit/s.
	pullTimeout = time.Second
	// bannedFor is how long a peer that sent a damaged one is not asked.
	bannedFor = 5 * time.Second
	// keepBases is the number of configurations kept to make deltas from.
	keepBases = 4
	// unusableFor is how long a number whose document breaks a rule here, as
	// one of a later release may, is not pulled again.
	unusableFor = time.Minute
	// deltaGain is how much smaller than the whole a delta must be.
	deltaGain = 2
)

// bodies decides from whom to pull and keeps what deltas are made from.
type bodies struct {
	mu sync.Mutex
	// offers gives the highest number that each linked peer holds.
	offers map[string]uint64
	banned map[string]time.Time
	flight flight
	// unusable is the number that could not be taken, until a time.
	unusable      uint64
	unusableUntil time.Time
	// bases are the latest configurations, the newest last.
	bases []*snapshot.Snapshot
	// made is the latest delta, which several neighbours ask for.
	made madeDelta
}

// flight is the pull under way; its zero value is none.
type flight struct {
	number uint64
	from   string
	until  time.Time
}

type madeDelta struct {
	base, number uint64
	bytes        []byte
}

func newBodies() bodies {
	return bodies{offers: map[string]uint64{}, banned: map[string]time.Time{}}
}

// offer notes that a peer holds a number.
func (b *bodies) offer(address string, number uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.offers[address] = max(b.offers[address], number)
}

// forget drops a peer whose link ended.
func (b *bodies) forget(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.offers, address)
	if b.flight.from == address {
		b.flight = flight{}
	}
}

// ban keeps a peer from being asked for a while and ends its flight.
func (b *bodies) ban(address string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.banned[address] = now.Add(bannedFor)
	if b.flight.from == address {
		b.flight = flight{}
	}
}

// refuse keeps a number from being pulled for a while.
func (b *bodies) refuse(number uint64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unusable, b.unusableUntil = number, now.Add(unusableFor)
	b.flight = flight{}
}

// next begins a pull when a peer holds a higher number than held and no pull
// for as high a one is under way, and returns the peer.
func (b *bodies) next(held uint64, now time.Time) (string, uint64, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.flight.number != 0 && !now.Before(b.flight.until) {
		b.banned[b.flight.from] = now.Add(pullTimeout)
		b.flight = flight{}
	}
	best, from := held, ""
	for address, number := range b.offers {
		if now.Before(b.banned[address]) || number == b.unusable && now.Before(b.unusableUntil) {
			continue
		}
		if number > best || number == best && from != "" && address < from {
			best, from = number, address
		}
	}
	if from == "" || b.flight.number >= best {
		return "", 0, false
	}
	b.flight = flight{number: best, from: from, until: now.Add(pullTimeout)}
	return from, best, true
}

// arrived ends the flight of a number up to the one that came.
func (b *bodies) arrived(number uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.flight.number <= number {
		b.flight = flight{}
	}
}

// remember keeps a configuration to make deltas from.
func (b *bodies) remember(s *snapshot.Snapshot) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bases = append(b.bases, s)
	if len(b.bases) > keepBases {
		b.bases = append([]*snapshot.Snapshot(nil), b.bases[1:]...)
	}
}

// base finds a kept configuration; nil where there is none.
func (b *bodies) base(number uint64) *snapshot.Snapshot {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.bases {
		if s.Number() == number {
			return s
		}
	}
	return nil
}

// body makes the answer to a pull: a delta where base is kept and it pays.
func (b *bodies) body(s *snapshot.Snapshot, base uint64) *link.ConfigBody {
	out := &link.ConfigBody{Number: s.Number(), Hash: s.Hash}
	old := b.base(base)
	if old == nil || base == s.Number() {
		out.Full = s.Envelope
		return out
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.made.base != base || b.made.number != s.Number() {
		b.made = madeDelta{base: base, number: s.Number(), bytes: delta.Encode(old.Envelope, s.Envelope)}
	}
	if len(b.made.bytes)*deltaGain > len(s.Envelope) {
		out.Full = s.Envelope
		return out
	}
	out.Base, out.Delta = base, b.made.bytes
	return out
}

// ConfigChanged announces the configuration in force to the peers that are
// not known to hold it.
func (m *Manager) ConfigChanged(s *snapshot.Snapshot) {
	m.bodies.remember(s)
	m.broadcast(
		&link.Message{ConfigAnnouncement: &link.ConfigAnnouncement{Number: s.Number(), Hash: s.Hash, Size: len(s.Envelope)}},
		func(p *peer) bool { return p.number.Load() < s.Number() },
	)
}

// heardOf notes that a peer holds a number and pulls it when it is higher.
func (m *Manager) heardOf(p *peer, number uint64) {
	if number == 0 {
		return
	}
	p.number.Store(max(p.number.Load(), number))
	m.bodies.offer(p.address, number)
	m.pullNext(time.Now())
}

func (m *Manager) pullNext(now time.Time) {
	from, number, ok := m.bodies.next(m.cfg.ConfigStore.HighestNumber(), now)
	if !ok {
		return
	}
	m.pull(from, number, m.cfg.Holder.Current().Number())
}

func (m *Manager) pull(from string, number, base uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.links[from]; p != nil {
		m.enqueue(p, &link.Message{ConfigRequest: &link.ConfigRequest{Number: number, Base: base}})
	}
}

func (m *Manager) handlePull(p *peer, in *link.ConfigRequest) {
	s := m.cfg.Holder.Current()
	if s.Number() < in.Number {
		return
	}
	body := m.bodies.body(s, in.Base)
	m.count(func(c *Counters) {
		if body.Delta != nil {
			c.Deltas++
		} else {
			c.Bodies++
		}
	})
	m.send(p, &link.Message{ConfigBody: body})
}

// handleBody checks and takes a configuration. What is damaged is pulled
// again: after a delta whole from the same peer, else from another one.
func (m *Manager) handleBody(p *peer, in *link.ConfigBody) {
	if in.Number <= m.cfg.ConfigStore.HighestNumber() {
		m.bodies.arrived(in.Number)
		return
	}
	envelope, ok := m.envelope(in)
	if !ok && in.Delta != nil {
		klog.Warningf(logPrefix+"the delta to configuration %d of %s does not fit", in.Number, p.address)
		m.pull(p.address, in.Number, 0)
		return
	}
	if !ok {
		m.spoilt(p, in.Number, "its hash differs")
		return
	}
	s, err := snapshot.BuildFrom(m.cfg.Holder.Current(), envelope)
	if err != nil {
		klog.Errorf(logPrefix+"configuration %d cannot be used here: %v", in.Number, err)
		m.bodies.refuse(in.Number, time.Now())
		return
	}
	if s.Number() != in.Number {
		m.spoilt(p, in.Number, "it has another number")
		return
	}
	m.cfg.ConfigStore.Offer(s)
	m.bodies.arrived(s.Number())
}

// envelope returns the bytes of a body once their hash is right.
func (m *Manager) envelope(in *link.ConfigBody) ([]byte, bool) {
	if in.Delta == nil {
		return in.Full, document.HashOf(in.Full) == in.Hash
	}
	base := m.bodies.base(in.Base)
	if base == nil {
		return nil, false
	}
	out, err := delta.Apply(base.Envelope, in.Delta)
	return out, err == nil && document.HashOf(out) == in.Hash
}

func (m *Manager) spoilt(p *peer, number uint64, why string) {
	klog.Warningf(logPrefix+"configuration %d of %s is not usable: %s", number, p.address, why)
	m.bodies.ban(p.address, time.Now())
	m.pullNext(time.Now())
}
