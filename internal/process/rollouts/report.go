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
	failedFor = 3 * time.Second
	// aloneAfter is how long a gate that sees its upstream fail plainly waits
	// for a judge before it withdraws the version by itself.
	aloneAfter = time.Second
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
func (m *Manager) ranked(key rollout.Key) []string {
	type candidate struct {
		address string
		weight  uint64
	}
	var all []candidate
	for _, r := range m.cfg.Members.Index().Members {
		if r.Service == key.Service && r.State == membership.Alive {
			all = append(all, candidate{r.Address, weight(key, r.Address)})
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].weight > all[j].weight })
	out := make([]string, len(all))
	for i, c := range all {
		out[i] = c.address
	}
	return out
}

func weight(key rollout.Key, address string) uint64 {
	d := xxhash.NewWithSeed(key.StartConfig)
	_, _ = d.WriteString(key.Service)
	_, _ = d.WriteString(address)
	return d.Sum64()
}

// judges returns the first nodes by rank that answered of late.
func (m *Manager) judges(key rollout.Key, now time.Time) []string {
	var out []string
	for _, address := range m.ranked(key) {
		if at, ok := m.failed.Load(address); ok && now.Sub(at.(time.Time)) < failedFor {
			continue
		}
		if out = append(out, address); len(out) == judgeCount {
			break
		}
	}
	return out
}

// report tells the judges what the gate here has counted, once in each
// period, or at once when the upstream fails plainly.
func (m *Manager) report(ctx context.Context, now time.Time) {
	c := m.local.Load()
	if c == nil {
		return
	}
	plain, route := c.recorder.DetectHardFailure(now)
	failed := c.newFailures()
	if !c.due(plain, now) && !failed {
		return
	}
	if plain != "" && c.alone(now) {
		m.withdrawAlone(c, plain, now)
	}
	self := m.cfg.Self().Address
	r := canary.Report{
		Service: c.key.Service, StartConfig: c.key.StartConfig, Reporter: self, Incarnation: c.born,
		Version: c.version, Routes: c.recorder.Counts(), HardFailure: plain, HardFailureRoute: route,
	}
	for _, address := range m.judges(c.key, now) {
		if address == self {
			m.accept(c, m.AddReport(r))
			continue
		}
		if _, busy := m.sending.LoadOrStore(address, struct{}{}); busy {
			continue
		}
		m.work.Go(func() {
			defer m.sending.Delete(address)
			m.send(ctx, c, address, r)
		})
	}
}

// due tells whether to report now, and notes that it was done.
func (c *counter) due(plain string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := plain != "" && c.heldSince.IsZero()
	switch {
	case plain == "":
		c.heldSince = time.Time{}
	case first:
		c.heldSince = now
	}
	if !first && now.Sub(c.reported) < canary.ReportInterval-activeTick/2 {
		return false
	}
	c.reported = now
	return true
}

// newFailures tells whether calls have failed since it was last asked; those
// are reported at once.
func (c *counter) newFailures() bool {
	n := c.recorder.Failures()
	return c.failures.Swap(n) != n
}

// alone tells whether no judge has answered since the upstream failed plainly.
func (c *counter) alone(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.heldSince.IsZero() && now.Sub(c.heldSince) > aloneAfter && c.answered.Before(c.heldSince)
}

func (m *Manager) send(ctx context.Context, c *counter, address string, r canary.Report) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var reply ReportReply
	if err := m.cfg.Peers.Call(ctx, address, ReportMethod, r, &reply); err != nil {
		klog.V(1).Infof(logPrefix+"%v", err)
		m.failed.Store(address, time.Now())
		return
	}
	m.failed.Delete(address)
	m.accept(c, reply)
	m.merge(reply.State)
}

// accept takes a judge's answer.
func (m *Manager) accept(c *counter, reply ReportReply) {
	c.recorder.SetSlowThresholds(reply.SlowThresholds)
	if reply.ResetStreaks {
		c.recorder.ResetStreaks()
	}
	c.mu.Lock()
	c.answered = time.Now()
	c.mu.Unlock()
}

// withdrawAlone takes the move back on the word of this gate only.
func (m *Manager) withdrawAlone(c *counter, plain string, now time.Time) {
	if !c.isNew {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	mv := m.moves[c.key]
	if mv == nil || !mv.inForce {
		return
	}
	f := m.findings(mv, canary.Verdict{Regression: plain + ", and no judge answers"})
	if next, ok := rollout.Next(mv.plan, mv.state, f, now); ok {
		m.decided(mv, next)
	}
}

// AddReport adds one report to the judge here and answers it.
func (m *Manager) AddReport(r canary.Report) ReportReply {
	now := time.Now()
	m.mu.Lock()
	mv := m.moves[rollout.Key{Service: r.Service, StartConfig: r.StartConfig}]
	if mv == nil || !mv.inForce {
		m.mu.Unlock()
		return ReportReply{State: rollout.State{Service: r.Service, StartConfig: r.StartConfig}}
	}
	judge := m.judgeOf(mv)
	if now.Sub(mv.heard[r.Reporter]) > judgeSpan {
		m.wake.Wake()
	}
	mv.heard[r.Reporter] = now
	reply := ReportReply{ResetStreaks: mv.verdict.ResetStreaks, State: mv.state}
	m.mu.Unlock()
	judge.Add(r, now)
	reply.SlowThresholds = judge.SlowThresholds()
	return reply
}

// HandleReport answers a peer's report.
func (m *Manager) HandleReport(_ context.Context, r canary.Report) (ReportReply, error) {
	return m.AddReport(r), nil
}
