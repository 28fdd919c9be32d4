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

// ReportMethod is the question by which a gate reports to a judge.
const ReportMethod = "move-report"

// Times of reporting.
const (
	reportTimeout = 400 * time.Millisecond
	// failedFor is how long a judge that did not answer is passed over.
	analyzerRetryDelay = 3 * time.Second
	// aloneAfter is how long a gate that sees its upstream fail plainly waits
	// for a judge before it withdraws the version by itself.
	localWithdrawDelay = time.Second
)

// ReportReply is a judge's answer to a report.
type ReportReply struct {
	SlowThresholds []canary.SlowThreshold `cbor:"1,keyasint,omitempty"`
	// ResetStreaks tells that what failed plainly is no fault of the version.
	ResetStreaks bool `cbor:"2,keyasint,omitempty"`
	// State is the move's state at the judge.
	State rollout.State `cbor:"3,keyasint"`
}

// ranked returns the live nodes of a move's service, the judges first, by
// rendezvous: each node's hash with the move orders them, so the loss of one
// changes nothing for the others.
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

// judges returns the first nodes by rank that answered of late.
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

// report tells the judges what the gate here has counted, once in each
// period, or at once when the upstream fails plainly.
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

// due tells whether to report now, and notes that it was done.
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

// newFailures tells whether calls have failed since it was last asked; those
// are reported at once.
func (c *callCounter) hasNewFailures() bool {
	n := c.recorder.Failures()
	return c.reportedFailures.Swap(n) != n
}

// alone tells whether no judge has answered since the upstream failed plainly.
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
		klog.V(1).Infof(logPrefix+"%v", err)
		m.failedAt.Store(address, time.Now())
		return
	}
	m.failedAt.Delete(address)
	m.applyReply(c, reply)
	m.merge(reply.State)
}

// accept takes a judge's answer.
func (m *Manager) applyReply(c *callCounter, reply ReportReply) {
	c.recorder.SetSlowThresholds(reply.SlowThresholds)
	if reply.ResetStreaks {
		c.recorder.ResetStreaks()
	}
	c.mu.Lock()
	c.lastReply = time.Now()
	c.mu.Unlock()
}

// withdrawAlone takes the move back on the word of this gate only.
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
	f := m.findings(ro, canary.Verdict{Regression: hardFailure + ", and no judge answers"})
	if next, ok := rollout.Next(ro.plan, ro.state, f, now); ok {
		m.applyDecision(ro, next)
	}
}

// AddReport adds one report to the judge here and answers it.
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

// HandleReport answers a peer's report.
func (m *Manager) HandleReport(_ context.Context, r canary.Report) (ReportReply, error) {
	return m.AddReport(r), nil
}
