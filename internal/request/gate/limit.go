package gate

import (
	"time"
)

// Parameters of the slot limit.
const (
	// windowRuns is the fewest runs that one decision rests on, windowPerSlot
	// the fewest per slot.
	minWindowRuns        = 8
	minWindowRunsPerSlot = 2
	// slowRatio is how far the mean time of a window's runs may stand above
	// the usual time of their routes.
	slowRatio = 2.0
	// ratioCap bounds what one run adds to a window.
	maxRatio = 8.0
	// slowFactor cuts the limit after a slow window, shedFactor after one in
	// which the upstream refused or lost more than shedShare of the runs.
	slowCutFactor     = 0.85
	overloadCutFactor = 0.7
	overloadFraction  = 0.1
	// slowFloorPart bounds how far slowness alone cuts the limit: to the
	// ceiling divided by it.
	slowFloorDivisor = 4
	// helpedRatio is what a cut must make of the mean time, at most, to be
	// kept. Slowness that it does not change is not made by the number of
	// requests in progress.
	improvementRatio = 0.95
	// coldPart divides the ceiling for the first limit of a cold upstream;
	// each good window then doubles the limit, whether it needed all slots or
	// not: it is the runs that warm the upstream.
	coldStartDivisor = 4
	// usualWeight is the weight of one run in a route's usual time, and
	// fallWeight that of a run below it.
	baselineRiseWeight = 1.0 / 4096
	baselineFallWeight = 1.0 / 32
	// maxRoutes bounds the routes whose usual time is kept.
	maxRoutes = 256
)

// RunOutcome is what a run tells of its upstream.
type RunOutcome uint8

// The outcomes. Untimed runs say nothing of the upstream's speed, since
// their time is that of their caller's upload.
const (
	Answered RunOutcome = iota
	Untimed
	Overloaded
)

// trial is the state of a trial of smaller limits. The window in which
// slowness first shows and the one in which a cut takes effect are mixed, so
// neither is compared with another.
type cutPhase uint8

const (
	noCut cutPhase = iota
	slowWindowSeen
	settling
	evaluating
)

// ConcurrencyLimit adapts the number of requests in progress to what the upstream bears,
// under the ceiling that it announced. Evidence is the time of each run
// against the usual time of its route, so that a change in the mix of routes
// is no evidence.
type ConcurrencyLimit struct {
	ceiling int
	current float64
	// warming is set from a cold start until the limit first reaches the
	// ceiling or meets a bad window.
	warmingUp bool
	// usual is the usual time of each route's runs, in seconds.
	baseline map[string]float64

	// trial is how far a trial of smaller limits has come, cutFrom the limit
	// before it, cutMean the mean ratio that led to its last cut.
	phase          cutPhase
	limitBeforeCut float64
	ratioBeforeCut float64

	runs       int
	timed      int
	ratioSum   float64
	overloaded int
	saturated  bool
}

// SetCeiling takes the announced slots. A cold upstream starts low.
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

// Slots returns the limit in whole requests.
func (l *ConcurrencyLimit) Slots() int { return int(l.current) }

// Ceiling returns the announced slots.
func (l *ConcurrencyLimit) Ceiling() int { return l.ceiling }

// BaselineTime returns the usual time of a route's runs; 0 where it is not known.
func (l *ConcurrencyLimit) BaselineTime(route string) time.Duration {
	return time.Duration(l.baseline[route] * float64(time.Second))
}

// RecordRun takes the end of one run that began with running requests in progress.
func (l *ConcurrencyLimit) RecordRun(route string, took time.Duration, o RunOutcome, running int) {
	l.runs++
	l.saturated = l.saturated || running >= l.Slots()
	switch o {
	case Overloaded:
		l.overloaded++
	case Answered:
		l.timed++
		l.ratioSum += min(maxRatio, l.compareToBaseline(route, took.Seconds()))
	}
	if l.runs < max(minWindowRuns, minWindowRunsPerSlot*l.Slots()) {
		return
	}
	l.adjust()
	l.runs, l.timed, l.ratioSum, l.overloaded, l.saturated = 0, 0, 0, 0, false
}

// ratio compares a run with its route's usual time and folds it in.
func (l *ConcurrencyLimit) compareToBaseline(route string, took float64) float64 {
	usual, ok := l.baseline[route]
	if !ok {
		if l.baseline == nil || len(l.baseline) >= maxRoutes {
			l.baseline = map[string]float64{}
		}
		l.baseline[route] = took
		return 1
	}
	weight := baselineRiseWeight
	if took < usual {
		weight = baselineFallWeight
	}
	l.baseline[route] = usual + weight*(min(took, maxRatio*usual)-usual)
	if usual <= 0 {
		return 1
	}
	return took / usual
}

// decide moves the limit at the end of a window.
func (l *ConcurrencyLimit) adjust() {
	top := float64(l.ceiling)
	switch {
	case float64(l.overloaded) > overloadFraction*float64(l.runs):
		l.warmingUp = false
		l.phase = noCut
		l.current = max(1, l.current*overloadCutFactor)
	case l.timed > 0 && l.ratioSum/float64(l.timed) > slowRatio:
		l.warmingUp = false
		l.slowWindow(l.ratioSum / float64(l.timed))
	case l.warmingUp:
		l.current = min(top, 2*l.current)
		l.warmingUp = l.current < top
	case l.saturated:
		l.phase = noCut
		l.current = min(top, l.current+1)
	default:
		l.phase = noCut
	}
}

// slow takes a window of slow runs. It cuts the limit and sees whether that
// helps; if not, the cuts are taken back, and the present times are the usual
// ones from now on.
func (l *ConcurrencyLimit) slowWindow(mean float64) {
	switch l.phase {
	case noCut:
		l.phase = slowWindowSeen
	case slowWindowSeen:
		l.limitBeforeCut = l.current
		l.cut(mean)
	case settling:
		l.phase = evaluating
	case evaluating:
		if mean < l.ratioBeforeCut*improvementRatio {
			l.cut(mean)
			return
		}
		l.current = l.limitBeforeCut
		l.phase = noCut
		for route := range l.baseline {
			l.baseline[route] *= mean
		}
	}
}

func (l *ConcurrencyLimit) cut(mean float64) {
	floor := max(1, float64(l.ceiling)/slowFloorDivisor)
	l.ratioBeforeCut = mean
	l.phase = settling
	l.current = min(l.current, max(floor, l.current*slowCutFactor))
}
