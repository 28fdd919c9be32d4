package gate

import (
	"time"
)

// Parameters of the slot limit.
const (
	// windowRuns is the fewest runs that one decision rests on, windowPerSlot
	// the fewest per slot.
	windowRuns    = 8
	windowPerSlot = 2
	// slowRatio is how far the mean time of a window's runs may stand above
	// the usual time of their routes.
	slowRatio = 2.0
	// ratioCap bounds what one run adds to a window.
	ratioCap = 8.0
	// slowFactor cuts the limit after a slow window, shedFactor after one in
	// which the upstream refused or lost more than shedShare of the runs.
	slowFactor = 0.85
	shedFactor = 0.7
	shedShare  = 0.1
	// slowFloorPart bounds how far slowness alone cuts the limit: to the
	// ceiling divided by it.
	slowFloorPart = 4
	// helpedRatio is what a cut must make of the mean time, at most, to be
	// kept. Slowness that it does not change is not made by the number of
	// requests in progress.
	helpedRatio = 0.95
	// coldPart divides the ceiling for the first limit of a cold upstream;
	// each good window then doubles the limit, whether it needed all slots or
	// not: it is the runs that warm the upstream.
	coldPart = 4
	// usualWeight is the weight of one run in a route's usual time, and
	// fallWeight that of a run below it.
	usualWeight = 1.0 / 4096
	fallWeight  = 1.0 / 32
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
type trial uint8

const (
	noTrial trial = iota
	slowSeen
	settling
	judging
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
	warming bool
	// usual is the usual time of each route's runs, in seconds.
	usual map[string]float64

	// trial is how far a trial of smaller limits has come, cutFrom the limit
	// before it, cutMean the mean ratio that led to its last cut.
	trial   trial
	cutFrom float64
	cutMean float64

	runs      int
	timed     int
	ratios    float64
	bad       int
	saturated bool
}

// SetCeiling takes the announced slots. A cold upstream starts low.
func (l *ConcurrencyLimit) SetCeiling(ceiling int, cold bool) {
	ceiling = max(1, ceiling)
	if cold {
		l.warming = true
		l.usual = nil
		l.current = max(1, float64(ceiling)/coldPart)
	} else if ceiling > l.ceiling && l.current >= float64(l.ceiling) && !l.warming {
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
	return time.Duration(l.usual[route] * float64(time.Second))
}

// RecordRun takes the end of one run that began with running requests in progress.
func (l *ConcurrencyLimit) RecordRun(route string, took time.Duration, o RunOutcome, running int) {
	l.runs++
	l.saturated = l.saturated || running >= l.Slots()
	switch o {
	case Overloaded:
		l.bad++
	case Answered:
		l.timed++
		l.ratios += min(ratioCap, l.ratio(route, took.Seconds()))
	}
	if l.runs < max(windowRuns, windowPerSlot*l.Slots()) {
		return
	}
	l.decide()
	l.runs, l.timed, l.ratios, l.bad, l.saturated = 0, 0, 0, 0, false
}

// ratio compares a run with its route's usual time and folds it in.
func (l *ConcurrencyLimit) ratio(route string, took float64) float64 {
	usual, ok := l.usual[route]
	if !ok {
		if l.usual == nil || len(l.usual) >= maxRoutes {
			l.usual = map[string]float64{}
		}
		l.usual[route] = took
		return 1
	}
	weight := usualWeight
	if took < usual {
		weight = fallWeight
	}
	l.usual[route] = usual + weight*(min(took, ratioCap*usual)-usual)
	if usual <= 0 {
		return 1
	}
	return took / usual
}

// decide moves the limit at the end of a window.
func (l *ConcurrencyLimit) decide() {
	top := float64(l.ceiling)
	switch {
	case float64(l.bad) > shedShare*float64(l.runs):
		l.warming = false
		l.trial = noTrial
		l.current = max(1, l.current*shedFactor)
	case l.timed > 0 && l.ratios/float64(l.timed) > slowRatio:
		l.warming = false
		l.slow(l.ratios / float64(l.timed))
	case l.warming:
		l.current = min(top, 2*l.current)
		l.warming = l.current < top
	case l.saturated:
		l.trial = noTrial
		l.current = min(top, l.current+1)
	default:
		l.trial = noTrial
	}
}

// slow takes a window of slow runs. It cuts the limit and sees whether that
// helps; if not, the cuts are taken back, and the present times are the usual
// ones from now on.
func (l *ConcurrencyLimit) slow(mean float64) {
	switch l.trial {
	case noTrial:
		l.trial = slowSeen
	case slowSeen:
		l.cutFrom = l.current
		l.cut(mean)
	case settling:
		l.trial = judging
	case judging:
		if mean < l.cutMean*helpedRatio {
			l.cut(mean)
			return
		}
		l.current = l.cutFrom
		l.trial = noTrial
		for route := range l.usual {
			l.usual[route] *= mean
		}
	}
}

func (l *ConcurrencyLimit) cut(mean float64) {
	floor := max(1, float64(l.ceiling)/slowFloorPart)
	l.cutMean = mean
	l.trial = settling
	l.current = min(l.current, max(floor, l.current*slowFactor))
}
