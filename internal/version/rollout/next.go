package rollout

import (
	"fmt"
	"time"
)

// Findings are an analyzer's inputs to a decision on a rollout.
type Findings struct {
	// Regression is the reason to withdraw the new version; empty if there is
	// none.
	Regression string
	// Warning describes evidence against the new version that falls short of
	// proof. It holds the next step.
	Warning string
	// StrongWarning reports whether the warning is close to proof. It keeps the
	// rollout from being completed even when its time is up.
	StrongWarning bool
	// BaselineDegraded reports whether the old version recently degraded, too.
	BaselineDegraded bool
	// EnoughSamples reports whether this step has seen enough calls.
	EnoughSamples bool
	// Summary gives the calls and failures of both versions.
	Summary string
	// OldReady and NewReady are the numbers of ready upstreams of each version.
	OldReady int
	NewReady int
}

// Reasons that hold a rollout without any fault of the new version.
const (
	reasonPaused        = "paused by an operator"
	reasonNoNewUpstream = "no upstream of the new version is ready"
	reasonNoOldUpstream = "no upstream of the old version is left to take the calls"
)

// Next returns the next state of a rollout and whether it differs from s. It is
// a pure function, so two analyzers with the same findings decide the same;
// with different findings, Merge resolves the conflict.
//
// An ended rollout doesn't change. A pause holds steps and the end of the watch
// time, but never a withdrawal. A bad version is not withdrawn while the old
// one has no upstream left, since its calls would have nowhere to go;
// BlockedReason reports this.
//
// Reasons of decisions are stored and gossiped, so their texts must not change.
func Next(p Plan, s State, f Findings, now time.Time) (State, bool) {
	if s.Ended() {
		return s, false
	}
	if f.Regression != "" && s.Step.Number > 0 {
		return withdraw(s, f, now)
	}
	if warningRecurred(s, f) {
		f.Regression = "comes back whenever the share is restored: " + f.Warning
		return withdraw(s, f, now)
	}
	if adjusted, ok := adjustShare(s, f, now); ok {
		return adjusted, true
	}
	if BlockedReason(p, s, f) != "" || inReduction(p, s, now) {
		return s, false
	}
	if s.Step.Number >= len(p.Shares) && f.OldReady == 0 {
		s.Done = &Decision{AtMillis: now.UnixMilli(), Reason: "all upstreams of the old version have left: " + f.Summary}
		return s, true
	}
	if now.Before(p.NextStepTime(s)) && !canStepEarly(p, s, f, now) {
		return s, false
	}
	switch {
	case s.Step.Number == 0:
		return advance(p, s, f, now), true
	case f.Warning != "" && (f.StrongWarning || now.Before(p.latestStepTime(s.Step.Number))):
		return withdrawAtDeadline(p, s, f, now)
	case !f.EnoughSamples && now.Before(p.waitUntil(s)):
		return s, false
	case s.Step.Number >= len(p.Shares):
		return complete(s, f, now), true
	default:
		return advance(p, s, f, now), true
	}
}

// BlockedReason returns the reason, other than missing samples, that holds a
// rollout; empty if there is none.
func BlockedReason(p Plan, s State, f Findings) string {
	switch {
	case f.Regression != "" && f.OldReady == 0:
		return f.Regression + ", but " + reasonNoOldUpstream
	case s.Paused():
		return reasonPaused
	case f.NewReady == 0:
		return reasonNoNewUpstream
	default:
		return ""
	}
}

// canStepEarly reports whether a step may be taken before its time.
func canStepEarly(p Plan, s State, f Findings, now time.Time) bool {
	return p.AllowEarly && f.EnoughSamples && f.Warning == "" &&
		s.Step.Number > 0 && s.Step.Number < len(p.Shares) &&
		!now.Before(s.Step.Decision.Time().Add(p.shortestStepTime()))
}

// waitUntil returns the time until which a step waits for missing samples: a
// fraction of its planned time longer, but no later than the deadline allows.
func (p Plan) waitUntil(s State) time.Time {
	due := p.NextStepTime(s)
	wait := time.Duration(float64(due.Sub(s.Step.Decision.Time())) * p.ExtraWait)
	if latest := p.latestStepTime(s.Step.Number); due.Add(wait).After(latest) {
		return laterTime(due, latest)
	}
	return due.Add(wait)
}

// latestStepTime returns the latest time for the step after taken steps at
// which the rollout can still be done in time, with each later step and the
// watch time cut short.
func (p Plan) latestStepTime(taken int) time.Time {
	after := len(p.Shares) - taken - 1
	if after < 0 {
		return p.targetEnd()
	}
	return p.targetEnd().Add(-p.WatchTime/2 - time.Duration(after)*p.shortestStepTime())
}

func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func withdraw(s State, f Findings, now time.Time) (State, bool) {
	if f.OldReady == 0 {
		return s, false
	}
	s.Withdrawn = &Decision{AtMillis: now.UnixMilli(), Reason: f.Regression}
	return s, true
}

// withdrawAtDeadline holds a rollout that has a warning. It withdraws one whose
// deadline passes while there is a strong warning: it can be neither completed
// nor left halfway.
func withdrawAtDeadline(p Plan, s State, f Findings, now time.Time) (State, bool) {
	if now.Before(p.Rollout.Deadline) || f.OldReady == 0 || !f.StrongWarning {
		return s, false
	}
	s.Withdrawn = &Decision{AtMillis: now.UnixMilli(), Reason: "the deadline passed in doubt: " + f.Warning}
	return s, true
}

func complete(s State, f Findings, now time.Time) State {
	s.Done = &Decision{AtMillis: now.UnixMilli(), Reason: "watch over: " + f.Summary}
	return s
}

func advance(p Plan, s State, f Findings, now time.Time) State {
	share := p.Shares[s.Step.Number]
	s.Step = Step{
		Number:   s.Step.Number + 1,
		Share:    share,
		Decision: Decision{AtMillis: now.UnixMilli(), Reason: f.Summary},
	}
	if s.Step.Number == 1 {
		s.Step.Decision.Reason = fmt.Sprintf("first share of %g%%", share)
	}
	return s
}

// maxReductions is how often a warning may reduce the share and disappear by
// itself. A fault that shows above a load does exactly this, so the next
// warning counts as proof.
const maxReductions = 2

// inReduction reports whether the share is reduced or was so until recently.
// Near the deadline the rollout waits only until the share is restored.
func inReduction(p Plan, s State, now time.Time) bool {
	if s.ShareReduced() || s.Reduction.Toggle.Count == 0 {
		return s.ShareReduced()
	}
	restored := s.Reduction.Toggle.Decision.Time()
	return now.Before(restored.Add(maxReduction)) && now.Before(p.Rollout.Deadline.Add(-minReduction))
}

// warningRecurred reports whether a warning came back each time the share was
// restored.
func warningRecurred(s State, f Findings) bool {
	return f.Warning != "" && !s.ShareReduced() && s.Reduction.Repeats >= maxReductions &&
		s.Step.Share > reducedShare && s.inSameEpisode()
}

// reductionEpisodeSteps is the number of steps over which reductions belong to
// the same episode.
const reductionEpisodeSteps = 3

// inSameEpisode reports whether the share was reduced at this step or shortly
// before.
func (s State) inSameEpisode() bool { return s.Reduction.Step > s.Step.Number-reductionEpisodeSteps }

// adjustShare reduces a large share when there is a warning. It restores the
// share when the old version has degraded, too, or has had enough time to show
// whether it does.
func adjustShare(s State, f Findings, now time.Time) (State, bool) {
	hasWarning := f.Warning != ""
	sinceChange := now.Sub(s.Reduction.Toggle.Decision.Time())
	switch {
	case !s.ShareReduced() && (!hasWarning || s.Step.Share <= reducedShare):
		return s, false
	case s.ShareReduced() && (sinceChange < minReduction || !f.BaselineDegraded && sinceChange < maxReduction):
		return s, false
	}
	next := Reduction{Toggle: Toggle{
		Count:    s.Reduction.Toggle.Count + 1,
		Decision: Decision{AtMillis: now.UnixMilli(), Reason: f.Warning},
	}}
	if !s.ShareReduced() {
		next.Step, next.Repeats = s.Step.Number, 1
		if s.inSameEpisode() {
			next.Repeats += s.Reduction.Repeats
		}
		s.Reduction = next
		return s, true
	}
	next.Step, next.Repeats = s.Reduction.Step, s.Reduction.Repeats
	if f.BaselineDegraded {
		next.Repeats = 0
	}
	s.Reduction = next
	return s, true
}
