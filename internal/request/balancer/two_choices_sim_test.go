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
	driverEntries   = 1000
	driverCentres   = 9
	driverUpstreams = 28
	driverSlots     = 10
	// driverRate is the service's part of 150,000 calls a second.
	driverRate    = 150_000.0 / 36
	driverSeconds = 12
	// driverTurn is when one upstream turns slow, by driverSlow.
	driverTurn  = 4 * time.Second
	driverSlow  = 4.0
	driverLimit = 2 * time.Second
)

// way is one way to pick that the driver compares.
type way struct {
	name   string
	policy Policy
	// random picks without looking, carry and own say which sights are kept.
	random, carry, own bool
	// hedge is when a second attempt goes to another upstream; 0 means never.
	// The budget holds for it. The slower of the two runs to its end.
	hedge time.Duration
}

type driverUpstream struct {
	admission gate.Admission
	speed     float64
	centre    int
	waiting   map[*gate.Ticket]*attempt
}

type driverCall struct {
	entry int
	began time.Time
	tried []int
	// open counts the attempts under way, answered tells that one has answered.
	open     int
	answered bool
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

type driver struct {
	way       way
	rng       *rand.Rand
	events    events
	start     time.Time
	work      time.Duration
	upstreams []*driverUpstream
	sights    [][]UpstreamStats
	order     [][distances][]int

	took           []time.Duration
	refused, tries int
	budget         *retry.Budget
	toSlow         int
}

// newDriver builds a run in which use is the share of all slots that the load
// needs.
func newDriver(w way, use float64, seed uint64) *driver {
	d := &driver{way: w, rng: rand.New(rand.NewPCG(seed, 3)), start: time.Unix(1000, 0), budget: retry.NewBudget()}
	capacity := 0.0
	for i := range driverUpstreams {
		u := &driverUpstream{speed: []float64{1, 1, 0.5, 2}[i%4], centre: i % driverCentres, waiting: map[*gate.Ticket]*attempt{}}
		u.admission.Limit.SetCeiling(driverSlots, false)
		d.upstreams = append(d.upstreams, u)
		capacity += driverSlots * u.speed
	}
	d.work = time.Duration(use * capacity / driverRate * float64(time.Second))
	for e := range driverEntries {
		d.sights = append(d.sights, make([]UpstreamStats, driverUpstreams))
		var order [distances][]int
		for _, i := range d.rng.Perm(driverUpstreams) {
			far := d.distance(e, i)
			order[far] = append(order[far], i)
		}
		d.order = append(d.order, order)
	}
	return d
}

func (d *driver) distance(entry, upstream int) Distance {
	a, b := entry%driverCentres, d.upstreams[upstream].centre
	switch {
	case a == b:
		return SameDataCentre
	case a/3 == b/3:
		return SameRegion
	default:
		return OtherRegion
	}
}

func (d *driver) at(t time.Time, run func(time.Time)) { heap.Push(&d.events, event{t, run}) }

func (d *driver) run() {
	d.at(d.start, d.arrive)
	for len(d.events) > 0 {
		e := heap.Pop(&d.events).(event)
		e.run(e.at)
	}
}

func (d *driver) arrive(now time.Time) {
	if now.Sub(d.start) > driverSeconds*time.Second {
		return
	}
	d.at(now.Add(time.Duration(d.rng.ExpFloat64()/driverRate*float64(time.Second))), d.arrive)
	c := &driverCall{entry: d.rng.IntN(driverEntries), began: now}
	d.budget.Deposit("s", 0)
	d.try(now, c)
	if d.way.hedge > 0 {
		d.at(now.Add(d.way.hedge), func(now time.Time) {
			if !c.answered && len(c.tried) < 3 && d.budget.TryWithdraw("s", 1) {
				d.try(now, c)
			}
		})
	}
}

func (d *driver) pick(now time.Time, c *driverCall) int {
	if d.way.random {
		return d.rng.IntN(driverUpstreams)
	}
	var groups [distances][]Candidate
	for far, list := range d.order[c.entry] {
		for _, i := range list {
			groups[far] = append(groups[far], Candidate{Stats: &d.sights[c.entry][i], Slots: driverSlots, Tried: has(c.tried, i)})
		}
	}
	far, place, _ := d.way.policy.Choose(&groups, now, d.rng)
	return d.order[c.entry][far][place]
}

func has(list []int, x int) bool {
	for _, y := range list {
		if x == y {
			return true
		}
	}
	return false
}

func (d *driver) try(now time.Time, c *driverCall) {
	at := d.pick(now, c)
	c.tried = append(c.tried, at)
	c.open++
	d.tries++
	if at == 0 && now.Sub(d.start) > driverTurn+2*time.Second {
		d.toSlow++
	}
	d.sights[c.entry][at].own++
	d.at(now.Add(farCost[d.distance(c.entry, at)]/2), func(now time.Time) { d.reach(now, &attempt{c, at}) })
}

// attempt is one attempt of a call at one upstream.
type attempt struct {
	*driverCall
	at int
}

func (d *driver) reach(now time.Time, c *attempt) {
	u := d.upstreams[c.at]
	t, code := u.admission.Arrive(now, gate.RequestInfo{Route: "r", Criticality: gate.CriticalityLookup, Deadline: c.began.Add(driverLimit)})
	switch {
	case code != api.OK:
		d.back(now, c, false)
	case t != nil:
		u.waiting[t] = c
		d.verdicts(now, u)
	default:
		d.serve(now, u, c)
	}
}

func (d *driver) serve(now time.Time, u *driverUpstream, c *attempt) {
	speed := u.speed
	if u == d.upstreams[0] && now.Sub(d.start) > driverTurn {
		speed /= driverSlow
	}
	took := time.Duration(float64(d.work) / speed * (0.5 + 0.5*d.rng.ExpFloat64()))
	d.at(now.Add(took), func(now time.Time) {
		u.admission.Complete(now, "r", took, took, gate.Answered)
		d.verdicts(now, u)
		d.back(now, c, true)
	})
}

func (d *driver) verdicts(now time.Time, u *driverUpstream) {
	var decided []*attempt
	for t, c := range u.waiting {
		select {
		case code := <-t.Decision:
			delete(u.waiting, t)
			if code == api.OK {
				decided = append(decided, c)
			} else {
				d.back(now, c, false)
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
func (d *driver) back(now time.Time, c *attempt, answered bool) {
	u := d.upstreams[c.at]
	l := gate.Load{Busy: u.admission.Running() + u.admission.Waiting(), Slots: u.admission.Limit.Slots(), ServiceTime: u.admission.MeanServiceTime()}
	d.at(now.Add(farCost[d.distance(c.entry, c.at)]/2), func(now time.Time) {
		s := &d.sights[c.entry][c.at]
		s.own--
		if d.way.carry {
			s.ReportLoad(now, l)
		} else if d.way.own && answered {
			s.load.ServiceTime += (now.Sub(c.began) - s.load.ServiceTime) / 4
		}
		c.open--
		switch {
		case c.answered:
		case answered:
			c.answered = true
			d.took = append(d.took, now.Sub(c.began))
		case len(c.tried) < 3:
			d.try(now, c.driverCall)
		case c.open == 0:
			d.refused++
		}
	})
}

func (d *driver) percentile(p float64) float64 {
	sort.Slice(d.took, func(i, j int) bool { return d.took[i] < d.took[j] })
	return float64(d.took[int(p*float64(len(d.took)-1))].Microseconds()) / 1000
}

// BenchmarkPick compares ways to pick: -bench Pick -benchtime 1x.
func BenchmarkPick(b *testing.B) {
	for _, w := range []way{
		{name: "random", random: true},
		{name: "own-sight", own: true, policy: Policy{SubsetSize: 8, SpilloverUtilization: 1.1}},
		{name: "carried-subset-2", carry: true, policy: Policy{SubsetSize: 2, SpilloverUtilization: 1.1}},
		{name: "carried-subset-4", carry: true, policy: Policy{SubsetSize: 4, SpilloverUtilization: 1.1}},
		{name: "carried-subset-8", carry: true, policy: Policy{SubsetSize: 8, SpilloverUtilization: 1.1}},
		{name: "carried-spill-0.7", carry: true, policy: Policy{SubsetSize: 4, SpilloverUtilization: 0.7}},
		{name: "carried-spill-0.9", carry: true, policy: Policy{SubsetSize: 4, SpilloverUtilization: 0.9}},
		{name: "carried-hedge-100ms", carry: true, policy: DefaultPolicy, hedge: 100 * time.Millisecond},
		{name: "carried-hedge-200ms", carry: true, policy: DefaultPolicy, hedge: 200 * time.Millisecond},
		{name: "carried-no-centre", carry: true, policy: Policy{SubsetSize: 28, SpilloverUtilization: 0}},
	} {
		for _, use := range []float64{0.5, 0.8} {
			b.Run(fmt.Sprintf("%s/use-%.1f", w.name, use), func(b *testing.B) {
				for range b.N {
					d := newDriver(w, use, 1)
					d.run()
					calls := float64(len(d.took) + d.refused)
					b.ReportMetric(d.percentile(0.5), "p50-ms")
					b.ReportMetric(d.percentile(0.99), "p99-ms")
					b.ReportMetric(100*float64(d.refused)/calls, "refused-%")
					b.ReportMetric(float64(d.tries)/calls, "tries/call")
					b.ReportMetric(100*float64(d.toSlow)/calls, "to-slow-%")
				}
			})
		}
	}
}
