package orders

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/wire"
	"github.com/daisytide/daisytide/internal/version/ramp"
)

// Names of the gossip topics.
const (
	StateTopicName  = "orders"
	CountsTopicName = "tallies"
)

// state is the item of a rollout's state. Nodes merge states by the highest
// revision, then by the highest phase; a phase recorded in the store takes
// precedence over any other.
type state struct {
	Service  string        `cbor:"1,keyasint"`
	Target   string        `cbor:"2,keyasint"`
	Revision uint64        `cbor:"3,keyasint"`
	Duration time.Duration `cbor:"4,keyasint"`
	// Age is the time since the sender received the order. A node that has just
	// started uses it to continue the schedule instead of restarting it.
	Age      time.Duration `cbor:"5,keyasint"`
	Phase    ramp.Phase    `cbor:"6,keyasint"`
	Recorded bool          `cbor:"7,keyasint"`
}

// countsKey identifies the counts of one node for one version in a rollout.
type countsKey struct {
	node    string
	version string
}

// nodeCounts holds a node's cumulative run counts for one version since the node
// started. A newer item replaces the older ones.
type nodeCounts struct {
	Node        string                `cbor:"1,keyasint"`
	Incarnation uint64                `cbor:"2,keyasint"`
	Sequence    uint64                `cbor:"3,keyasint"`
	Service     string                `cbor:"4,keyasint"`
	Revision    uint64                `cbor:"5,keyasint"`
	Version     string                `cbor:"6,keyasint"`
	Routes      map[string]ramp.Tally `cbor:"7,keyasint"`
	// item is the encoding as published by the node.
	item []byte
}

// publishState publishes a rollout's state. The caller holds mu.
func (m *Manager) publishState(ro *rollout, now time.Time) {
	if item, err := wire.Marshal(ro.state(now)); err == nil {
		go m.cfg.Publisher.Publish(StateTopicName, item)
	} else {
		klog.Errorf(logPrefix+"encode a rollout state: %v", err)
	}
}

func (ro *rollout) state(now time.Time) state {
	return state{
		Service: ro.order.Service, Target: ro.order.Target, Revision: ro.order.Revision, Duration: ro.order.Duration,
		Age: now.Sub(ro.startedAt), Phase: ro.phase, Recorded: ro.recorded,
	}
}

// publishCounts publishes this node's counts if they changed, at most once per
// publishInterval. The caller holds mu.
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
			klog.Errorf(logPrefix+"encode run counts: %v", err)
			continue
		}
		t.item = item
		ro.counts[countsKey{t.Node, t.Version}] = t
		go m.cfg.Publisher.Publish(CountsTopicName, item)
	}
}

// totals sums the counts of all nodes for the old versions and for the target.
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

// StateTopic is the gossip topic of rollout states.
type StateTopic struct{ *Manager }

// Name implements gossip.Topic.
func (StateTopic) Name() string { return StateTopicName }

// Merge implements gossip.Topic.
func (m StateTopic) Merge(item []byte) (bool, error) {
	var s state
	if err := wire.Unmarshal(item, &s); err != nil {
		return false, err
	}
	if s.Service == "" || s.Target == "" || s.Duration <= 0 || s.Age < 0 || s.Phase > ramp.Withdrawn {
		return false, api.Errorf(api.PeerFrame, "the state of a rollout of %.100q to %.100q with duration %v, age %v and phase %d",
			s.Service, s.Target, s.Duration, s.Age, s.Phase)
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

// Checksum implements gossip.Topic. It leaves out the age, which differs between
// nodes.
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

// CountsTopic is the gossip topic of run counts.
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
