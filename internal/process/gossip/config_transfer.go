package gossip

import (
	"errors"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/daisytide/daisytide/internal/conn/link"
	"github.com/daisytide/daisytide/internal/version/delta"
	"github.com/daisytide/daisytide/internal/version/document"
	"github.com/daisytide/daisytide/internal/version/snapshot"
)

// Timeouts and limits of configuration transfers.
const (
	// pullTimeout bounds the wait for a pulled configuration before another
	// peer is asked; one megabyte takes 80 ms at 100 Mbit/s.
	pullTimeout = time.Second
	// exclusionTime is how long a peer is excluded from pulls after it sent a
	// corrupt configuration.
	exclusionTime = 5 * time.Second
	// historySize is the number of past configurations kept as delta bases.
	historySize = 4
	// rejectionTime is how long a configuration number is not pulled again
	// after its document failed validation here, for example because a later
	// release wrote it.
	rejectionTime = time.Minute
	// outsidePullDelay is how long a node waits before it pulls a configuration from
	// a peer in another data centre while peers in its own hold an older one, and
	// outsidePullJitter the maximum random part added. Nodes of each data centre
	// read new configurations from the store, so that it seldom needs to cross.
	outsidePullDelay  = 200 * time.Millisecond
	outsidePullJitter = 300 * time.Millisecond
	// minDeltaGain is the factor by which a delta must be smaller than the
	// complete configuration to be sent in its place.
	minDeltaGain = 2
)

// configTransfer selects the peer to pull a configuration from and keeps the
// bases for deltas.
type configTransfer struct {
	mu sync.Mutex
	// offers holds what each linked peer last reported.
	offers        map[string]offer
	excludedUntil map[string]time.Time
	pending       pendingPull
	// rejected is the number that failed validation; it is skipped until
	// rejectedUntil.
	rejected      uint64
	rejectedUntil time.Time
	// history holds the latest configurations, oldest first.
	history []*snapshot.Snapshot
	// cached is the last computed delta, and compressed the last compressed
	// configuration; several neighbours ask for the same ones.
	cached     cachedDelta
	compressed compressedConfig
}

// offer is a configuration that a peer holds.
type offer struct {
	number uint64
	// outside is set if the peer is in another data centre.
	outside bool
	// pullFrom is the earliest time of a pull from a peer in another data centre.
	pullFrom time.Time
}

// pendingPull is the pull in progress; the zero value means none.
type pendingPull struct {
	number   uint64
	peer     string
	deadline time.Time
}

type cachedDelta struct {
	base, number uint64
	delta        []byte
}

// compressedConfig is the compressed envelope of the configuration with a number.
type compressedConfig struct {
	number uint64
	body   []byte
}

func newConfigTransfer() configTransfer {
	return configTransfer{offers: map[string]offer{}, excludedUntil: map[string]time.Time{}}
}

// recordOffer records the configuration number that a peer last reported. A lower
// one replaces a higher one: a peer's number never decreases within a link, so the
// higher one was damaged on the way. outside is set for a peer in another data
// centre, and wait is how long a pull from there waits. A peer that already held a
// higher number than held keeps its time: changes that follow each other within the
// wait would otherwise put the pull off for as long as they last.
func (t *configTransfer) recordOffer(address string, number, held uint64, outside bool, wait time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	pullFrom := now.Add(wait)
	if old, ok := t.offers[address]; ok {
		if old.number == number {
			return
		}
		if old.number > held {
			pullFrom = old.pullFrom
		}
	}
	t.offers[address] = offer{number: number, outside: outside, pullFrom: pullFrom}
}

// removePeer removes a peer whose link has closed.
func (t *configTransfer) removePeer(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.offers, address)
	if t.pending.peer == address {
		t.pending = pendingPull{}
	}
}

// excludePeer excludes a peer from pulls for exclusionTime and cancels a pull
// from it.
func (t *configTransfer) excludePeer(address string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.excludedUntil[address] = now.Add(exclusionTime)
	if t.pending.peer == address {
		t.pending = pendingPull{}
	}
}

// reject skips a configuration number for rejectionTime.
func (t *configTransfer) reject(number uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rejected, t.rejectedUntil = number, now.Add(rejectionTime)
	t.pending = pendingPull{}
}

// startPull returns the peer and the number to pull if a peer holds a higher
// number than held and no pull for an equal or higher one is in progress.
func (t *configTransfer) startPull(held uint64, now time.Time) (string, uint64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pending.number != 0 && !now.Before(t.pending.deadline) {
		t.excludedUntil[t.pending.peer] = now.Add(pullTimeout)
		t.pending = pendingPull{}
	}
	best, peer, peerOutside := held, "", false
	for address, o := range t.offers {
		if now.Before(t.excludedUntil[address]) || o.number == t.rejected && now.Before(t.rejectedUntil) || t.mustWaitLocked(o, now) {
			continue
		}
		if o.number > best || o.number == best && peer != "" && (peerOutside && !o.outside || peerOutside == o.outside && address < peer) {
			best, peer, peerOutside = o.number, address, o.outside
		}
	}
	if peer == "" || t.pending.number >= best {
		return "", 0, false
	}
	t.pending = pendingPull{number: best, peer: peer, deadline: now.Add(pullTimeout)}
	return peer, best, true
}

// mustWaitLocked reports whether an offer from another data centre is to wait, because
// a peer in this one holds a configuration and may have the offered one soon. The
// caller holds mu.
func (t *configTransfer) mustWaitLocked(o offer, now time.Time) bool {
	if !o.outside || !now.Before(o.pullFrom) {
		return false
	}
	for _, other := range t.offers {
		if !other.outside {
			return true
		}
	}
	return false
}

// finishPull clears the pending pull if its number is at most number.
func (t *configTransfer) finishPull(number uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pending.number <= number {
		t.pending = pendingPull{}
	}
}

// addToHistory keeps a configuration as a base for deltas.
func (t *configTransfer) addToHistory(s *snapshot.Snapshot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.history = append(t.history, s)
	if len(t.history) > historySize {
		t.history = append([]*snapshot.Snapshot(nil), t.history[1:]...)
	}
}

// findBase returns the configuration with the given number from the history,
// or nil.
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

// buildBody builds the response to a pull: a delta if the request's base is in the
// history and the delta is small enough, else the complete configuration.
func (t *configTransfer) buildBody(s *snapshot.Snapshot, in *link.ConfigRequest) *link.ConfigBody {
	body := &link.ConfigBody{Number: s.Number(), Hash: s.Hash}
	d := t.deltaFrom(in.Base, s)
	if d == nil {
		t.setFull(body, s, in.Compressed)
		return body
	}
	body.Base, body.Delta = in.Base, d
	return body
}

// deltaFrom returns the delta from the configuration with the number base, or nil if
// that is not in the history or the delta is not small enough.
func (t *configTransfer) deltaFrom(base uint64, s *snapshot.Snapshot) []byte {
	previous := t.findBase(base)
	if previous == nil || base == s.Number() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cached.base != base || t.cached.number != s.Number() {
		t.cached = cachedDelta{base: base, number: s.Number(), delta: delta.Encode(previous.Envelope, s.Envelope)}
	}
	if len(t.cached.delta)*minDeltaGain > len(s.Envelope) {
		return nil
	}
	return t.cached.delta
}

// setFull sets the complete configuration, compressed if the peer accepts it.
func (t *configTransfer) setFull(body *link.ConfigBody, s *snapshot.Snapshot, compressed bool) {
	if !compressed {
		body.Full = s.Envelope
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.compressed.number != s.Number() {
		packed, err := delta.Compress(s.Envelope)
		if err != nil {
			klog.Errorf(logPrefix+"compress configuration %d: %v", s.Number(), err)
			body.Full = s.Envelope
			return
		}
		t.compressed = compressedConfig{number: s.Number(), body: packed}
	}
	body.Compressed = t.compressed.body
}

// ConfigChanged announces the configuration in force to the peers that are
// not known to hold it.
func (m *Manager) ConfigChanged(s *snapshot.Snapshot) {
	m.transfer.addToHistory(s)
	m.broadcast(
		&link.Message{ConfigAnnouncement: &link.ConfigAnnouncement{Number: s.Number(), Hash: s.Hash, Size: len(s.Envelope)}},
		func(p *peer) bool { return p.configNumber.Load() < s.Number() },
	)
}

// recordPeerNumber records the configuration number of a peer and starts a
// pull if it is higher than the local one.
func (m *Manager) recordPeerNumber(p *peer, number uint64) {
	if number == 0 {
		return
	}
	p.configNumber.Store(number)
	now := time.Now()
	if m.cfg.ConfigObserver != nil {
		m.cfg.ConfigObserver.HeardFromPeer(p.address, number, now)
	}
	m.transfer.recordOffer(p.address, number, m.cfg.ConfigStore.HighestNumber(), p.dataCentre != m.cfg.Self().DataCentre, outsidePullDelay+m.jitter(outsidePullJitter), now)
	m.startNextPull(now)
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
		m.enqueueLocked(p, &link.Message{ConfigRequest: &link.ConfigRequest{Number: number, Base: base, Compressed: true}})
	}
}

func (m *Manager) handlePull(p *peer, in *link.ConfigRequest) {
	s := m.cfg.Holder.Current()
	if s == nil || s.Number() < in.Number {
		return
	}
	body := m.transfer.buildBody(s, in)
	m.updateCounters(func(c *Counters) {
		if body.Delta != nil {
			c.Deltas++
		} else {
			c.Bodies++
		}
	})
	m.send(p, &link.Message{ConfigBody: body})
}

// handleBody verifies and applies a received configuration. If a delta does
// not apply, the complete configuration is pulled from the same peer; if a
// complete one is corrupt, it is pulled from another peer.
func (m *Manager) handleBody(p *peer, in *link.ConfigBody) {
	if in.Number <= m.cfg.ConfigStore.HighestNumber() {
		m.transfer.finishPull(in.Number)
		return
	}
	envelope, ok := m.decodeBody(in)
	if !ok && in.Delta != nil {
		klog.Warningf(logPrefix+"delta to configuration %d from %s does not apply", in.Number, p.address)
		m.sendPull(p.address, in.Number, 0)
		return
	}
	if !ok {
		m.rejectBody(p, in.Number, errHashMismatch)
		return
	}
	s, err := snapshot.BuildFrom(m.cfg.Holder.Current(), envelope)
	if err != nil {
		m.reportRefusal(p, in.Number, err)
		m.transfer.reject(in.Number, time.Now())
		return
	}
	if s.Number() != in.Number {
		m.rejectBody(p, in.Number, errNumberMismatch)
		return
	}
	m.cfg.ConfigStore.Offer(s)
	m.transfer.finishPull(s.Number())
}

// decodeBody returns the envelope of a body and whether its hash matches.
func (m *Manager) decodeBody(in *link.ConfigBody) ([]byte, bool) {
	if in.Compressed != nil {
		out, err := delta.Decompress(in.Compressed)
		return out, err == nil && document.HashOf(out) == in.Hash
	}
	if in.Delta == nil {
		return in.Full, document.HashOf(in.Full) == in.Hash
	}
	base := m.transfer.findBase(in.Base)
	if base == nil {
		return nil, false
	}
	out, err := delta.Apply(base.Envelope, in.Delta)
	return out, err == nil && document.HashOf(out) == in.Hash
}

var (
	errHashMismatch   = errors.New("hash mismatch")
	errNumberMismatch = errors.New("number mismatch")
)

// reportRefusal passes a refusal to the observer, or logs it if there is none.
func (m *Manager) reportRefusal(p *peer, number uint64, reason error) {
	if m.cfg.ConfigObserver != nil {
		m.cfg.ConfigObserver.RefusedFromPeer(p.address, number, reason, time.Now())
		return
	}
	klog.Warningf(logPrefix+"configuration %d of %s is not usable: %v", number, p.address, reason)
}

func (m *Manager) rejectBody(p *peer, number uint64, reason error) {
	m.reportRefusal(p, number, reason)
	m.transfer.excludePeer(p.address, time.Now())
	m.startNextPull(time.Now())
}
