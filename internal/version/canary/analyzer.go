package canary

import (
	"sort"
	"sync"
	"time"
)

// Times and weights of a judge.
const (
	// slotSpan is the length of a slot. Gates report once in each.
	slotDuration = 500 * time.Millisecond
	// oldOverlap is how many slots of the old version stand beside one of the new.
	baselineSlots = 3
	// baseDecay is what is left of the base's weight after each slot.
	decayPerSlot = 0.997
	// slowTail is the part of the old version's runs beyond the slow edge.
	slowFraction = 0.015
	// minBase is the number of timed runs that a slow edge needs.
	minTimedRuns = 40
	// enoughRuns of the new version at a step are enough for a route.
	minRunsPerStep = 50
	// busyPart is the part of the service's runs from which on a route must
	// have enough runs of its own before a step.
	busyRouteShare = 0.05
)

// ReportInterval is how often a gate reports during a move.
const ReportInterval = slotDuration

// What makes the old version bad too while the share is lowered: so many bad
// runs, and a log-likelihood ratio against a rate.
const (
	minDegradedBad = 3
	degradedRate   = 0.15
	degradedLLR    = -1
)

// plainSpan is how long a plain failure stands without being reported again.
const hardFailureReportTTL = 2 * time.Second

// plainMemory is how long after a plain failure the next one on the same route
// belongs to the same episode: what the old version showed then still counts.
const hardFailureEpisode = 10 * time.Second

// test is one question asked of a route.
type metric uint8

const (
	metricFailures metric = iota
	metricSlow
	metricCount
)

// priors are the rates of bad runs to expect while little is known.
var priorRates = [metricCount]float64{metricFailures: 0.005, metricSlow: slowFraction}

// Analyzer adds up the reports of one move and decides on it. It is safe for use
// by several goroutines.
type Analyzer struct {
	mu          sync.Mutex
	from        string
	to          string
	newDetector DetectorFactory
	reporters   map[reporterKey]map[string]Counts
	routes      map[string]*routeAnalyzer
	// whole judges all routes together.
	allRoutes series
	// names are the routes in order.
	routeNames []string
	// slot is the number of the slot that collects now.
	currentSlot  int64
	started      bool
	step         int
	shareReduced bool
	// account is the evidence in words as of the last slot.
	summary string
	// plain are the plain failures that gates of either version reported.
	hardFailures map[string]hardFailure
}

type reporterKey struct {
	address     string
	incarnation uint64
}

type hardFailure struct {
	reason    string
	route     string
	lastSeen  time.Time
	firstSeen time.Time
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
		allRoutes:    newSeries(rule),
		from:         from,
		to:           to,
		newDetector:  rule,
		reporters:    map[reporterKey]map[string]Counts{},
		routes:       map[string]*routeAnalyzer{},
		hardFailures: map[string]hardFailure{},
	}
}

// Add takes one report. The first report of a writer is no evidence of now:
// it counts what happened before this judge listened.
func (a *Analyzer) Add(r Report, now time.Time) {
	if r.Version != a.from && r.Version != a.to {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closeEndedSlots(now)
	key := reporterKey{r.Reporter, r.Incarnation}
	last, known := a.reporters[key]
	if !known {
		last = map[string]Counts{}
		a.reporters[key] = last
	}
	for _, rc := range r.Routes {
		c := unpack(rc)
		before := last[rc.Route]
		growth, ok := c.minus(before)
		if !ok {
			continue
		}
		last[rc.Route] = c
		a.addCounts(rc.Route, r.Version, growth, known, now)
	}
	a.recordHardFailure(r, now)
}

// notePlain keeps what gates of the new version see fail plainly.
func (a *Analyzer) recordHardFailure(r Report, now time.Time) {
	if r.HardFailure == "" || r.Version != a.to {
		delete(a.hardFailures, r.Reporter)
		return
	}
	p, ok := a.hardFailures[r.Reporter]
	if !ok || p.route != r.HardFailureRoute {
		p.firstSeen = now
	}
	if ra := a.routes[r.HardFailureRoute]; ra != nil {
		if now.Sub(ra.lastHardFailure) > hardFailureEpisode {
			ra.oldDuringHardFailure = Tally{}
		}
		ra.lastHardFailure = now
	}
	p.reason, p.route, p.lastSeen = r.HardFailure, r.HardFailureRoute, now
	a.hardFailures[r.Reporter] = p
}

func (a *Analyzer) addCounts(route, version string, growth Counts, fresh bool, now time.Time) {
	ra := a.routes[route]
	if ra == nil {
		ra = &routeAnalyzer{}
		ra.series = newSeries(a.newDetector)
		a.routes[route] = ra
		a.routeNames = append(a.routeNames, route)
		sort.Strings(a.routeNames)
	}
	if version == a.from {
		ra.oldTotal.add(growth)
		if fresh {
			ra.oldSinceReduction.add(growth)
			if now.Sub(ra.lastHardFailure) < hardFailureTTL {
				ra.oldDuringHardFailure.add(ra.failedOrSlow(growth))
			}
			ra.oldSlots[0].add(growth)
		} else {
			ra.baseline.add(growth)
		}
		return
	}
	ra.newTotal.add(growth)
	if fresh {
		ra.newSlots[0].add(growth)
		ra.stepRuns += growth.Runs
	}
}

// roll closes the slots that have ended by now.
func (a *Analyzer) closeEndedSlots(now time.Time) {
	slot := now.UnixNano() / int64(slotDuration)
	if !a.started {
		a.currentSlot, a.started = slot, true
	}
	if a.currentSlot < slot {
		a.summary = a.callSummary()
	}
	for ; a.currentSlot < slot; a.currentSlot++ {
		a.closeSlot()
	}
}

// closeSlot judges a slot on each route and on all routes together: a version
// that is bad on every route shows it sooner there.
func (a *Analyzer) closeSlot() {
	var all [metricCount]Sample
	for _, ra := range a.routes {
		for m, s := range ra.analyzeSlot() {
			all[m].merge(s)
		}
		ra.endSlot(a.shareReduced || a.allRoutes.hasWarning() || ra.hasWarning())
	}
	for m := range metricCount {
		a.allRoutes.update(m, all[m])
	}
}

// Analyze returns the verdict at now. step is the move's present step; a new
// one starts the count of what is enough. eased tells whether a doubt has
// lowered the share; when that ends the tests begin anew.
func (a *Analyzer) Analyze(step int, eased bool, now time.Time) Verdict {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closeEndedSlots(now)
	a.setShareReduced(eased)
	if step != a.step {
		a.step = step
		for _, ra := range a.routes {
			ra.stepRuns = 0
		}
	}
	v := Verdict{EnoughSamples: true, Summary: a.summary}
	var runs uint64
	for _, ra := range a.routes {
		runs += ra.oldTotal.Runs + ra.newTotal.Runs
	}
	var all Sample
	for _, name := range a.routeNames {
		ra := a.routes[name]
		a.applySeries(&v, &ra.series, func(m metric) string { return ra.summary(m, name) })
		v.BaselineDegraded = v.BaselineDegraded || ra.degradedLeft > 0
		open := ra.openSlotsSample()
		all.merge(open)
		if ra.preview(open, now) && v.Regression == "" {
			v.Regression = ra.summary(metricFailures, name)
		}
		busy := float64(ra.oldTotal.Runs+ra.newTotal.Runs) >= busyRouteShare*float64(runs)
		if busy && ra.stepRuns < minRunsPerStep {
			v.EnoughSamples = false
		}
	}
	a.applySeries(&v, &a.allRoutes, a.allRoutesSummary)
	v.BaselineDegraded = v.BaselineDegraded || a.allRoutes.degradedLeft > 0 || a.shareReduced && a.baselineDegraded()
	if a.allRoutes.preview(all, now) && v.Regression == "" {
		v.Regression = a.allRoutesSummary(metricFailures)
	}
	if v.Regression == "" {
		a.applyHardFailures(&v, now)
	}
	if v.Regression != "" && v.BaselineDegraded {
		v.Warning, v.StrongWarning, v.Regression = "both versions are worse than usual: "+v.Regression, true, ""
	}
	return v
}

// setEased follows the share's being lowered and restored; the caller holds mu.
func (a *Analyzer) setShareReduced(eased bool) {
	if eased == a.shareReduced {
		return
	}
	a.shareReduced = eased
	for _, ra := range a.routes {
		ra.oldSinceReduction = Counts{}
		if !eased {
			ra.series = newSeries(a.newDetector)
		}
	}
	if !eased {
		a.allRoutes = newSeries(a.newDetector)
	}
}

// alike tells whether the old version has become bad too while the share was
// lowered, on all routes together.
func (a *Analyzer) baselineDegraded() bool {
	for m := range metricCount {
		var old, base Tally
		for _, ra := range a.routes {
			old.add(ra.tally(m, ra.oldSinceReduction))
			base.add(ra.baselineTally(m))
		}
		rate := base.smoothed(priorRates[m], priorWeight)
		if old.Bad >= minDegradedBad && controlLLR(old, rate, degradedRate) <= degradedLLR {
			return true
		}
	}
	return false
}

// decideSeries takes the scores of one series into the verdict.
func (a *Analyzer) applySeries(v *Verdict, s *series, account func(metric) string) {
	for m, score := range s.scores {
		switch {
		case score >= 1 && v.Regression == "":
			v.Regression = account(metric(m))
		case score >= warningScore && !v.StrongWarning:
			v.Warning = account(metric(m))
			v.StrongWarning = score >= strongWarningScore
		}
	}
}

// decidePlain weighs what gates of the new version saw fail plainly against
// the old version's runs on that route since: good runs make it proof, bad
// ones clear the new version.
func (a *Analyzer) applyHardFailures(v *Verdict, now time.Time) {
	for writer, p := range a.hardFailures {
		if now.Sub(p.lastSeen) > hardFailureReportTTL {
			delete(a.hardFailures, writer)
			continue
		}
		ra := a.routes[p.route]
		if ra == nil || now.Sub(p.firstSeen) < baselineReportWait {
			continue
		}
		base := ra.baselineTally(metricFailures).smoothed(priorRates[metricFailures], priorWeight) + slowFraction
		switch c := controlLLR(ra.oldDuringHardFailure, base, severeRate); {
		case c >= healthyControlLLR:
			v.Regression = p.reason
		case c <= degradedControlLLR:
			v.ResetStreaks = true
			ra.degradedLeft = degradedUpdates
		default:
			v.Warning, v.StrongWarning = p.reason, true
		}
	}
}
