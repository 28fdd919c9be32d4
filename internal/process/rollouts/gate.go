package rollouts

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/process/membership"
	"github.com/daisytide/daisytide/internal/request/call"
	"github.com/daisytide/daisytide/internal/version/canary"
	"github.com/daisytide/daisytide/internal/version/rollout"
)

// callCounter counts the calls to the local upstream during one rollout.
type callCounter struct {
	key      rollout.Key
	version  string
	isNew    bool
	recorder *canary.Recorder
	// incarnation distinguishes these counts from those of an earlier counter.
	incarnation uint64

	// reportedFailures is the number of failures at the last check.
	reportedFailures atomic.Uint64

	mu sync.Mutex
	// lastReport is when the analyzers were last sent a report.
	lastReport time.Time
	// failingSince is when a hard failure of the upstream was first detected;
	// zero if there is none.
	failingSince time.Time
	// lastReply is when an analyzer last replied to a report.
	lastReply time.Time
}

var (
	errWithdrawn   = errors.New("the version was withdrawn")
	errHardFailure = errors.New("the upstream has a hard failure and the analysis of its version is pending")
)

// GateMiddleware refuses calls to a withdrawn version, and to a new version on a
// route with a hard failure, before they reach the upstream. It counts the other
// calls. It wraps admission control, so that calls that hang are counted while they
// are still in progress.
func (m *Manager) GateMiddleware(next call.Handler) call.Handler {
	return func(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call.Call) call.Result {
		if m.withdrawn(c) {
			return call.Refuse(api.CallWithdrawn, errWithdrawn)
		}
		local := m.localCounter.Load()
		if local == nil || local.key.Service != c.Service || local.version != c.Version {
			return next(ctx, w, r, c)
		}
		now := time.Now()
		if local.isNew && local.recorder.HasHardFailure(c.Route, now) {
			m.wake.Wake()
			return call.Refuse(api.CallWithdrawn, errHardFailure)
		}
		running := local.recorder.Begin(c.Route, now)
		// The deferred End removes a call from the ones in progress even if the
		// handler panics to abort its connection.
		outcome := canary.NotExecuted
		defer func() { running.End(outcome, time.Now()) }()
		res := next(ctx, w, r, c)
		outcome = callOutcome(ctx, res)
		return res
	}
}

// withdrawn reports whether the call's version is withdrawn under the
// configuration in force on this node.
func (m *Manager) withdrawn(c *call.Call) bool {
	s := m.cfg.Holder.Current()
	if s == nil {
		return false
	}
	active, ok := s.ActiveRollout(c.Service)
	if !ok || active.Rollout.To != c.Version {
		return false
	}
	return m.view.Load().rollouts[rollout.Key{Service: c.Service, StartConfig: active.StartConfig}].withdrawn
}

// callOutcome classifies a call's result for the analysis of its version.
func callOutcome(ctx context.Context, res call.Result) canary.Outcome {
	switch {
	case res.Ran == api.RanNo || errors.Is(ctx.Err(), context.Canceled):
		return canary.NotExecuted
	case res.Code == api.OK && res.Status == http.StatusServiceUnavailable:
		return canary.Shed
	case res.Code == api.OK && res.Status < http.StatusInternalServerError:
		return canary.Succeeded
	case res.Code == api.CallCut:
		return canary.ConnectionLost
	case res.Code == api.CallCancelled || res.Code == api.CallBody:
		return canary.NotExecuted
	default:
		return canary.Failed
	}
}

// updateCounter starts and stops counting as rollouts and the local upstream
// change.
func (m *Manager) updateCounter(now time.Time) {
	self := m.cfg.Self()
	if !self.Serving() || self.Version != m.readyVersion || m.readySince.IsZero() {
		m.readyVersion, m.readySince = self.Version, now
	}
	old := m.localCounter.Load()
	next := m.counterFor(self, old, now)
	if next != old {
		m.localCounter.Store(next)
	}
}

// counterFor returns the counter for the local upstream's rollout: old if it still
// applies, else a new one; nil if there is nothing to count.
func (m *Manager) counterFor(self membership.Record, old *callCounter, now time.Time) *callCounter {
	m.mu.Lock()
	defer m.mu.Unlock()
	for key, ro := range m.rollouts {
		r := ro.plan.Rollout
		if key.Service != self.Service || !ro.running(now) || self.Version != r.From && self.Version != r.To {
			continue
		}
		if old != nil && old.key == key && old.version == self.Version && self.Serving() {
			return old
		}
		if !self.Serving() {
			return nil
		}
		return &callCounter{
			key: key, version: self.Version, isNew: self.Version == r.To,
			recorder: canary.NewRecorder(m.readySince), incarnation: uint64(now.UnixNano()),
		}
	}
	return nil
}
