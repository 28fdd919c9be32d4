package rollouts

import (
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/version/canary"
	"github.com/daisytide/daisytide/internal/version/rollout"
)

// ApplyOrder carries out an operator's order. A take-back is final under the same
// configuration; pause and resume can be repeated.
func (m *Manager) ApplyOrder(o api.RolloutOrder, operator string) *api.Error {
	s := m.cfg.Holder.Current()
	if s == nil {
		return api.Errorf(api.CallNotReady, "the node has no configuration yet")
	}
	active, ok := s.ActiveRollout(o.Service)
	if !ok {
		return api.Errorf(api.OperatorNoRollout, "no rollout of %q", o.Service)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	ro := m.rollouts[rollout.Key{Service: o.Service, StartConfig: active.StartConfig}]
	if ro == nil || ro.state.Ended() {
		return api.Errorf(api.OperatorNoRollout, "the rollout of %q has ended", o.Service)
	}
	decision := rollout.Decision{AtMillis: time.Now().UnixMilli(), Reason: o.Reason, Operator: operator}
	next, err := m.stateAfterOrder(ro, o.Action, decision)
	if err != nil {
		return err
	}
	if next.Equal(ro.state) {
		return nil
	}
	summary := describeChange(ro.state, next)
	m.applyDecision(ro, next)
	m.cfg.Audit.Record(api.AuditEntry{
		At: decision.Time().UTC(), Operator: operator, Action: "rollout-order", From: active.StartConfig, To: active.StartConfig,
		Outcome: summary, Changes: []string{o.Service + ": " + string(o.Action)},
	})
	return nil
}

// stateAfterOrder returns the state that results from an order. The caller holds mu.
func (m *Manager) stateAfterOrder(ro *localRollout, action api.RolloutAction, decision rollout.Decision) (rollout.State, *api.Error) {
	next := ro.state
	switch action {
	case api.RolloutTakeBack:
		if m.findings(ro, canary.Verdict{}).OldReady == 0 {
			return next, api.Errorf(api.OperatorNoOldVersion, "no upstream of %q is left to take the calls", ro.plan.Rollout.From)
		}
		if decision.Reason == "" {
			decision.Reason = "ordered by " + decision.Operator
		}
		next.Withdrawn = &decision
	case api.RolloutPause, api.RolloutResume:
		if next.Paused() != (action == api.RolloutPause) {
			next.Pause = rollout.Toggle{Count: next.Pause.Count + 1, Decision: decision}
		}
	default:
		return next, api.Errorf(api.OperatorBody, "unknown rollout order %q", action)
	}
	return next, nil
}
