// Package ramp decides how a service's requests move to a version that the
// operator ordered: the share by time, and whether the version is bad. Nothing
// here reads a clock or sends anything.
package ramp

import (
	"math/bits"
	"time"
)

// Order asks to move a service to a version.
type Order struct {
	Service string
	Target  string
	// Revision is the store's revision of the order; a later order has a higher one.
	Revision uint64
	// Duration is the time that the move may take.
	Duration time.Duration
}

// Phase is how far a move has come.
type Phase uint8

// The phases. Withdrawn beats Completed where nodes cut off from each other
// decided differently and the store has neither.
const (
	Running Phase = iota
	Completed
	Withdrawn
)

// String names the phase.
func (p Phase) String() string {
	switch p {
	case Completed:
		return "completed"
	case Withdrawn:
		return "withdrawn"
	default:
		return "running"
	}
}

// step is a share of requests from a part of the move's time on.
type scheduleStep struct {
	startFraction float64
	share         float64
}

// schedule keeps the share small for half of the time: a version that turns
// bad late is then found while few requests meet it. The last step leaves the
// old version's requests time to end before it is stopped.
var schedule = []scheduleStep{{0, 0.04}, {0.30, 0.08}, {0.52, 0.20}, {0.62, 0.45}, {0.70, 1}}

// completeFrom is the part of the move's time from which it is completed.
const completeFraction = 0.86

// Share returns the part of a service's requests that goes to the target
// after a time since the order.
func (o Order) Share(since time.Duration) float64 {
	share := 0.0
	for _, s := range schedule {
		if since >= time.Duration(s.startFraction*float64(o.Duration)) {
			share = s.share
		}
	}
	return share
}

// Complete tells whether a move that nothing speaks against is done.
func (o Order) Complete(since time.Duration) bool {
	return since >= time.Duration(completeFraction*float64(o.Duration))
}

// LatencyBuckets is the number of classes of run times: two per doubling from a
// millisecond on.
const LatencyBuckets = 32

// Tally counts the runs of one route in one version.
type Tally struct {
	Failed    uint32                 `cbor:"1,keyasint"`
	Latencies [LatencyBuckets]uint32 `cbor:"2,keyasint"`
}

// LatencyBucket returns the class of a run time.
func LatencyBucket(took time.Duration) int {
	ms := uint64(max(1, took.Milliseconds()))
	log := bits.Len64(ms) - 1
	half := 0
	if ms > 1 && float64(ms) >= 1.4142*float64(uint64(1)<<log) {
		half = 1
	}
	return min(2*log+half, LatencyBuckets-1)
}

// Runs returns the number of runs.
func (t Tally) Runs() uint32 {
	n := uint32(0)
	for _, c := range t.Latencies {
		n += c
	}
	return n
}

// Add adds other's counts.
func (t *Tally) Add(o Tally) {
	t.Failed += o.Failed
	for i := range o.Latencies {
		t.Latencies[i] += o.Latencies[i]
	}
}

// Sub takes away counts that o has; t holds them all.
func (t *Tally) Sub(o Tally) {
	t.Failed -= min(t.Failed, o.Failed)
	for i := range o.Latencies {
		t.Latencies[i] -= min(t.Latencies[i], o.Latencies[i])
	}
}

// Thresholds of the verdict.
const (
	// minBad is the fewest bad runs that a verdict rests on.
	minBadRuns = 6
	// excess is the share of bad runs above which a version is bad, beyond
	// oldFactor times that of the old version.
	maxExcessRate = 0.12
	oldRateFactor = 2.5
	// slowSteps is how many half doublings above the old version's median a
	// run counts as slow: 3.4 times as long, above the spread of speeds among
	// upstreams of one service.
	slowBuckets = 4
	// minOld is the fewest runs of the old version that give a median.
	minOldRuns = 20
)

// Regressed tells whether the runs of the new version show it to be bad beside those
// of the old one, route by route and over all routes.
func Regressed(older, newer map[string]Tally) bool {
	var bad, runs, oldBad, oldRuns float64
	for route, n := range newer {
		o := older[route]
		slowFrom := LatencyBuckets
		if o.Runs() >= minOldRuns {
			slowFrom = o.medianBucket() + slowBuckets
		}
		b, r := n.badRuns(slowFrom), float64(n.Runs())
		ob, or := o.badRuns(slowFrom), float64(o.Runs())
		if exceedsOldRate(b, r, ob, or) {
			return true
		}
		bad, runs, oldBad, oldRuns = bad+b, runs+r, oldBad+ob, oldRuns+or
	}
	return exceedsOldRate(bad, runs, oldBad, oldRuns)
}

func exceedsOldRate(bad, runs, oldBad, oldRuns float64) bool {
	if bad < minBadRuns {
		return false
	}
	rate := 0.0
	if oldRuns > 0 {
		rate = oldBad / oldRuns
	}
	return bad/runs > maxExcessRate+oldRateFactor*rate
}

// median returns the class that holds the middle run.
func (t Tally) medianBucket() int {
	half := (t.Runs() + 1) / 2
	for i, c := range t.Latencies {
		if c >= half {
			return i
		}
		half -= c
	}
	return LatencyBuckets - 1
}

// bad counts the runs that failed or took at least as long as a class says. A
// run that failed late is counted once only where one of both is rare.
func (t Tally) badRuns(slowFrom int) float64 {
	slow := uint32(0)
	for i := min(slowFrom, LatencyBuckets); i < LatencyBuckets; i++ {
		slow += t.Latencies[i]
	}
	return float64(min(t.Runs(), t.Failed+slow))
}
