package balancer

import (
	"math"
	"time"

	"github.com/daisytide/daisytide/internal/request/gate"
)

// Parameters of an entry's statistics on one upstream.
const (
	// loadDecayTime is the time after which the weight of a reported load has
	// decayed to 1/e; the rest of the weight goes to the reference value.
	loadDecayTime = 2 * time.Second
	// defaultUtilization is assumed if neither of two compared upstreams has
	// reported a load. If one has, the other is assumed to have the same.
	defaultUtilization = 0.5
	// failuresToEject is the number of consecutive failures that eject an
	// upstream. A single attempt that finds it unreachable or draining counts
	// as that many.
	failuresToEject = 3
	// minEjection is the first ejection time; it doubles up to maxEjection.
	minEjection = time.Second
	maxEjection = 32 * time.Second
	// probationPenalty keeps a second call away from an upstream on probation
	// while other upstreams are available.
	probationPenalty = 1000
)

// Outcome is the outcome of an attempt as evidence about the upstream.
type Outcome uint8

// Outcomes of attempts. Inconclusive covers ends that say nothing about the
// upstream, such as a refusal for lack of slots or a caller that disconnected.
const (
	Success Outcome = iota
	Inconclusive
	Failure
	Unreachable
	Draining
)

// UpstreamStats is what one entry has observed of one upstream: the outcomes of
// its own calls and the load that the gate reported in responses. Health checks
// have no influence, so an upstream that misreports its health or load changes
// nothing here.
type UpstreamStats struct {
	// outstanding counts this entry's calls in progress at the upstream.
	outstanding int
	load        gate.Load
	// loadAt is the time of the last load report; zero before the first.
	loadAt time.Time
	// failures counts consecutive failures. ejections counts the ejections since
	// the last success.
	failures     int
	failedAt     time.Time
	ejections    int
	ejectedUntil time.Time
	// unreachable is set if the last conclusive call did not reach the
	// upstream. probing is set while one call tests whether it is reachable
	// again, on behalf of all.
	unreachable, probing bool
}

// BeginAttempt counts a call sent to the upstream.
func (s *UpstreamStats) BeginAttempt() { s.outstanding++ }

// startProbe reports whether the starting call is the one that tests whether an
// unreachable upstream is reachable again.
func (s *UpstreamStats) startProbe() bool {
	isProbe := s.unreachable && !s.probing
	s.probing = s.probing || isProbe
	return isProbe
}

// markReachable records that the upstream's node has responded.
func (s *UpstreamStats) markReachable() { s.unreachable, s.probing = false, false }

// awaitingProbe reports whether the upstream is unreachable and another call is
// testing it, so that a further call would most likely only time out.
func (s *UpstreamStats) awaitingProbe() bool { return s.unreachable && s.probing }

// EndAttempt records the outcome of a call sent to the upstream.
func (s *UpstreamStats) EndAttempt(now time.Time, outcome Outcome) {
	s.outstanding--
	if outcome == Unreachable {
		s.unreachable = true
	} else if outcome != Inconclusive {
		s.markReachable()
	}
	switch outcome {
	case Success:
		s.failures = 0
		s.ejections = 0
		s.ejectedUntil = time.Time{}
		return
	case Inconclusive:
		return
	case Unreachable, Draining:
		s.failures += failuresToEject
	case Failure:
		s.failures++
	}
	s.failedAt = now
	if s.failures >= failuresToEject {
		s.eject(now)
	}
}

// eject excludes the upstream for a while. Calls that were in progress at the
// same time count as one piece of evidence. After the ejection a single failure
// ejects again.
func (s *UpstreamStats) eject(now time.Time) {
	s.failures = failuresToEject - 1
	if now.Before(s.ejectedUntil) {
		return
	}
	s.ejectedUntil = now.Add(min(maxEjection, minEjection<<min(s.ejections, 10)))
	s.ejections++
}

// ReportLoad stores a load received with a response.
func (s *UpstreamStats) ReportLoad(now time.Time, load gate.Load) {
	s.load = load
	s.loadAt = now
}

// Ejected reports whether the upstream is ejected.
func (s *UpstreamStats) Ejected(now time.Time) bool { return now.Before(s.ejectedUntil) }

// reportedUtilization estimates the share of slots in use as the average of the
// reported load, weighted by its age, and reference. announcedSlots is the slot
// count of the member record, used until the gate has reported one.
func (s *UpstreamStats) reportedUtilization(now time.Time, announcedSlots int, reference float64) (utilization, slots float64) {
	slots = float64(s.load.Slots)
	if slots < 1 {
		slots = float64(max(1, announcedSlots))
	}
	if s.loadAt.IsZero() {
		return reference, slots
	}
	weight := math.Exp(-float64(now.Sub(s.loadAt)) / float64(loadDecayTime))
	return weight*float64(s.load.Busy)/slots + (1-weight)*reference, slots
}

// remainingBacklogs estimates for how long the bodies and the responses reported as
// queued will still occupy the host's link.
func (s *UpstreamStats) remainingBacklogs(now time.Time) (bodies, responses time.Duration) {
	age := now.Sub(s.loadAt)
	return max(0, s.load.LinkBacklog-age), max(0, s.load.ResponseBacklog-age)
}

// utilization estimates the share of slots in use, including the new call.
func (s *UpstreamStats) utilization(now time.Time, announcedSlots int, reference float64) float64 {
	utilization, slots := s.reportedUtilization(now, announcedSlots, reference)
	return max(utilization, float64(s.outstanding)/slots) + 1/slots
}

// onProbation reports whether the upstream was ejected, has not answered since,
// and already has a call in progress that tests it.
func (s *UpstreamStats) onProbation() bool { return s.ejections > 0 && s.outstanding > 0 }

// failurePenalty is a factor on the cost after failures. It is temporary,
// because an upstream that gets no calls cannot show that it has recovered. An
// upstream that was ejected gets one call at a time until it has answered.
func (s *UpstreamStats) failurePenalty(now time.Time) float64 {
	switch {
	case s.onProbation():
		return probationPenalty
	case s.ejections == 0 && s.recentlyFailed(now):
		return float64(1 + s.failures)
	default:
		return 1
	}
}

// recentlyFailed reports whether the last call there failed within
// loadDecayTime.
func (s *UpstreamStats) recentlyFailed(now time.Time) bool {
	return s.failures > 0 && now.Sub(s.failedAt) < loadDecayTime
}

// expectedCost estimates the response time in seconds without the network. A
// gate that has not reported a load yet is assumed to be as fast as any.
func (s *UpstreamStats) expectedCost(now time.Time, utilization float64) float64 {
	return max(s.load.ServiceTime, minServiceTime).Seconds() * (1 + utilization*utilization) * s.failurePenalty(now)
}
