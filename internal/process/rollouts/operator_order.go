package rollouts

import (
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/version/canary"
	"github.com/daisytide/daisytide/internal/version/rollout"
)

// ApplyOrder carries out an operator's order: take-back cannot be undone under the
// same configuration, pause and resume can be given any number of times.
func (m *Manager) ApplyOrder(o api.RolloutOrder, operator string) *api.Error {
	s := m.cfg.Holder.Current()
	if s == nil {
		return api.Errorf(api.CallNotReady, "the node has no configuration yet")
	}
	in, ok := s.ActiveRollout(o.Service)
	if !ok {
		return api.Errorf(api.OperatorNoRollout, "no rollout of %q", o.Service)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	mv := m.moves[rollout.Key{Service: o.Service, StartConfig: in.StartConfig}]
	if mv == nil || mv.state.Ended() {
		return api.Errorf(api.OperatorNoRollout, "the rollout of %q has ended", o.Service)
	}
	mark := rollout.Decision{AtMillis: time.Now().UnixMilli(), Reason: o.Reason, Operator: operator}
	next, err := m.ordered(mv, o.Action, mark)
	if err != nil {
		return err
	}
	if next.Equal(mv.state) {
		return nil
	}
	what := describe(mv.state, next)
	m.decided(mv, next)
	m.cfg.Audit.Record(api.AuditEntry{
		At: mark.Time().UTC(), Operator: operator, Action: "rollout-order", From: in.StartConfig, To: in.StartConfig,
		Outcome: what, Changes: []string{o.Service + ": " + string(o.Action)},
	})
	return nil
}

// ordered returns the state that an order leads to; the caller holds mu.
func (m *Manager) ordered(mv *move, action api.RolloutAction, mark rollout.Decision) (rollout.State, *api.Error) {
	next := mv.state
	switch action {
	case api.RolloutTakeBack:
		if m.findings(mv, canary.Verdict{}).OldReady == 0 {
			return next, api.Errorf(api.OperatorNoOldVersion, "no upstream of %q is left to take the calls", mv.plan.Rollout.From)
		}
		if mark.Reason == "" {
			mark.Reason = "ordered by " + mark.Operator
		}
		next.Withdrawn = &mark
	case api.RolloutPause, api.RolloutResume:
		if next.Paused() != (action == api.RolloutPause) {
			next.Pause = rollout.Toggle{Count: next.Pause.Count + 1, Decision: mark}
		}
	default:
		return next, api.Errorf(api.OperatorBody, "no order is named %q", action)
	}
	return next, nil
}
