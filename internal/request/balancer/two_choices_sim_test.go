package balancer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/request/gate"
	"github.com/daisytide/daisytide/internal/request/retry"
)

// The driver runs the pure decisions of many entries against the gates' state
// machines in virtual time: one service at the size of the target.
const (
	simEntries     = 1000
	simDataCentres = 9
	simUpstreams   = 28
	simSlots       = 10
	// driverRate is the service's part of 150,000 calls a second.
	simCallsPerSecond = 150_000.0 / 36
	simSeconds        = 12
	// driverTurn is when one upstream turns slow, by driverSlow.
	slowdownAt     = 4 * time.Second
	slowdownFactor = 4.0
	simTimeLimit   = 2 * time.Second
)

// way is one way to pick that the driver compares.
type strategy struct {
	name   string
	policy Policy
	// random picks without looking, carry and own say which sights are kept.
	random, useReportedLoad, useOwnLatency bool
	// hedge is when a second attempt goes to another upstream; 0 means never.
	// The budget holds for it. The slower of the two runs to its end.
	hedgeAfter time.Duration
}

type simUpstream struct {
	admission  gate.Admission
	speed      float64
	dataCentre int
	waiting    map[*gate.Ticket]*simAttempt
}

type simCall struct {
	entry int
	began time.Time
	tried []int
	// open counts the attempts under way, answered tells that one has answered.
	outstanding int
	answered    bool
}

type event struct {
	at  time.Time
	run func(now time.Time)
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

type choiceSim struct {
	strategy    strategy
	rng         *rand.Rand
	events      events
	start       time.Time
	runTime     time.Duration
	upstreams   []*simUpstream
	stats       [][]UpstreamStats
	preferences [][distanceCount][]int

	latencies         []time.Duration
	refused, attempts int
	budget            *retry.Budget
	sentToSlow        int
}

// newDriver builds a run in which use is the share of all slots that the load
// needs.
func newChoiceSim(w strategy, use float64, seed uint64) *choiceSim {
	d := &choiceSim{strategy: w, rng: rand.New(rand.NewPCG(seed, 3)), start: time.Unix(1000, 0), budget: retry.NewBudget()}
	capacity := 0.0
	for i := range simUpstreams {
		u := &simUpstream{speed: []float64{1, 1, 0.5, 2}[i%4], dataCentre: i % simDataCentres, waiting: map[*gate.Ticket]*simAttempt{}}
		u.admission.Limit.SetCeiling(simSlots, false)
		d.upstreams = append(d.upstreams, u)
		capacity += simSlots * u.speed
	}
	d.runTime = time.Duration(use * capacity / simCallsPerSecond * float64(time.Second))
	for e := range simEntries {
		d.stats = append(d.stats, make([]UpstreamStats, simUpstreams))
		var order [distanceCount][]int
		for _, i := range d.rng.Perm(simUpstreams) {
			far := d.distance(e, i)
			order[far] = append(order[far], i)
		}
		d.preferences = append(d.preferences, order)
	}
	return d
}

func (d *choiceSim) distance(entry, upstream int) Distance {
	a, b := entry%simDataCentres, d.upstreams[upstream].dataCentre
	switch {
	case a == b:
		return SameDataCentre
	case a/3 == b/3:
		return SameRegion
	default:
		return OtherRegion
	}
}

func (d *choiceSim) schedule(t time.Time, run func(time.Time)) { heap.Push(&d.events, event{t, run}) }

func (d *choiceSim) run() {
	d.schedule(d.start, d.arrive)
	for len(d.events) > 0 {
		e := heap.Pop(&d.events).(event)
		e.run(e.at)
	}
}

func (d *choiceSim) arrive(now time.Time) {
	if now.Sub(d.start) > simSeconds*time.Second {
		return
	}
	d.schedule(now.Add(time.Duration(d.rng.ExpFloat64()/simCallsPerSecond*float64(time.Second))), d.arrive)
	c := &simCall{entry: d.rng.IntN(simEntries), began: now}
	d.budget.Deposit("s", 0)
	d.attempt(now, c)
	if d.strategy.hedgeAfter > 0 {
		d.schedule(now.Add(d.strategy.hedgeAfter), func(now time.Time) {
			if !c.answered && len(c.tried) < 3 && d.budget.TryWithdraw("s", 1) {
				d.attempt(now, c)
			}
		})
	}
}

func (d *choiceSim) selectUpstream(now time.Time, c *simCall) int {
	if d.strategy.random {
		return d.rng.IntN(simUpstreams)
	}
	var groups [distanceCount][]Candidate
	for far, list := range d.preferences[c.entry] {
		for _, i := range list {
			groups[far] = append(groups[far], Candidate{Stats: &d.stats[c.entry][i], Slots: simSlots, Tried: has(c.tried, i)})
		}
	}
	far, place, _ := d.strategy.policy.Choose(&groups, now, d.rng)
	return d.preferences[c.entry][far][place]
}

func has(list []int, x int) bool {
	for _, y := range list {
		if x == y {
			return true
		}
	}
	return false
}

func (d *choiceSim) attempt(now time.Time, c *simCall) {
	at := d.selectUpstream(now, c)
	c.tried = append(c.tried, at)
	c.outstanding++
	d.attempts++
	if at == 0 && now.Sub(d.start) > slowdownAt+2*time.Second {
		d.sentToSlow++
	}
	d.stats[c.entry][at].outstanding++
	d.schedule(now.Add(distanceCost[d.distance(c.entry, at)]/2), func(now time.Time) { d.arriveAtGate(now, &simAttempt{c, at}) })
}

// attempt is one attempt of a call at one upstream.
type simAttempt struct {
	*simCall
	upstream int
}

func (d *choiceSim) arriveAtGate(now time.Time, c *simAttempt) {
	u := d.upstreams[c.upstream]
	t, code := u.admission.Arrive(now, gate.RequestInfo{Route: "r", Criticality: gate.CriticalityLookup, Deadline: c.began.Add(simTimeLimit)})
	switch {
	case code != api.OK:
		d.respond(now, c, false)
	case t != nil:
		u.waiting[t] = c
		d.deliverDecisions(now, u)
	default:
		d.serve(now, u, c)
	}
}

func (d *choiceSim) serve(now time.Time, u *simUpstream, c *simAttempt) {
	speed := u.speed
	if u == d.upstreams[0] && now.Sub(d.start) > slowdownAt {
		speed /= slowdownFactor
	}
	took := time.Duration(float64(d.runTime) / speed * (0.5 + 0.5*d.rng.ExpFloat64()))
	d.schedule(now.Add(took), func(now time.Time) {
		u.admission.Complete(now, "r", took, took, gate.Answered)
		d.deliverDecisions(now, u)
		d.respond(now, c, true)
	})
}

func (d *choiceSim) deliverDecisions(now time.Time, u *simUpstream) {
	var decided []*simAttempt
	for t, c := range u.waiting {
		select {
		case code := <-t.Decision:
			delete(u.waiting, t)
			if code == api.OK {
				decided = append(decided, c)
			} else {
				d.respond(now, c, false)
			}
		default:
		}
	}
	sort.Slice(decided, func(i, j int) bool { return decided[i].began.Before(decided[j].began) })
	for _, c := range decided {
		d.serve(now, u, c)
	}
}

// back brings the answer or refusal to the entry, with the gate's load.
func (d *choiceSim) respond(now time.Time, c *simAttempt, answered bool) {
	u := d.upstreams[c.upstream]
	l := gate.Load{Busy: u.admission.Running() + u.admission.Waiting(), Slots: u.admission.Limit.Slots(), ServiceTime: u.admission.MeanServiceTime()}
	d.schedule(now.Add(distanceCost[d.distance(c.entry, c.upstream)]/2), func(now time.Time) {
		s := &d.stats[c.entry][c.upstream]
		s.outstanding--
		if d.strategy.useReportedLoad {
			s.ReportLoad(now, l)
		} else if d.strategy.useOwnLatency && answered {
			s.load.ServiceTime += (now.Sub(c.began) - s.load.ServiceTime) / 4
		}
		c.outstanding--
		switch {
		case c.answered:
		case answered:
			c.answered = true
			d.latencies = append(d.latencies, now.Sub(c.began))
		case len(c.tried) < 3:
			d.attempt(now, c.simCall)
		case c.outstanding == 0:
			d.refused++
		}
	})
}

func (d *choiceSim) percentile(p float64) float64 {
	sort.Slice(d.latencies, func(i, j int) bool { return d.latencies[i] < d.latencies[j] })
	return float64(d.latencies[int(p*float64(len(d.latencies)-1))].Microseconds()) / 1000
}

// BenchmarkPick compares ways to pick: -bench Pick -benchtime 1x.
func BenchmarkPick(b *testing.B) {
	for _, w := range []strategy{
		{name: "random", random: true},
		{name: "own-sight", useOwnLatency: true, policy: Policy{SubsetSize: 8, SpilloverUtilization: 1.1}},
		{name: "carried-subset-2", useReportedLoad: true, policy: Policy{SubsetSize: 2, SpilloverUtilization: 1.1}},
		{name: "carried-subset-4", useReportedLoad: true, policy: Policy{SubsetSize: 4, SpilloverUtilization: 1.1}},
		{name: "carried-subset-8", useReportedLoad: true, policy: Policy{SubsetSize: 8, SpilloverUtilization: 1.1}},
		{name: "carried-spill-0.7", useReportedLoad: true, policy: Policy{SubsetSize: 4, SpilloverUtilization: 0.7}},
		{name: "carried-spill-0.9", useReportedLoad: true, policy: Policy{SubsetSize: 4, SpilloverUtilization: 0.9}},
		{name: "carried-hedge-100ms", useReportedLoad: true, policy: DefaultPolicy, hedgeAfter: 100 * time.Millisecond},
		{name: "carried-hedge-200ms", useReportedLoad: true, policy: DefaultPolicy, hedgeAfter: 200 * time.Millisecond},
		{name: "carried-no-centre", useReportedLoad: true, policy: Policy{SubsetSize: 28, SpilloverUtilization: 0}},
	} {
		for _, use := range []float64{0.5, 0.8} {
			b.Run(fmt.Sprintf("%s/use-%.1f", w.name, use), func(b *testing.B) {
				for range b.N {
					d := newChoiceSim(w, use, 1)
					d.run()
					calls := float64(len(d.latencies) + d.refused)
					b.ReportMetric(d.percentile(0.5), "p50-ms")
					b.ReportMetric(d.percentile(0.99), "p99-ms")
					b.ReportMetric(100*float64(d.refused)/calls, "refused-%")
					b.ReportMetric(float64(d.attempts)/calls, "tries/call")
					b.ReportMetric(100*float64(d.sentToSlow)/calls, "to-slow-%")
				}
			})
		}
	}
}
