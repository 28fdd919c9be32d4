package rollout

import (
	"time"

	"github.com/daisytide/daisytide/internal/version/document"
)

// fullShare is the share, in percent, of a completed rollout.
const fullShare = 100.0

// controlShare is the percentage of calls that stay with the old version until
// the watch time is over. Without it, a general slowdown could not be told from
// a slow new version once all calls had moved.
const controlShare = 2.0

// reducedShare is the largest share, in percent, while there is a warning.
const reducedShare = 10.0

// maxStepIncrease is the largest increase, in percentage points, of a step that
// daisytide chose. Small shares double. Large ones rise by this much, because a
// step there adds the most calls to an upstream.
const maxStepIncrease = 15.0

// defaultFirstShare is the first share, in percent, if none is configured.
const defaultFirstShare = 1.0

// Time limits of a rollout.
const (
	// minReduction and maxReduction bound the time that a share stays reduced.
	// No step is taken for maxReduction after that.
	minReduction = 3 * time.Second
	maxReduction = 10 * time.Second
	// minStepTime is the shortest time at one step.
	minStepTime = 2 * time.Second
	// minWatchTime and maxWatchTime bound the watch time after the last step,
	// regardless of the length of the rollout.
	minWatchTime = 2 * time.Second
	maxWatchTime = 30 * time.Minute
	// maxDeadlineMargin is the largest time kept free before the deadline. It
	// leaves enough time to resolve a warning that comes up at the very end.
	maxDeadlineMargin = maxReduction + minReduction
)

// deadlineMarginFraction is the fraction of a rollout's time that is kept free
// before the deadline.
const deadlineMarginFraction = 0.02

// Plan is a rollout with its schedule.
type Plan struct {
	Rollout document.Rollout
	// Shares lists the percentages of the steps in ascending order.
	Shares []float64
	// WatchTime is how long the rollout is watched after the last step.
	WatchTime time.Duration
	// AllowEarly lets a step with enough samples be taken before its time.
	AllowEarly bool
	// ExtraWait is how much longer than planned a step may wait for samples, as
	// a fraction of its planned time.
	ExtraWait float64
}

// cautionParams holds the parameters that depend on document.Caution.
type cautionParams struct {
	watchFraction float64
	extraWait     float64
	allowEarly    bool
}

var paramsByCaution = map[document.Caution]cautionParams{
	document.CautionSwift:  {watchFraction: 0.10, extraWait: 0.25, allowEarly: true},
	document.CautionNormal: {watchFraction: 0.20, extraWait: 0.50},
	document.CautionHigh:   {watchFraction: 0.30, extraWait: 1.00},
}

// NewPlan computes the schedule of a rollout.
func NewPlan(r document.Rollout) Plan {
	c, ok := paramsByCaution[r.Caution]
	if !ok {
		c = paramsByCaution[document.CautionNormal]
	}
	watch := time.Duration(float64(r.Deadline.Sub(r.Start)) * c.watchFraction)
	return Plan{
		Rollout:    r,
		Shares:     shares(r),
		WatchTime:  min(max(watch, minWatchTime), maxWatchTime),
		AllowEarly: c.allowEarly,
		ExtraWait:  c.extraWait,
	}
}

// shares returns the percentages of all steps in ascending order. The last one
// is everything but controlShare.
func shares(r document.Rollout) []float64 {
	first := r.FirstShare
	if first <= 0 {
		first = defaultFirstShare
	}
	last := fullShare - controlShare
	var out []float64
	add := func(s float64) {
		if s = min(s, last); len(out) == 0 || s > out[len(out)-1] {
			out = append(out, s)
		}
	}
	add(first)
	for _, s := range r.Steps {
		add(s)
	}
	if len(r.Steps) == 0 {
		for s := first; s < last; s = min(2*s, s+maxStepIncrease) {
			add(s)
		}
	}
	add(fullShare)
	return out
}

// targetEnd is the time by which the rollout should be done.
func (p Plan) targetEnd() time.Time {
	margin := time.Duration(float64(p.Rollout.Deadline.Sub(p.Rollout.Start)) * deadlineMarginFraction)
	return p.Rollout.Deadline.Add(-min(margin, maxDeadlineMargin))
}

// lastStepTarget is the time by which the last step should be taken.
func (p Plan) lastStepTarget() time.Time { return p.targetEnd().Add(-p.WatchTime) }

// NextStepTime returns the time of the step after s or, after the last step,
// the end of the watch time. The remaining time is divided evenly among the
// remaining steps, so a delayed rollout catches up.
func (p Plan) NextStepTime(s State) time.Time {
	taken := s.Step.Number
	if taken == 0 {
		return p.Rollout.Start
	}
	takenAt := s.Step.Decision.Time()
	if taken >= len(p.Shares) {
		return takenAt.Add(p.remainingWatch(takenAt))
	}
	return takenAt.Add(p.stepTime(takenAt, len(p.Shares)-taken))
}

// stepTime returns the planned duration of the step taken at takenAt, with left
// steps to come.
func (p Plan) stepTime(takenAt time.Time, left int) time.Duration {
	return max(p.lastStepTarget().Sub(takenAt)/time.Duration(left), p.shortestStepTime())
}

// shortestStepTime is minStepTime, or less if the rollout is too short for it.
func (p Plan) shortestStepTime() time.Duration {
	even := p.lastStepTarget().Sub(p.Rollout.Start) / time.Duration(len(p.Shares))
	return max(min(minStepTime, even/2), 0)
}

// remainingWatch returns the watch time after a last step taken at takenAt:
// until targetEnd, but at least half of the planned watch time and at most all
// of it.
func (p Plan) remainingWatch(takenAt time.Time) time.Duration {
	return min(max(p.targetEnd().Sub(takenAt), p.WatchTime/2), p.WatchTime)
}

// ExpectedEnd returns the time at which the rollout will be done if nothing
// holds it.
func (p Plan) ExpectedEnd(s State, now time.Time) time.Time {
	left := len(p.Shares) - s.Step.Number
	due := p.NextStepTime(s)
	if now.After(due) {
		due = now
	}
	if left <= 0 {
		return due
	}
	end := p.targetEnd()
	soonest := due.Add(time.Duration(left-1)*p.shortestStepTime() + p.WatchTime/2)
	if soonest.After(end) {
		return soonest
	}
	return end
}
