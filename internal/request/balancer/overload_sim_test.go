package balancer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/request/call"
	"github.com/daisytide/daisytide/internal/request/gate"
	"github.com/daisytide/daisytide/internal/request/retry"
)

// The overload simulation sends calls of three criticalities at a multiple of
// the upstreams' capacity, in virtual time.
const (
	overloadUpstreams = 28
	overloadEntries   = 100
	overloadRunTime   = 20 * time.Millisecond
	overloadTimeLimit = 200 * time.Millisecond
	overloadCapacity  = overloadUpstreams * simSlots / 0.020
	overloadWarmup    = time.Second
	overloadDuration  = 3 * time.Second
	overloadHopTime   = 200 * time.Microsecond
)

// overloadStrategy is a way to handle overload. The baseline strategies use
// round robin, a fixed concurrency limit, a FIFO queue of the given length, and
// three attempts.
type overloadStrategy struct {
	name     string
	baseline bool
	queue    int
}

type overloadCall struct {
	criticality gate.Criticality
	entry       int
	upstream    int
	began       time.Time
	tries       int
	tried       []int
	// attempt identifies the current attempt, so that the late end of an
	// abandoned one is ignored.
	attempt int
	done    bool
}

type overloadUpstream struct {
	admission gate.Admission
	waiting   map[*gate.Ticket]*overloadCall
	// running and queue are used by the baseline strategies only.
	running int
	queue   []func(now time.Time)
}

type overloadSim struct {
	strategy     overloadStrategy
	rng          *rand.Rand
	rate         float64
	start        time.Time
	events       events
	upstreams    []*overloadUpstream
	stats        [][]UpstreamStats
	budget       *retry.Budget
	nextUpstream int

	offered, answeredInTime [3]int
	attempts                int
}

func newOverloadSim(strategy overloadStrategy, loadFactor float64, seed uint64) *overloadSim {
	sim := &overloadSim{strategy: strategy, rng: rand.New(rand.NewPCG(seed, 5)), rate: loadFactor * overloadCapacity, start: time.Unix(1000, 0), budget: retry.NewBudget()}
	for range overloadUpstreams {
		upstream := &overloadUpstream{waiting: map[*gate.Ticket]*overloadCall{}}
		upstream.admission.Limit.SetCeiling(simSlots, false)
		sim.upstreams = append(sim.upstreams, upstream)
	}
	for range overloadEntries {
		sim.stats = append(sim.stats, make([]UpstreamStats, overloadUpstreams))
	}
	return sim
}

func (sim *overloadSim) schedule(t time.Time, run func(time.Time)) {
	heap.Push(&sim.events, event{t, run})
}

func (sim *overloadSim) run() {
	sim.schedule(sim.start, sim.arrive)
	for len(sim.events) > 0 {
		e := heap.Pop(&sim.events).(event)
		e.run(e.at)
	}
}

func (sim *overloadSim) arrive(now time.Time) {
	if now.Sub(sim.start) > overloadWarmup+overloadDuration {
		return
	}
	sim.schedule(now.Add(time.Duration(sim.rng.ExpFloat64()/sim.rate*float64(time.Second))), sim.arrive)
	c := &overloadCall{criticality: gate.CriticalityLookup, entry: sim.rng.IntN(overloadEntries), began: now}
	switch n := sim.rng.IntN(10); {
	case n < 2:
		c.criticality = gate.CriticalityUpload
	case n > 7:
		c.criticality = gate.CriticalityOnce
	}
	if sim.isMeasured(c) {
		sim.offered[c.criticality]++
	}
	sim.budget.Deposit("s", 0)
	sim.attemptCall(now, c)
}

func (sim *overloadSim) isMeasured(c *overloadCall) bool {
	return c.began.Sub(sim.start) > overloadWarmup
}

func (sim *overloadSim) attemptCall(now time.Time, c *overloadCall) {
	if sim.isMeasured(c) {
		sim.attempts++
	}
	c.tries++
	c.attempt++
	if sim.strategy.baseline {
		sim.nextUpstream++
		c.upstream = sim.nextUpstream % overloadUpstreams
		sim.attemptBaseline(now, c)
		return
	}
	var groups [distanceCount][]Candidate
	for i := range overloadUpstreams {
		groups[0] = append(groups[0], Candidate{Stats: &sim.stats[c.entry][i], Slots: simSlots, Tried: has(c.tried, i)})
	}
	first := c.entry % overloadUpstreams
	groups[0] = append(append([]Candidate(nil), groups[0][first:]...), groups[0][:first]...)
	_, index, _ := DefaultPolicy.Choose(&groups, now, sim.rng)
	c.upstream = (index + first) % overloadUpstreams
	c.tried = append(c.tried, c.upstream)
	sim.stats[c.entry][c.upstream].BeginAttempt()
	sim.schedule(now.Add(overloadHopTime), func(now time.Time) { sim.arriveAtGate(now, c) })
}

func (sim *overloadSim) runTime() time.Duration {
	return time.Duration(float64(overloadRunTime) * (0.5 + 0.5*sim.rng.ExpFloat64()))
}

func (sim *overloadSim) finish(now time.Time, c *overloadCall) {
	if !c.done && sim.isMeasured(c) && now.Sub(c.began) <= overloadTimeLimit {
		sim.answeredInTime[c.criticality]++
	}
	c.done = true
}

// attemptBaseline queues an attempt behind all others and abandons it after a
// third of the time limit. Abandoned attempts in the queue still run.
func (sim *overloadSim) attemptBaseline(now time.Time, c *overloadCall) {
	u := sim.upstreams[c.upstream]
	attempt := c.attempt
	again := func(now time.Time) {
		if !c.done && c.attempt == attempt && c.tries < retry.MaxAttempts && now.Sub(c.began) < overloadTimeLimit {
			sim.attemptCall(now, c)
		}
	}
	if u.running >= simSlots && len(u.queue) >= sim.strategy.queue {
		sim.schedule(now.Add(2*overloadHopTime), again)
		return
	}
	sim.schedule(now.Add(overloadTimeLimit/retry.MaxAttempts), again)
	run := func(now time.Time) {
		u.running++
		sim.schedule(now.Add(sim.runTime()), func(now time.Time) {
			u.running--
			sim.finish(now.Add(overloadHopTime), c)
			if len(u.queue) > 0 {
				next := u.queue[0]
				u.queue = u.queue[1:]
				next(now)
			}
		})
	}
	if u.running < simSlots {
		run(now.Add(overloadHopTime))
		return
	}
	u.queue = append(u.queue, run)
}

func (sim *overloadSim) arriveAtGate(now time.Time, c *overloadCall) {
	u := sim.upstreams[c.upstream]
	t, code := u.admission.Arrive(now, gate.RequestInfo{Route: "r", Criticality: c.criticality, Deadline: c.began.Add(overloadTimeLimit)})
	switch {
	case code != api.OK:
		sim.respond(now, c, code)
	case t != nil:
		u.waiting[t] = c
	default:
		sim.serve(now, u, c)
	}
	sim.deliverDecisions(now, u)
}

func (sim *overloadSim) serve(now time.Time, u *overloadUpstream, c *overloadCall) {
	took := sim.runTime()
	sim.schedule(now.Add(took), func(now time.Time) {
		u.admission.Complete(now, "r", took, took, gate.Answered)
		sim.respond(now, c, api.OK)
		sim.deliverDecisions(now, u)
	})
}

// deliverDecisions serves the admitted tickets, oldest call first.
func (sim *overloadSim) deliverDecisions(now time.Time, u *overloadUpstream) {
	for {
		var ticket *gate.Ticket
		for t, c := range u.waiting {
			if len(t.Decision) > 0 && (ticket == nil || c.began.Before(u.waiting[ticket].began)) {
				ticket = t
			}
		}
		if ticket == nil {
			return
		}
		c := u.waiting[ticket]
		delete(u.waiting, ticket)
		if code := <-ticket.Decision; code != api.OK {
			sim.respond(now, c, code)
		} else {
			sim.serve(now, u, c)
		}
	}
}

func (sim *overloadSim) respond(now time.Time, c *overloadCall, code api.Code) {
	a := &sim.upstreams[c.upstream].admission
	load := gate.Load{Busy: a.Running() + a.Waiting(), Slots: a.Limit.Slots(), ServiceTime: a.MeanServiceTime()}
	sim.schedule(now.Add(overloadHopTime), func(now time.Time) {
		s := &sim.stats[c.entry][c.upstream]
		s.ReportLoad(now, load)
		if code == api.OK {
			s.EndAttempt(now, Success)
			sim.finish(now, c)
			return
		}
		s.EndAttempt(now, Inconclusive)
		state := retry.CallState{Attempts: c.tries, BodyReplayable: true, HasTimeLeft: now.Sub(c.began) < overloadTimeLimit}
		if cost, again := retry.ShouldRetry(call.Refuse(code, nil), state); again && sim.budget.TryWithdraw("s", cost) {
			sim.attemptCall(now, c)
		}
	})
}

// answeredPercent returns the percentage of a criticality's calls that were
// answered in time.
func (sim *overloadSim) answeredPercent(criticality gate.Criticality) float64 {
	return 100 * float64(sim.answeredInTime[criticality]) / float64(sim.offered[criticality])
}

// goodput returns the calls answered in time as a percentage of capacity.
func (sim *overloadSim) goodput() float64 {
	return 100 * float64(sim.answeredInTime[0]+sim.answeredInTime[1]+sim.answeredInTime[2]) / (overloadCapacity * overloadDuration.Seconds())
}

var overloadStrategies = []overloadStrategy{
	{name: "gate"},
	{name: "plain-queue-0", baseline: true},
	{name: "plain-queue-100", baseline: true, queue: 100},
}

// BenchmarkOverload compares the load-shedding strategies at 1, 2 and 4 times
// capacity. Run it with -bench Overload -benchtime 1x.
func BenchmarkOverload(b *testing.B) {
	for _, loadFactor := range []float64{1, 2, 4} {
		for _, strategy := range overloadStrategies {
			b.Run(fmt.Sprintf("%gx/%s", loadFactor, strategy.name), func(b *testing.B) {
				for range b.N {
					sim := newOverloadSim(strategy, loadFactor, 1)
					sim.run()
					b.ReportMetric(sim.goodput(), "goodput-%")
					b.ReportMetric(sim.answeredPercent(gate.CriticalityUpload), "uploads-%")
					b.ReportMetric(sim.answeredPercent(gate.CriticalityLookup), "look-ups-%")
					b.ReportMetric(sim.answeredPercent(gate.CriticalityOnce), "once-%")
					b.ReportMetric(float64(sim.attempts)/float64(sim.offered[0]+sim.offered[1]+sim.offered[2]), "tries/call")
				}
			})
		}
	}
}

func TestOverloadKeepsGoodputAndShedsRunOnceCallsLast(t *testing.T) {
	sim := newOverloadSim(overloadStrategy{}, 2, 1)
	sim.run()
	if sim.goodput() < 95 {
		t.Errorf("goodput of %.1f%% of capacity at twice the load, want 95%% or more", sim.goodput())
	}
	if sim.answeredPercent(gate.CriticalityOnce) < 99 || sim.answeredPercent(gate.CriticalityUpload) > sim.answeredPercent(gate.CriticalityLookup) {
		t.Errorf("answered in time: %.1f%% of uploads, %.1f%% of look-ups, %.1f%% of run-once calls",
			sim.answeredPercent(gate.CriticalityUpload), sim.answeredPercent(gate.CriticalityLookup), sim.answeredPercent(gate.CriticalityOnce))
	}
}
