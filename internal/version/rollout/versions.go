package rollout

import (
	"time"

	"github.com/daisytide/daisytide/internal/version/snapshot"
)

// Timed chooses versions by the schedule alone.
type Timed struct{}

// Version implements entry.Versions.
func (Timed) Version(s *snapshot.Snapshot, service string, u float64) string {
	if m, ok := s.Move(service); ok {
		if u*wholeShare < ShareAt(&m.Rollout, time.Now()) {
			return m.Rollout.To
		}
		return m.Rollout.From
	}
	svc := s.Service(service)
	if svc == nil {
		return ""
	}
	return svc.Current
}
