// Package ramp decides how a service's requests move to a version ordered by
// the operator: the share over time, and whether the new version is worse than
// the old one. It does no I/O and takes the time from the caller.
package ramp

import (
	"math/bits"
	"time"
)

// Order is an operator's order to move a service to a version.
type Order struct {
	Service string
	Target  string
	// Revision is the store revision of the order; later orders have higher
	// ones.
	Revision uint64
	// Duration is the time that the rollout may take.
	Duration time.Duration
}

// Phase is the state of a rollout.
type Phase uint8

// Withdrawn takes precedence over Completed if partitioned nodes decided
// differently and the store has neither.
const (
	Running Phase = iota
	Completed
	Withdrawn
)

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

// scheduleStep is a share of requests that applies from a fraction of the
// rollout's duration on.
type scheduleStep struct {
	startFraction float64
	share         float64
}

// schedule keeps the share small for half of the time, so a version that turns
// bad late is detected while few requests reach it. The last step leaves the
// old version's requests time to end before it is stopped.
var schedule = []scheduleStep{{0, 0.04}, {0.30, 0.08}, {0.52, 0.20}, {0.62, 0.45}, {0.70, 1}}

// completeFraction is the fraction of the duration after which a rollout is
// complete.
const completeFraction = 0.86

// Share returns the fraction of requests that goes to the target version. since
// is the time that has passed since the order.
func (o Order) Share(since time.Duration) float64 {
	share := 0.0
	for _, s := range schedule {
		if since >= time.Duration(s.startFraction*float64(o.Duration)) {
			share = s.share
		}
	}
	return share
}

// Complete reports whether a rollout without a regression is complete. since is
// the time that has passed since the order.
func (o Order) Complete(since time.Duration) bool {
	return since >= time.Duration(completeFraction*float64(o.Duration))
}

// LatencyBuckets is the number of histogram buckets: two per doubling, starting
// at one millisecond.
const LatencyBuckets = 32

// Tally counts the runs of one route in one version.
type Tally struct {
	Failed    uint32                 `cbor:"1,keyasint"`
	Latencies [LatencyBuckets]uint32 `cbor:"2,keyasint"`
}

// LatencyBucket returns the histogram bucket of a run time.
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

// Add adds the counts of o.
func (t *Tally) Add(o Tally) {
	t.Failed += o.Failed
	for i := range o.Latencies {
		t.Latencies[i] += o.Latencies[i]
	}
}

// Sub subtracts the counts of o, which t includes.
func (t *Tally) Sub(o Tally) {
	t.Failed -= min(t.Failed, o.Failed)
	for i := range o.Latencies {
		t.Latencies[i] -= min(t.Latencies[i], o.Latencies[i])
	}
}

// Thresholds of Regressed.
const (
	// minBadRuns is the smallest number of bad runs that proves a regression.
	minBadRuns = 6
	// maxExcessRate is the rate of bad runs above which a version is bad, on
	// top of oldRateFactor times the rate of the old version.
	maxExcessRate = 0.12
	oldRateFactor = 2.5
	// slowBuckets is the number of buckets above the old version's median from
	// which a run counts as slow. At two buckets per doubling such a run takes
	// about 3.4 times as long as the median, which is more than upstreams of one
	// service differ in speed.
	slowBuckets = 4
	// minOldRuns is the smallest number of runs of the old version that gives a
	// median.
	minOldRuns = 20
)

// Regressed reports whether the runs of the new version are worse than those of
// the old one, on any route or over all routes.
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

// medianBucket returns the bucket of the median run.
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

// badRuns counts the runs that failed or fell into slowFrom or a higher bucket.
// A run that was both is counted twice, up to the number of runs.
func (t Tally) badRuns(slowFrom int) float64 {
	slow := uint32(0)
	for i := min(slowFrom, LatencyBuckets); i < LatencyBuckets; i++ {
		slow += t.Latencies[i]
	}
	return float64(min(t.Runs(), t.Failed+slow))
}
