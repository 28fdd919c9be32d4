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

// The overload driver: calls of three ranks at a multiple of what the
// upstreams can run, in virtual time.
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

// overWay is a way to meet overload. The plain ones turn by round robin, have
// a fixed limit and a queue of their own length, and try three times.
type overloadStrategy struct {
	name     string
	baseline bool
	queue    int
}

type overloadCall struct {
	rank     gate.Criticality
	entry    int
	upstream int
	began    time.Time
	tries    int
	tried    []int
	// attempt tells a late end of an attempt that was given up.
	attempt int
	done    bool
}

type overloadUpstream struct {
	admission gate.Admission
	waiting   map[*gate.Ticket]*overloadCall
	// running and queue are those of the plain ways.
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

func newOverloadSim(w overloadStrategy, times float64, seed uint64) *overloadSim {
	d := &overloadSim{strategy: w, rng: rand.New(rand.NewPCG(seed, 5)), rate: times * overloadCapacity, start: time.Unix(1000, 0), budget: retry.NewBudget()}
	for range overloadUpstreams {
		u := &overloadUpstream{waiting: map[*gate.Ticket]*overloadCall{}}
		u.admission.Limit.SetCeiling(simSlots, false)
		d.upstreams = append(d.upstreams, u)
	}
	for range overloadEntries {
		d.stats = append(d.stats, make([]UpstreamStats, overloadUpstreams))
	}
	return d
}

func (d *overloadSim) schedule(t time.Time, run func(time.Time)) { heap.Push(&d.events, event{t, run}) }

func (d *overloadSim) run() {
	d.schedule(d.start, d.arrive)
	for len(d.events) > 0 {
		e := heap.Pop(&d.events).(event)
		e.run(e.at)
	}
}

func (d *overloadSim) arrive(now time.Time) {
	if now.Sub(d.start) > overloadWarmup+overloadDuration {
		return
	}
	d.schedule(now.Add(time.Duration(d.rng.ExpFloat64()/d.rate*float64(time.Second))), d.arrive)
	c := &overloadCall{rank: gate.CriticalityLookup, entry: d.rng.IntN(overloadEntries), began: now}
	switch n := d.rng.IntN(10); {
	case n < 2:
		c.rank = gate.CriticalityUpload
	case n > 7:
		c.rank = gate.CriticalityOnce
	}
	if d.isMeasured(c) {
		d.offered[c.rank]++
	}
	d.budget.Deposit("s", 0)
	d.attemptCall(now, c)
}

func (d *overloadSim) isMeasured(c *overloadCall) bool { return c.began.Sub(d.start) > overloadWarmup }

func (d *overloadSim) attemptCall(now time.Time, c *overloadCall) {
	if d.isMeasured(c) {
		d.attempts++
	}
	c.tries++
	c.attempt++
	if d.strategy.baseline {
		d.nextUpstream++
		c.upstream = d.nextUpstream % overloadUpstreams
		d.attemptBaseline(now, c)
		return
	}
	var groups [distanceCount][]Candidate
	for i := range overloadUpstreams {
		groups[0] = append(groups[0], Candidate{Stats: &d.stats[c.entry][i], Slots: simSlots, Tried: has(c.tried, i)})
	}
	first := c.entry % overloadUpstreams
	groups[0] = append(append([]Candidate(nil), groups[0][first:]...), groups[0][:first]...)
	_, place, _ := DefaultPolicy.Choose(&groups, now, d.rng)
	c.upstream = (place + first) % overloadUpstreams
	c.tried = append(c.tried, c.upstream)
	d.stats[c.entry][c.upstream].BeginAttempt()
	d.schedule(now.Add(overloadHopTime), func(now time.Time) { d.arriveAtGate(now, c) })
}

func (d *overloadSim) runTime() time.Duration {
	return time.Duration(float64(overloadRunTime) * (0.5 + 0.5*d.rng.ExpFloat64()))
}

func (d *overloadSim) finish(now time.Time, c *overloadCall) {
	if !c.done && d.isMeasured(c) && now.Sub(c.began) <= overloadTimeLimit {
		d.answeredInTime[c.rank]++
	}
	c.done = true
}

// tryPlain queues an attempt behind all others and gives it up after a third
// of the limit; what it left in the queue runs all the same.
func (d *overloadSim) attemptBaseline(now time.Time, c *overloadCall) {
	u := d.upstreams[c.upstream]
	attempt := c.attempt
	again := func(now time.Time) {
		if !c.done && c.attempt == attempt && c.tries < retry.MaxAttempts && now.Sub(c.began) < overloadTimeLimit {
			d.attemptCall(now, c)
		}
	}
	if u.running >= simSlots && len(u.queue) >= d.strategy.queue {
		d.schedule(now.Add(2*overloadHopTime), again)
		return
	}
	d.schedule(now.Add(overloadTimeLimit/retry.MaxAttempts), again)
	run := func(now time.Time) {
		u.running++
		d.schedule(now.Add(d.runTime()), func(now time.Time) {
			u.running--
			d.finish(now.Add(overloadHopTime), c)
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

func (d *overloadSim) arriveAtGate(now time.Time, c *overloadCall) {
	u := d.upstreams[c.upstream]
	t, code := u.admission.Arrive(now, gate.RequestInfo{Route: "r", Criticality: c.rank, Deadline: c.began.Add(overloadTimeLimit)})
	switch {
	case code != api.OK:
		d.respond(now, c, code)
	case t != nil:
		u.waiting[t] = c
	default:
		d.serve(now, u, c)
	}
	d.deliverDecisions(now, u)
}

func (d *overloadSim) serve(now time.Time, u *overloadUpstream, c *overloadCall) {
	took := d.runTime()
	d.schedule(now.Add(took), func(now time.Time) {
		u.admission.Complete(now, "r", took, took, gate.Answered)
		d.respond(now, c, api.OK)
		d.deliverDecisions(now, u)
	})
}

// verdicts serves the tickets that were decided, the oldest call first.
func (d *overloadSim) deliverDecisions(now time.Time, u *overloadUpstream) {
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
			d.respond(now, c, code)
		} else {
			d.serve(now, u, c)
		}
	}
}

func (d *overloadSim) respond(now time.Time, c *overloadCall, code api.Code) {
	a := &d.upstreams[c.upstream].admission
	l := gate.Load{Busy: a.Running() + a.Waiting(), Slots: a.Limit.Slots(), ServiceTime: a.MeanServiceTime()}
	d.schedule(now.Add(overloadHopTime), func(now time.Time) {
		s := &d.stats[c.entry][c.upstream]
		s.ReportLoad(now, l)
		if code == api.OK {
			s.EndAttempt(now, Success)
			d.finish(now, c)
			return
		}
		s.EndAttempt(now, Inconclusive)
		state := retry.CallState{Attempts: c.tries, BodyReplayable: true, HasTimeLeft: now.Sub(c.began) < overloadTimeLimit}
		if cost, again := retry.ShouldRetry(call.Refuse(code, nil), state); again && d.budget.TryWithdraw("s", cost) {
			d.attemptCall(now, c)
		}
	})
}

// share is the part of a rank's calls answered in time, in percent.
func (d *overloadSim) answeredPercent(r gate.Criticality) float64 {
	return 100 * float64(d.answeredInTime[r]) / float64(d.offered[r])
}

// goodput is what was answered in time, in percent of what the upstreams can run.
func (d *overloadSim) goodput() float64 {
	return 100 * float64(d.answeredInTime[0]+d.answeredInTime[1]+d.answeredInTime[2]) / (overloadCapacity * overloadDuration.Seconds())
}

var overloadStrategies = []overloadStrategy{
	{name: "gate"},
	{name: "plain-queue-0", baseline: true},
	{name: "plain-queue-100", baseline: true, queue: 100},
}

// BenchmarkOverload compares the decisions with plain ones at 1, 2 and 4 times
// capacity: -bench Overload -benchtime 1x.
func BenchmarkOverload(b *testing.B) {
	for _, times := range []float64{1, 2, 4} {
		for _, w := range overloadStrategies {
			b.Run(fmt.Sprintf("%gx/%s", times, w.name), func(b *testing.B) {
				for range b.N {
					d := newOverloadSim(w, times, 1)
					d.run()
					b.ReportMetric(d.goodput(), "goodput-%")
					b.ReportMetric(d.answeredPercent(gate.CriticalityUpload), "uploads-%")
					b.ReportMetric(d.answeredPercent(gate.CriticalityLookup), "look-ups-%")
					b.ReportMetric(d.answeredPercent(gate.CriticalityOnce), "once-%")
					b.ReportMetric(float64(d.attempts)/float64(d.offered[0]+d.offered[1]+d.offered[2]), "tries/call")
				}
			})
		}
	}
}

func TestOverloadKeepsGoodputAndShedsWhatRunsOnceLast(t *testing.T) {
	d := newOverloadSim(overloadStrategy{}, 2, 1)
	d.run()
	if d.goodput() < 95 {
		t.Errorf("%.1f%% of capacity answered in time at twice the load", d.goodput())
	}
	if d.answeredPercent(gate.CriticalityOnce) < 99 || d.answeredPercent(gate.CriticalityUpload) > d.answeredPercent(gate.CriticalityLookup) {
		t.Errorf("answered: %.1f%% of uploads, %.1f%% of look-ups, %.1f%% of what runs once",
			d.answeredPercent(gate.CriticalityUpload), d.answeredPercent(gate.CriticalityLookup), d.answeredPercent(gate.CriticalityOnce))
	}
}
