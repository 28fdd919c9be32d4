package gossip

import (
	"context"
	"log/slog"
	"time"

	"k8s.io/klog/v2"

	"github.com/daisytide/daisytide/internal/conn/wire"
	"github.com/daisytide/daisytide/internal/logs"
	"github.com/daisytide/daisytide/internal/process/membership"
)

// Times of the detection of failed members.
const (
	// suspicionTime is how long a suspect has to refute.
	suspicionTimeout = 4 * time.Second
	// leaveSettle is how long after its last link a leaving node is gone.
	leaveGrace = 2 * time.Second
	// reachTimeout bounds a question to a helper; it dials within it.
	probeTimeout = 2500 * time.Millisecond
	// helpers is the number of other members that are asked.
	probeHelpers = 3
)

// suspicion is a member that will be declared Gone at due, unless its record
// changes before.
type suspicion struct {
	record   membership.Record
	deadline time.Time
}

// lost notes the end of a link; the caller holds mu. A peer that was leaving
// has left; any other is dialled again.
func (m *Manager) linkLostLocked(p *peer) {
	now := time.Now()
	m.dials.recordLinkEnd(p.address, m.jitterLocked(redialJitter), now)
	r, ok := m.cfg.Members.Get(p.address)
	if ok && r.State == membership.Leaving {
		m.suspicions[p.address] = suspicion{record: r, deadline: now.Add(leaveGrace)}
	}
}

// doubt asks others about a member that this node cannot reach, and spreads
// a suspicion when they cannot either.
func (m *Manager) probeAndSuspect(r membership.Record) {
	if !m.beginProbe(r.Address) {
		return
	}
	defer m.endProbe(r.Address)
	if m.reachableByOthers(r) {
		return
	}
	current, ok := m.cfg.Members.Get(r.Address)
	if !ok || current.Incarnation != r.Incarnation || current.State > membership.Suspect {
		return
	}
	current.State = membership.Suspect
	m.publishState(current)
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.suspicions[r.Address]; !ok {
		m.suspicions[r.Address] = suspicion{record: current, deadline: time.Now().Add(suspicionTimeout)}
	}
}

func (m *Manager) beginProbe(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.dials.target(address)
	if t.probing || m.closing {
		return false
	}
	t.probing = true
	return true
}

func (m *Manager) endProbe(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dials.target(address).probing = false
}

// othersReach asks helpers. A node that gets no answer although there are
// others is itself the one cut off, and blames nobody.
func (m *Manager) reachableByOthers(r membership.Record) bool {
	helpers := m.selectHelpers(r)
	answered := 0
	for _, helper := range helpers {
		ctx, cancel := context.WithTimeout(m.ctx, probeTimeout)
		reached, err := m.cfg.IndirectProbe(ctx, helper, r.Address)
		cancel()
		if err == nil && reached {
			return true
		}
		if err == nil {
			answered++
		}
	}
	return answered == 0 && len(helpers) > 0
}

// chooseHelpers draws members to ask: of the doubted one's data centre, of
// its region, and of anywhere, as far as there are any.
func (m *Manager) selectHelpers(r membership.Record) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var sameDataCentre, sameRegion, elsewhere []string
	for _, o := range m.cfg.Members.Index().Members {
		switch {
		case o.State != membership.Alive || o.Address == r.Address || o.Address == m.cfg.Self().Address:
		case o.DataCentre == r.DataCentre:
			sameDataCentre = append(sameDataCentre, o.Address)
		case o.Region == r.Region:
			sameRegion = append(sameRegion, o.Address)
		default:
			elsewhere = append(elsewhere, o.Address)
		}
	}
	var out []string
	for _, group := range [][]string{sameDataCentre, sameRegion, elsewhere} {
		m.shuffleLocked(group)
		out = append(out, group[:min(len(group), probeHelpers-2)]...)
	}
	for _, group := range [][]string{elsewhere, sameRegion, sameDataCentre} {
		for _, a := range group[min(len(group), probeHelpers-2):] {
			if len(out) < probeHelpers {
				out = append(out, a)
			}
		}
	}
	return out
}

// declare merges and spreads what this node believes of another.
func (m *Manager) publishState(r membership.Record) {
	if !m.cfg.Members.Merge(r) {
		return
	}
	slog.Info(logPrefix+"member changed", logs.FieldMember, r.Address, logs.FieldState, r.State.String())
	item, err := wire.Marshal(r)
	if err != nil {
		klog.Errorf(logPrefix+"%v", err)
		return
	}
	m.Publish(membership.TopicName, item)
}

// settleSuspects declares gone those who did not refute in time.
func (m *Manager) expireSuspicions(now time.Time) {
	for _, r := range m.takeDueSuspicions(now) {
		current, ok := m.cfg.Members.Get(r.Address)
		if ok && current == r {
			current.State = membership.Gone
			m.publishState(current)
		}
	}
}

func (m *Manager) takeDueSuspicions(now time.Time) []membership.Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []membership.Record
	for address, s := range m.suspicions {
		if now.Before(s.deadline) {
			continue
		}
		delete(m.suspicions, address)
		if m.links[address] == nil {
			out = append(out, s.record)
		}
	}
	return out
}

// Probe tells whether this node reaches address, for a peer that does not: by
// a link that is heard, else by a probe.
func (m *Manager) Probe(address string) bool {
	m.mu.Lock()
	p := m.links[address]
	m.mu.Unlock()
	if p != nil && time.Now().UnixNano()-p.lastReceived.Load() < int64(replaceAfter) {
		return true
	}
	conn, remote, _, err := m.dial(address, true)
	if err != nil {
		return isRefusal(err)
	}
	_ = conn.Close()
	return remote.Address == address
}
