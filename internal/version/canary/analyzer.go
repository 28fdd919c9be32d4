package canary

import (
	"sort"
	"sync"
	"time"
)

// Parameters of the analysis.
const (
	// slotDuration is the length of a slot. Each gate reports once per slot.
	slotDuration = 500 * time.Millisecond
	// baselineSlots is the number of slots of the old version that one slot of
	// the new version is compared with.
	baselineSlots = 3
	// decayPerSlot is the factor by which the weight of the baseline falls with
	// each slot.
	decayPerSlot = 0.997
	// slowFraction is the fraction of the old version's runs above the slow
	// threshold.
	slowFraction = 0.015
	// minTimedRuns is the number of timed runs needed for a slow threshold.
	minTimedRuns = 40
	// minRunsPerStep is the number of runs of the new version that a busy route
	// needs at each step.
	minRunsPerStep = 50
	// busyRouteShare is the fraction of the service's runs from which a route
	// is busy: it then needs minRunsPerStep runs before the next step.
	busyRouteShare = 0.05
)

// ReportInterval is the interval at which a gate reports during a rollout.
const ReportInterval = slotDuration

// While the share is reduced, the old version counts as degraded, too, if it
// has at least minDegradedBad bad runs and a log-likelihood ratio of at most
// degradedLLR against degradedRate.
const (
	minDegradedBad = 3
	degradedRate   = 0.15
	degradedLLR    = -1
)

// hardFailureReportTTL is how long a hard failure counts without being reported
// again.
const hardFailureReportTTL = 2 * time.Second

// hardFailureEpisode is the time after a hard failure within which the next one
// on the same route belongs to the same episode, so the old version's runs
// counted during the episode are kept.
const hardFailureEpisode = 10 * time.Second

// metric is a property of runs that the two versions are compared by.
type metric uint8

const (
	metricFailures metric = iota
	metricSlow
	metricCount
)

// priorRates are the rates of bad runs assumed while there is little data.
var priorRates = [metricCount]float64{metricFailures: 0.005, metricSlow: slowFraction}

// Analyzer adds up the reports of one rollout and compares the versions. It is
// safe for concurrent use.
type Analyzer struct {
	mu          sync.Mutex
	from        string
	to          string
	newDetector DetectorFactory
	reporters   map[reporterKey]map[string]Counts
	routes      map[string]*routeAnalyzer
	// allRoutes holds the detectors over all routes together.
	allRoutes series
	// routeNames lists the routes in alphabetical order.
	routeNames []string
	// currentSlot is the number of the slot that is still open.
	currentSlot  int64
	started      bool
	step         int
	shareReduced bool
	// summary is the summary as of the last closed slot.
	summary string
	// hardFailures holds the hard failures of the new version by reporter
	// address.
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

// Verdict is the result of an analysis.
type Verdict struct {
	// Regression describes the proof that the new version is worse; empty if
	// there is none.
	Regression string
	// Warning describes evidence against the new version that falls short of
	// proof.
	Warning string
	// StrongWarning reports whether the warning is close to proof.
	StrongWarning bool
	// BaselineDegraded reports whether the old version recently degraded, too.
	BaselineDegraded bool
	// ResetStreaks asks gates to reset their failure streaks, since the hard
	// failures are not the fault of the new version alone.
	ResetStreaks bool
	// EnoughSamples reports whether each busy route has enough runs at this
	// step.
	EnoughSamples bool
	// Summary gives the calls and failures of both versions.
	Summary string
}

// NewAnalyzer returns an analyzer of a rollout between two versions.
func NewAnalyzer(from, to string, newDetector DetectorFactory) *Analyzer {
	return &Analyzer{
		allRoutes:    newSeries(newDetector),
		from:         from,
		to:           to,
		newDetector:  newDetector,
		reporters:    map[reporterKey]map[string]Counts{},
		routes:       map[string]*routeAnalyzer{},
		hardFailures: map[string]hardFailure{},
	}
}

// Add takes one report. The first report of a reporter only sets the starting
// point of its counts and the baseline, since it covers calls from before this
// analyzer received reports.
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

// recordHardFailure stores the hard failure that a gate of the new version
// reports.
func (a *Analyzer) recordHardFailure(r Report, now time.Time) {
	if r.HardFailure == "" || r.Version != a.to {
		delete(a.hardFailures, r.Reporter)
		return
	}
	f, ok := a.hardFailures[r.Reporter]
	if !ok || f.route != r.HardFailureRoute {
		f.firstSeen = now
	}
	if ra := a.routes[r.HardFailureRoute]; ra != nil {
		if now.Sub(ra.lastHardFailure) > hardFailureEpisode {
			ra.oldDuringHardFailure = Tally{}
		}
		ra.lastHardFailure = now
	}
	f.reason, f.route, f.lastSeen = r.HardFailure, r.HardFailureRoute, now
	a.hardFailures[r.Reporter] = f
}

// addCounts adds the increase of a reporter's counts on one route. known
// reports whether the reporter has reported before, so that the increase is
// recent. The caller holds mu.
func (a *Analyzer) addCounts(route, version string, growth Counts, known bool, now time.Time) {
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
		if known {
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
	if known {
		ra.newSlots[0].add(growth)
		ra.stepRuns += growth.Runs
	}
}

// closeEndedSlots closes the slots that have ended by now.
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

// closeSlot analyzes a slot on each route and on all routes together, where a
// version that is bad on every route is detected sooner.
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

// Analyze returns the result at now. A new step restarts the count for
// EnoughSamples. shareReduced says whether a warning has lowered the share;
// when that ends, the detectors restart.
func (a *Analyzer) Analyze(step int, shareReduced bool, now time.Time) Verdict {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closeEndedSlots(now)
	a.setShareReduced(shareReduced)
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
		pending := ra.pendingSample()
		all.merge(pending)
		if ra.preview(pending, now) && v.Regression == "" {
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

// setShareReduced records whether the share is reduced. The caller holds mu.
func (a *Analyzer) setShareReduced(shareReduced bool) {
	if shareReduced == a.shareReduced {
		return
	}
	a.shareReduced = shareReduced
	for _, ra := range a.routes {
		ra.oldSinceReduction = Counts{}
		if !shareReduced {
			ra.series = newSeries(a.newDetector)
		}
	}
	if !shareReduced {
		a.allRoutes = newSeries(a.newDetector)
	}
}

// baselineDegraded reports whether the old version has become bad, too, while
// the share was reduced, over all routes together.
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

// applySeries adds the scores of one series to the verdict.
func (a *Analyzer) applySeries(v *Verdict, s *series, summarize func(metric) string) {
	for m, score := range s.scores {
		switch {
		case score >= 1 && v.Regression == "":
			v.Regression = summarize(metric(m))
		case score >= warningScore && !v.StrongWarning:
			v.Warning = summarize(metric(m))
			v.StrongWarning = score >= strongWarningScore
		}
	}
}

// applyHardFailures compares hard failures of the new version with the old
// version's runs on the same route since: good runs confirm the regression, bad
// ones show that the new version is not at fault.
func (a *Analyzer) applyHardFailures(v *Verdict, now time.Time) {
	for reporter, f := range a.hardFailures {
		if now.Sub(f.lastSeen) > hardFailureReportTTL {
			delete(a.hardFailures, reporter)
			continue
		}
		ra := a.routes[f.route]
		if ra == nil || now.Sub(f.firstSeen) < baselineReportWait {
			continue
		}
		base := ra.baselineTally(metricFailures).smoothed(priorRates[metricFailures], priorWeight) + slowFraction
		switch c := controlLLR(ra.oldDuringHardFailure, base, severeRate); {
		case c >= healthyControlLLR:
			v.Regression = f.reason
		case c <= degradedControlLLR:
			v.ResetStreaks = true
			ra.degradedLeft = degradedUpdates
		default:
			v.Warning, v.StrongWarning = f.reason, true
		}
	}
}
