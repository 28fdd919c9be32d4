package rollout

import (
	"fmt"
	"time"
)

// Findings are what a judge knows of a move when it decides.
type Findings struct {
	// Bad is the reason to take the move back; empty where there is none.
	Bad string
	// Doubt says what speaks against the new version without proof yet; it
	// holds the next step.
	Doubt string
	// Grave tells that the doubt is close to proof: it keeps the move from
	// being completed even when its time is up.
	Grave bool
	// Explained tells that the old version has shown the same of late.
	Explained bool
	// Enough tells that the evidence of this step is in.
	Enough bool
	// Evidence is a short account of the calls seen at this step.
	Evidence string
	// Old and New count the upstreams of the two versions that are ready.
	Old int
	New int
}

// Reasons that hold a move without any fault of the new version.
const (
	whyPaused = "paused by an operator"
	whyNoNew  = "no upstream of the new version is ready"
	whyNoOld  = "no upstream of the old version is left to take the calls"
)

// Next decides what becomes of a move: the state that follows, and whether it
// differs from s. It is a pure function, so two judges with the same findings
// decide the same, and with different ones the merge settles it.
//
// An ended move stays as it is. A pause halts steps and the end of the watch,
// never a withdrawal. A bad version is not taken back while no upstream of
// the old one is left, since that would send calls nowhere; Blocked says so.
func Next(p Plan, s State, f Findings, now time.Time) (State, bool) {
	if s.Ended() {
		return s, false
	}
	if f.Bad != "" && s.Step.Number > 0 {
		return withdraw(s, f, now)
	}
	if relapsed(s, f) {
		f.Bad = "comes back whenever the share is restored: " + f.Doubt
		return withdraw(s, f, now)
	}
	if eased, ok := ease(s, f, now); ok {
		return eased, true
	}
	if Blocked(p, s, f) != "" || recovering(p, s, now) {
		return s, false
	}
	if s.Step.Number >= len(p.Shares) && f.Old == 0 {
		s.Done = &Mark{AtMillis: now.UnixMilli(), Why: "all upstreams of the old version have left: " + f.Evidence}
		return s, true
	}
	if now.Before(p.NextDue(s)) && !early(p, s, f, now) {
		return s, false
	}
	switch {
	case s.Step.Number == 0:
		return advance(p, s, f, now), true
	case f.Doubt != "" && (f.Grave || now.Before(p.latest(s.Step.Number))):
		return expire(p, s, f, now)
	case !f.Enough && now.Before(p.patienceEnd(s)):
		return s, false
	case s.Step.Number >= len(p.Shares):
		return finish(s, f, now), true
	default:
		return advance(p, s, f, now), true
	}
}

// Blocked tells what other than evidence keeps a move from going on; empty
// where nothing does.
func Blocked(p Plan, s State, f Findings) string {
	switch {
	case f.Bad != "" && f.Old == 0:
		return f.Bad + ", but " + whyNoOld
	case s.Paused():
		return whyPaused
	case f.New == 0:
		return whyNoNew
	default:
		return ""
	}
}

// early tells that a step may be taken before its time.
func early(p Plan, s State, f Findings, now time.Time) bool {
	return p.Early && f.Enough && f.Doubt == "" &&
		s.Step.Number > 0 && s.Step.Number < len(p.Shares) &&
		!now.Before(s.Step.Mark.At().Add(p.shortestHold()))
}

// patienceEnd is until when a step waits for evidence that does not come: a
// part of its planned stay longer, but no later than the deadline allows.
func (p Plan) patienceEnd(s State) time.Time {
	due := p.NextDue(s)
	wait := time.Duration(float64(due.Sub(s.Step.Mark.At())) * p.Patience)
	if latest := p.latest(s.Step.Number); due.Add(wait).After(latest) {
		return later(due, latest)
	}
	return due.Add(wait)
}

// latest is the last time at which the step after taken steps still lets the
// move be done in time, each later step and the watch being cut short.
func (p Plan) latest(taken int) time.Time {
	after := len(p.Shares) - taken - 1
	if after < 0 {
		return p.doneBy()
	}
	return p.doneBy().Add(-p.Watch/2 - time.Duration(after)*p.shortestHold())
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func withdraw(s State, f Findings, now time.Time) (State, bool) {
	if f.Old == 0 {
		return s, false
	}
	s.Withdrawn = &Mark{AtMillis: now.UnixMilli(), Why: f.Bad}
	return s, true
}

// expire takes a move back whose deadline passes while evidence stands
// against it: it can be neither completed nor left half moved.
func expire(p Plan, s State, f Findings, now time.Time) (State, bool) {
	if now.Before(p.Rollout.Deadline) || f.Old == 0 || !f.Grave {
		return s, false
	}
	s.Withdrawn = &Mark{AtMillis: now.UnixMilli(), Why: "the deadline passed in doubt: " + f.Doubt}
	return s, true
}

func finish(s State, f Findings, now time.Time) State {
	s.Done = &Mark{AtMillis: now.UnixMilli(), Why: "watch over: " + f.Evidence}
	return s
}

func advance(p Plan, s State, f Findings, now time.Time) State {
	share := p.Shares[s.Step.Number]
	s.Step = Step{
		Number: s.Step.Number + 1,
		Share:  share,
		Mark:   Mark{AtMillis: now.UnixMilli(), Why: f.Evidence},
	}
	if s.Step.Number == 1 {
		s.Step.Mark.Why = fmt.Sprintf("first share of %g%%", share)
	}
	return s
}

// maxEases is how often a doubt may lower the share and go away by itself. A
// fault that shows above a load does just that, so the next time is proof.
const maxEases = 2

// recovering tells that the share is lowered or was so until lately. At the
// deadline a move need not wait for more than the share's being restored.
func recovering(p Plan, s State, now time.Time) bool {
	if s.Eased() || s.Ease.Pause.Orders == 0 {
		return s.Eased()
	}
	restored := s.Ease.Pause.Mark.At()
	return now.Before(restored.Add(maxEase)) && now.Before(p.Rollout.Deadline.Add(-minEase))
}

// relapsed tells that a doubt came back each time the share was restored.
func relapsed(s State, f Findings) bool {
	return f.Doubt != "" && !s.Eased() && s.Ease.Times >= maxEases &&
		s.Step.Share > easedShare && s.sameEpisode()
}

// episodeSteps is over how many steps doubts belong together.
const episodeSteps = 3

// sameEpisode tells that the share was lowered at this step or shortly before.
func (s State) sameEpisode() bool { return s.Ease.Step > s.Step.Number-episodeSteps }

// ease lowers a large share when a doubt comes up, and restores it when the
// old version has shown the same or had time to.
func ease(s State, f Findings, now time.Time) (State, bool) {
	doubt := f.Doubt != ""
	lowered := now.Sub(s.Ease.Pause.Mark.At())
	switch {
	case !s.Eased() && (!doubt || s.Step.Share <= easedShare):
		return s, false
	case s.Eased() && (lowered < minEase || !f.Explained && lowered < maxEase):
		return s, false
	}
	next := Ease{Pause: Pause{
		Orders: s.Ease.Pause.Orders + 1,
		Mark:   Mark{AtMillis: now.UnixMilli(), Why: f.Doubt},
	}}
	if !s.Eased() {
		next.Step, next.Times = s.Step.Number, 1
		if s.sameEpisode() {
			next.Times += s.Ease.Times
		}
		s.Ease = next
		return s, true
	}
	next.Step, next.Times = s.Ease.Step, s.Ease.Times
	if f.Explained {
		next.Times = 0
	}
	s.Ease = next
	return s, true
}
