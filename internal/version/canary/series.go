package canary

import "time"

// explainedSlots is for how many tests a suspicion counts as explained after
// the old version showed the same: ten seconds of two tests.
const degradedUpdates = 40

// urgentWait is how long a judge waits after a plain failure for the reports
// of the old version's gates.
const baselineReportWait = 150 * time.Millisecond

// series are the tests of one route, or of all together, with their scores.
type series struct {
	detectors [metricCount]Detector
	scores    [metricCount]float64
	// explained is for how many tests more the old version counts as having
	// shown the same as the new one.
	degradedLeft int
	// alarm is since when the open slots alone would be proof; zero while
	// they would not.
	alarmSince time.Time
}

func newSeries(rule DetectorFactory) series {
	var s series
	for m := range s.detectors {
		s.detectors[m] = rule()
	}
	return s
}

// step takes the next sample of a test.
func (s *series) update(m metric, sample Sample) {
	s.scores[m] = s.detectors[m].Update(sample)
	s.degradedLeft = max(s.degradedLeft-1, 0)
	if s.scores[m] < 0 {
		s.degradedLeft = degradedUpdates
	}
}

// peek judges failures of slots still open. Failures come in as they happen,
// so the old version's are there after urgentWait, if it has any.
func (s *series) preview(open Sample, now time.Time) bool {
	if open.New.Bad == 0 || s.detectors[metricFailures].Preview(open) < 1 {
		s.alarmSince = time.Time{}
		return false
	}
	if s.alarmSince.IsZero() {
		s.alarmSince = now
	}
	return now.Sub(s.alarmSince) >= baselineReportWait
}

// suspect tells of a doubt, or of one that was explained of late.
func (s *series) hasWarning() bool {
	return s.degradedLeft > 0 || s.scores[metricFailures] >= warningScore || s.scores[metricSlow] >= warningScore
}
