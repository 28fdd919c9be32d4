package simulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/daisytide/daisytide/internal/version/canary"
	"github.com/daisytide/daisytide/internal/version/document"
	"github.com/daisytide/daisytide/internal/version/rollout"
)

// Parameters of the simulated network and nodes.
const (
	callInterval     = 10 * time.Millisecond
	analysisInterval = 100 * time.Millisecond
	leadTime         = time.Minute
	maxGossipDelay   = 250 * time.Millisecond
	maxReportDelay   = 20 * time.Millisecond
	// deathDetection is the time until members remove a dead node, and
	// analyzerFailover the time until a gate replaces an analyzer that doesn't
	// reply.
	deathDetection   = 3 * time.Second
	analyzerFailover = 800 * time.Millisecond
	// avoidDuration is how long an entry sends no calls to the new version after
	// a gate of it refused one.
	avoidDuration     = 2 * time.Second
	noAnalyzerTimeout = time.Second
	reporterTTL       = 3 * time.Second
	// secondAnalyzerDelay is how much later than the first analyzer the second
	// one decides, except to withdraw.
	secondAnalyzerDelay = 700 * time.Millisecond
	analyzerCount       = 2
	entryCount          = 8
	cusumMargin         = 8
	maxClockSkew        = 200 * time.Millisecond
)

// firstShare is the first share, in percent, of the simulated rollouts.
const firstShare = 2

const (
	oldVersion = "v1"
	newVersion = "v2"
)

// host is a node and its upstream.
type host struct {
	name             string
	isNew            bool
	recorder         *canary.Recorder
	incarnation      uint64
	ready            time.Time
	clockOffset      time.Duration
	diedAt           time.Time
	state            rollout.State
	hardFailureSince time.Time
	lastReply        time.Time
	lastReport       time.Time
	reportedFailures uint64
	analysis         *analysis
}

// analysis is the analyzer on a host with the times of the latest reports.
type analysis struct {
	analyzer    *canary.Analyzer
	lastReports map[string]time.Time
	lastVerdict canary.Verdict
}

// entry is a node that receives the callers' requests.
type entry struct {
	state         rollout.State
	avoidNewUntil time.Time
}

// simulation is one rollout in progress.
type simulation struct {
	cfg        Config
	rng        *rand.Rand
	behaviour  *behaviour
	plan       rollout.Plan
	now        time.Time
	events     eventQueue
	hosts      []*host
	oldHosts   []*host
	newHosts   []*host
	entries    []*entry
	rate       float64
	result     Result
	firstFault time.Time
}

// Run simulates one rollout to its end, or to a minute after its deadline.
func Run(cfg Config) Result {
	sim := newSimulation(cfg)
	end := rolloutStart.Add(RolloutDuration + time.Minute)
	for sim.now = rolloutStart.Add(-leadTime); sim.now.Before(end); sim.now = sim.now.Add(callInterval) {
		sim.runEvents()
		sim.sendCalls()
		if sim.allEnded() {
			break
		}
	}
	sim.collectResult()
	return sim.result
}

func newSimulation(cfg Config) *simulation {
	sim := &simulation{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0x6d6f766573))}
	sim.rate = QuietRate
	if cfg.Busy {
		sim.rate = BusyRate * float64(cfg.Upstreams)
	}
	sim.result.Calls = sim.rate * RolloutDuration.Seconds()
	sim.behaviour = newBehaviour(cfg, sim.rng, sim.rate)
	sim.plan = rollout.NewPlan(document.Rollout{
		Service: "status-desk", From: oldVersion, To: newVersion,
		Start: rolloutStart, Deadline: rolloutStart.Add(RolloutDuration), FirstShare: firstShare, Caution: cfg.Caution,
	})
	for i := range 2 * cfg.Upstreams {
		sim.addHost(i)
	}
	// The order of hosts is the analyzers' rank, which is random.
	sim.rng.Shuffle(len(sim.hosts), func(i, j int) { sim.hosts[i], sim.hosts[j] = sim.hosts[j], sim.hosts[i] })
	for range entryCount {
		sim.entries = append(sim.entries, &entry{})
	}
	sim.scheduleDisturbances()
	return sim
}

func (sim *simulation) addHost(i int) {
	h := &host{name: fmt.Sprintf("10.0.0.%d:7001", i), isNew: i%2 == 1, ready: rolloutStart.Add(-time.Hour)}
	if h.isNew {
		h.ready = rolloutStart.Add(-leadTime)
		sim.newHosts = append(sim.newHosts, h)
	} else {
		sim.oldHosts = append(sim.oldHosts, h)
	}
	if h.isNew && sim.behaviour.hasDisturbance(ColdStarts) {
		h.ready = rolloutStart.Add(-2 * time.Second)
	}
	if sim.behaviour.hasDisturbance(ClockSkew) {
		h.clockOffset = time.Duration((sim.rng.Float64() - 0.5) * float64(maxClockSkew))
	}
	h.recorder, h.incarnation = canary.NewRecorder(h.clock(h.ready)), 1
	sim.hosts = append(sim.hosts, h)
	phase := time.Duration(sim.rng.Float64() * float64(analysisInterval))
	sim.events.schedule(rolloutStart.Add(-leadTime+phase), func() { sim.tick(h) })
}

// clock returns the time on the host's clock.
func (h *host) clock(t time.Time) time.Time { return t.Add(h.clockOffset) }

func (h *host) version() string {
	if h.isNew {
		return newVersion
	}
	return oldVersion
}

func (h *host) alive() bool { return h.diedAt.IsZero() }

// listed reports whether members still list the host.
func (sim *simulation) listed(h *host) bool {
	return h.alive() || sim.now.Sub(h.diedAt) < deathDetection
}

// scheduleDisturbances schedules the disturbances of hosts.
func (sim *simulation) scheduleDisturbances() {
	if sim.behaviour.hasDisturbance(ColdStarts) {
		h := sim.newHosts[sim.rng.IntN(len(sim.newHosts))]
		sim.events.schedule(sim.behaviour.disturbanceStart, func() { sim.restart(h) })
	}
	if sim.behaviour.hasDisturbance(LostHost) {
		h := sim.newHosts[sim.rng.IntN(len(sim.newHosts))]
		sim.events.schedule(sim.behaviour.disturbanceStart, func() { sim.kill(h) })
	}
	if sim.behaviour.hasDisturbance(HalfNodesDown) {
		sim.events.schedule(sim.behaviour.disturbanceStart.Add(time.Second), sim.killHalf)
	}
}

func (sim *simulation) kill(h *host) {
	if h.alive() {
		h.diedAt = sim.now
	}
}

// killHalf kills half of the hosts of each version, rounded down.
func (sim *simulation) killHalf() {
	for _, side := range [][]*host{sim.oldHosts, sim.newHosts} {
		order := sim.rng.Perm(len(side))
		for _, i := range order[:len(side)/2] {
			sim.kill(side[i])
		}
	}
}

// restart replaces an upstream by a cold one with new counts.
func (sim *simulation) restart(h *host) {
	h.ready = sim.now
	h.recorder, h.incarnation = canary.NewRecorder(h.clock(sim.now)), h.incarnation+1
}

func (sim *simulation) runEvents() {
	horizon := sim.now
	for {
		at, run, ok := sim.events.popUntil(horizon)
		if !ok {
			break
		}
		sim.now = at
		run()
	}
	sim.now = horizon
}

// tick is one iteration of a node's loop: it checks the calls in progress,
// reports and analyzes.
func (sim *simulation) tick(h *host) {
	if !h.alive() {
		return
	}
	sim.events.schedule(sim.now.Add(analysisInterval), func() { sim.tick(h) })
	sim.report(h)
	sim.analyze(h)
}

func (sim *simulation) report(h *host) {
	now := h.clock(sim.now)
	reason, route := h.recorder.DetectHardFailure(now)
	urgent := reason != "" && h.hardFailureSince.IsZero()
	if reason == "" {
		h.hardFailureSince = time.Time{}
	} else if urgent {
		h.hardFailureSince = sim.now
	}
	failures := h.recorder.Failures()
	urgent = urgent || failures != h.reportedFailures
	if !urgent && sim.now.Sub(h.lastReport) < canary.ReportInterval-analysisInterval/2 {
		return
	}
	h.lastReport, h.reportedFailures = sim.now, failures
	if reason != "" && !sim.cfg.NoGateChecks && h.isNew && sim.now.Sub(h.hardFailureSince) > noAnalyzerTimeout && h.lastReply.Before(h.hardFailureSince) {
		sim.decide(h, canary.Verdict{Regression: reason + ", and no judge answers"}, now)
	}
	if sim.cfg.NoGateChecks {
		reason = ""
	}
	r := canary.Report{Reporter: h.name, Incarnation: h.incarnation, Version: h.version(), Routes: h.recorder.Counts(), HardFailure: reason, HardFailureRoute: route}
	for _, analyzerHost := range sim.analyzers() {
		delay := time.Duration(sim.rng.Float64() * float64(maxReportDelay))
		sim.events.schedule(sim.now.Add(delay), func() { sim.receiveReport(analyzerHost, h, r) })
	}
}

// analyzers returns the hosts that gates report to: the first ones by rank that
// are not known to be unresponsive.
func (sim *simulation) analyzers() []*host {
	var out []*host
	for _, h := range sim.hosts {
		if h.alive() || sim.now.Sub(h.diedAt) < analyzerFailover {
			out = append(out, h)
		}
		if len(out) == analyzerCount {
			break
		}
	}
	return out
}

// receiveReport handles a report on an analyzer and its reply on the gate.
func (sim *simulation) receiveReport(analyzerHost, reporter *host, r canary.Report) {
	if !analyzerHost.alive() {
		return
	}
	if analyzerHost.analysis == nil {
		analyzerHost.analysis = &analysis{analyzer: canary.NewAnalyzer(oldVersion, newVersion, sim.newDetector), lastReports: map[string]time.Time{}}
	}
	analyzerHost.analysis.lastReports[reporter.name] = sim.now
	analyzerHost.analysis.analyzer.Add(r, analyzerHost.clock(sim.now))
	reporter.lastReply = sim.now
	reporter.recorder.SetSlowThresholds(analyzerHost.analysis.analyzer.SlowThresholds())
	if analyzerHost.analysis.lastVerdict.ResetStreaks {
		reporter.recorder.ResetStreaks()
	}
}

func (sim *simulation) newDetector() canary.Detector {
	if sim.cfg.Detector != nil {
		return sim.cfg.Detector()
	}
	return canary.NewCusum(cusumMargin)
}

func (sim *simulation) analyze(h *host) {
	if h.analysis == nil {
		return
	}
	reporting := 0
	for name, at := range h.analysis.lastReports {
		if sim.now.Sub(at) > reporterTTL {
			delete(h.analysis.lastReports, name)
			continue
		}
		reporting++
	}
	if reporting == 0 {
		return
	}
	now := h.clock(sim.now)
	v := h.analysis.analyzer.Analyze(h.state.Step.Number, h.state.ShareReduced(), now)
	h.analysis.lastVerdict = v
	if 2*reporting < sim.listedCount(sim.hosts) {
		v.EnoughSamples = false
	}
	if h != sim.hosts[0] && v.Regression == "" && !sim.behaviour.hasDisturbance(ConcurrentAnalyzers) {
		now = now.Add(-secondAnalyzerDelay)
	}
	sim.decide(h, v, now)
}

func (sim *simulation) listedCount(hosts []*host) int {
	n := 0
	for _, h := range hosts {
		if sim.listed(h) {
			n++
		}
	}
	return n
}

// decide computes the next state and publishes it if it changed.
func (sim *simulation) decide(h *host, v canary.Verdict, now time.Time) {
	f := rollout.Findings{
		Regression: v.Regression, Warning: v.Warning, StrongWarning: v.StrongWarning, BaselineDegraded: v.BaselineDegraded, EnoughSamples: v.EnoughSamples, Summary: v.Summary,
		OldReady: sim.listedCount(sim.oldHosts), NewReady: sim.listedCount(sim.newHosts),
	}
	next, ok := rollout.Next(sim.plan, h.state, f, now)
	if !ok {
		return
	}
	h.state = next
	sim.result.StateChanges++
	if sim.cfg.Trace != nil {
		sim.cfg.Trace(sim.now.Sub(rolloutStart), h.name, next, v)
	}
	sim.gossip(next)
}

// gossip delivers a state to every host and entry, each after its own delay.
func (sim *simulation) gossip(s rollout.State) {
	for _, h := range sim.hosts {
		sim.events.schedule(sim.gossipTime(), func() { h.state = rollout.Merge(h.state, s) })
	}
	for _, e := range sim.entries {
		sim.events.schedule(sim.gossipTime(), func() { e.state = rollout.Merge(e.state, s) })
	}
}

func (sim *simulation) gossipTime() time.Time {
	return sim.now.Add(time.Duration(sim.rng.Float64() * float64(maxGossipDelay)))
}

// allEnded reports whether every live host and every entry knows the end of the
// rollout.
func (sim *simulation) allEnded() bool {
	for _, h := range sim.hosts {
		if h.alive() && !h.state.Ended() {
			return false
		}
	}
	for _, e := range sim.entries {
		if !e.state.Ended() {
			return false
		}
	}
	return true
}

func (sim *simulation) collectResult() {
	for _, h := range sim.hosts {
		if !h.alive() || !h.state.Ended() {
			continue
		}
		decision := h.state.Done
		sim.result.Done = h.state.Withdrawn == nil
		if !sim.result.Done {
			decision, sim.result.Withdrawn = h.state.Withdrawn, true
		}
		sim.result.Reason, sim.result.End = decision.Reason, decision.Time().Sub(rolloutStart)
	}
}

// sendCalls sends the calls of one interval.
func (sim *simulation) sendCalls() {
	for range sim.poisson(sim.rate * callInterval.Seconds()) {
		sim.sendCall()
	}
}

// poisson draws a Poisson-distributed number of calls.
func (sim *simulation) poisson(mean float64) int {
	limit, n, product := math.Exp(-mean), 0, 1.0
	for {
		product *= sim.rng.Float64()
		if product <= limit {
			return n
		}
		n++
	}
}
