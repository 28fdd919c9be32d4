package rollout

import (
	"math/rand/v2"
	"testing"
)

// randomState draws each field from few values, so that ties are common.
func randomState(r *rand.Rand) State {
	decision := func() Decision {
		return Decision{AtMillis: int64(r.IntN(3)), Reason: string(rune('a' + r.IntN(3))), Operator: string(rune('x' + r.IntN(2)))}
	}
	optionalDecision := func() *Decision {
		if r.IntN(3) > 0 {
			return nil
		}
		d := decision()
		return &d
	}
	return State{
		Service:     "status-desk",
		StartConfig: 7,
		Step:        Step{Number: r.IntN(4), Share: float64(r.IntN(3) * 10), Decision: decision()},
		Withdrawn:   optionalDecision(),
		Done:        optionalDecision(),
		Pause:       Toggle{Count: uint64(r.IntN(3)), Decision: decision()},
		Reduction: Reduction{
			Toggle: Toggle{Count: uint64(r.IntN(3)), Decision: decision()}, Step: r.IntN(2), Repeats: r.IntN(2),
		},
	}
}

func TestMergeIsCommutativeAssociativeAndIdempotent(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	for range 20_000 {
		a, b, c := randomState(r), randomState(r), randomState(r)
		if !Merge(a, b).Equal(Merge(b, a)) {
			t.Fatalf("not commutative: %+v %+v", a, b)
		}
		if !Merge(a, Merge(b, c)).Equal(Merge(Merge(a, b), c)) {
			t.Fatalf("not associative: %+v %+v %+v", a, b, c)
		}
		if !Merge(a, a).Equal(a) || !Merge(Merge(a, b), b).Equal(Merge(a, b)) {
			t.Fatalf("not idempotent: %+v %+v", a, b)
		}
	}
}

func TestMergeNeverUndoesWithdrawalOrStep(t *testing.T) {
	r := rand.New(rand.NewPCG(2, 2))
	for range 20_000 {
		a, b := randomState(r), randomState(r)
		m := Merge(a, b)
		if a.Withdrawn != nil && (m.Withdrawn == nil || m.Share() != 0) {
			t.Fatalf("withdrawal undone: %+v %+v", a, b)
		}
		if m.Step.Number < a.Step.Number || m.Pause.Count < a.Pause.Count {
			t.Fatalf("step or pause went back: %+v %+v", a, b)
		}
	}
}

func TestMergeOfSameStepTakesLowerShare(t *testing.T) {
	a := State{Step: Step{Number: 2, Share: 10}}
	b := State{Step: Step{Number: 2, Share: 20}}
	if got := Merge(a, b).Share(); got != 10 {
		t.Errorf("share %g", got)
	}
}

func TestReductionLowersOnlyLargeShares(t *testing.T) {
	for share, want := range map[float64]float64{5: 5, reducedShare: reducedShare, 98: reducedShare} {
		s := State{Step: Step{Number: 1, Share: share}, Reduction: Reduction{Toggle: Toggle{Count: 1}}}
		if got := s.Share(); got != want {
			t.Errorf("share %g reduced to %g, want %g", share, got, want)
		}
	}
}
