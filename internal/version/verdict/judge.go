package verdict

import (
	"fmt"
	"math"
	"sort"
	"sync"
	"time"

	"github.com/daisytide/daisytide/api"
)

// Times and weights of a judge.
const (
	// slotSpan is the length of a slot. Gates report once in each.
	slotSpan = 500 * time.Millisecond
	// oldOverlap is how many slots of the old version stand beside one of the new.
	oldOverlap = 3
	// baseDecay is what is left of the base's weight after each slot.
	baseDecay = 0.997
	// slowTail is the part of the old version's runs beyond the slow edge.
	slowTail = 0.015
	// minBase is the number of timed runs that a slow edge needs.
	minBase = 40
	// enoughRuns of the new version at a step are enough for a route.
	enoughRuns = 50
	// busyPart is the part of the service's runs from which on a route must
	// have enough runs of its own before a step.
	busyPart = 0.05
)

// ReportEvery is how often a gate reports during a move.
const ReportEvery = slotSpan

// plainSpan is how long a plain failure stands without being reported again.
const plainSpan = 2 * time.Second

// urgentWait is how long a judge waits after a plain failure for the reports
// of the old version's gates.
const urgentWait = 150 * time.Millisecond

// test is one question asked of a route.
type test uint8

const (
	testFailures test = iota
	testSlow
	testCount
)

// Judge adds up the reports of one move and decides on it. It is safe for use
// by several goroutines.
type Judge struct {
	mu      sync.Mutex
	from    string
	to      string
	newRule NewRule
	writers map[writerKey]map[string]Counts
	routes  map[string]*routeJudge
	// slot is the number of the slot that collects now.
	slot    int64
	started bool
	step    int
	// plain are the plain failures that gates of either version reported.
	plain map[string]plainReport
}

type writerKey struct {
	address     string
	incarnation uint64
}

type plainReport struct {
	why     string
	version string
	at      time.Time
	first   time.Time
}

// routeJudge holds what is known of one route.
type routeJudge struct {
	// slots are the last ones by version; the last is the one collecting.
	oldSlots [oldOverlap + 1]Counts
	newSlots [oldOverlap + 1]Counts
	// base is the old version's record, older runs weighing less.
	base decayed
	// totals are for the operator; stepRuns counts the new version's runs at
	// this step.
	oldTotal Counts
	newTotal Counts
	stepRuns uint64
	rules    [testCount]Rule
	scores   [testCount]float64
	edge     int
}

// decayed is Counts with weights.
type decayed struct {
	runs     float64
	failures float64
	buckets  [bucketCount]float64
}

func (d *decayed) take(c Counts) {
	d.runs = d.runs*baseDecay + float64(c.Runs)
	d.failures = d.failures*baseDecay + float64(c.Failures)
	for i := range d.buckets {
		d.buckets[i] = d.buckets[i]*baseDecay + float64(c.Buckets[i])
	}
}

func (d *decayed) timed() float64 {
	n := 0.0
	for _, b := range d.buckets {
		n += b
	}
	return n
}

// slowEdge returns the lowest bucket whose upper edge at most slowTail of the
// runs exceed; false while too little is known.
func (d *decayed) slowEdge() (int, bool) {
	n := d.timed()
	if n < minBase {
		return 0, false
	}
	above := 0.0
	for i := bucketCount - 1; i >= 0; i-- {
		above += d.buckets[i]
		if above > slowTail*n {
			return i, true
		}
	}
	return 0, true
}

// Verdict is what a judge has found.
type Verdict struct {
	// Bad is the proof against the new version; empty where there is none.
	Bad string
	// Doubt is what stands against it without proof.
	Doubt string
	// Clear tells gates that what they saw fail plainly is no fault of the
	// new version alone.
	Clear bool
	// Enough tells that each busy route has its evidence at this step.
	Enough bool
	// Evidence is a short account of the calls.
	Evidence string
}

// NewJudge returns a judge of a move between two versions.
func NewJudge(from, to string, rule NewRule) *Judge {
	return &Judge{
		from:    from,
		to:      to,
		newRule: rule,
		writers: map[writerKey]map[string]Counts{},
		routes:  map[string]*routeJudge{},
		plain:   map[string]plainReport{},
	}
}

// Threshold returns the log-likelihood ratio that a route must show in a move
// of about calls calls: it rises with their number, so that a long move on a
// busy route has no higher risk of a wrong withdrawal than a short one.
func Threshold(calls, margin float64) float64 {
	return margin + math.Log(max(calls, 100))
}

// Add takes one report. The first report of a writer is no evidence of now:
// it counts what happened before this judge listened.
func (j *Judge) Add(r Report, now time.Time) {
	if r.Version != j.from && r.Version != j.to {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.roll(now)
	key := writerKey{r.Writer, r.Incarnation}
	last, known := j.writers[key]
	if !known {
		last = map[string]Counts{}
		j.writers[key] = last
	}
	for _, rc := range r.Routes {
		c := unpack(rc)
		before := last[rc.Route]
		growth, ok := c.minus(before)
		if !ok {
			continue
		}
		last[rc.Route] = c
		j.take(rc.Route, r.Version, growth, known)
	}
	j.notePlain(r, now)
}

func (j *Judge) notePlain(r Report, now time.Time) {
	if r.Plain == "" {
		delete(j.plain, r.Writer)
		return
	}
	p, ok := j.plain[r.Writer]
	if !ok {
		p.first = now
	}
	p.why, p.version, p.at = r.Plain, r.Version, now
	j.plain[r.Writer] = p
}

func (j *Judge) take(route, version string, growth Counts, fresh bool) {
	rj := j.routes[route]
	if rj == nil {
		rj = &routeJudge{}
		for i := range rj.rules {
			rj.rules[i] = j.newRule()
		}
		j.routes[route] = rj
	}
	if version == j.from {
		rj.oldTotal.add(growth)
		if fresh {
			rj.oldSlots[0].add(growth)
		} else {
			rj.base.take(growth)
		}
		return
	}
	rj.newTotal.add(growth)
	if fresh {
		rj.newSlots[0].add(growth)
		rj.stepRuns += growth.Runs
	}
}

// roll closes the slots that have ended by now.
func (j *Judge) roll(now time.Time) {
	slot := now.UnixNano() / int64(slotSpan)
	if !j.started {
		j.slot, j.started = slot, true
	}
	for ; j.slot < slot; j.slot++ {
		for _, rj := range j.routes {
			rj.close()
		}
	}
}

// close ends the collecting slot and judges the one before it, whose
// neighbours are complete.
func (rj *routeJudge) close() {
	const at = 1
	if e, ok := rj.base.slowEdge(); ok {
		rj.edge = e
	}
	for t := range testCount {
		if t == testSlow && rj.edge == 0 {
			continue
		}
		s := Sample{New: rj.tally(t, rj.newSlots[at]), Base: rj.baseTally(t)}
		for i := range oldOverlap {
			s.Old.add(rj.tally(t, rj.oldSlots[i]))
		}
		rj.scores[t] = rj.rules[t].Step(s)
	}
	rj.base.take(rj.oldSlots[oldOverlap-1])
	shift(&rj.oldSlots)
	shift(&rj.newSlots)
}

// shift moves each slot one place on; place 0 collects.
func shift(slots *[oldOverlap + 1]Counts) {
	copy(slots[1:], slots[:oldOverlap])
	slots[0] = Counts{}
}

// tally reads one test out of counts.
func (rj *routeJudge) tally(t test, c Counts) Tally {
	if t == testFailures {
		return Tally{Runs: float64(c.Runs), Bad: float64(c.Failures)}
	}
	var out Tally
	for i, n := range c.Buckets {
		out.Runs += float64(n)
		if i > rj.edge {
			out.Bad += float64(n)
		}
	}
	return out
}

func (rj *routeJudge) baseTally(t test) Tally {
	if t == testFailures {
		return Tally{Runs: rj.base.runs, Bad: rj.base.failures}
	}
	var out Tally
	for i, n := range rj.base.buckets {
		out.Runs += n
		if i > rj.edge {
			out.Bad += n
		}
	}
	return out
}

// Decide returns the verdict at now. step is the move's present step; a new
// one starts the count of what is enough.
func (j *Judge) Decide(step int, now time.Time) Verdict {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.roll(now)
	if step != j.step {
		j.step = step
		for _, rj := range j.routes {
			rj.stepRuns = 0
		}
	}
	v := Verdict{Enough: true, Evidence: j.evidence()}
	var all uint64
	for _, rj := range j.routes {
		all += rj.oldTotal.Runs + rj.newTotal.Runs
	}
	for _, name := range j.names() {
		rj := j.routes[name]
		j.decideRoute(&v, name, rj)
		busy := float64(rj.oldTotal.Runs+rj.newTotal.Runs) >= busyPart*float64(all)
		if busy && rj.stepRuns < enoughRuns {
			v.Enough = false
		}
	}
	if v.Bad == "" {
		j.decidePlain(&v, now)
	}
	return v
}

func (j *Judge) decideRoute(v *Verdict, name string, rj *routeJudge) {
	for t, score := range rj.scores {
		switch {
		case score >= 1 && v.Bad == "":
			v.Bad = rj.account(test(t), name)
		case score >= doubtScore && v.Doubt == "":
			v.Doubt = rj.account(test(t), name)
		}
	}
}

// decidePlain believes a gate of the new version that saw its upstream fail
// plainly, unless a gate of the old version reports the same of its own, or
// the old version fails as the reports of the moment show.
func (j *Judge) decidePlain(v *Verdict, now time.Time) {
	var newest plainReport
	for writer, p := range j.plain {
		if now.Sub(p.at) > plainSpan {
			delete(j.plain, writer)
			continue
		}
		if p.version == j.from {
			v.Clear = true
			v.Doubt = "both versions fail: " + p.why
			return
		}
		if newest.why == "" || p.first.Before(newest.first) {
			newest = p
		}
	}
	if newest.why == "" || now.Sub(newest.first) < urgentWait {
		return
	}
	if j.oldFails() {
		v.Clear = true
		v.Doubt = "both versions fail: " + newest.why
		return
	}
	v.Bad = newest.why
}

// oldFailing is the rate of failures from which on the old version fails too.
const oldFailing = 0.2

func (j *Judge) oldFails() bool {
	var recent Tally
	for _, rj := range j.routes {
		for _, c := range rj.oldSlots[:2] {
			recent.add(Tally{Runs: float64(c.Runs), Bad: float64(c.Failures)})
		}
	}
	return recent.Runs > 0 && recent.Bad/recent.Runs >= oldFailing
}

// account puts the numbers behind a finding into words.
func (rj *routeJudge) account(t test, route string) string {
	newer, older := rj.tally(t, rj.newTotal), rj.tally(t, rj.oldTotal)
	if t == testFailures {
		return fmt.Sprintf("failures on %s: new %.0f of %.0f, old %.0f of %.0f",
			route, newer.Bad, newer.Runs, older.Bad, older.Runs)
	}
	return fmt.Sprintf("runs on %s over %s: new %.0f of %.0f, old %.0f of %.0f",
		route, bucketEdge(rj.edge).Round(10*time.Microsecond), newer.Bad, newer.Runs, older.Bad, older.Runs)
}

// evidence sums up all routes; the caller holds mu.
func (j *Judge) evidence() string {
	var newer, older Counts
	for _, rj := range j.routes {
		newer.add(rj.newTotal)
		older.add(rj.oldTotal)
	}
	return fmt.Sprintf("new %d of %d calls failed, old %d of %d", newer.Failures, newer.Runs, older.Failures, older.Runs)
}

func (j *Judge) names() []string {
	out := make([]string, 0, len(j.routes))
	for name := range j.routes {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

// Rows returns the evidence for operators.
func (j *Judge) Rows() []api.Evidence {
	j.mu.Lock()
	defer j.mu.Unlock()
	var out []api.Evidence
	for _, name := range j.names() {
		rj := j.routes[name]
		out = append(out, rj.row(name, j.from, rj.oldTotal), rj.row(name, j.to, rj.newTotal))
	}
	return out
}

func (rj *routeJudge) row(route, version string, c Counts) api.Evidence {
	slow := uint64(0)
	if rj.edge > 0 {
		slow = uint64(rj.tally(testSlow, c).Bad)
	}
	return api.Evidence{Route: route, Version: version, Runs: c.Runs, Failures: c.Failures, Slow: slow}
}

// Edges returns the slow edges that gates need to see calls that hang.
func (j *Judge) Edges() []Edge {
	j.mu.Lock()
	defer j.mu.Unlock()
	var out []Edge
	for _, name := range j.names() {
		if e := j.routes[name].edge; e > 0 {
			out = append(out, Edge{Route: name, Longer: bucketEdge(e)})
		}
	}
	return out
}
