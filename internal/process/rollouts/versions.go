package rollouts

import (
	"time"

	"github.com/daisytide/daisytide/internal/process/membership"
	"github.com/daisytide/daisytide/internal/version/rollout"
	"github.com/daisytide/daisytide/internal/version/snapshot"
)

// avoidFor is how long an entry keeps off a version that a gate refused, when
// the withdrawal itself has not come yet.
const avoidFor = 2 * time.Second

// wholeShare is 100 percent.
const wholeShare = 100.0

// view is what calls need of the moves' states. It never changes.
type view struct {
	moves map[rollout.Key]viewMove
}

type viewMove struct {
	share     float64
	withdrawn bool
}

// rebuild publishes a new view; the caller holds mu.
func (m *Manager) rebuild() {
	v := &view{moves: make(map[rollout.Key]viewMove, len(m.moves))}
	for key, mv := range m.moves {
		v.moves[key] = viewMove{share: mv.state.Share(), withdrawn: mv.state.Withdrawn != nil}
	}
	m.view.Store(v)
}

// ChooseVersion implements entry.VersionChooser. A version without a ready upstream gets
// no calls while the other has one, but a withdrawn version gets none at all.
func (m *Manager) ChooseVersion(s *snapshot.Snapshot, service string, u float64) string {
	in, ok := s.ActiveRollout(service)
	if !ok {
		if svc := s.Service(service); svc != nil {
			return svc.Current
		}
		return ""
	}
	key := rollout.Key{Service: service, StartConfig: in.StartConfig}
	v := m.view.Load().moves[key]
	if v.withdrawn || m.avoided(key) {
		return in.Rollout.From
	}
	chosen, other := in.Rollout.From, in.Rollout.To
	if u*wholeShare < v.share {
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
	in, ok := s.ActiveRollout(service)
	if ok && in.Rollout.To == version {
		m.avoid.Store(rollout.Key{Service: service, StartConfig: in.StartConfig}, time.Now().Add(avoidFor))
	}
}

func (m *Manager) avoided(key rollout.Key) bool {
	until, ok := m.avoid.Load(key)
	if !ok {
		return false
	}
	if time.Now().Before(until.(time.Time)) {
		return true
	}
	m.avoid.Delete(key)
	return false
}
