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

// Limits of links and intervals of dials outside the topology.
const (
	// acceptRate and acceptBurst limit the links accepted per second: when many
	// nodes join at once, each one is sent up to a megabyte of records and
	// configuration.
	acceptRate  = 20
	acceptBurst = 20
	// maxLinks is the number of links at which a node stops accepting links from
	// nodes that are not its neighbours.
	maxLinks = 2 * MaxNeighbours
	// maxAlternatives is the number of other peers listed in a refusal.
	maxAlternatives = 4
	// surplusLinkTime is how long the dialling node keeps a link to a node
	// that is not a neighbour.
	surplusLinkTime = 3 * time.Second
	// minNeighbourLinks is the number of links to neighbours that must be
	// established before surplus links are closed.
	minNeighbourLinks = 2
	// bootstrapInterval bounds the wait between dials of a node without links.
	bootstrapInterval = time.Second
	// lostDialInterval is the mean time between dials of addresses that are no
	// longer members; it lets the parts of a partitioned fleet rejoin.
	lostDialInterval = 10 * time.Second
	// redialJitter bounds the random wait before a closed link is dialled
	// again.
	redialJitter = 100 * time.Millisecond
)

// admit decides on a link that a peer requests; nil accepts it.
func (m *Manager) admit(h *link.Hello) *link.Refusal {
	if h.Protocol != link.ProtocolVersion {
		return &link.Refusal{Code: api.PeerVersion}
	}
	if h.Probe {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	full := len(m.links) >= maxLinks && !m.dials.neighbours[h.Self.Address] && m.links[h.Self.Address] == nil
	if m.closing || full || !m.acceptLimiter.Allow() {
		m.counters.Refused++
		return &link.Refusal{Code: api.PeerBusy, Alternatives: m.alternativesLocked(h.Self)}
	}
	m.counters.Accepted++
	return nil
}

// alternativesLocked picks random members that a refused peer can try,
// starting with those in its data centre. The caller holds mu.
func (m *Manager) alternativesLocked(refused membership.Record) []string {
	var sameDataCentre, elsewhere []string
	for _, r := range m.cfg.Members.Index().Members {
		switch {
		case r.State != membership.Alive || r.Address == refused.Address || r.Address == m.cfg.Self().Address:
		case r.DataCentre == refused.DataCentre:
			sameDataCentre = append(sameDataCentre, r.Address)
		default:
			elsewhere = append(elsewhere, r.Address)
		}
	}
	m.shuffleLocked(sameDataCentre)
	m.shuffleLocked(elsewhere)
	out := append(sameDataCentre[:min(len(sameDataCentre), maxAlternatives/2)], elsewhere...)
	return out[:min(len(out), maxAlternatives)]
}

func (m *Manager) shuffleLocked(s []string) {
	m.rng.Shuffle(len(s), func(i, j int) { s[i], s[j] = s[j], s[i] })
}

// dialDue dials the neighbours that are due and at most one further address,
// chosen by extraDialLocked.
func (m *Manager) dialDue(now time.Time) {
	self := m.cfg.Self().Address
	m.mu.Lock()
	if m.closing {
		m.mu.Unlock()
		return
	}
	m.dials.refreshNeighbours(m.cfg.Members, self, now)
	due := m.dials.dueDials(self, func(a string) bool { return m.links[a] != nil }, now)
	if extra := m.extraDialLocked(now); extra != "" && !slices.Contains(due, extra) {
		due = append(due, extra)
	}
	for _, a := range due {
		m.dials.target(a).dialing = true
	}
	m.mu.Unlock()
	for _, a := range due {
		m.spawn(func() { m.connect(a) })
	}
}

// extraDialLocked returns an address outside the topology to dial, or "". A
// node without links dials a random seed, member or hint; any other node
// dials, every lostDialInterval on average, an address that is no longer a
// member. The caller holds mu.
func (m *Manager) extraDialLocked(now time.Time) string {
	if len(m.links) == 0 {
		if now.Before(m.nextBootstrap) {
			return ""
		}
		// A node learns the whole member table over its first link, so that one in
		// its own data centre is dialled first.
		address := m.pickLocked(m.ownDataCentreLocked())
		if address == "" || m.dials.target(address).failures > 0 {
			address = m.pickLocked(append(m.knownAddressesLocked(), m.dials.hints...))
		}
		if address != "" {
			m.nextBootstrap = now.Add(m.jitterLocked(bootstrapInterval))
		}
		return address
	}
	if now.Before(m.nextLostDial) {
		return ""
	}
	first := m.nextLostDial.IsZero()
	m.nextLostDial = now.Add(lostDialInterval/2 + m.jitterLocked(lostDialInterval))
	if first {
		return ""
	}
	return m.pickLocked(m.lostAddressesLocked())
}

// ownDataCentreLocked returns the addresses of the members in this node's data
// centre.
func (m *Manager) ownDataCentreLocked() []string {
	own := m.cfg.Self().DataCentre
	var out []string
	for _, r := range m.cfg.Members.Index().Members {
		if r.DataCentre == own {
			out = append(out, r.Address)
		}
	}
	return out
}

// knownAddressesLocked returns the addresses of all seeds and members.
func (m *Manager) knownAddressesLocked() []string {
	out := m.cfg.SeedAddresses()
	for _, r := range m.cfg.Members.Index().Members {
		out = append(out, r.Address)
	}
	return out
}

// lostAddressesLocked returns the seeds that are not members and the members
// that are Gone.
func (m *Manager) lostAddressesLocked() []string {
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

// pickLocked picks a random address that is neither linked nor being dialled.
func (m *Manager) pickLocked(candidates []string) string {
	self := m.cfg.Self().Address
	candidates = slices.DeleteFunc(slices.Clone(candidates), func(a string) bool {
		t := m.dials.targets[a]
		return a == self || m.links[a] != nil || t != nil && t.dialing
	})
	if len(candidates) == 0 {
		return ""
	}
	return candidates[m.rng.IntN(len(candidates))]
}

// connect dials one address and serves the link.
func (m *Manager) connect(address string) {
	conn, remote, alternatives, err := m.dial(address, false)
	if err == nil && remote.Address != address {
		_ = conn.Close()
		err = api.Errorf(api.PeerSettings, "the peer at %s identifies itself as %s", address, remote.Address)
	}
	if err != nil {
		m.dialFailed(address, alternatives, err)
		return
	}
	self := m.cfg.Self().Address
	m.serveLink(conn, remote, self)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dials.target(address).dialing = false
}

func (m *Manager) dialFailed(address string, alternatives []string, err error) {
	if m.ctx.Err() != nil {
		return
	}
	klog.V(1).Infof(logPrefix+"link to %s failed: %v", address, err)
	r, known := m.cfg.Members.Get(address)
	now := time.Now()
	m.mu.Lock()
	m.dials.addHints(alternatives)
	if isRefusal(err) {
		m.dials.recordRefusal(address, m.rng.Float64(), now)
		m.mu.Unlock()
		return
	}
	failures := m.dials.recordFailure(address, r.Incarnation, m.rng.Float64(), now)
	m.mu.Unlock()
	if known && failures >= unreachableFailures && r.State <= membership.Suspect {
		m.spawn(func() { m.probeAndSuspect(r) })
	}
}

// isRefusal reports whether the peer replied with a refusal, which shows that
// it is alive.
func isRefusal(err error) bool {
	var e *api.Error
	return errors.As(err, &e) && (e.Code == api.PeerBusy || e.Code == api.PeerVersion)
}

// closeSilentLinks closes links on which nothing was received within
// silenceTimeout.
func (m *Manager) closeSilentLinks(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.links {
		if now.UnixNano()-p.lastReceived.Load() > int64(silenceTimeout) {
			klog.V(1).Infof(logPrefix+"link with %s is silent", p.address)
			_ = p.conn.Close()
		}
	}
}

// closeSurplusLinks closes links that this node dialled to nodes that are not
// neighbours.
func (m *Manager) closeSurplusLinks(now time.Time) {
	self := m.cfg.Self().Address
	m.mu.Lock()
	defer m.mu.Unlock()
	established := 0
	for a := range m.dials.neighbours {
		if m.links[a] != nil {
			established++
		}
	}
	if established < min(minNeighbourLinks, len(m.dials.neighbours)) {
		return
	}
	for a, p := range m.links {
		if !m.dials.neighbours[a] && p.initiator == self && now.Sub(p.since) > surplusLinkTime {
			_ = p.conn.Close()
		}
	}
}

// Synced reports whether this node has learned all it can about its peers'
// configurations: each neighbour either is linked and has sent its digest or
// could not be reached, and no peer is known to hold a higher number.
func (m *Manager) Synced() bool {
	held := m.cfg.ConfigStore.HighestNumber()
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.links) == 0 || m.dials.stale || m.dials.generation != m.cfg.Members.Generation() {
		return false
	}
	for a := range m.dials.neighbours {
		if m.links[a] == nil && m.dials.target(a).failures == 0 {
			return false
		}
	}
	for _, p := range m.links {
		if !p.digestReceived.Load() || p.configNumber.Load() > held {
			return false
		}
	}
	return true
}
