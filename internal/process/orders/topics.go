package orders

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/daisytide/daisytide/internal/conn/wire"
	"github.com/daisytide/daisytide/internal/version/ramp"
)

// Names of the spread topics.
const (
	StateTopicName  = "orders"
	CountsTopicName = "tallies"
)

// state is what nodes tell each other of a move. It merges by the highest
// revision, then the phase: one that the store holds beats any other.
type state struct {
	Service  string        `cbor:"1,keyasint"`
	Target   string        `cbor:"2,keyasint"`
	Revision uint64        `cbor:"3,keyasint"`
	Within   time.Duration `cbor:"4,keyasint"`
	// Age is how long ago the sender learned of the order, so that a node that
	// starts does not begin the move anew.
	Age      time.Duration `cbor:"5,keyasint"`
	Phase    ramp.Phase    `cbor:"6,keyasint"`
	Recorded bool          `cbor:"7,keyasint"`
}

// tallyKey names the counts of one node's upstream in a move.
type tallyKey struct {
	writer  string
	version string
}

// tally is what a node has counted since its start; the latest replaces all before.
type tally struct {
	Writer   string                `cbor:"1,keyasint"`
	Born     uint64                `cbor:"2,keyasint"`
	Seq      uint64                `cbor:"3,keyasint"`
	Service  string                `cbor:"4,keyasint"`
	Revision uint64                `cbor:"5,keyasint"`
	Version  string                `cbor:"6,keyasint"`
	Routes   map[string]ramp.Tally `cbor:"7,keyasint"`
	item     []byte
}

// publishState spreads a move's state; the caller holds mu.
func (m *Manager) publishState(mv *move, now time.Time) {
	if item, err := wire.Marshal(mv.state(now)); err == nil {
		go m.cfg.Publisher.Publish(StateTopicName, item)
	} else {
		klog.Errorf(logPrefix+"%v", err)
	}
}

func (mv *move) state(now time.Time) state {
	return state{
		Service: mv.order.Service, Target: mv.order.Target, Revision: mv.order.Revision, Within: mv.order.Duration,
		Age: now.Sub(mv.since), Phase: mv.phase, Recorded: mv.recorded,
	}
}

// publishTallies spreads what was counted since the last time; the caller
// holds mu.
func (m *Manager) publishTallies(mv *move, now time.Time) {
	if !mv.dirty || now.Sub(mv.sentAt) < publishEvery {
		return
	}
	mv.dirty, mv.sentAt = false, now
	mv.seq++
	for version, routes := range mv.own {
		t := tally{
			Writer: m.cfg.Self, Born: m.cfg.Incarnation, Seq: mv.seq, Service: mv.order.Service,
			Revision: mv.order.Revision, Version: version, Routes: map[string]ramp.Tally{},
		}
		for route, counts := range routes {
			t.Routes[route] = counts
		}
		item, err := wire.Marshal(t)
		if err != nil {
			klog.Errorf(logPrefix+"%v", err)
			continue
		}
		t.item = item
		mv.tallies[tallyKey{t.Writer, t.Version}] = t
		go m.cfg.Publisher.Publish(CountsTopicName, item)
	}
}

// totals sums the counts of all nodes, for the old versions and the target.
func (mv *move) totals() (older, newer map[string]ramp.Tally) {
	older, newer = map[string]ramp.Tally{}, map[string]ramp.Tally{}
	for key, t := range mv.tallies {
		into := older
		if key.version == mv.order.Target {
			into = newer
		}
		for route, counts := range t.Routes {
			sum := into[route]
			sum.Add(counts)
			into[route] = sum
		}
	}
	return older, newer
}

func describe(routes map[string]ramp.Tally) string {
	var all ramp.Tally
	for _, t := range routes {
		all.Add(t)
	}
	return fmt.Sprintf("%d of %d runs failed", all.Failed, all.Runs())
}

// StateTopic is the spread topic of the states.
type StateTopic struct{ *Manager }

// Name implements gossip.Topic.
func (StateTopic) Name() string { return StateTopicName }

// Merge implements gossip.Topic.
func (m StateTopic) Merge(item []byte) (bool, error) {
	var s state
	if err := wire.Unmarshal(item, &s); err != nil {
		return false, err
	}
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.moves[s.Service]
	if before != nil && before.order.Revision > s.Revision {
		return false, nil
	}
	mv := m.order(ramp.Order{Service: s.Service, Target: s.Target, Revision: s.Revision, Duration: s.Within}, now)
	changed := mv != before
	if at := now.Add(-s.Age); s.Age > 0 && at.Before(mv.since) {
		mv.since = at
	}
	later := s.Phase > mv.phase && !mv.recorded || s.Recorded && !mv.recorded
	if later {
		mv.phase, mv.recorded, mv.decided = s.Phase, s.Recorded, now
		logPhase(mv, "a peer", now)
	}
	return changed || later, nil
}

// Checksum implements gossip.Topic; the age, which differs between nodes, is left out.
func (m StateTopic) Checksum() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	var sum uint64
	for service, mv := range m.moves {
		b := binary.LittleEndian.AppendUint64([]byte(service), mv.order.Revision)
		b = append(b, byte(mv.phase))
		if mv.recorded {
			b = append(b, 1)
		}
		sum ^= xxhash.Sum64(b)
	}
	return sum
}

// Items implements gossip.Topic.
func (m StateTopic) Items() [][]byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	var out [][]byte
	for _, mv := range m.moves {
		if item, err := wire.Marshal(mv.state(now)); err == nil {
			out = append(out, item)
		}
	}
	return out
}

// CountsTopic is the spread topic of the counts.
type CountsTopic struct{ *Manager }

// Name implements gossip.Topic.
func (CountsTopic) Name() string { return CountsTopicName }

// Merge implements gossip.Topic.
func (m CountsTopic) Merge(item []byte) (bool, error) {
	var t tally
	if err := wire.Unmarshal(item, &t); err != nil {
		return false, err
	}
	t.item = item
	m.mu.Lock()
	defer m.mu.Unlock()
	mv := m.moves[t.Service]
	if mv == nil || mv.order.Revision != t.Revision || mv.phase != ramp.Running || t.Writer == m.cfg.Self {
		return false, nil
	}
	key := tallyKey{t.Writer, t.Version}
	old, ok := mv.tallies[key]
	if ok && (old.Born > t.Born || old.Born == t.Born && old.Seq >= t.Seq) {
		return false, nil
	}
	mv.tallies[key] = t
	return true, nil
}

// Checksum implements gossip.Topic.
func (m CountsTopic) Checksum() uint64 {
	var sum uint64
	for _, item := range m.Items() {
		sum ^= xxhash.Sum64(item)
	}
	return sum
}

// Items implements gossip.Topic.
func (m CountsTopic) Items() [][]byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out [][]byte
	for _, mv := range m.moves {
		if mv.phase != ramp.Running {
			continue
		}
		for _, t := range mv.tallies {
			out = append(out, t.item)
		}
	}
	return out
}
