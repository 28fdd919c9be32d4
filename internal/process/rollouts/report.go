package rollouts

import (
	"context"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/daisytide/daisytide/internal/process/membership"
	"github.com/daisytide/daisytide/internal/version/canary"
	"github.com/daisytide/daisytide/internal/version/rollout"
)

// ReportMethod is the RPC method by which a gate reports to an analyzer.
const ReportMethod = "move-report"

// Report timing.
const (
	reportTimeout = 400 * time.Millisecond
	// analyzerRetryDelay is how long an analyzer that did not reply is skipped.
	analyzerRetryDelay = 3 * time.Second
	// localWithdrawDelay is how long a gate that detects a hard failure waits for
	// an analyzer's reply before it withdraws the version by itself.
	localWithdrawDelay = time.Second
)

// ReportReply is an analyzer's reply to a report.
type ReportReply struct {
	SlowThresholds []canary.SlowThreshold `cbor:"1,keyasint,omitempty"`
	// ResetStreaks makes the gate reset its failure streaks, because the
	// version did not cause the hard failure.
	ResetStreaks bool `cbor:"2,keyasint,omitempty"`
	// State is the analyzer's state of the rollout.
	State rollout.State `cbor:"3,keyasint"`
}

// rankedNodes returns the live nodes of a rollout's service, the analyzers first.
// It orders them by rendezvous hashing, so losing a node does not change the
// order of the others.
func (m *Manager) rankedNodes(key rollout.Key) []string {
	type candidate struct {
		address string
		weight  uint64
	}
	var all []candidate
	for _, r := range m.cfg.Members.Index().Members {
		if r.Service == key.Service && r.State == membership.Alive {
			all = append(all, candidate{r.Address, rendezvousWeight(key, r.Address)})
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].weight > all[j].weight })
	out := make([]string, len(all))
	for i, c := range all {
		out[i] = c.address
	}
	return out
}

func rendezvousWeight(key rollout.Key, address string) uint64 {
	d := xxhash.NewWithSeed(key.StartConfig)
	_, _ = d.WriteString(key.Service)
	_, _ = d.WriteString(address)
	return d.Sum64()
}

// reachableAnalyzers returns the analyzerCount highest-ranked nodes, skipping those
// whose last report failed less than analyzerRetryDelay ago.
func (m *Manager) reachableAnalyzers(key rollout.Key, now time.Time) []string {
	var out []string
	for _, address := range m.rankedNodes(key) {
		if at, ok := m.failedAt.Load(address); ok && now.Sub(at.(time.Time)) < analyzerRetryDelay {
			continue
		}
		if out = append(out, address); len(out) == analyzerCount {
			break
		}
	}
	return out
}

// sendReports sends the local gate's counts to the analyzers: once per period, and
// immediately when calls have failed or a hard failure is detected.
func (m *Manager) sendReports(ctx context.Context, now time.Time) {
	c := m.localCounter.Load()
	if c == nil {
		return
	}
	hardFailure, route := c.recorder.DetectHardFailure(now)
	newFailures := c.hasNewFailures()
	if !c.reportDue(hardFailure, now) && !newFailures {
		return
	}
	if hardFailure != "" && c.noAnalyzerReply(now) {
		m.withdrawLocally(c, hardFailure, now)
	}
	self := m.cfg.Self().Address
	r := canary.Report{
		Service: c.key.Service, StartConfig: c.key.StartConfig, Reporter: self, Incarnation: c.incarnation,
		Version: c.version, Routes: c.recorder.Counts(), HardFailure: hardFailure, HardFailureRoute: route,
	}
	for _, address := range m.reachableAnalyzers(c.key, now) {
		if address == self {
			m.applyReply(c, m.AddReport(r))
			continue
		}
		if _, busy := m.sending.LoadOrStore(address, struct{}{}); busy {
			continue
		}
		m.background.Go(func() {
			defer m.sending.Delete(address)
			m.sendReport(ctx, c, address, r)
		})
	}
}

// reportDue reports whether the next periodic report is due or a hard failure has
// just begun. It keeps failingSince and lastReport up to date.
func (c *callCounter) reportDue(hardFailure string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := hardFailure != "" && c.failingSince.IsZero()
	switch {
	case hardFailure == "":
		c.failingSince = time.Time{}
	case first:
		c.failingSince = now
	}
	if !first && now.Sub(c.lastReport) < canary.ReportInterval-activeTick/2 {
		return false
	}
	c.lastReport = now
	return true
}

// hasNewFailures reports whether calls have failed since it was last called; they
// are reported immediately.
func (c *callCounter) hasNewFailures() bool {
	n := c.recorder.Failures()
	return c.reportedFailures.Swap(n) != n
}

// noAnalyzerReply reports whether the hard failure was detected more than
// localWithdrawDelay ago and no analyzer has replied since then.
func (c *callCounter) noAnalyzerReply(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.failingSince.IsZero() && now.Sub(c.failingSince) > localWithdrawDelay && c.lastReply.Before(c.failingSince)
}

func (m *Manager) sendReport(ctx context.Context, c *callCounter, address string, r canary.Report) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var reply ReportReply
	if err := m.cfg.Peers.Call(ctx, address, ReportMethod, r, &reply); err != nil {
		klog.V(1).Infof(logPrefix+"report to an analyzer: %v", err)
		m.failedAt.Store(address, time.Now())
		return
	}
	m.failedAt.Delete(address)
	m.applyReply(c, reply)
	m.merge(reply.State)
}

// applyReply applies an analyzer's reply to the local counter.
func (m *Manager) applyReply(c *callCounter, reply ReportReply) {
	c.recorder.SetSlowThresholds(reply.SlowThresholds)
	if reply.ResetStreaks {
		c.recorder.ResetStreaks()
	}
	c.mu.Lock()
	c.lastReply = time.Now()
	c.mu.Unlock()
}

// withdrawLocally withdraws the new version on this gate's evidence alone.
func (m *Manager) withdrawLocally(c *callCounter, hardFailure string, now time.Time) {
	if !c.isNew {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	ro := m.rollouts[c.key]
	if ro == nil || !ro.inForce {
		return
	}
	// The reason is stored and gossiped, so its text keeps the word judge for analyzer.
	f := m.findings(ro, canary.Verdict{Regression: hardFailure + ", and no judge answers"})
	if next, ok := rollout.Next(ro.plan, ro.state, f, now); ok {
		m.applyDecision(ro, next)
	}
}

// AddReport adds a report to the local analyzer and returns the reply.
func (m *Manager) AddReport(r canary.Report) ReportReply {
	now := time.Now()
	m.mu.Lock()
	ro := m.rollouts[rollout.Key{Service: r.Service, StartConfig: r.StartConfig}]
	if ro == nil || !ro.inForce {
		m.mu.Unlock()
		return ReportReply{State: rollout.State{Service: r.Service, StartConfig: r.StartConfig}}
	}
	analyzer := m.analyzerFor(ro)
	if now.Sub(ro.lastReport[r.Reporter]) > reportTTL {
		m.wake.Wake()
	}
	ro.lastReport[r.Reporter] = now
	reply := ReportReply{ResetStreaks: ro.verdict.ResetStreaks, State: ro.state}
	m.mu.Unlock()
	analyzer.Add(r, now)
	reply.SlowThresholds = analyzer.SlowThresholds()
	return reply
}

// HandleReport handles a peer's report.
func (m *Manager) HandleReport(_ context.Context, r canary.Report) (ReportReply, error) {
	return m.AddReport(r), nil
}
