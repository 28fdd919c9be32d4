package balancer

import (
	"math"
	"time"

	"github.com/daisytide/daisytide/internal/request/gate"
)

// Parameters of an entry's view of one upstream.
const (
	// staleAfter is the time in which a load carried back loses all but 1/e
	// of its weight against usualUse.
	loadDecayTime = 2 * time.Second
	// usualUse is the share of slots assumed in use where nothing is known of
	// two upstreams; where one is known the other is taken to be like it.
	defaultUtilization = 0.5
	// faultsToEject is how many faults in a row put an upstream aside; one
	// suffices when it was not reached at all.
	failuresToEject = 3
	// ejectFor is the first time aside; it doubles up to ejectMax.
	minEjection = time.Second
	maxEjection = 32 * time.Second
	// probationPenalty keeps a second call from an upstream on probation
	// while others can take it.
	probationPenalty = 1000
)

// Outcome is what a call has shown of an upstream.
type Outcome uint8

// The faults. Neutral ends, such as a refusal for lack of slots or a caller
// that went away, are no evidence either way.
const (
	Success Outcome = iota
	Inconclusive
	Failure
	Unreachable
	Draining
)

// UpstreamStats is what one entry knows of one upstream: what its own calls have
// shown and what the gate carried back on answers. Probes play no part, so an
// upstream that lies about its health or load changes nothing here.
type UpstreamStats struct {
	// own counts this entry's calls in progress there.
	outstanding int
	load        gate.Load
	// loadAt is when load arrived; zero before the first.
	loadAt time.Time
	// faults counts faults in a row, ejections those that put it aside since
	// its last good answer.
	failures  int
	failedAt  time.Time
	ejections int
	// until is when it may be picked again.
	ejectedUntil time.Time
	// unreached tells that the last call that showed something did not reach
	// it; probed that a call is on its way since, which finds out for all.
	unreachable, probing bool
}

// BeginAttempt notes a call sent there.
func (s *UpstreamStats) BeginAttempt() { s.outstanding++ }

// probe tells that a call that begins finds out whether an upstream that was
// not reached can be again.
func (s *UpstreamStats) startProbe() bool {
	begins := s.unreachable && !s.probing
	s.probing = s.probing || begins
	return begins
}

// alive notes that the upstream's node has shown life.
func (s *UpstreamStats) markReachable() { s.unreachable, s.probing = false, false }

// hopeless tells that a call there would most likely wait for nothing, and that
// another one finds out.
func (s *UpstreamStats) awaitingProbe() bool { return s.unreachable && s.probing }

// EndAttempt notes how a call sent there ended.
func (s *UpstreamStats) EndAttempt(now time.Time, f Outcome) {
	s.outstanding--
	if f == Unreachable {
		s.unreachable = true
	} else if f != Inconclusive {
		s.markReachable()
	}
	switch f {
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

// eject puts the upstream aside. Calls that were under way together count as
// one piece of evidence. One fault after the return ejects again.
func (s *UpstreamStats) eject(now time.Time) {
	s.failures = failuresToEject - 1
	if now.Before(s.ejectedUntil) {
		return
	}
	s.ejectedUntil = now.Add(min(maxEjection, minEjection<<min(s.ejections, 10)))
	s.ejections++
}

// ReportLoad takes a load that came back with an answer.
func (s *UpstreamStats) ReportLoad(now time.Time, l gate.Load) {
	s.load = l
	s.loadAt = now
}

// Ejected tells that the upstream is put aside.
func (s *UpstreamStats) Ejected(now time.Time) bool { return now.Before(s.ejectedUntil) }

// known estimates the share of slots in use from the load carried back: the
// weight that its age leaves it, against reference. announced is the slots of
// the member record, for a gate that has not answered yet.
func (s *UpstreamStats) reportedUtilization(now time.Time, announced int, reference float64) (use, slots float64) {
	slots = float64(s.load.Slots)
	if slots < 1 {
		slots = float64(max(1, announced))
	}
	if s.loadAt.IsZero() {
		return reference, slots
	}
	weight := math.Exp(-float64(now.Sub(s.loadAt)) / float64(loadDecayTime))
	return weight*float64(s.load.Busy)/slots + (1-weight)*reference, slots
}

// backlog estimates how long bodies that were sent there before still come.
func (s *UpstreamStats) remainingBacklog(now time.Time) time.Duration {
	return max(0, s.load.LinkBacklog-now.Sub(s.loadAt))
}

// use estimates the share of slots in use, the new call among them.
func (s *UpstreamStats) utilization(now time.Time, announced int, reference float64) float64 {
	use, slots := s.reportedUtilization(now, announced, reference)
	return max(use, float64(s.outstanding)/slots) + 1/slots
}

// onProbation tells that the upstream was put aside and has not answered since,
// and that a call to find out is on its way.
func (s *UpstreamStats) onProbation() bool { return s.ejections > 0 && s.outstanding > 0 }

// penalty multiplies the cost after faults, for a while only: an upstream
// that never gets another call can never show that it is well again. One that
// was put aside gets one call at a time until it has answered.
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

// faulty tells that the last call there failed, a short while ago.
func (s *UpstreamStats) recentlyFailed(now time.Time) bool {
	return s.failures > 0 && now.Sub(s.failedAt) < loadDecayTime
}

// cost estimates the time until an answer, in seconds, without the network.
// A gate that has not answered yet is taken to be as quick as any.
func (s *UpstreamStats) expectedCost(now time.Time, use float64) float64 {
	return max(s.load.ServiceTime, minServiceTime).Seconds() * (1 + use*use) * s.failurePenalty(now)
}
