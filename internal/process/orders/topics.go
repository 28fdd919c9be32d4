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
	Duration time.Duration `cbor:"4,keyasint"`
	// Age is how long ago the sender learned of the order, so that a node that
	// starts does not begin the move anew.
	Age      time.Duration `cbor:"5,keyasint"`
	Phase    ramp.Phase    `cbor:"6,keyasint"`
	Recorded bool          `cbor:"7,keyasint"`
}

// tallyKey names the counts of one node's upstream in a move.
type countsKey struct {
	node    string
	version string
}

// tally is what a node has counted since its start; the latest replaces all before.
type nodeCounts struct {
	Node        string                `cbor:"1,keyasint"`
	Incarnation uint64                `cbor:"2,keyasint"`
	Sequence    uint64                `cbor:"3,keyasint"`
	Service     string                `cbor:"4,keyasint"`
	Revision    uint64                `cbor:"5,keyasint"`
	Version     string                `cbor:"6,keyasint"`
	Routes      map[string]ramp.Tally `cbor:"7,keyasint"`
	item        []byte
}

// publishState spreads a move's state; the caller holds mu.
func (m *Manager) publishState(ro *rollout, now time.Time) {
	if item, err := wire.Marshal(ro.state(now)); err == nil {
		go m.cfg.Publisher.Publish(StateTopicName, item)
	} else {
		klog.Errorf(logPrefix+"%v", err)
	}
}

func (ro *rollout) state(now time.Time) state {
	return state{
		Service: ro.order.Service, Target: ro.order.Target, Revision: ro.order.Revision, Duration: ro.order.Duration,
		Age: now.Sub(ro.startedAt), Phase: ro.phase, Recorded: ro.recorded,
	}
}

// publishTallies spreads what was counted since the last time; the caller
// holds mu.
func (m *Manager) publishCounts(ro *rollout, now time.Time) {
	if !ro.dirty || now.Sub(ro.publishedAt) < publishInterval {
		return
	}
	ro.dirty, ro.publishedAt = false, now
	ro.sequence++
	for version, routes := range ro.ownCounts {
		t := nodeCounts{
			Node: m.cfg.Self, Incarnation: m.cfg.Incarnation, Sequence: ro.sequence, Service: ro.order.Service,
			Revision: ro.order.Revision, Version: version, Routes: map[string]ramp.Tally{},
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
		ro.counts[countsKey{t.Node, t.Version}] = t
		go m.cfg.Publisher.Publish(CountsTopicName, item)
	}
}

// totals sums the counts of all nodes, for the old versions and the target.
func (ro *rollout) totals() (older, newer map[string]ramp.Tally) {
	older, newer = map[string]ramp.Tally{}, map[string]ramp.Tally{}
	for key, t := range ro.counts {
		sums := older
		if key.version == ro.order.Target {
			sums = newer
		}
		for route, counts := range t.Routes {
			sum := sums[route]
			sum.Add(counts)
			sums[route] = sum
		}
	}
	return older, newer
}

func describeFailures(routes map[string]ramp.Tally) string {
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
	before := m.rollouts[s.Service]
	if before != nil && before.order.Revision > s.Revision {
		return false, nil
	}
	ro := m.startRollout(ramp.Order{Service: s.Service, Target: s.Target, Revision: s.Revision, Duration: s.Duration}, now)
	changed := ro != before
	if at := now.Add(-s.Age); s.Age > 0 && at.Before(ro.startedAt) {
		ro.startedAt = at
	}
	adopted := s.Phase > ro.phase && !ro.recorded || s.Recorded && !ro.recorded
	if adopted {
		ro.phase, ro.recorded, ro.endedAt = s.Phase, s.Recorded, now
		logPhase(ro, "a peer", now)
	}
	return changed || adopted, nil
}

// Checksum implements gossip.Topic; the age, which differs between nodes, is left out.
func (m StateTopic) Checksum() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	var sum uint64
	for service, ro := range m.rollouts {
		b := binary.LittleEndian.AppendUint64([]byte(service), ro.order.Revision)
		b = append(b, byte(ro.phase))
		if ro.recorded {
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
	for _, ro := range m.rollouts {
		if item, err := wire.Marshal(ro.state(now)); err == nil {
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
	var t nodeCounts
	if err := wire.Unmarshal(item, &t); err != nil {
		return false, err
	}
	t.item = item
	m.mu.Lock()
	defer m.mu.Unlock()
	ro := m.rollouts[t.Service]
	if ro == nil || ro.order.Revision != t.Revision || ro.phase != ramp.Running || t.Node == m.cfg.Self {
		return false, nil
	}
	key := countsKey{t.Node, t.Version}
	old, ok := ro.counts[key]
	if ok && (old.Incarnation > t.Incarnation || old.Incarnation == t.Incarnation && old.Sequence >= t.Sequence) {
		return false, nil
	}
	ro.counts[key] = t
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
	for _, ro := range m.rollouts {
		if ro.phase != ramp.Running {
			continue
		}
		for _, t := range ro.counts {
			out = append(out, t.item)
		}
	}
	return out
}
