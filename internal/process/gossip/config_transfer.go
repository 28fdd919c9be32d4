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
	exclusionTime = 5 * time.Second
	// keepBases is the number of configurations kept to make deltas from.
	historySize = 4
	// unusableFor is how long a number whose document breaks a rule here, as
	// one of a later release may, is not pulled again.
	rejectionTime = time.Minute
	// deltaGain is how much smaller than the whole a delta must be.
	minDeltaGain = 2
)

// bodies decides from whom to pull and keeps what deltas are made from.
type configTransfer struct {
	mu sync.Mutex
	// offers gives the highest number that each linked peer holds.
	offers        map[string]uint64
	excludedUntil map[string]time.Time
	pending       pendingPull
	// unusable is the number that could not be taken, until a time.
	rejected      uint64
	rejectedUntil time.Time
	// bases are the latest configurations, the newest last.
	history []*snapshot.Snapshot
	// made is the latest delta, which several neighbours ask for.
	cached cachedDelta
}

// flight is the pull under way; its zero value is none.
type pendingPull struct {
	number   uint64
	peer     string
	deadline time.Time
}

type cachedDelta struct {
	base, number uint64
	delta        []byte
}

func newConfigTransfer() configTransfer {
	return configTransfer{offers: map[string]uint64{}, excludedUntil: map[string]time.Time{}}
}

// offer notes that a peer holds a number.
func (t *configTransfer) recordOffer(address string, number uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.offers[address] = max(t.offers[address], number)
}

// forget drops a peer whose link ended.
func (t *configTransfer) removePeer(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.offers, address)
	if t.pending.peer == address {
		t.pending = pendingPull{}
	}
}

// ban keeps a peer from being asked for a while and ends its flight.
func (t *configTransfer) excludePeer(address string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.excludedUntil[address] = now.Add(exclusionTime)
	if t.pending.peer == address {
		t.pending = pendingPull{}
	}
}

// refuse keeps a number from being pulled for a while.
func (t *configTransfer) reject(number uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rejected, t.rejectedUntil = number, now.Add(rejectionTime)
	t.pending = pendingPull{}
}

// next begins a pull when a peer holds a higher number than held and no pull
// for as high a one is under way, and returns the peer.
func (t *configTransfer) startPull(held uint64, now time.Time) (string, uint64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pending.number != 0 && !now.Before(t.pending.deadline) {
		t.excludedUntil[t.pending.peer] = now.Add(pullTimeout)
		t.pending = pendingPull{}
	}
	best, peer := held, ""
	for address, number := range t.offers {
		if now.Before(t.excludedUntil[address]) || number == t.rejected && now.Before(t.rejectedUntil) {
			continue
		}
		if number > best || number == best && peer != "" && address < peer {
			best, peer = number, address
		}
	}
	if peer == "" || t.pending.number >= best {
		return "", 0, false
	}
	t.pending = pendingPull{number: best, peer: peer, deadline: now.Add(pullTimeout)}
	return peer, best, true
}

// arrived ends the flight of a number up to the one that came.
func (t *configTransfer) finishPull(number uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pending.number <= number {
		t.pending = pendingPull{}
	}
}

// remember keeps a configuration to make deltas from.
func (t *configTransfer) addToHistory(s *snapshot.Snapshot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.history = append(t.history, s)
	if len(t.history) > historySize {
		t.history = append([]*snapshot.Snapshot(nil), t.history[1:]...)
	}
}

// base finds a kept configuration; nil where there is none.
func (t *configTransfer) findBase(number uint64) *snapshot.Snapshot {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.history {
		if s.Number() == number {
			return s
		}
	}
	return nil
}

// body makes the answer to a pull: a delta where base is kept and it pays.
func (t *configTransfer) buildBody(s *snapshot.Snapshot, base uint64) *link.Body {
	body := &link.Body{Number: s.Number(), Hash: s.Hash}
	previous := t.findBase(base)
	if previous == nil || base == s.Number() {
		body.Whole = s.Envelope
		return body
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cached.base != base || t.cached.number != s.Number() {
		t.cached = cachedDelta{base: base, number: s.Number(), delta: delta.Encode(previous.Envelope, s.Envelope)}
	}
	if len(t.cached.delta)*minDeltaGain > len(s.Envelope) {
		body.Whole = s.Envelope
		return body
	}
	body.Base, body.Delta = base, t.cached.delta
	return body
}

// ConfigChanged announces the configuration in force to the peers that are
// not known to hold it.
func (m *Manager) ConfigChanged(s *snapshot.Snapshot) {
	m.transfer.addToHistory(s)
	m.broadcast(
		&link.Message{Announce: &link.Announce{Number: s.Number(), Hash: s.Hash, Size: len(s.Envelope)}},
		func(p *peer) bool { return p.configNumber.Load() < s.Number() },
	)
}

// heardOf notes that a peer holds a number and pulls it when it is higher.
func (m *Manager) recordPeerNumber(p *peer, number uint64) {
	if number == 0 {
		return
	}
	p.configNumber.Store(max(p.configNumber.Load(), number))
	m.transfer.recordOffer(p.address, number)
	m.startNextPull(time.Now())
}

func (m *Manager) startNextPull(now time.Time) {
	peer, number, ok := m.transfer.startPull(m.cfg.ConfigStore.HighestNumber(), now)
	if !ok {
		return
	}
	m.sendPull(peer, number, m.cfg.Holder.Current().Number())
}

func (m *Manager) sendPull(peer string, number, base uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.links[peer]; p != nil {
		m.enqueueLocked(p, &link.Message{Pull: &link.Pull{Number: number, Base: base}})
	}
}

func (m *Manager) handlePull(p *peer, in *link.Pull) {
	s := m.cfg.Holder.Current()
	if s.Number() < in.Number {
		return
	}
	body := m.transfer.buildBody(s, in.Base)
	m.updateCounters(func(c *Counters) {
		if body.Delta != nil {
			c.Deltas++
		} else {
			c.Bodies++
		}
	})
	m.send(p, &link.Message{Body: body})
}

// handleBody checks and takes a configuration. What is damaged is pulled
// again: after a delta whole from the same peer, else from another one.
func (m *Manager) handleBody(p *peer, in *link.Body) {
	if in.Number <= m.cfg.ConfigStore.HighestNumber() {
		m.transfer.finishPull(in.Number)
		return
	}
	envelope, ok := m.decodeBody(in)
	if !ok && in.Delta != nil {
		klog.Warningf(logPrefix+"the delta to configuration %d of %s does not fit", in.Number, p.address)
		m.sendPull(p.address, in.Number, 0)
		return
	}
	if !ok {
		m.rejectBody(p, in.Number, "its hash differs")
		return
	}
	s, err := snapshot.BuildFrom(m.cfg.Holder.Current(), envelope)
	if err != nil {
		klog.Errorf(logPrefix+"configuration %d cannot be used here: %v", in.Number, err)
		m.transfer.reject(in.Number, time.Now())
		return
	}
	if s.Number() != in.Number {
		m.rejectBody(p, in.Number, "it has another number")
		return
	}
	m.cfg.ConfigStore.Offer(s)
	m.transfer.finishPull(s.Number())
}

// envelope returns the bytes of a body once their hash is right.
func (m *Manager) decodeBody(in *link.Body) ([]byte, bool) {
	if in.Delta == nil {
		return in.Whole, document.HashOf(in.Whole) == in.Hash
	}
	base := m.transfer.findBase(in.Base)
	if base == nil {
		return nil, false
	}
	out, err := delta.Apply(base.Envelope, in.Delta)
	return out, err == nil && document.HashOf(out) == in.Hash
}

func (m *Manager) rejectBody(p *peer, number uint64, reason string) {
	klog.Warningf(logPrefix+"configuration %d of %s is not usable: %s", number, p.address, reason)
	m.transfer.excludePeer(p.address, time.Now())
	m.startNextPull(time.Now())
}
