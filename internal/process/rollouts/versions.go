package rollouts

import (
	"time"

	"github.com/daisytide/daisytide/internal/process/membership"
	"github.com/daisytide/daisytide/internal/version/rollout"
	"github.com/daisytide/daisytide/internal/version/snapshot"
)

// avoidDuration is how long an entry avoids a version after a gate refused it,
// in case the withdrawal has not reached this node yet.
const avoidDuration = 2 * time.Second

// fullShare is 100 percent.
const fullShare = 100.0

// routingView is an immutable copy of the rollout states for call routing.
type routingView struct {
	rollouts map[rollout.Key]routingEntry
}

type routingEntry struct {
	share     float64
	withdrawn bool
}

// rebuildView publishes a new routing view. The caller holds mu.
func (m *Manager) rebuildView() {
	v := &routingView{rollouts: make(map[rollout.Key]routingEntry, len(m.rollouts))}
	for key, ro := range m.rollouts {
		v.rollouts[key] = routingEntry{share: ro.state.Share(), withdrawn: ro.state.Withdrawn != nil}
	}
	m.view.Store(v)
}

// ChooseVersion implements entry.VersionChooser. If no upstream of the chosen
// version is ready, it returns the other version if that one has a ready upstream.
// It never returns a withdrawn version.
func (m *Manager) ChooseVersion(s *snapshot.Snapshot, service string, u float64) string {
	active, ok := s.ActiveRollout(service)
	if !ok {
		if svc := s.Service(service); svc != nil {
			return svc.Current
		}
		return ""
	}
	key := rollout.Key{Service: service, StartConfig: active.StartConfig}
	v := m.view.Load().rollouts[key]
	if v.withdrawn || m.avoided(key) {
		return active.Rollout.From
	}
	chosen, other := active.Rollout.From, active.Rollout.To
	if u*fullShare < v.share {
		chosen, other = other, chosen
	}
	serving := m.cfg.Members.Index().Serving
	if len(serving[membership.UpstreamKey{Service: service, Version: chosen}]) > 0 {
		return chosen
	}
	if len(serving[membership.UpstreamKey{Service: service, Version: other}]) > 0 {
		return other
	}
	return chosen
}

// VersionRefused records that a gate refused a call because the version is
// withdrawn, so that retries use the other version even before the withdrawal
// reaches this node.
func (m *Manager) VersionRefused(s *snapshot.Snapshot, service, version string) {
	active, ok := s.ActiveRollout(service)
	if ok && active.Rollout.To == version {
		m.avoidUntil.Store(rollout.Key{Service: service, StartConfig: active.StartConfig}, time.Now().Add(avoidDuration))
	}
}

func (m *Manager) avoided(key rollout.Key) bool {
	until, ok := m.avoidUntil.Load(key)
	if !ok {
		return false
	}
	if time.Now().Before(until.(time.Time)) {
		return true
	}
	m.avoidUntil.Delete(key)
	return false
}
