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
	suspicionTime = 4 * time.Second
	// leaveSettle is how long after its last link a leaving node is gone.
	leaveSettle = 2 * time.Second
	// reachTimeout bounds a question to a helper; it dials within it.
	reachTimeout = 2500 * time.Millisecond
	// helpers is the number of other members that are asked.
	helpers = 3
)

// suspicion is a member that will be declared Gone at due, unless its record
// changes before.
type suspicion struct {
	record membership.Record
	due    time.Time
}

// lost notes the end of a link; the caller holds mu. A peer that was leaving
// has left; any other is dialled again.
func (m *Manager) lost(p *peer) {
	now := time.Now()
	m.choice.ended(p.address, m.jitterLocked(redialSpan), now)
	r, ok := m.cfg.Members.Get(p.address)
	if ok && r.State == membership.Leaving {
		m.suspects[p.address] = suspicion{record: r, due: now.Add(leaveSettle)}
	}
}

// doubt asks others about a member that this node cannot reach, and spreads
// a suspicion when they cannot either.
func (m *Manager) doubt(r membership.Record) {
	if !m.startAsking(r.Address) {
		return
	}
	defer m.endAsking(r.Address)
	if m.othersReach(r) {
		return
	}
	now, ok := m.cfg.Members.Get(r.Address)
	if !ok || now.Incarnation != r.Incarnation || now.State > membership.Suspect {
		return
	}
	now.State = membership.Suspect
	m.declare(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.suspects[r.Address]; !ok {
		m.suspects[r.Address] = suspicion{record: now, due: time.Now().Add(suspicionTime)}
	}
}

func (m *Manager) startAsking(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.choice.target(address)
	if t.asking || m.closing {
		return false
	}
	t.asking = true
	return true
}

func (m *Manager) endAsking(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.choice.target(address).asking = false
}

// othersReach asks helpers. A node that gets no answer although there are
// others is itself the one cut off, and blames nobody.
func (m *Manager) othersReach(r membership.Record) bool {
	asked := m.chooseHelpers(r)
	answered := 0
	for _, helper := range asked {
		ctx, cancel := context.WithTimeout(m.ctx, reachTimeout)
		reached, err := m.cfg.IndirectProbe(ctx, helper, r.Address)
		cancel()
		if err == nil && reached {
			return true
		}
		if err == nil {
			answered++
		}
	}
	return answered == 0 && len(asked) > 0
}

// chooseHelpers draws members to ask: of the doubted one's data centre, of
// its region, and of anywhere, as far as there are any.
func (m *Manager) chooseHelpers(r membership.Record) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var centre, region, anywhere []string
	for _, o := range m.cfg.Members.Index().Members {
		switch {
		case o.State != membership.Alive || o.Address == r.Address || o.Address == m.cfg.Self().Address:
		case o.DataCentre == r.DataCentre:
			centre = append(centre, o.Address)
		case o.Region == r.Region:
			region = append(region, o.Address)
		default:
			anywhere = append(anywhere, o.Address)
		}
	}
	var out []string
	for _, group := range [][]string{centre, region, anywhere} {
		m.shuffleLocked(group)
		out = append(out, group[:min(len(group), helpers-2)]...)
	}
	for _, group := range [][]string{anywhere, region, centre} {
		for _, a := range group[min(len(group), helpers-2):] {
			if len(out) < helpers {
				out = append(out, a)
			}
		}
	}
	return out
}

// declare merges and spreads what this node believes of another.
func (m *Manager) declare(r membership.Record) {
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
func (m *Manager) settleSuspects(now time.Time) {
	for _, r := range m.dueSuspects(now) {
		current, ok := m.cfg.Members.Get(r.Address)
		if ok && current == r {
			current.State = membership.Gone
			m.declare(current)
		}
	}
}

func (m *Manager) dueSuspects(now time.Time) []membership.Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []membership.Record
	for a, s := range m.suspects {
		if now.Before(s.due) {
			continue
		}
		delete(m.suspects, a)
		if m.links[a] == nil {
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
	if p != nil && time.Now().UnixNano()-p.heard.Load() < int64(replaceAfter) {
		return true
	}
	conn, other, _, err := m.dial(address, true)
	if err != nil {
		return refusal(err)
	}
	_ = conn.Close()
	return other.Address == address
}
