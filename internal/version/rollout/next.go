package rollout

import (
	"fmt"
	"time"
)

// Findings are what a judge knows of a move when it decides.
type Findings struct {
	// Regression is the reason to take the move back; empty where there is none.
	Regression string
	// Warning says what speaks against the new version without proof yet; it
	// holds the next step.
	Warning string
	// StrongWarning tells that the doubt is close to proof: it keeps the move from
	// being completed even when its time is up.
	StrongWarning bool
	// BaselineDegraded tells that the old version has shown the same of late.
	BaselineDegraded bool
	// EnoughSamples tells that the evidence of this step is in.
	EnoughSamples bool
	// Summary is a short account of the calls seen at this step.
	Summary string
	// OldReady and NewReady count the upstreams of the two versions that are ready.
	OldReady int
	NewReady int
}

// Reasons that hold a move without any fault of the new version.
const (
	reasonPaused        = "paused by an operator"
	reasonNoNewUpstream = "no upstream of the new version is ready"
	reasonNoOldUpstream = "no upstream of the old version is left to take the calls"
)

// Next decides what becomes of a move: the state that follows, and whether it
// differs from s. It is a pure function, so two judges with the same findings
// decide the same, and with different ones the merge settles it.
//
// An ended move stays as it is. A pause halts steps and the end of the watch,
// never a withdrawal. A bad version is not taken back while no upstream of
// the old one is left, since that would send calls nowhere; BlockedReason says so.
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
	if eased, ok := adjustShare(s, f, now); ok {
		return eased, true
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

// BlockedReason tells what other than evidence keeps a move from going on; empty
// where nothing does.
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

// early tells that a step may be taken before its time.
func canStepEarly(p Plan, s State, f Findings, now time.Time) bool {
	return p.AllowEarly && f.EnoughSamples && f.Warning == "" &&
		s.Step.Number > 0 && s.Step.Number < len(p.Shares) &&
		!now.Before(s.Step.Decision.Time().Add(p.shortestStepTime()))
}

// patienceEnd is until when a step waits for evidence that does not come: a
// part of its planned stay longer, but no later than the deadline allows.
func (p Plan) waitUntil(s State) time.Time {
	due := p.NextStepTime(s)
	wait := time.Duration(float64(due.Sub(s.Step.Decision.Time())) * p.ExtraWait)
	if latest := p.latestStepTime(s.Step.Number); due.Add(wait).After(latest) {
		return laterTime(due, latest)
	}
	return due.Add(wait)
}

// latest is the last time at which the step after taken steps still lets the
// move be done in time, each later step and the watch being cut short.
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

// expire takes a move back whose deadline passes while evidence stands
// against it: it can be neither completed nor left half moved.
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

// maxEases is how often a doubt may lower the share and go away by itself. A
// fault that shows above a load does just that, so the next time is proof.
const maxReductions = 2

// recovering tells that the share is lowered or was so until lately. At the
// deadline a move need not wait for more than the share's being restored.
func inReduction(p Plan, s State, now time.Time) bool {
	if s.ShareReduced() || s.Reduction.Toggle.Count == 0 {
		return s.ShareReduced()
	}
	restored := s.Reduction.Toggle.Decision.Time()
	return now.Before(restored.Add(maxReduction)) && now.Before(p.Rollout.Deadline.Add(-minReduction))
}

// relapsed tells that a doubt came back each time the share was restored.
func warningRecurred(s State, f Findings) bool {
	return f.Warning != "" && !s.ShareReduced() && s.Reduction.Repeats >= maxReductions &&
		s.Step.Share > reducedShare && s.inSameEpisode()
}

// episodeSteps is over how many steps doubts belong together.
const reductionEpisodeSteps = 3

// sameEpisode tells that the share was lowered at this step or shortly before.
func (s State) inSameEpisode() bool { return s.Reduction.Step > s.Step.Number-reductionEpisodeSteps }

// ease lowers a large share when a doubt comes up, and restores it when the
// old version has shown the same or had time to.
func adjustShare(s State, f Findings, now time.Time) (State, bool) {
	doubt := f.Warning != ""
	lowered := now.Sub(s.Reduction.Toggle.Decision.Time())
	switch {
	case !s.ShareReduced() && (!doubt || s.Step.Share <= reducedShare):
		return s, false
	case s.ShareReduced() && (lowered < minReduction || !f.BaselineDegraded && lowered < maxReduction):
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
