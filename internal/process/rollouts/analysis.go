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

// Analysis timing.
const (
	// reportTTL is how long a gate counts as reporting after its last report.
	reportTTL = 3 * time.Second
	// standbyDelay is how long nodes other than the first-ranked one wait before
	// they take a step that is due, so that normally only the first one takes it.
	standbyDelay = 700 * time.Millisecond
)

// systemOperator is the operator name in audit entries of automatic decisions.
const systemOperator = "daisytide"

// likelihoodMargins are the margins of canary.NewCusum by a rollout's caution: the
// part of the required log-likelihood ratio that does not depend on the number of
// calls.
var likelihoodMargins = map[document.Caution]float64{
	document.CautionSwift:  10,
	document.CautionNormal: 8,
	document.CautionHigh:   6.5,
}

// analyzerFor returns the local analyzer of a rollout and creates it on the first
// report. The caller holds mu.
func (m *Manager) analyzerFor(ro *localRollout) *canary.Analyzer {
	if ro.analyzer == nil {
		r := ro.plan.Rollout
		margin, ok := likelihoodMargins[r.Caution]
		if !ok {
			margin = likelihoodMargins[document.CautionNormal]
		}
		ro.analyzer = canary.NewAnalyzer(r.From, r.To, func() canary.Detector {
			return canary.NewCusum(margin)
		})
		ro.lastReport = map[string]time.Time{}
	}
	return ro.analyzer
}

// analyze evaluates each rollout for which gates report to this node.
func (m *Manager) analyze(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, ro := range m.rollouts {
		if ro.running(now) && ro.analyzer != nil {
			m.analyzeRollout(ro, now)
		}
	}
}

// analyzeRollout evaluates one rollout. The caller holds mu.
func (m *Manager) analyzeRollout(ro *localRollout, now time.Time) {
	reporters, rank := ro.activeReporters(now), m.ownRank(ro.state.Key())
	if reporters == 0 {
		return
	}
	ro.verdict = ro.analyzer.Analyze(ro.state.Step.Number, ro.state.ShareReduced(), now)
	v := ro.verdict
	// Reports from less than half of the live nodes are not enough for a step.
	if live := len(m.rankedNodes(ro.state.Key())); 2*reporters < live {
		v.EnoughSamples = false
	}
	at := now
	if rank != 0 && v.Regression == "" {
		at = now.Add(-standbyDelay)
	}
	// The store may hold an outcome of a rollout whose start this node did not see.
	if ro.state.Step.Number == 0 && !ro.sawStart && !ro.storeChecked {
		return
	}
	if next, ok := rollout.Next(ro.plan, ro.state, m.findings(ro, v), at); ok {
		m.applyDecision(ro, next)
	}
}

// activeReporters returns the number of gates that reported within reportTTL and
// removes the others.
func (ro *localRollout) activeReporters(now time.Time) int {
	n := 0
	for reporter, at := range ro.lastReport {
		if now.Sub(at) > reportTTL {
			delete(ro.lastReport, reporter)
			continue
		}
		n++
	}
	return n
}

// ownRank returns this node's rank among the analyzers of a rollout.
func (m *Manager) ownRank(key rollout.Key) int {
	self := m.cfg.Self().Address
	ranked := m.rankedNodes(key)
	for i, address := range ranked {
		if address == self {
			return i
		}
	}
	return len(ranked)
}

// findings combines a verdict with the number of ready upstreams per version.
func (m *Manager) findings(ro *localRollout, v canary.Verdict) rollout.Findings {
	r := ro.plan.Rollout
	serving := m.cfg.Members.Index().Serving
	return rollout.Findings{
		Regression: v.Regression, Warning: v.Warning, StrongWarning: v.StrongWarning,
		BaselineDegraded: v.BaselineDegraded, EnoughSamples: v.EnoughSamples, Summary: v.Summary,
		OldReady: len(serving[membership.UpstreamKey{Service: r.Service, Version: r.From}]),
		NewReady: len(serving[membership.UpstreamKey{Service: r.Service, Version: r.To}]),
	}
}

// applyDecision puts a decision of this node into force, publishes it and writes
// the audit entry of a step. The caller holds mu.
func (m *Manager) applyDecision(ro *localRollout, next rollout.State) {
	before := ro.state
	m.setAndPublish(ro, next)
	summary := describeChange(before, next)
	klog.Infof(logPrefix+"%s, configuration %d: %s", next.Service, next.StartConfig, summary)
	if next.Step.Number == before.Step.Number || next.Ended() {
		return
	}
	m.cfg.Audit.Record(api.AuditEntry{
		At: next.Step.Decision.Time().UTC(), Operator: systemOperator, Action: "rollout-step",
		From: next.StartConfig, To: next.StartConfig, Outcome: summary,
		Changes: []string{fmt.Sprintf("%s to %s: %g%%", next.Service, ro.plan.Rollout.To, next.Step.Share)},
	})
}

// describeChange summarises a state change in one line.
func describeChange(before, after rollout.State) string {
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
