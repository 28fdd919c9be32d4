package rollout

import (
	"testing"
	"time"

	"github.com/daisytide/daisytide/internal/version/document"
)

var t0 = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func rolloutOf(length time.Duration) document.Rollout {
	return document.Rollout{Service: "s", From: "v1", To: "v2", Start: t0, Deadline: t0.Add(length), FirstShare: 1}
}

var healthy = Findings{EnoughSamples: true, OldReady: 3, NewReady: 3, Summary: "new 0 of 9 calls failed"}

// simulate runs a rollout until it ends or limit has passed since its deadline,
// with a tick of 100 ms, or of 1 second for rollouts of hours.
func simulate(p Plan, limit time.Duration, findings func(s State, now time.Time) Findings) (State, time.Time) {
	s := State{Service: "s", StartConfig: 1}
	now := p.Rollout.Start.Add(-time.Second)
	tick := 100 * time.Millisecond
	if p.Rollout.Deadline.Sub(p.Rollout.Start) >= time.Hour {
		tick = time.Second
	}
	for end := p.Rollout.Deadline.Add(limit); now.Before(end) && !s.Ended(); now = now.Add(tick) {
		s, _ = Next(p, s, findings(s, now), now)
	}
	return s, now
}

func TestGoodRolloutOfAnyLengthIsDoneByDeadline(t *testing.T) {
	for _, caution := range []document.Caution{"", document.CautionSwift, document.CautionNormal, document.CautionHigh} {
		for _, length := range []time.Duration{10 * time.Second, time.Minute, time.Hour, 24 * time.Hour} {
			for _, steps := range [][]float64{nil, {100}, {5, 25, 50, 100}} {
				for _, enough := range []bool{true, false} {
					r := rolloutOf(length)
					r.Caution, r.Steps = caution, steps
					f := healthy
					f.EnoughSamples = enough
					s, at := simulate(NewPlan(r), 0, func(State, time.Time) Findings { return f })
					if s.Done == nil {
						t.Errorf("%s %s steps %v enough %v: not done, step %d at %s", caution, length, steps, enough, s.Step.Number, at.Sub(t0))
					}
				}
			}
		}
	}
}

func TestNoStepBeforeStart(t *testing.T) {
	p := NewPlan(rolloutOf(time.Minute))
	if _, ok := Next(p, State{}, healthy, t0.Add(-time.Millisecond)); ok {
		t.Error("step taken before the start")
	}
	if s, ok := Next(p, State{}, healthy, t0); !ok || s.Share() != 1 {
		t.Errorf("first share %g", s.Share())
	}
}

func TestShareIncreasesAreBounded(t *testing.T) {
	got := NewPlan(rolloutOf(time.Hour)).Shares
	for i := 1; i < len(got); i++ {
		if rise := got[i] - got[i-1]; rise <= 0 || rise > maxStepIncrease {
			t.Errorf("step %d rises from %g to %g", i, got[i-1], got[i])
		}
	}
	if last := got[len(got)-1]; last != fullShare-controlShare {
		t.Errorf("last share %g", last)
	}
}

func TestBadVersionIsWithdrawnOnceAtAnyStep(t *testing.T) {
	p := NewPlan(rolloutOf(time.Minute))
	for step := 1; step <= len(p.Shares); step++ {
		s := State{Step: Step{Number: step, Share: p.Shares[step-1], Decision: Decision{AtMillis: t0.UnixMilli()}}}
		s, ok := Next(p, s, Findings{Regression: "failures", OldReady: 1, NewReady: 1}, t0)
		if !ok || s.Withdrawn == nil || s.Share() != 0 {
			t.Errorf("step %d: %+v", step, s)
		}
		if _, again := Next(p, s, healthy, t0.Add(time.Hour)); again {
			t.Errorf("step %d: changed after its end", step)
		}
	}
}

func TestPausedRolloutHoldsButCanBeWithdrawn(t *testing.T) {
	p := NewPlan(rolloutOf(time.Minute))
	s := State{Step: Step{Number: 2, Share: 2, Decision: Decision{AtMillis: t0.UnixMilli()}}, Pause: Toggle{Count: 1}}
	if _, ok := Next(p, s, healthy, t0.Add(time.Hour)); ok {
		t.Error("a paused rollout took a step")
	}
	if s, _ := Next(p, s, Findings{Regression: "failures", OldReady: 1, NewReady: 1}, t0); s.Withdrawn == nil {
		t.Error("a paused rollout of a bad version was not withdrawn")
	}
}

func TestDelayedRolloutCatchesUpByDeadline(t *testing.T) {
	p := NewPlan(rolloutOf(10 * time.Minute))
	noNewUpstreamAtFirst := func(s State, now time.Time) Findings {
		f := healthy
		if now.Before(t0.Add(4 * time.Minute)) {
			f.NewReady = 0
		}
		return f
	}
	if s, at := simulate(p, 0, noNewUpstreamAtFirst); s.Done == nil {
		t.Errorf("not done at %s: step %d", at.Sub(t0), s.Step.Number)
	}
}

func TestStrongWarningHoldsRolloutAndWithdrawsItAtDeadline(t *testing.T) {
	p := NewPlan(rolloutOf(time.Minute))
	s, at := simulate(p, time.Minute, func(s State, now time.Time) Findings {
		f := healthy
		if s.Step.Number == 3 {
			f.Warning, f.StrongWarning = "failures on status", true
		}
		return f
	})
	if s.Withdrawn == nil || s.Step.Number != 3 || at.Before(p.Rollout.Deadline) {
		t.Errorf("%+v at %s", s, at.Sub(t0))
	}
}

func TestWarningDelaysStepButNotPastDeadline(t *testing.T) {
	p := NewPlan(rolloutOf(time.Minute))
	s, at := simulate(p, 0, func(s State, now time.Time) Findings {
		f := healthy
		if s.Step.Number == 3 {
			f.Warning = "failures on status"
		}
		return f
	})
	if s.Done == nil {
		t.Errorf("not done at %s: step %d", at.Sub(t0), s.Step.Number)
	}
}

func TestWarningThatRecursWithShareIsProof(t *testing.T) {
	p := NewPlan(rolloutOf(10 * time.Minute))
	aboveLoad := func(baselineDegraded bool) func(State, time.Time) Findings {
		return func(s State, now time.Time) Findings {
			f := healthy
			f.BaselineDegraded = baselineDegraded
			if s.Share() > 40 {
				f.Warning = "failures on status"
			}
			return f
		}
	}
	if s, _ := simulate(p, 0, aboveLoad(false)); s.Withdrawn == nil {
		t.Errorf("a fault above a load was not withdrawn: %+v", s)
	}
	if s, _ := simulate(p, 0, aboveLoad(true)); s.Withdrawn != nil {
		t.Errorf("withdrawn although the old version degraded, too: %+v", s)
	}
}

func TestVersionWithoutUpstreamsGetsNoCalls(t *testing.T) {
	p := NewPlan(rolloutOf(time.Minute))
	s := State{Step: Step{Number: 2, Share: 2, Decision: Decision{AtMillis: t0.UnixMilli()}}}
	noOldUpstream := Findings{Regression: "failures", OldReady: 0, NewReady: 1}
	if after, _ := Next(p, s, noOldUpstream, t0.Add(time.Hour)); after.Ended() {
		t.Error("withdrawn although no upstream of the old version is left")
	}
	if BlockedReason(p, s, noOldUpstream) == "" {
		t.Error("no blocked reason although no upstream of the old version is left")
	}
	if after, ok := Next(p, State{}, Findings{OldReady: 1}, t0.Add(time.Second)); ok {
		t.Errorf("started without an upstream of the new version: %+v", after)
	}
}

func TestWatchEndsWhenOldUpstreamsLeave(t *testing.T) {
	p := NewPlan(rolloutOf(time.Hour))
	last := len(p.Shares)
	s := State{Step: Step{Number: last, Share: p.Shares[last-1], Decision: Decision{AtMillis: t0.UnixMilli()}}}
	if after, _ := Next(p, s, healthy, t0.Add(time.Second)); after.Done != nil {
		t.Error("done before the end of the watch time")
	}
	if after, _ := Next(p, s, Findings{EnoughSamples: true, NewReady: 3}, t0.Add(time.Second)); after.Done == nil {
		t.Error("not done although the old upstreams have left")
	}
}

func TestClockSkewTakesOneStepAtATimeAndMeetsDeadline(t *testing.T) {
	const clockSkew = 200 * time.Millisecond
	p := NewPlan(rolloutOf(time.Minute))
	a, b := State{Service: "s"}, State{Service: "s"}
	for now := t0.Add(-time.Second); now.Before(p.Rollout.Deadline); now = now.Add(100 * time.Millisecond) {
		before := a
		a, _ = Next(p, a, healthy, now)
		b, _ = Next(p, b, healthy, now.Add(clockSkew))
		a = Merge(a, b)
		b = a
		if a.Step.Number > before.Step.Number+1 {
			t.Fatalf("two steps taken at once at %s", now.Sub(t0))
		}
	}
	if a.Done == nil {
		t.Errorf("not done: step %d", a.Step.Number)
	}
}
