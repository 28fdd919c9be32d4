package rollouts

import (
	"time"

	"github.com/daisytide/daisytide/internal/process/membership"
	"github.com/daisytide/daisytide/internal/version/rollout"
	"github.com/daisytide/daisytide/internal/version/snapshot"
)

// avoidFor is how long an entry keeps off a version that a gate refused, when
// the withdrawal itself has not come yet.
const avoidDuration = 2 * time.Second

// wholeShare is 100 percent.
const fullShare = 100.0

// view is what calls need of the moves' states. It never changes.
type routingView struct {
	rollouts map[rollout.Key]routingEntry
}

type routingEntry struct {
	share     float64
	withdrawn bool
}

// rebuild publishes a new view; the caller holds mu.
func (m *Manager) rebuildView() {
	v := &routingView{rollouts: make(map[rollout.Key]routingEntry, len(m.rollouts))}
	for key, ro := range m.rollouts {
		v.rollouts[key] = routingEntry{share: ro.state.Share(), withdrawn: ro.state.Withdrawn != nil}
	}
	m.view.Store(v)
}

// ChooseVersion implements entry.VersionChooser. A version without a ready upstream gets
// no calls while the other has one, but a withdrawn version gets none at all.
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

// VersionRefused notes that a gate refused a call since the version was withdrawn,
// so that the next try goes elsewhere even if the fact has not come yet.
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
