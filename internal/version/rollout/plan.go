package rollout

import (
	"time"

	"github.com/daisytide/daisytide/internal/version/document"
)

// wholeShare is the share, in percent, of a completed move.
const fullShare = 100.0

// controlShare is the percentage of calls that stay with the old version
// until the watch is over. Without it a general slowdown and a slow new
// version would look alike once all calls had moved.
const controlShare = 2.0

// easedShare is the largest share, in percent, while a doubt lasts.
const reducedShare = 10.0

// maxStepRise bounds how many points a step that daisytide chose adds. Small
// shares double; large ones rise by this, since there each point adds the
// most calls to an upstream.
const maxStepIncrease = 15.0

// defaultFirstShare is the first share, in percent, where none is given.
const defaultFirstShare = 1.0

// Bounds of the times of a move.
const (
	// minEase and maxEase bound the time that a share stays lowered. For
	// maxEase after that no step is taken.
	minReduction = 3 * time.Second
	maxReduction = 10 * time.Second
	// minHold is the shortest stay at one step.
	minStepTime = 2 * time.Second
	// minWatch and maxWatch bound the watch after the last step, whatever the
	// length of the move.
	minWatchTime = 2 * time.Second
	maxWatchTime = 30 * time.Minute
	// maxMargin bounds how long before its deadline a move means to be done:
	// a doubt that comes up at the very end has its time to be settled.
	maxDeadlineMargin = maxReduction + minReduction
)

// marginPart is the part of a move's time that is kept free before the deadline.
const deadlineMarginFraction = 0.02

// Plan is a rollout with what daisytide adds to it.
type Plan struct {
	Rollout document.Rollout
	// Shares are the percentages of the steps; the last is the largest.
	Shares []float64
	// WatchTime is how long the move is watched after the last step.
	WatchTime time.Duration
	// AllowEarly tells that a step with its evidence need not wait for its time.
	AllowEarly bool
	// ExtraWait is how much longer than planned a step may wait for evidence,
	// as a part of its planned stay.
	ExtraWait float64
}

// caution holds what depends on document.Caution.
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

// NewPlan works out the steps and times of a rollout.
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

// shares returns the percentages of all steps, rising, the last being
// everything but the control share.
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

// doneBy is when the move means to be done.
func (p Plan) targetEnd() time.Time {
	margin := time.Duration(float64(p.Rollout.Deadline.Sub(p.Rollout.Start)) * deadlineMarginFraction)
	return p.Rollout.Deadline.Add(-min(margin, maxDeadlineMargin))
}

// lastStepBy is when the last step means to be taken.
func (p Plan) lastStepTarget() time.Time { return p.targetEnd().Add(-p.WatchTime) }

// NextStepTime returns when the step after s means to be taken, or, after the last
// step, when the watch ends. What time is left is shared evenly among the
// steps left, so a move that was held up catches up by itself.
func (p Plan) NextStepTime(s State) time.Time {
	taken := s.Step.Number
	if taken == 0 {
		return p.Rollout.Start
	}
	at := s.Step.Decision.Time()
	if taken >= len(p.Shares) {
		return at.Add(p.remainingWatch(at))
	}
	return at.Add(p.stepTime(at, len(p.Shares)-taken))
}

// hold is the planned stay at a step taken at at, with left steps to come.
func (p Plan) stepTime(at time.Time, left int) time.Duration {
	return max(p.lastStepTarget().Sub(at)/time.Duration(left), p.shortestStepTime())
}

// shortestHold is minHold, or less for a move too short for it.
func (p Plan) shortestStepTime() time.Duration {
	even := p.lastStepTarget().Sub(p.Rollout.Start) / time.Duration(len(p.Shares))
	return max(min(minStepTime, even/2), 0)
}

// watchAfter is how long the watch lasts when the last step was taken at at: to the
// time when the move means to be done, but never less than a half of the
// planned watch.
func (p Plan) remainingWatch(at time.Time) time.Duration {
	return min(max(p.targetEnd().Sub(at), p.WatchTime/2), p.WatchTime)
}

// ExpectedEnd returns when the move will be done if nothing stands against it.
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
