package canary

import "time"

// explainedSlots is for how many tests a suspicion counts as explained after
// the old version showed the same: ten seconds of two tests.
const explainedSlots = 40

// urgentWait is how long a judge waits after a plain failure for the reports
// of the old version's gates.
const urgentWait = 150 * time.Millisecond

// series are the tests of one route, or of all together, with their scores.
type series struct {
	rules  [testCount]Detector
	scores [testCount]float64
	// explained is for how many tests more the old version counts as having
	// shown the same as the new one.
	explained int
	// alarm is since when the open slots alone would be proof; zero while
	// they would not.
	alarm time.Time
}

func newSeries(rule DetectorFactory) series {
	var s series
	for t := range s.rules {
		s.rules[t] = rule()
	}
	return s
}

// step takes the next sample of a test.
func (s *series) step(t test, sample Sample) {
	s.scores[t] = s.rules[t].Update(sample)
	s.explained = max(s.explained-1, 0)
	if s.scores[t] < 0 {
		s.explained = explainedSlots
	}
}

// peek judges failures of slots still open. Failures come in as they happen,
// so the old version's are there after urgentWait, if it has any.
func (s *series) peek(open Sample, now time.Time) bool {
	if open.New.Bad == 0 || s.rules[testFailures].Preview(open) < 1 {
		s.alarm = time.Time{}
		return false
	}
	if s.alarm.IsZero() {
		s.alarm = now
	}
	return now.Sub(s.alarm) >= urgentWait
}

// suspect tells of a doubt, or of one that was explained of late.
func (s *series) suspect() bool {
	return s.explained > 0 || s.scores[testFailures] >= doubtScore || s.scores[testSlow] >= doubtScore
}
