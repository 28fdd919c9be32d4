package canary

import (
	"sort"
	"sync"
	"time"
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

// ReportInterval is how often a gate reports during a move.
const ReportInterval = slotSpan

// What makes the old version bad too while the share is lowered: so many bad
// runs, and a log-likelihood ratio against a rate.
const (
	minAlike   = 3
	alikeRate  = 0.15
	alikeProof = -1
)

// plainSpan is how long a plain failure stands without being reported again.
const plainSpan = 2 * time.Second

// plainMemory is how long after a plain failure the next one on the same route
// belongs to the same episode: what the old version showed then still counts.
const plainMemory = 10 * time.Second

// test is one question asked of a route.
type test uint8

const (
	testFailures test = iota
	testSlow
	testCount
)

// priors are the rates of bad runs to expect while little is known.
var priors = [testCount]float64{testFailures: 0.005, testSlow: slowTail}

// Analyzer adds up the reports of one move and decides on it. It is safe for use
// by several goroutines.
type Analyzer struct {
	mu      sync.Mutex
	from    string
	to      string
	newRule DetectorFactory
	writers map[writerKey]map[string]Counts
	routes  map[string]*routeJudge
	// whole judges all routes together.
	whole series
	// names are the routes in order.
	names []string
	// slot is the number of the slot that collects now.
	slot    int64
	started bool
	step    int
	eased   bool
	// account is the evidence in words as of the last slot.
	account string
	// plain are the plain failures that gates of either version reported.
	plain map[string]plainReport
}

type writerKey struct {
	address     string
	incarnation uint64
}

type plainReport struct {
	why   string
	route string
	at    time.Time
	first time.Time
}

// Verdict is what a judge has found.
type Verdict struct {
	// Regression is the proof against the new version; empty where there is none.
	Regression string
	// Warning is what stands against it without proof.
	Warning string
	// StrongWarning tells that the doubt is close to proof.
	StrongWarning bool
	// BaselineDegraded tells that the old version has shown the same of late.
	BaselineDegraded bool
	// ResetStreaks tells gates that what they saw fail plainly is no fault of the
	// new version alone.
	ResetStreaks bool
	// EnoughSamples tells that each busy route has its evidence at this step.
	EnoughSamples bool
	// Summary is a short account of the calls.
	Summary string
}

// NewAnalyzer returns a judge of a move between two versions.
func NewAnalyzer(from, to string, rule DetectorFactory) *Analyzer {
	return &Analyzer{
		whole:   newSeries(rule),
		from:    from,
		to:      to,
		newRule: rule,
		writers: map[writerKey]map[string]Counts{},
		routes:  map[string]*routeJudge{},
		plain:   map[string]plainReport{},
	}
}

// Add takes one report. The first report of a writer is no evidence of now:
// it counts what happened before this judge listened.
func (j *Analyzer) Add(r Report, now time.Time) {
	if r.Version != j.from && r.Version != j.to {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.roll(now)
	key := writerKey{r.Reporter, r.Incarnation}
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
		j.take(rc.Route, r.Version, growth, known, now)
	}
	j.notePlain(r, now)
}

// notePlain keeps what gates of the new version see fail plainly.
func (j *Analyzer) notePlain(r Report, now time.Time) {
	if r.HardFailure == "" || r.Version != j.to {
		delete(j.plain, r.Reporter)
		return
	}
	p, ok := j.plain[r.Reporter]
	if !ok || p.route != r.HardFailureRoute {
		p.first = now
	}
	if rj := j.routes[r.HardFailureRoute]; rj != nil {
		if now.Sub(rj.plainAt) > plainMemory {
			rj.beside = Tally{}
		}
		rj.plainAt = now
	}
	p.why, p.route, p.at = r.HardFailure, r.HardFailureRoute, now
	j.plain[r.Reporter] = p
}

func (j *Analyzer) take(route, version string, growth Counts, fresh bool, now time.Time) {
	rj := j.routes[route]
	if rj == nil {
		rj = &routeJudge{}
		rj.series = newSeries(j.newRule)
		j.routes[route] = rj
		j.names = append(j.names, route)
		sort.Strings(j.names)
	}
	if version == j.from {
		rj.oldTotal.add(growth)
		if fresh {
			rj.eased.add(growth)
			if now.Sub(rj.plainAt) < plainFresh {
				rj.beside.add(rj.worst(growth))
			}
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
func (j *Analyzer) roll(now time.Time) {
	slot := now.UnixNano() / int64(slotSpan)
	if !j.started {
		j.slot, j.started = slot, true
	}
	if j.slot < slot {
		j.account = j.evidence()
	}
	for ; j.slot < slot; j.slot++ {
		j.closeSlot()
	}
}

// closeSlot judges a slot on each route and on all routes together: a version
// that is bad on every route shows it sooner there.
func (j *Analyzer) closeSlot() {
	var all [testCount]Sample
	for _, rj := range j.routes {
		for t, s := range rj.judgeSlot() {
			all[t].join(s)
		}
		rj.close(j.eased || j.whole.suspect() || rj.suspect())
	}
	for t := range testCount {
		j.whole.step(t, all[t])
	}
}

// Analyze returns the verdict at now. step is the move's present step; a new
// one starts the count of what is enough. eased tells whether a doubt has
// lowered the share; when that ends the tests begin anew.
func (j *Analyzer) Analyze(step int, eased bool, now time.Time) Verdict {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.roll(now)
	j.setEased(eased)
	if step != j.step {
		j.step = step
		for _, rj := range j.routes {
			rj.stepRuns = 0
		}
	}
	v := Verdict{EnoughSamples: true, Summary: j.account}
	var runs uint64
	for _, rj := range j.routes {
		runs += rj.oldTotal.Runs + rj.newTotal.Runs
	}
	var all Sample
	for _, name := range j.names {
		rj := j.routes[name]
		j.decideSeries(&v, &rj.series, func(t test) string { return rj.account(t, name) })
		v.BaselineDegraded = v.BaselineDegraded || rj.explained > 0
		open := rj.peekSample()
		all.join(open)
		if rj.peek(open, now) && v.Regression == "" {
			v.Regression = rj.account(testFailures, name)
		}
		busy := float64(rj.oldTotal.Runs+rj.newTotal.Runs) >= busyPart*float64(runs)
		if busy && rj.stepRuns < enoughRuns {
			v.EnoughSamples = false
		}
	}
	j.decideSeries(&v, &j.whole, j.wholeAccount)
	v.BaselineDegraded = v.BaselineDegraded || j.whole.explained > 0 || j.eased && j.alike()
	if j.whole.peek(all, now) && v.Regression == "" {
		v.Regression = j.wholeAccount(testFailures)
	}
	if v.Regression == "" {
		j.decidePlain(&v, now)
	}
	if v.Regression != "" && v.BaselineDegraded {
		v.Warning, v.StrongWarning, v.Regression = "both versions are worse than usual: "+v.Regression, true, ""
	}
	return v
}

// setEased follows the share's being lowered and restored; the caller holds mu.
func (j *Analyzer) setEased(eased bool) {
	if eased == j.eased {
		return
	}
	j.eased = eased
	for _, rj := range j.routes {
		rj.eased = Counts{}
		if !eased {
			rj.series = newSeries(j.newRule)
		}
	}
	if !eased {
		j.whole = newSeries(j.newRule)
	}
}

// alike tells whether the old version has become bad too while the share was
// lowered, on all routes together.
func (j *Analyzer) alike() bool {
	for t := range testCount {
		var old, base Tally
		for _, rj := range j.routes {
			old.add(rj.tally(t, rj.eased))
			base.add(rj.baseTally(t))
		}
		rate := base.smoothed(priors[t], priorWeight)
		if old.Bad >= minAlike && control(old, rate, alikeRate) <= alikeProof {
			return true
		}
	}
	return false
}

// decideSeries takes the scores of one series into the verdict.
func (j *Analyzer) decideSeries(v *Verdict, s *series, account func(test) string) {
	for t, score := range s.scores {
		switch {
		case score >= 1 && v.Regression == "":
			v.Regression = account(test(t))
		case score >= doubtScore && !v.StrongWarning:
			v.Warning = account(test(t))
			v.StrongWarning = score >= graveScore
		}
	}
}

// decidePlain weighs what gates of the new version saw fail plainly against
// the old version's runs on that route since: good runs make it proof, bad
// ones clear the new version.
func (j *Analyzer) decidePlain(v *Verdict, now time.Time) {
	for writer, p := range j.plain {
		if now.Sub(p.at) > plainSpan {
			delete(j.plain, writer)
			continue
		}
		rj := j.routes[p.route]
		if rj == nil || now.Sub(p.first) < urgentWait {
			continue
		}
		base := rj.baseTally(testFailures).smoothed(priors[testFailures], priorWeight) + slowTail
		switch c := control(rj.beside, base, plainRate); {
		case c >= controlProof:
			v.Regression = p.why
		case c <= controlAgain:
			v.ResetStreaks = true
			rj.explained = explainedSlots
		default:
			v.Warning, v.StrongWarning = p.why, true
		}
	}
}
