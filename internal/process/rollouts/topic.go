package rollouts

import (
	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/daisytide/daisytide/internal/conn/wire"
	"github.com/daisytide/daisytide/internal/version/rollout"
)

// TopicName is the gossip topic of the rollout states.
const TopicName = "moves"

func encodeState(s rollout.State) []byte {
	b, err := wire.Marshal(s)
	if err != nil {
		klog.Errorf(logPrefix+"encode a rollout state: %v", err)
		return nil
	}
	return b
}

// Name implements gossip.Topic.
func (m *Manager) Name() string { return TopicName }

// Merge implements gossip.Topic.
func (m *Manager) Merge(item []byte) (bool, error) {
	var s rollout.State
	if err := wire.Unmarshal(item, &s); err != nil {
		return false, err
	}
	return m.merge(s), nil
}

// merge merges a received state into the local one and reports whether it changed
// anything. It ignores rollouts that the configuration in force no longer contains.
func (m *Manager) merge(s rollout.State) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	ro := m.rollouts[s.Key()]
	if ro == nil && s.StartConfig <= m.highestConfig {
		return false
	}
	if ro == nil {
		ro = m.getOrCreate(s.Key())
	}
	merged := rollout.Merge(ro.state, s)
	if merged.Equal(ro.state) {
		return false
	}
	m.setState(ro, merged)
	return true
}

// Checksum implements gossip.Topic: it is the XOR of all items' hashes.
func (m *Manager) Checksum() uint64 {
	var sum uint64
	for _, item := range m.Items() {
		sum ^= xxhash.Sum64(item)
	}
	return sum
}

// Items implements gossip.Topic. A rollout whose state never changed has no item.
func (m *Manager) Items() [][]byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out [][]byte
	for _, ro := range m.rollouts {
		if ro.item != nil {
			out = append(out, ro.item)
		}
	}
	return out
}
