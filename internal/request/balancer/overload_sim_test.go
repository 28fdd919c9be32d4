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
	overUpstreams = 28
	overEntries   = 100
	overWork      = 20 * time.Millisecond
	overLimit     = 200 * time.Millisecond
	overCapacity  = overUpstreams * driverSlots / 0.020
	overWarm      = time.Second
	overSpan      = 3 * time.Second
	overHop       = 200 * time.Microsecond
)

// overWay is a way to meet overload. The plain ones turn by round robin, have
// a fixed limit and a queue of their own length, and try three times.
type overWay struct {
	name  string
	plain bool
	queue int
}

type overCall struct {
	rank  gate.Criticality
	entry int
	at    int
	began time.Time
	tries int
	tried []int
	// attempt tells a late end of an attempt that was given up.
	attempt int
	done    bool
}

type overUpstream struct {
	admission gate.Admission
	waiting   map[*gate.Ticket]*overCall
	// running and queue are those of the plain ways.
	running int
	queue   []func(now time.Time)
}

type overDriver struct {
	way       overWay
	rng       *rand.Rand
	rate      float64
	start     time.Time
	events    events
	upstreams []*overUpstream
	sights    [][]UpstreamStats
	budget    *retry.Budget
	turn      int

	offered, good [3]int
	attempts      int
}

func newOverDriver(w overWay, times float64, seed uint64) *overDriver {
	d := &overDriver{way: w, rng: rand.New(rand.NewPCG(seed, 5)), rate: times * overCapacity, start: time.Unix(1000, 0), budget: retry.NewBudget()}
	for range overUpstreams {
		u := &overUpstream{waiting: map[*gate.Ticket]*overCall{}}
		u.admission.Limit.SetCeiling(driverSlots, false)
		d.upstreams = append(d.upstreams, u)
	}
	for range overEntries {
		d.sights = append(d.sights, make([]UpstreamStats, overUpstreams))
	}
	return d
}

func (d *overDriver) at(t time.Time, run func(time.Time)) { heap.Push(&d.events, event{t, run}) }

func (d *overDriver) run() {
	d.at(d.start, d.arrive)
	for len(d.events) > 0 {
		e := heap.Pop(&d.events).(event)
		e.run(e.at)
	}
}

func (d *overDriver) arrive(now time.Time) {
	if now.Sub(d.start) > overWarm+overSpan {
		return
	}
	d.at(now.Add(time.Duration(d.rng.ExpFloat64()/d.rate*float64(time.Second))), d.arrive)
	c := &overCall{rank: gate.CriticalityLookup, entry: d.rng.IntN(overEntries), began: now}
	switch n := d.rng.IntN(10); {
	case n < 2:
		c.rank = gate.CriticalityUpload
	case n > 7:
		c.rank = gate.CriticalityOnce
	}
	if d.counts(c) {
		d.offered[c.rank]++
	}
	d.budget.Deposit("s", 0)
	d.try(now, c)
}

func (d *overDriver) counts(c *overCall) bool { return c.began.Sub(d.start) > overWarm }

func (d *overDriver) try(now time.Time, c *overCall) {
	if d.counts(c) {
		d.attempts++
	}
	c.tries++
	c.attempt++
	if d.way.plain {
		d.turn++
		c.at = d.turn % overUpstreams
		d.tryPlain(now, c)
		return
	}
	var groups [distances][]Candidate
	for i := range overUpstreams {
		groups[0] = append(groups[0], Candidate{Stats: &d.sights[c.entry][i], Slots: driverSlots, Tried: has(c.tried, i)})
	}
	first := c.entry % overUpstreams
	groups[0] = append(append([]Candidate(nil), groups[0][first:]...), groups[0][:first]...)
	_, place, _ := DefaultPolicy.Choose(&groups, now, d.rng)
	c.at = (place + first) % overUpstreams
	c.tried = append(c.tried, c.at)
	d.sights[c.entry][c.at].BeginAttempt()
	d.at(now.Add(overHop), func(now time.Time) { d.reach(now, c) })
}

func (d *overDriver) work() time.Duration {
	return time.Duration(float64(overWork) * (0.5 + 0.5*d.rng.ExpFloat64()))
}

func (d *overDriver) finish(now time.Time, c *overCall) {
	if !c.done && d.counts(c) && now.Sub(c.began) <= overLimit {
		d.good[c.rank]++
	}
	c.done = true
}

// tryPlain queues an attempt behind all others and gives it up after a third
// of the limit; what it left in the queue runs all the same.
func (d *overDriver) tryPlain(now time.Time, c *overCall) {
	u := d.upstreams[c.at]
	attempt := c.attempt
	again := func(now time.Time) {
		if !c.done && c.attempt == attempt && c.tries < retry.MaxAttempts && now.Sub(c.began) < overLimit {
			d.try(now, c)
		}
	}
	if u.running >= driverSlots && len(u.queue) >= d.way.queue {
		d.at(now.Add(2*overHop), again)
		return
	}
	d.at(now.Add(overLimit/retry.MaxAttempts), again)
	run := func(now time.Time) {
		u.running++
		d.at(now.Add(d.work()), func(now time.Time) {
			u.running--
			d.finish(now.Add(overHop), c)
			if len(u.queue) > 0 {
				next := u.queue[0]
				u.queue = u.queue[1:]
				next(now)
			}
		})
	}
	if u.running < driverSlots {
		run(now.Add(overHop))
		return
	}
	u.queue = append(u.queue, run)
}

func (d *overDriver) reach(now time.Time, c *overCall) {
	u := d.upstreams[c.at]
	t, code := u.admission.Arrive(now, gate.RequestInfo{Route: "r", Criticality: c.rank, Deadline: c.began.Add(overLimit)})
	switch {
	case code != api.OK:
		d.back(now, c, code)
	case t != nil:
		u.waiting[t] = c
	default:
		d.serve(now, u, c)
	}
	d.verdicts(now, u)
}

func (d *overDriver) serve(now time.Time, u *overUpstream, c *overCall) {
	took := d.work()
	d.at(now.Add(took), func(now time.Time) {
		u.admission.Complete(now, "r", took, took, gate.Answered)
		d.back(now, c, api.OK)
		d.verdicts(now, u)
	})
}

// verdicts serves the tickets that were decided, the oldest call first.
func (d *overDriver) verdicts(now time.Time, u *overUpstream) {
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
			d.back(now, c, code)
		} else {
			d.serve(now, u, c)
		}
	}
}

func (d *overDriver) back(now time.Time, c *overCall, code api.Code) {
	a := &d.upstreams[c.at].admission
	l := gate.Load{Busy: a.Running() + a.Waiting(), Slots: a.Limit.Slots(), ServiceTime: a.MeanServiceTime()}
	d.at(now.Add(overHop), func(now time.Time) {
		s := &d.sights[c.entry][c.at]
		s.ReportLoad(now, l)
		if code == api.OK {
			s.EndAttempt(now, Success)
			d.finish(now, c)
			return
		}
		s.EndAttempt(now, Inconclusive)
		state := retry.CallState{Attempts: c.tries, BodyReplayable: true, HasTimeLeft: now.Sub(c.began) < overLimit}
		if cost, again := retry.ShouldRetry(call.Refuse(code, nil), state); again && d.budget.TryWithdraw("s", cost) {
			d.try(now, c)
		}
	})
}

// share is the part of a rank's calls answered in time, in percent.
func (d *overDriver) share(r gate.Criticality) float64 {
	return 100 * float64(d.good[r]) / float64(d.offered[r])
}

// goodput is what was answered in time, in percent of what the upstreams can run.
func (d *overDriver) goodput() float64 {
	return 100 * float64(d.good[0]+d.good[1]+d.good[2]) / (overCapacity * overSpan.Seconds())
}

var overWays = []overWay{
	{name: "gate"},
	{name: "plain-queue-0", plain: true},
	{name: "plain-queue-100", plain: true, queue: 100},
}

// BenchmarkOverload compares the decisions with plain ones at 1, 2 and 4 times
// capacity: -bench Overload -benchtime 1x.
func BenchmarkOverload(b *testing.B) {
	for _, times := range []float64{1, 2, 4} {
		for _, w := range overWays {
			b.Run(fmt.Sprintf("%gx/%s", times, w.name), func(b *testing.B) {
				for range b.N {
					d := newOverDriver(w, times, 1)
					d.run()
					b.ReportMetric(d.goodput(), "goodput-%")
					b.ReportMetric(d.share(gate.CriticalityUpload), "uploads-%")
					b.ReportMetric(d.share(gate.CriticalityLookup), "look-ups-%")
					b.ReportMetric(d.share(gate.CriticalityOnce), "once-%")
					b.ReportMetric(float64(d.attempts)/float64(d.offered[0]+d.offered[1]+d.offered[2]), "tries/call")
				}
			})
		}
	}
}

func TestOverloadKeepsGoodputAndShedsWhatRunsOnceLast(t *testing.T) {
	d := newOverDriver(overWay{}, 2, 1)
	d.run()
	if d.goodput() < 95 {
		t.Errorf("%.1f%% of capacity answered in time at twice the load", d.goodput())
	}
	if d.share(gate.CriticalityOnce) < 99 || d.share(gate.CriticalityUpload) > d.share(gate.CriticalityLookup) {
		t.Errorf("answered: %.1f%% of uploads, %.1f%% of look-ups, %.1f%% of what runs once",
			d.share(gate.CriticalityUpload), d.share(gate.CriticalityLookup), d.share(gate.CriticalityOnce))
	}
}
