package orders

import (
	"encoding/binary"
	"fmt"
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/wire"
	"github.com/daisytide/daisytide/internal/process/membership"
	"github.com/daisytide/daisytide/internal/version/ramp"
)

// Names of the gossip topics.
const (
	StateTopicName  = "orders"
	CountsTopicName = "tallies"
	SumsTopicName   = "tally-sums"
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
	// RunningRecorded is set once the store holds the running phase.
	RunningRecorded bool `cbor:"8,keyasint,omitempty"`
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
	DataCentre  string                `cbor:"8,keyasint,omitempty"`
}

// isNewer reports whether t replaces an earlier item of the same node.
func (t nodeCounts) isNewer(old nodeCounts) bool {
	return t.Incarnation > old.Incarnation || t.Incarnation == old.Incarnation && t.Sequence > old.Sequence
}

// sumsKey identifies the sums that one collector publishes for its data centre.
type sumsKey struct {
	dataCentre string
	collector  string
}

// dataCentreSums holds the counts of a data centre's nodes, by version and route, as
// summed by one of them.
type dataCentreSums struct {
	Collector   string                           `cbor:"1,keyasint"`
	Incarnation uint64                           `cbor:"2,keyasint"`
	Sequence    uint64                           `cbor:"3,keyasint"`
	DataCentre  string                           `cbor:"4,keyasint"`
	Service     string                           `cbor:"5,keyasint"`
	Revision    uint64                           `cbor:"6,keyasint"`
	Versions    map[string]map[string]ramp.Tally `cbor:"7,keyasint"`
	// receivedAt is when this node received the item.
	receivedAt time.Time
}

// isNewer reports whether t replaces an earlier item of the same collector.
func (t dataCentreSums) isNewer(old dataCentreSums) bool {
	return t.Incarnation > old.Incarnation || t.Incarnation == old.Incarnation && t.Sequence > old.Sequence
}

// runs returns the number of runs in all versions.
func (t dataCentreSums) runs() uint64 {
	n := uint64(0)
	for _, routes := range t.Versions {
		for _, counts := range routes {
			n += uint64(counts.Runs())
		}
	}
	return n
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
		Age: now.Sub(ro.startedAt), Phase: ro.phase, Recorded: ro.recorded, RunningRecorded: ro.runningRecorded,
	}
}

// publishCounts publishes this node's counts to its data centre: at most once per
// interval if they changed, and once per refreshInterval in any case, since items are
// neither repaired nor kept for nodes that start later. The caller holds mu.
func (m *Manager) publishCounts(ro *rollout, now time.Time) {
	since := now.Sub(ro.publishedAt)
	if since < refreshInterval && (!ro.dirty || since < countsInterval(m.publishers(ro.order.Service))) {
		return
	}
	ro.dirty, ro.publishedAt = false, now
	ro.sequence++
	for version, routes := range ro.ownCounts {
		t := nodeCounts{
			Node: m.cfg.Self, Incarnation: m.cfg.Incarnation, Sequence: ro.sequence, Service: ro.order.Service,
			Revision: ro.order.Revision, Version: version, Routes: maps.Clone(routes), DataCentre: m.cfg.DataCentre,
		}
		ro.counts[countsKey{t.Node, t.Version}] = t
		ro.sumsDirty = true
		m.publishItem(CountsTopicName, t)
	}
}

func (m *Manager) publishItem(topic string, v any) {
	item, err := wire.Marshal(v)
	if err != nil {
		klog.Errorf(logPrefix+"encode an item of %s: %v", topic, err)
		return
	}
	go m.cfg.Publisher.Publish(topic, item)
}

// publishers returns how many nodes of this data centre have upstreams of a service.
func (m *Manager) publishers(service string) int {
	n := 0
	for _, r := range m.cfg.Members.Index().Members {
		if r.DataCentre == m.cfg.DataCentre && r.Service == service {
			n++
		}
	}
	return n
}

// countsInterval returns the minimum time between two publications of one node's
// counts. With many publishers it is longer: each item reaches every node of the data
// centre, and their number per second is bounded.
func countsInterval(publishers int) time.Duration {
	return min(max(minCountsInterval, time.Duration(publishers)*time.Second/maxCountsPerSecond), maxCountsInterval)
}

// publishSums publishes the sums of this data centre to the fleet if this node is its
// collector. The caller holds mu.
func (m *Manager) publishSums(ro *rollout, now time.Time) {
	since := now.Sub(ro.sumsPublishedAt)
	if since < sumsInterval || !ro.sumsDirty && since < refreshInterval || !m.isCollector(ro, now) {
		return
	}
	ro.sumsDirty, ro.sumsPublishedAt = false, now
	ro.sequence++
	t := dataCentreSums{
		Collector: m.cfg.Self, Incarnation: m.cfg.Incarnation, Sequence: ro.sequence, DataCentre: m.cfg.DataCentre,
		Service: ro.order.Service, Revision: ro.order.Revision, Versions: map[string]map[string]ramp.Tally{},
	}
	for key, counts := range ro.counts {
		if t.Versions[key.version] == nil {
			t.Versions[key.version] = map[string]ramp.Tally{}
		}
		addTallies(t.Versions[key.version], counts.Routes)
	}
	m.publishItem(SumsTopicName, t)
}

// isCollector reports whether this node publishes the sums of its data centre: the
// first of its nodes by rendezvous hashing, or the second while the first has been
// silent. A data centre without others needs none. The caller holds mu.
func (m *Manager) isCollector(ro *rollout, now time.Time) bool {
	own := rendezvousHash(ro, m.cfg.Self)
	rank, others := 0, false
	for _, r := range m.cfg.Members.Index().Members {
		switch {
		case r.DataCentre != m.cfg.DataCentre:
			others = true
		case r.State == membership.Alive && r.Address != m.cfg.Self && rendezvousHash(ro, r.Address) < own:
			rank++
		}
	}
	if !others || rank > 1 {
		return false
	}
	if rank == 0 {
		return true
	}
	for key, sums := range ro.sums {
		if key.dataCentre == m.cfg.DataCentre && key.collector != m.cfg.Self && now.Sub(sums.receivedAt) < collectorTimeout {
			return false
		}
	}
	return true
}

func addTallies(sums, routes map[string]ramp.Tally) {
	for route, counts := range routes {
		sum := sums[route]
		sum.Add(counts)
		sums[route] = sum
	}
}

// totals sums the counts of all nodes for the old versions and for the target: those
// of this data centre's nodes, and of each other data centre the sums of the collector
// that has counted most. Counts only grow, so that this one lags least.
func (ro *rollout) totals() (older, newer map[string]ramp.Tally) {
	older, newer = map[string]ramp.Tally{}, map[string]ramp.Tally{}
	add := func(version string, routes map[string]ramp.Tally) {
		sums := older
		if version == ro.order.Target {
			sums = newer
		}
		addTallies(sums, routes)
	}
	for key, t := range ro.counts {
		add(key.version, t.Routes)
	}
	best := map[string]dataCentreSums{}
	for key, t := range ro.sums {
		if current, ok := best[key.dataCentre]; key.dataCentre != ro.ownDataCentre && (!ok || t.runs() > current.runs()) {
			best[key.dataCentre] = t
		}
	}
	for _, t := range best {
		for version, routes := range t.Versions {
			add(version, routes)
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
	changed := ro != before || s.RunningRecorded && !ro.runningRecorded
	ro.runningRecorded = ro.runningRecorded || s.RunningRecorded
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

// CountsTopic is the gossip topic of the nodes' run counts. Its items stay in their
// data centre.
type CountsTopic struct{ *Manager }

// Name implements gossip.Topic.
func (CountsTopic) Name() string { return CountsTopicName }

// StaysInDataCentre implements gossip.DataCentreTopic.
func (CountsTopic) StaysInDataCentre() {}

// Merge implements gossip.Topic.
func (m CountsTopic) Merge(item []byte) (bool, error) {
	var t nodeCounts
	if err := wire.Unmarshal(item, &t); err != nil {
		return false, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	ro := m.rollouts[t.Service]
	if ro == nil || ro.order.Revision != t.Revision || ro.phase != ramp.Running || t.Node == m.cfg.Self || t.DataCentre != m.cfg.DataCentre {
		return false, nil
	}
	key := countsKey{t.Node, t.Version}
	if old, ok := ro.counts[key]; ok && !t.isNewer(old) {
		return false, nil
	}
	ro.counts[key] = t
	ro.sumsDirty = true
	return true, nil
}

// Checksum implements gossip.Topic. The items change all the time and are published
// anew, so that they are not repaired.
func (CountsTopic) Checksum() uint64 { return 0 }

// Items implements gossip.Topic.
func (CountsTopic) Items() [][]byte { return nil }

// SumsTopic is the gossip topic of the data centres' sums.
type SumsTopic struct{ *Manager }

// Name implements gossip.Topic.
func (SumsTopic) Name() string { return SumsTopicName }

// Merge implements gossip.Topic.
func (m SumsTopic) Merge(item []byte) (bool, error) {
	var t dataCentreSums
	if err := wire.Unmarshal(item, &t); err != nil {
		return false, err
	}
	t.receivedAt = time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	ro := m.rollouts[t.Service]
	if ro == nil || ro.order.Revision != t.Revision || ro.phase != ramp.Running || t.Collector == m.cfg.Self {
		return false, nil
	}
	key := sumsKey{t.DataCentre, t.Collector}
	if old, ok := ro.sums[key]; ok && !t.isNewer(old) {
		return false, nil
	}
	ro.sums[key] = t
	return true, nil
}

// Checksum implements gossip.Topic. Like the nodes' counts, sums are not repaired.
func (SumsTopic) Checksum() uint64 { return 0 }

// Items implements gossip.Topic.
func (SumsTopic) Items() [][]byte { return nil }
