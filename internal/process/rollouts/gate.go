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

// counter counts the calls of the local upstream during one move.
type counter struct {
	key      rollout.Key
	version  string
	isNew    bool
	recorder *canary.Recorder
	// born sets the counts apart from those of an earlier counter.
	born uint64

	// failures is the number of failures last reported.
	failures atomic.Uint64

	mu sync.Mutex
	// reported is when the judges were last told.
	reported time.Time
	// heldSince is when the upstream was first seen to fail plainly; zero
	// while it does not.
	heldSince time.Time
	// answered is when a judge last took a report.
	answered time.Time
}

var (
	errWithdrawn = errors.New("the version was withdrawn")
	errHeld      = errors.New("the upstream fails plainly, a verdict is due")
)

// GateMiddleware is the gate's middleware: it refuses calls to a withdrawn version
// before the upstream sees them, and counts the others. It wraps admission,
// so that calls which hang are seen while they hang.
func (m *Manager) GateMiddleware(next call.Handler) call.Handler {
	return func(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call.Call) call.Result {
		if m.withdrawn(c) {
			return call.Refuse(api.CallWithdrawn, errWithdrawn)
		}
		local := m.local.Load()
		if local == nil || local.key.Service != c.Service || local.version != c.Version {
			return next(ctx, w, r, c)
		}
		now := time.Now()
		if local.isNew && local.recorder.HasHardFailure(c.Route, now) {
			m.wake.Wake()
			return call.Refuse(api.CallWithdrawn, errHeld)
		}
		running := local.recorder.Begin(c.Route, now)
		// A handler that panics to abort its connection must not stay counted
		// as in progress.
		outcome := canary.NotExecuted
		defer func() { running.End(outcome, time.Now()) }()
		res := next(ctx, w, r, c)
		outcome = outcomeOf(ctx, res)
		return res
	}
}

// withdrawn tells whether the call's version was withdrawn by the
// configuration in force here.
func (m *Manager) withdrawn(c *call.Call) bool {
	s := m.cfg.Holder.Current()
	if s == nil {
		return false
	}
	in, ok := s.ActiveRollout(c.Service)
	if !ok || in.Rollout.To != c.Version {
		return false
	}
	return m.view.Load().moves[rollout.Key{Service: c.Service, StartConfig: in.StartConfig}].withdrawn
}

// outcomeOf sorts the end of a call by what it says of the upstream.
func outcomeOf(ctx context.Context, res call.Result) canary.Outcome {
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

// followUpstream starts and stops counting as moves and the local upstream
// come and go.
func (m *Manager) followUpstream(now time.Time) {
	self := m.cfg.Self()
	if !self.Serving() || self.Version != m.readyVersion || m.readySince.IsZero() {
		m.readyVersion, m.readySince = self.Version, now
	}
	old := m.local.Load()
	next := m.counterFor(self, old, now)
	if next != old {
		m.local.Store(next)
	}
}

func (m *Manager) counterFor(self membership.Record, old *counter, now time.Time) *counter {
	m.mu.Lock()
	defer m.mu.Unlock()
	for key, mv := range m.moves {
		r := mv.plan.Rollout
		if key.Service != self.Service || !mv.running(now) || self.Version != r.From && self.Version != r.To {
			continue
		}
		if old != nil && old.key == key && old.version == self.Version && self.Serving() {
			return old
		}
		if !self.Serving() {
			return nil
		}
		return &counter{
			key: key, version: self.Version, isNew: self.Version == r.To,
			recorder: canary.NewRecorder(m.readySince), born: uint64(now.UnixNano()),
		}
	}
	return nil
}
