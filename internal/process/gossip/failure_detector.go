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

// Timeouts of the failure detector.
const (
	// suspicionTimeout is how long a suspected member has to refute.
	suspicionTimeout = 4 * time.Second
	// leaveGrace is the time from the end of the link to a leaving node until
	// it is declared Gone.
	leaveGrace = 2 * time.Second
	// probeTimeout bounds an indirect probe, including the helper's dial.
	probeTimeout = 2500 * time.Millisecond
	// probeHelpers is the number of members asked for an indirect probe.
	probeHelpers = 3
)

// suspicion is a member that is declared Gone at the deadline unless its
// record changes or a link with it is established before then.
type suspicion struct {
	record   membership.Record
	deadline time.Time
}

// linkLostLocked handles the end of a link: a member that was leaving is
// declared Gone after leaveGrace, any other is dialled again. The caller holds
// mu.
func (m *Manager) linkLostLocked(p *peer) {
	now := time.Now()
	m.dials.recordLinkEnd(p.address, m.jitterLocked(redialJitter), now)
	r, ok := m.cfg.Members.Get(p.address)
	if ok && r.State == membership.Leaving {
		m.suspicions[p.address] = suspicion{record: r, deadline: now.Add(leaveGrace)}
	}
}

// probeAndSuspect asks other members to probe a member that this node cannot
// reach, and marks it Suspect if they cannot reach it either.
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

// reachableByOthers asks helpers to probe a member. If there are helpers but
// none replies, this node is probably the one cut off, and the member is
// assumed to be reachable.
func (m *Manager) reachableByOthers(r membership.Record) bool {
	helpers := m.selectHelpers(r)
	replied := 0
	for _, helper := range helpers {
		ctx, cancel := context.WithTimeout(m.ctx, probeTimeout)
		reached, err := m.cfg.IndirectProbe(ctx, helper, r.Address)
		cancel()
		if err == nil && reached {
			return true
		}
		if err == nil {
			replied++
		}
	}
	return replied == 0 && len(helpers) > 0
}

// selectHelpers picks random members for an indirect probe: one in the data
// centre of the probed member, one in its region and one elsewhere, filled up
// from the other groups where one is empty.
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
	// Of probeHelpers, probeHelpers-2 come from each of the three groups.
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

// publishState merges and publishes a state that this node detected.
func (m *Manager) publishState(r membership.Record) {
	if !m.cfg.Members.Merge(r) {
		return
	}
	slog.Info(logPrefix+"member changed", logs.FieldMember, r.Address, logs.FieldState, r.State.String())
	item, err := wire.Marshal(r)
	if err != nil {
		klog.Errorf(logPrefix+"encode the record of a member: %v", err)
		return
	}
	m.Publish(membership.TopicName, item)
}

// expireSuspicions declares members Gone whose records are unchanged at the
// deadline.
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

// Probe reports whether this node reaches address, on behalf of a peer that
// does not: it checks for a link with recent messages, else dials.
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
