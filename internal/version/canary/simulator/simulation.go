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

// Times of the stand-in network and of the parts around the decisions.
const (
	callTick    = 10 * time.Millisecond
	judgeTick   = 100 * time.Millisecond
	lead        = time.Minute
	factDelay   = 250 * time.Millisecond
	reportDelay = 20 * time.Millisecond
	// noticeDeath is how long until members leave out a dead node, and
	// switchJudge until a gate takes another judge for one that is silent.
	noticeDeath = 3 * time.Second
	switchJudge = 800 * time.Millisecond
	avoidFor    = 2 * time.Second
	aloneAfter  = time.Second
	judgeSpan   = 3 * time.Second
	secondLag   = 700 * time.Millisecond
	judgeCount  = 2
	entryCount  = 8
	margin      = 8
	apart       = 200 * time.Millisecond
)

// firstShare is the percentage that the played documents begin with.
const firstShare = 2

const (
	oldVersion = "v1"
	newVersion = "v2"
)

// host is a node with its upstream.
type host struct {
	name     string
	isNew    bool
	recorder *canary.Recorder
	born     uint64
	ready    time.Time
	offset   time.Duration
	dead     time.Time
	state    rollout.State
	heldAt   time.Time
	answered time.Time
	reported time.Time
	failures uint64
	judge    *judge
}

// judge is a host's judge with what it heard.
type judge struct {
	verdict *canary.Analyzer
	heard   map[string]time.Time
	last    canary.Verdict
}

// entry is a node that callers reach.
type entry struct {
	state rollout.State
	avoid time.Time
}

// play is one move in progress.
type play struct {
	cfg     Config
	rng     *rand.Rand
	b       *behaviour
	plan    rollout.Plan
	now     time.Time
	events  events
	hosts   []*host
	old     []*host
	newer   []*host
	entries []*entry
	rate    float64
	res     Result
	first   time.Time
}

// Run plays one move to its end, or to a minute after its deadline.
func Run(cfg Config) Result {
	p := newPlay(cfg)
	end := begin.Add(RolloutDuration + time.Minute)
	for p.now = begin.Add(-lead); p.now.Before(end); p.now = p.now.Add(callTick) {
		p.runEvents()
		p.sendCalls()
		if p.settled() {
			break
		}
	}
	p.finish()
	return p.res
}

func newPlay(cfg Config) *play {
	p := &play{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0x6d6f766573))}
	p.rate = QuietRate
	if cfg.Busy {
		p.rate = BusyRate * float64(cfg.Upstreams)
	}
	p.res.Calls = p.rate * RolloutDuration.Seconds()
	p.b = newBehaviour(cfg, p.rng, p.rate)
	p.plan = rollout.NewPlan(document.Rollout{
		Service: "status-desk", From: oldVersion, To: newVersion,
		Start: begin, Deadline: begin.Add(RolloutDuration), FirstShare: firstShare, Caution: cfg.Caution,
	})
	for i := range 2 * cfg.Upstreams {
		p.addHost(i)
	}
	// The rank of the judges is a random order of the hosts.
	p.rng.Shuffle(len(p.hosts), func(i, j int) { p.hosts[i], p.hosts[j] = p.hosts[j], p.hosts[i] })
	for range entryCount {
		p.entries = append(p.entries, &entry{})
	}
	p.trouble()
	return p
}

func (p *play) addHost(i int) {
	h := &host{name: fmt.Sprintf("10.0.0.%d:7001", i), isNew: i%2 == 1, ready: begin.Add(-time.Hour)}
	if h.isNew {
		h.ready = begin.Add(-lead)
		p.newer = append(p.newer, h)
	} else {
		p.old = append(p.old, h)
	}
	if h.isNew && p.b.has(ColdStarts) {
		h.ready = begin.Add(-2 * time.Second)
	}
	if p.b.has(ClockSkew) {
		h.offset = time.Duration((p.rng.Float64() - 0.5) * float64(apart))
	}
	h.recorder, h.born = canary.NewRecorder(h.clock(h.ready)), 1
	p.hosts = append(p.hosts, h)
	phase := time.Duration(p.rng.Float64() * float64(judgeTick))
	p.events.after(begin.Add(-lead+phase), func() { p.tick(h) })
}

// clock is what the host's clock shows at a time.
func (h *host) clock(t time.Time) time.Time { return t.Add(h.offset) }

func (h *host) version() string {
	if h.isNew {
		return newVersion
	}
	return oldVersion
}

func (h *host) alive() bool { return h.dead.IsZero() }

// listed tells whether members still list the host.
func (p *play) listed(h *host) bool { return h.alive() || p.now.Sub(h.dead) < noticeDeath }

// trouble places what happens to hosts.
func (p *play) trouble() {
	if p.b.has(ColdStarts) {
		h := p.newer[p.rng.IntN(len(p.newer))]
		p.events.after(p.b.troubleAt, func() { p.restart(h) })
	}
	if p.b.has(LostHost) {
		h := p.newer[p.rng.IntN(len(p.newer))]
		p.events.after(p.b.troubleAt, func() { p.kill(h) })
	}
	if p.b.has(HalfNodesDown) {
		p.events.after(p.b.troubleAt.Add(time.Second), p.killHalf)
	}
}

func (p *play) kill(h *host) {
	if h.alive() {
		h.dead = p.now
	}
}

// killHalf ends half of the hosts, leaving one of each version.
func (p *play) killHalf() {
	for _, side := range [][]*host{p.old, p.newer} {
		order := p.rng.Perm(len(side))
		for _, i := range order[:len(side)/2] {
			p.kill(side[i])
		}
	}
}

// restart replaces an upstream by a cold one, counted anew.
func (p *play) restart(h *host) {
	h.ready = p.now
	h.recorder, h.born = canary.NewRecorder(h.clock(p.now)), h.born+1
}

func (p *play) runEvents() {
	horizon := p.now
	for {
		at, run, ok := p.events.next(horizon)
		if !ok {
			break
		}
		p.now = at
		run()
	}
	p.now = horizon
}

// tick is a node's loop: look at the calls in progress, report, judge.
func (p *play) tick(h *host) {
	if !h.alive() {
		return
	}
	p.events.after(p.now.Add(judgeTick), func() { p.tick(h) })
	p.report(h)
	p.judge(h)
}

func (p *play) report(h *host) {
	now := h.clock(p.now)
	plain, route := h.recorder.DetectHardFailure(now)
	urgent := plain != "" && h.heldAt.IsZero()
	if plain == "" {
		h.heldAt = time.Time{}
	} else if urgent {
		h.heldAt = p.now
	}
	failures := h.recorder.Failures()
	urgent = urgent || failures != h.failures
	if !urgent && p.now.Sub(h.reported) < canary.ReportInterval-judgeTick/2 {
		return
	}
	h.reported, h.failures = p.now, failures
	if plain != "" && !p.cfg.NoGateChecks && h.isNew && p.now.Sub(h.heldAt) > aloneAfter && h.answered.Before(h.heldAt) {
		p.decide(h, canary.Verdict{Regression: plain + ", and no judge answers"}, now)
	}
	if p.cfg.NoGateChecks {
		plain = ""
	}
	r := canary.Report{Reporter: h.name, Incarnation: h.born, Version: h.version(), Routes: h.recorder.Counts(), HardFailure: plain, HardFailureRoute: route}
	for _, j := range p.judges() {
		delay := time.Duration(p.rng.Float64() * float64(reportDelay))
		p.events.after(p.now.Add(delay), func() { p.take(j, h, r) })
	}
}

// judges returns the hosts that gates report to: the first by rank that are
// not known to be silent.
func (p *play) judges() []*host {
	var out []*host
	for _, h := range p.hosts {
		if h.alive() || p.now.Sub(h.dead) < switchJudge {
			out = append(out, h)
		}
		if len(out) == judgeCount {
			break
		}
	}
	return out
}

// take is a judge's side of a report, and the gate's of its answer.
func (p *play) take(at, from *host, r canary.Report) {
	if !at.alive() {
		return
	}
	if at.judge == nil {
		at.judge = &judge{verdict: canary.NewAnalyzer(oldVersion, newVersion, p.rule), heard: map[string]time.Time{}}
	}
	at.judge.heard[from.name] = p.now
	at.judge.verdict.Add(r, at.clock(p.now))
	from.answered = p.now
	from.recorder.SetSlowThresholds(at.judge.verdict.SlowThresholds())
	if at.judge.last.ResetStreaks {
		from.recorder.ResetStreaks()
	}
}

func (p *play) rule() canary.Detector {
	if p.cfg.Detector != nil {
		return p.cfg.Detector()
	}
	return canary.NewCusum(margin)
}

func (p *play) judge(h *host) {
	if h.judge == nil {
		return
	}
	reporting := 0
	for name, at := range h.judge.heard {
		if p.now.Sub(at) > judgeSpan {
			delete(h.judge.heard, name)
			continue
		}
		reporting++
	}
	if reporting == 0 {
		return
	}
	now := h.clock(p.now)
	v := h.judge.verdict.Analyze(h.state.Step.Number, h.state.ShareReduced(), now)
	h.judge.last = v
	if 2*reporting < p.listedCount(p.hosts) {
		v.EnoughSamples = false
	}
	if h != p.hosts[0] && v.Regression == "" && !p.b.has(ConcurrentAnalyzers) {
		now = now.Add(-secondLag)
	}
	p.decide(h, v, now)
}

func (p *play) listedCount(hosts []*host) int {
	n := 0
	for _, h := range hosts {
		if p.listed(h) {
			n++
		}
	}
	return n
}

// decide takes the next state, if there is one, and spreads it.
func (p *play) decide(h *host, v canary.Verdict, now time.Time) {
	f := rollout.Findings{
		Regression: v.Regression, Warning: v.Warning, StrongWarning: v.StrongWarning, BaselineDegraded: v.BaselineDegraded, EnoughSamples: v.EnoughSamples, Summary: v.Summary,
		OldReady: p.listedCount(p.old), NewReady: p.listedCount(p.newer),
	}
	next, ok := rollout.Next(p.plan, h.state, f, now)
	if !ok {
		return
	}
	h.state = next
	p.res.StateChanges++
	if p.cfg.Trace != nil {
		p.cfg.Trace(p.now.Sub(begin), h.name, next, v)
	}
	p.spread(next)
}

// spread brings a fact to every host and entry, each after its own delay.
func (p *play) spread(s rollout.State) {
	for _, h := range p.hosts {
		p.events.after(p.delay(), func() { h.state = rollout.Merge(h.state, s) })
	}
	for _, e := range p.entries {
		p.events.after(p.delay(), func() { e.state = rollout.Merge(e.state, s) })
	}
}

func (p *play) delay() time.Time {
	return p.now.Add(time.Duration(p.rng.Float64() * float64(factDelay)))
}

// settled tells that every host and entry knows the end and nothing is left to see.
func (p *play) settled() bool {
	for _, h := range p.hosts {
		if h.alive() && !h.state.Ended() {
			return false
		}
	}
	for _, e := range p.entries {
		if !e.state.Ended() {
			return false
		}
	}
	return true
}

func (p *play) finish() {
	for _, h := range p.hosts {
		if !h.alive() || !h.state.Ended() {
			continue
		}
		mark := h.state.Done
		p.res.Done = h.state.Withdrawn == nil
		if !p.res.Done {
			mark, p.res.Withdrawn = h.state.Withdrawn, true
		}
		p.res.Reason, p.res.End = mark.Reason, mark.Time().Sub(begin)
	}
}

// sendCalls sends the calls of one tick.
func (p *play) sendCalls() {
	for range p.poisson(p.rate * callTick.Seconds()) {
		p.call()
	}
}

// poisson draws a number of arrivals.
func (p *play) poisson(mean float64) int {
	limit, n, product := math.Exp(-mean), 0, 1.0
	for {
		product *= p.rng.Float64()
		if product <= limit {
			return n
		}
		n++
	}
}
