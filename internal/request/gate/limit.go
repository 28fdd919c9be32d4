package gate

import (
	"time"
)

// Parameters of the adaptive concurrency limit.
const (
	// minWindowRuns is the minimum number of runs in a window,
	// minWindowRunsPerSlot the minimum per slot.
	minWindowRuns        = 8
	minWindowRunsPerSlot = 2
	// slowRatio is the mean ratio of run time to baseline above which a window
	// is slow.
	slowRatio = 2.0
	// maxRatio caps the ratio that one run contributes to a window.
	maxRatio = 8.0
	// slowCutFactor reduces the limit after a slow window, overloadCutFactor
	// after one in which the upstream refused or failed more than
	// overloadFraction of the runs.
	slowCutFactor     = 0.85
	overloadCutFactor = 0.7
	overloadFraction  = 0.1
	// slowFloorDivisor divides the ceiling to give the lowest limit that
	// slowness alone can lead to.
	slowFloorDivisor = 4
	// improvementRatio is the fraction of the mean ratio before a cut below
	// which the next mean ratio must fall for the cut to be kept. Slowness that
	// a cut does not change is not caused by concurrency.
	improvementRatio = 0.95
	// coldStartDivisor divides the ceiling to give the first limit of a cold
	// upstream. Each good window then doubles the limit, whether or not it used
	// all slots, because it is the runs that warm the upstream.
	coldStartDivisor = 4
	// baselineRiseWeight is the weight of one run in a route's baseline,
	// baselineFallWeight that of a run below it.
	baselineRiseWeight = 1.0 / 4096
	baselineFallWeight = 1.0 / 32
	// maxRoutes bounds the routes with a baseline.
	maxRoutes = 256
)

// RunOutcome is the outcome of a run as evidence about its upstream.
type RunOutcome uint8

// Outcomes of runs. Untimed runs say nothing about the upstream's speed,
// because their time is that of the caller's upload.
const (
	Answered RunOutcome = iota
	Untimed
	Overloaded
)

// cutPhase is the state of a trial of smaller limits. The window in which
// slowness first shows and the one in which a cut takes effect mix both
// conditions, so neither is compared with another window.
type cutPhase uint8

const (
	noCut cutPhase = iota
	slowWindowSeen
	settling
	evaluating
)

// ConcurrencyLimit adapts the number of calls in progress to the capacity of
// the upstream, up to the ceiling that it announced. The evidence is the ratio
// of each run's time to its route's baseline, so that a change in the mix of
// routes has no effect.
type ConcurrencyLimit struct {
	ceiling int
	current float64
	// warmingUp is set from a cold start until the limit first reaches the
	// ceiling or a window is bad.
	warmingUp bool
	// baseline is the moving average of the run time of each route, in seconds.
	baseline map[string]float64

	// phase is the state of the trial of smaller limits, limitBeforeCut the
	// limit before it, ratioBeforeCut the mean ratio that led to its last cut.
	phase          cutPhase
	limitBeforeCut float64
	ratioBeforeCut float64

	runs       int
	timed      int
	ratioSum   float64
	overloaded int
	saturated  bool
}

// SetCeiling applies the announced slots. A cold upstream starts with few.
func (l *ConcurrencyLimit) SetCeiling(ceiling int, cold bool) {
	ceiling = max(1, ceiling)
	if cold {
		l.warmingUp = true
		l.baseline = nil
		l.current = max(1, float64(ceiling)/coldStartDivisor)
	} else if ceiling > l.ceiling && l.current >= float64(l.ceiling) && !l.warmingUp {
		l.current = float64(ceiling)
	}
	l.ceiling = ceiling
	l.current = min(max(1, l.current), float64(ceiling))
}

// Slots returns the current limit.
func (l *ConcurrencyLimit) Slots() int { return int(l.current) }

// Ceiling returns the announced slots.
func (l *ConcurrencyLimit) Ceiling() int { return l.ceiling }

// BaselineTime returns the baseline run time of a route; 0 if unknown.
func (l *ConcurrencyLimit) BaselineTime(route string) time.Duration {
	return time.Duration(l.baseline[route] * float64(time.Second))
}

// RecordRun records the end of one run. running is the number of calls in
// progress at that time, including this one.
func (l *ConcurrencyLimit) RecordRun(route string, runTime time.Duration, outcome RunOutcome, running int) {
	l.runs++
	l.saturated = l.saturated || running >= l.Slots()
	switch outcome {
	case Overloaded:
		l.overloaded++
	case Answered:
		l.timed++
		l.ratioSum += min(maxRatio, l.compareToBaseline(route, runTime.Seconds()))
	}
	if l.runs < max(minWindowRuns, minWindowRunsPerSlot*l.Slots()) {
		return
	}
	l.adjust()
	l.runs, l.timed, l.ratioSum, l.overloaded, l.saturated = 0, 0, 0, 0, false
}

// compareToBaseline returns the ratio of a run time to its route's baseline and
// updates the baseline.
func (l *ConcurrencyLimit) compareToBaseline(route string, runTime float64) float64 {
	baseline, ok := l.baseline[route]
	if !ok {
		l.addBaseline(route, runTime)
		return 1
	}
	weight := baselineRiseWeight
	if runTime < baseline {
		weight = baselineFallWeight
	}
	l.baseline[route] = baseline + weight*(min(runTime, maxRatio*baseline)-baseline)
	if baseline <= 0 {
		return 1
	}
	return runTime / baseline
}

// addBaseline adds a route. If there are too many, another one, whichever comes first
// in the map's order, makes room: all others keep their evidence.
func (l *ConcurrencyLimit) addBaseline(route string, runTime float64) {
	if l.baseline == nil {
		l.baseline = map[string]float64{}
	}
	if len(l.baseline) >= maxRoutes {
		for other := range l.baseline {
			delete(l.baseline, other)
			break
		}
	}
	l.baseline[route] = runTime
}

// adjust changes the limit at the end of a window.
func (l *ConcurrencyLimit) adjust() {
	ceiling := float64(l.ceiling)
	switch {
	case float64(l.overloaded) > overloadFraction*float64(l.runs):
		l.warmingUp = false
		l.phase = noCut
		l.current = max(1, l.current*overloadCutFactor)
	case l.timed > 0 && l.ratioSum/float64(l.timed) > slowRatio:
		l.warmingUp = false
		l.slowWindow(l.ratioSum / float64(l.timed))
	case l.warmingUp:
		l.current = min(ceiling, 2*l.current)
		l.warmingUp = l.current < ceiling
	case l.saturated:
		l.phase = noCut
		l.current = min(ceiling, l.current+1)
	default:
		l.phase = noCut
	}
}

// slowWindow handles a window of slow runs. It cuts the limit and checks
// whether that helps. If not, it reverts the cuts and scales the baselines to
// the present run times.
func (l *ConcurrencyLimit) slowWindow(ratio float64) {
	switch l.phase {
	case noCut:
		l.phase = slowWindowSeen
	case slowWindowSeen:
		l.limitBeforeCut = l.current
		l.cut(ratio)
	case settling:
		l.phase = evaluating
	case evaluating:
		if ratio < l.ratioBeforeCut*improvementRatio {
			l.cut(ratio)
			return
		}
		l.current = l.limitBeforeCut
		l.phase = noCut
		for route := range l.baseline {
			l.baseline[route] *= ratio
		}
	}
}

func (l *ConcurrencyLimit) cut(ratio float64) {
	floor := max(1, float64(l.ceiling)/slowFloorDivisor)
	l.ratioBeforeCut = ratio
	l.phase = settling
	l.current = min(l.current, max(floor, l.current*slowCutFactor))
}
