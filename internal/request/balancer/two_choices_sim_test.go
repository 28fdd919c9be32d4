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

// The simulation runs the selections of many entries against the admission
// state machines of the gates in virtual time, for one service at the target
// fleet size.
const (
	simEntries     = 1000
	simDataCentres = 9
	simUpstreams   = 28
	simSlots       = 10
	// simCallsPerSecond is one of 36 services' share of 150,000 calls per
	// second.
	simCallsPerSecond = 150_000.0 / 36
	simSeconds        = 12
	// slowdownAt is when the first upstream becomes slower by slowdownFactor.
	slowdownAt     = 4 * time.Second
	slowdownFactor = 4.0
	simTimeLimit   = 2 * time.Second
)

// strategy is a selection strategy under comparison.
type strategy struct {
	name   string
	policy Policy
	// random ignores all statistics. useReportedLoad and useOwnLatency choose
	// what updates the statistics.
	random, useReportedLoad, useOwnLatency bool
	// hedgeAfter is when a hedged second attempt goes to another upstream,
	// within the retry budget; 0 disables hedging. Neither attempt is
	// cancelled.
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
	// outstanding counts the attempts in progress; answered is set once one has
	// been answered.
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

// newChoiceSim builds a run whose load needs the given share of all slots.
func newChoiceSim(strategy strategy, utilization float64, seed uint64) *choiceSim {
	sim := &choiceSim{strategy: strategy, rng: rand.New(rand.NewPCG(seed, 3)), start: time.Unix(1000, 0), budget: retry.NewBudget()}
	capacity := 0.0
	for i := range simUpstreams {
		upstream := &simUpstream{speed: []float64{1, 1, 0.5, 2}[i%4], dataCentre: i % simDataCentres, waiting: map[*gate.Ticket]*simAttempt{}}
		upstream.admission.Limit.SetCeiling(simSlots, false)
		sim.upstreams = append(sim.upstreams, upstream)
		capacity += simSlots * upstream.speed
	}
	sim.runTime = time.Duration(utilization * capacity / simCallsPerSecond * float64(time.Second))
	for entry := range simEntries {
		sim.stats = append(sim.stats, make([]UpstreamStats, simUpstreams))
		var order [distanceCount][]int
		for _, i := range sim.rng.Perm(simUpstreams) {
			distance := sim.distance(entry, i)
			order[distance] = append(order[distance], i)
		}
		sim.preferences = append(sim.preferences, order)
	}
	return sim
}

func (sim *choiceSim) distance(entry, upstream int) Distance {
	a, b := entry%simDataCentres, sim.upstreams[upstream].dataCentre
	switch {
	case a == b:
		return SameDataCentre
	case a/3 == b/3:
		return SameRegion
	default:
		return OtherRegion
	}
}

func (sim *choiceSim) schedule(t time.Time, run func(time.Time)) {
	heap.Push(&sim.events, event{t, run})
}

func (sim *choiceSim) run() {
	sim.schedule(sim.start, sim.arrive)
	for len(sim.events) > 0 {
		e := heap.Pop(&sim.events).(event)
		e.run(e.at)
	}
}

func (sim *choiceSim) arrive(now time.Time) {
	if now.Sub(sim.start) > simSeconds*time.Second {
		return
	}
	sim.schedule(now.Add(time.Duration(sim.rng.ExpFloat64()/simCallsPerSecond*float64(time.Second))), sim.arrive)
	c := &simCall{entry: sim.rng.IntN(simEntries), began: now}
	sim.budget.Deposit("s", 0)
	sim.attempt(now, c)
	if sim.strategy.hedgeAfter > 0 {
		sim.schedule(now.Add(sim.strategy.hedgeAfter), func(now time.Time) {
			if !c.answered && len(c.tried) < 3 && sim.budget.TryWithdraw("s", 1) {
				sim.attempt(now, c)
			}
		})
	}
}

func (sim *choiceSim) selectUpstream(now time.Time, c *simCall) int {
	if sim.strategy.random {
		return sim.rng.IntN(simUpstreams)
	}
	var groups [distanceCount][]Candidate
	for distance, list := range sim.preferences[c.entry] {
		for _, i := range list {
			groups[distance] = append(groups[distance], Candidate{Stats: &sim.stats[c.entry][i], Slots: simSlots, Tried: has(c.tried, i)})
		}
	}
	distance, index, _ := sim.strategy.policy.Choose(&groups, now, sim.rng)
	return sim.preferences[c.entry][distance][index]
}

func has(list []int, x int) bool {
	for _, y := range list {
		if x == y {
			return true
		}
	}
	return false
}

func (sim *choiceSim) attempt(now time.Time, c *simCall) {
	upstream := sim.selectUpstream(now, c)
	c.tried = append(c.tried, upstream)
	c.outstanding++
	sim.attempts++
	if upstream == 0 && now.Sub(sim.start) > slowdownAt+2*time.Second {
		sim.sentToSlow++
	}
	sim.stats[c.entry][upstream].outstanding++
	sim.schedule(now.Add(distanceCost[sim.distance(c.entry, upstream)]/2), func(now time.Time) { sim.arriveAtGate(now, &simAttempt{c, upstream}) })
}

type simAttempt struct {
	*simCall
	upstream int
}

func (sim *choiceSim) arriveAtGate(now time.Time, a *simAttempt) {
	u := sim.upstreams[a.upstream]
	t, code := u.admission.Arrive(now, gate.RequestInfo{Route: "r", Criticality: gate.CriticalityLookup, Deadline: a.began.Add(simTimeLimit)})
	switch {
	case code != api.OK:
		sim.respond(now, a, false)
	case t != nil:
		u.waiting[t] = a
		sim.deliverDecisions(now, u)
	default:
		sim.serve(now, u, a)
	}
}

func (sim *choiceSim) serve(now time.Time, u *simUpstream, a *simAttempt) {
	speed := u.speed
	if u == sim.upstreams[0] && now.Sub(sim.start) > slowdownAt {
		speed /= slowdownFactor
	}
	took := time.Duration(float64(sim.runTime) / speed * (0.5 + 0.5*sim.rng.ExpFloat64()))
	sim.schedule(now.Add(took), func(now time.Time) {
		u.admission.Complete(now, "r", took, took, gate.Answered)
		sim.deliverDecisions(now, u)
		sim.respond(now, a, true)
	})
}

func (sim *choiceSim) deliverDecisions(now time.Time, u *simUpstream) {
	var admitted []*simAttempt
	for t, a := range u.waiting {
		select {
		case code := <-t.Decision:
			delete(u.waiting, t)
			if code == api.OK {
				admitted = append(admitted, a)
			} else {
				sim.respond(now, a, false)
			}
		default:
		}
	}
	sort.Slice(admitted, func(i, j int) bool { return admitted[i].began.Before(admitted[j].began) })
	for _, a := range admitted {
		sim.serve(now, u, a)
	}
}

// respond delivers the answer or refusal to the entry, with the gate's load.
func (sim *choiceSim) respond(now time.Time, a *simAttempt, answered bool) {
	u := sim.upstreams[a.upstream]
	load := gate.Load{Busy: u.admission.Running() + u.admission.Waiting(), Slots: u.admission.Limit.Slots(), ServiceTime: u.admission.MeanServiceTime()}
	sim.schedule(now.Add(distanceCost[sim.distance(a.entry, a.upstream)]/2), func(now time.Time) {
		s := &sim.stats[a.entry][a.upstream]
		s.outstanding--
		if sim.strategy.useReportedLoad {
			s.ReportLoad(now, load)
		} else if sim.strategy.useOwnLatency && answered {
			s.load.ServiceTime += (now.Sub(a.began) - s.load.ServiceTime) / 4
		}
		a.outstanding--
		switch {
		case a.answered:
		case answered:
			a.answered = true
			sim.latencies = append(sim.latencies, now.Sub(a.began))
		case len(a.tried) < 3:
			sim.attempt(now, a.simCall)
		case a.outstanding == 0:
			sim.refused++
		}
	})
}

func (sim *choiceSim) percentile(p float64) float64 {
	sort.Slice(sim.latencies, func(i, j int) bool { return sim.latencies[i] < sim.latencies[j] })
	return float64(sim.latencies[int(p*float64(len(sim.latencies)-1))].Microseconds()) / 1000
}

// BenchmarkPick compares selection strategies. Run it with -bench Pick
// -benchtime 1x.
func BenchmarkPick(b *testing.B) {
	for _, strategy := range []strategy{
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
		for _, utilization := range []float64{0.5, 0.8} {
			b.Run(fmt.Sprintf("%s/use-%.1f", strategy.name, utilization), func(b *testing.B) {
				for range b.N {
					sim := newChoiceSim(strategy, utilization, 1)
					sim.run()
					calls := float64(len(sim.latencies) + sim.refused)
					b.ReportMetric(sim.percentile(0.5), "p50-ms")
					b.ReportMetric(sim.percentile(0.99), "p99-ms")
					b.ReportMetric(100*float64(sim.refused)/calls, "refused-%")
					b.ReportMetric(float64(sim.attempts)/calls, "tries/call")
					b.ReportMetric(100*float64(sim.sentToSlow)/calls, "to-slow-%")
				}
			})
		}
	}
}
