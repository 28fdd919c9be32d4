package canary

import "time"

// degradedUpdates is the number of updates for which the old version counts as
// degraded after it was found to be as bad as the new one: ten seconds, with two
// metrics in each slot.
const degradedUpdates = 40

// baselineReportWait is how long an analyzer waits after a hard failure for the
// reports of the old version's gates.
const baselineReportWait = 150 * time.Millisecond

// series holds the detectors of one route, or of all routes together, with
// their latest scores.
type series struct {
	detectors [metricCount]Detector
	scores    [metricCount]float64
	// degradedLeft is the number of updates for which the old version still
	// counts as degraded.
	degradedLeft int
	// alarmSince is the time since which the failures of the pending slots, the
	// ones not analyzed yet, would be proof of a regression; zero while they are
	// not.
	alarmSince time.Time
}

func newSeries(newDetector DetectorFactory) series {
	var s series
	for m := range s.detectors {
		s.detectors[m] = newDetector()
	}
	return s
}

// update passes the next sample to the detector of a metric.
func (s *series) update(m metric, sample Sample) {
	s.scores[m] = s.detectors[m].Update(sample)
	s.degradedLeft = max(s.degradedLeft-1, 0)
	if s.scores[m] < 0 {
		s.degradedLeft = degradedUpdates
	}
}

// preview reports whether the failures of the pending slots prove a regression.
// Failures are reported as they happen, so those of the old version, if any,
// arrive within baselineReportWait.
func (s *series) preview(pending Sample, now time.Time) bool {
	if pending.New.Bad == 0 || s.detectors[metricFailures].Preview(pending) < 1 {
		s.alarmSince = time.Time{}
		return false
	}
	if s.alarmSince.IsZero() {
		s.alarmSince = now
	}
	return now.Sub(s.alarmSince) >= baselineReportWait
}

// hasWarning reports whether there is a warning, or recently was an alarm that
// was dropped because the old version degraded, too.
func (s *series) hasWarning() bool {
	return s.degradedLeft > 0 || s.scores[metricFailures] >= warningScore || s.scores[metricSlow] >= warningScore
}
