package rollouts

import (
	"fmt"
	"time"

	"k8s.io/klog/v2"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/process/membership"
	"github.com/daisytide/daisytide/internal/version/canary"
	"github.com/daisytide/daisytide/internal/version/document"
	"github.com/daisytide/daisytide/internal/version/rollout"
)

// Times of judging.
const (
	// judgeSpan is how long a report makes its receiver a judge.
	judgeSpan = 3 * time.Second
	// secondLag is how much later than the first-ranked node the second one
	// takes a step that is due, so that as a rule only one does.
	secondLag = 700 * time.Millisecond
)

// daisytide is the name under which the system's own decisions are audited.
const daisytide = "daisytide"

// margins are the log-likelihood ratios asked for beyond what the number of calls asks for.
var margins = map[document.Caution]float64{
	document.CautionSwift:  10,
	document.CautionNormal: 8,
	document.CautionHigh:   6.5,
}

// judgeOf returns the judge of a move here, made with the first report; the
// caller holds mu.
func (m *Manager) judgeOf(mv *move) *canary.Analyzer {
	if mv.judge == nil {
		r := mv.plan.Rollout
		margin, ok := margins[r.Caution]
		if !ok {
			margin = margins[document.CautionNormal]
		}
		mv.judge = canary.NewAnalyzer(r.From, r.To, func() canary.Detector {
			return canary.NewCusum(margin)
		})
		mv.heard = map[string]time.Time{}
	}
	return mv.judge
}

// judge decides on each move that gates report to this node.
func (m *Manager) judge(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, mv := range m.moves {
		if mv.running(now) && mv.judge != nil {
			m.judgeMove(mv, now)
		}
	}
}

// judgeMove decides on one move; the caller holds mu.
func (m *Manager) judgeMove(mv *move, now time.Time) {
	reporting, self := mv.reporting(now), m.rankOf(mv.state.Key())
	if reporting == 0 {
		return
	}
	mv.verdict = mv.judge.Analyze(mv.state.Step.Number, mv.state.ShareReduced(), now)
	v := mv.verdict
	if live := len(m.ranked(mv.state.Key())); 2*reporting < live {
		v.EnoughSamples = false
	}
	at := now
	if self != 0 && v.Regression == "" {
		at = now.Add(-secondLag)
	}
	if mv.state.Step.Number == 0 && !mv.witnessed && !mv.checked {
		return
	}
	if next, ok := rollout.Next(mv.plan, mv.state, m.findings(mv, v), at); ok {
		m.decided(mv, next)
	}
}

// reporting counts the gates that reported of late.
func (mv *move) reporting(now time.Time) int {
	n := 0
	for writer, at := range mv.heard {
		if now.Sub(at) > judgeSpan {
			delete(mv.heard, writer)
			continue
		}
		n++
	}
	return n
}

// rankOf returns this node's place among the judges of a move.
func (m *Manager) rankOf(key rollout.Key) int {
	self := m.cfg.Self().Address
	ranked := m.ranked(key)
	for i, address := range ranked {
		if address == self {
			return i
		}
	}
	return len(ranked)
}

// findings joins a verdict with the upstreams that are ready.
func (m *Manager) findings(mv *move, v canary.Verdict) rollout.Findings {
	r := mv.plan.Rollout
	serving := m.cfg.Members.Index().Serving
	return rollout.Findings{
		Regression: v.Regression, Warning: v.Warning, StrongWarning: v.StrongWarning, BaselineDegraded: v.BaselineDegraded, EnoughSamples: v.EnoughSamples, Summary: v.Summary,
		OldReady: len(serving[membership.UpstreamKey{Service: r.Service, Version: r.From}]),
		NewReady: len(serving[membership.UpstreamKey{Service: r.Service, Version: r.To}]),
	}
}

// decided puts a decision of this node in force, spreads and audits it; the
// caller holds mu.
func (m *Manager) decided(mv *move, next rollout.State) {
	before := mv.state
	m.change(mv, next)
	what := describe(before, next)
	klog.Infof(logPrefix+"%s, configuration %d: %s", next.Service, next.StartConfig, what)
	if next.Step.Number == before.Step.Number || next.Ended() {
		return
	}
	m.cfg.Audit.Record(api.AuditEntry{
		At: next.Step.Decision.Time().UTC(), Operator: daisytide, Action: "rollout-step",
		From: next.StartConfig, To: next.StartConfig, Outcome: what,
		Changes: []string{fmt.Sprintf("%s to %s: %g%%", next.Service, mv.plan.Rollout.To, next.Step.Share)},
	})
}

// describe says in one line what a decision changed.
func describe(before, after rollout.State) string {
	switch {
	case after.Withdrawn != nil:
		return "taken back: " + after.Withdrawn.Reason
	case after.Done != nil:
		return "done: " + after.Done.Reason
	case after.Reduction.Toggle.Count != before.Reduction.Toggle.Count && after.ShareReduced():
		return "share lowered: " + after.Reduction.Toggle.Decision.Reason
	case after.Reduction.Toggle.Count != before.Reduction.Toggle.Count:
		return "share restored"
	case after.Pause.Count != before.Pause.Count && after.Paused():
		return "paused by " + after.Pause.Decision.Operator
	case after.Pause.Count != before.Pause.Count:
		return "resumed by " + after.Pause.Decision.Operator
	default:
		return fmt.Sprintf("step %d, %g%%: %s", after.Step.Number, after.Step.Share, after.Step.Decision.Reason)
	}
}
