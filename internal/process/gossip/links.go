package gossip

import (
	"errors"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/link"
	"github.com/daisytide/daisytide/internal/process/membership"
)

// Limits of links, and times of those beyond the graph.
const (
	// acceptRate and acceptBurst bound the links taken per second: at a herd
	// a node sends each joiner up to a megabyte of records and configuration.
	acceptRate  = 20
	acceptBurst = 20
	// maxLinks is the most links at which a node takes one that its graph
	// does not name.
	maxLinks = 2 * MaxNeighbours
	// tryNames is the number of other peers that a refusal names.
	tryNames = 4
	// unwantedFor is how long a link that the graph does not name is kept
	// by the end that dialled it.
	unwantedFor = 3 * time.Second
	// enoughWanted is the number of wanted links that must stand before
	// others are closed.
	enoughWanted = 2
	// bootstrapEvery bounds the wait between dials of a node without links.
	bootstrapEvery = time.Second
	// lostEvery is the mean time between dials of an address that is no
	// member any more: two parts of a fleet find each other again by it.
	lostEvery = 10 * time.Second
	// redialSpan spreads the dials after a link ended.
	redialSpan = 100 * time.Millisecond
)

// admit decides on a link that a peer asks for; nil admits it.
func (m *Manager) admit(h *link.Hello) *link.Refusal {
	if h.Protocol != link.ProtocolVersion {
		return &link.Refusal{Code: api.PeerVersion}
	}
	if h.Probe {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	full := len(m.links) >= maxLinks && !m.choice.wanted[h.Self.Address] && m.links[h.Self.Address] == nil
	if m.closing || full || !m.accepts.Allow() {
		m.counters.Refused++
		return &link.Refusal{Code: api.PeerBusy, Alternatives: m.othersLocked(h.Self)}
	}
	m.counters.Accepted++
	return nil
}

// othersLocked draws members for a refused peer to try, the first ones of its
// own data centre. The caller holds mu.
func (m *Manager) othersLocked(asker membership.Record) []string {
	var near, far []string
	for _, r := range m.cfg.Members.Index().Members {
		switch {
		case r.State != membership.Alive || r.Address == asker.Address || r.Address == m.cfg.Self().Address:
		case r.DataCentre == asker.DataCentre:
			near = append(near, r.Address)
		default:
			far = append(far, r.Address)
		}
	}
	m.shuffleLocked(near)
	m.shuffleLocked(far)
	out := append(near[:min(len(near), tryNames/2)], far...)
	return out[:min(len(out), tryNames)]
}

func (m *Manager) shuffleLocked(s []string) {
	m.rng.Shuffle(len(s), func(i, j int) { s[i], s[j] = s[j], s[i] })
}

// dialDue dials the neighbours that are due. A node without links dials a
// seed, a hint or a member; now and then each dials an address that is lost.
func (m *Manager) dialDue(now time.Time) {
	self := m.cfg.Self().Address
	m.mu.Lock()
	if m.closing {
		m.mu.Unlock()
		return
	}
	m.choice.refresh(m.cfg.Members, self, now)
	due := m.choice.due(self, func(a string) bool { return m.links[a] != nil }, now)
	if extra := m.extraLocked(now); extra != "" && !slices.Contains(due, extra) {
		due = append(due, extra)
	}
	for _, a := range due {
		m.choice.target(a).dialing = true
	}
	m.mu.Unlock()
	for _, a := range due {
		m.spawn(func() { m.connect(a) })
	}
}

// extraLocked chooses an address beyond the graph, or none.
func (m *Manager) extraLocked(now time.Time) string {
	if len(m.links) == 0 {
		if now.Before(m.bootstrapNext) {
			return ""
		}
		address := m.drawLocked(append(m.knownLocked(), m.choice.hints...))
		if address != "" {
			m.bootstrapNext = now.Add(m.jitterLocked(bootstrapEvery))
		}
		return address
	}
	if now.Before(m.lostNext) {
		return ""
	}
	first := m.lostNext.IsZero()
	m.lostNext = now.Add(lostEvery/2 + m.jitterLocked(lostEvery))
	if first {
		return ""
	}
	return m.drawLocked(m.lostLocked())
}

// knownLocked lists seeds and members.
func (m *Manager) knownLocked() []string {
	out := m.cfg.SeedAddresses()
	for _, r := range m.cfg.Members.Index().Members {
		out = append(out, r.Address)
	}
	return out
}

// lostLocked lists seeds that are no members and members that are Gone.
func (m *Manager) lostLocked() []string {
	var out []string
	for _, a := range m.cfg.SeedAddresses() {
		if _, ok := m.cfg.Members.Get(a); !ok {
			out = append(out, a)
		}
	}
	for _, r := range m.cfg.Members.All() {
		if r.State == membership.Gone {
			out = append(out, r.Address)
		}
	}
	return out
}

// drawLocked picks one address that is neither linked nor being dialled.
func (m *Manager) drawLocked(from []string) string {
	self := m.cfg.Self().Address
	from = slices.DeleteFunc(slices.Clone(from), func(a string) bool {
		t := m.choice.targets[a]
		return a == self || m.links[a] != nil || t != nil && t.dialing
	})
	if len(from) == 0 {
		return ""
	}
	return from[m.rng.IntN(len(from))]
}

// connect dials one address and serves the link.
func (m *Manager) connect(address string) {
	conn, other, try, err := m.dial(address, false)
	if err == nil && other.Address != address {
		_ = conn.Close()
		err = api.Errorf(api.PeerSettings, "%s calls itself %s", address, other.Address)
	}
	if err != nil {
		m.dialFailed(address, try, err)
		return
	}
	self := m.cfg.Self().Address
	m.serve(conn, other, self)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.choice.target(address).dialing = false
}

func (m *Manager) dialFailed(address string, try []string, err error) {
	if m.ctx.Err() != nil {
		return
	}
	klog.V(1).Infof(logPrefix+"no link to %s: %v", address, err)
	r, known := m.cfg.Members.Get(address)
	now := time.Now()
	m.mu.Lock()
	m.choice.hint(try)
	if refusal(err) {
		m.choice.refused(address, m.rng.Float64(), now)
		m.mu.Unlock()
		return
	}
	fails := m.choice.failed(address, r.Incarnation, m.rng.Float64(), now)
	m.mu.Unlock()
	if known && fails >= failsUnreachable && r.State <= membership.Suspect {
		m.spawn(func() { m.doubt(r) })
	}
}

// refusal tells whether the peer answered with a refusal: it lives.
func refusal(err error) bool {
	var e *api.Error
	return errors.As(err, &e) && (e.Code == api.PeerBusy || e.Code == api.PeerVersion)
}

// closeSilent ends links on which nothing came for too long.
func (m *Manager) closeSilent(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.links {
		if now.UnixNano()-p.heard.Load() > int64(silenceLimit) {
			klog.V(1).Infof(logPrefix+"link with %s is silent", p.address)
			_ = p.conn.Close()
		}
	}
}

// closeUnwanted ends links that this node dialled and the graph does not name.
func (m *Manager) closeUnwanted(now time.Time) {
	self := m.cfg.Self().Address
	m.mu.Lock()
	defer m.mu.Unlock()
	standing := 0
	for a := range m.choice.wanted {
		if m.links[a] != nil {
			standing++
		}
	}
	if standing < min(enoughWanted, len(m.choice.wanted)) {
		return
	}
	for a, p := range m.links {
		if !m.choice.wanted[a] && p.dialler == self && now.Sub(p.since) > unwantedFor {
			_ = p.conn.Close()
		}
	}
}

// Synced tells whether this node has heard all that it can of its peers'
// configurations: each neighbour is linked and sent its digest or could not
// be reached, and no peer is known to hold a higher number than this node.
func (m *Manager) Synced() bool {
	held := m.cfg.ConfigStore.HighestNumber()
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.links) == 0 || m.choice.stale || m.choice.generation != m.cfg.Members.Generation() {
		return false
	}
	for a := range m.choice.wanted {
		if m.links[a] == nil && m.choice.target(a).fails == 0 {
			return false
		}
	}
	for _, p := range m.links {
		if !p.greeted.Load() || p.number.Load() > held {
			return false
		}
	}
	return true
}
