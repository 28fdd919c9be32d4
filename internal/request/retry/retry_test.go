package retry

import (
	"testing"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/request/call"
)

func TestAgainOnlyWhereSafeAndNextToTheFailure(t *testing.T) {
	shed := call.Refuse(api.CallShed, nil)
	cut := call.Result{Code: api.CallCut, Ran: api.RanUnknown}
	busy := call.Result{Code: api.OK, Ran: api.RanYes, Status: 503}
	deeper := func(r call.Result) call.Result { r.NestedFailure = true; return r }
	sent := func(r call.Result) call.Result { r.HeaderSent = true; return r }
	fresh := CallState{Attempts: 1, BodyReplayable: true, HasTimeLeft: true}
	idempotent := CallState{Attempts: 1, BodyReplayable: true, HasTimeLeft: true, Idempotent: true}
	for _, tc := range []struct {
		name string
		res  call.Result
		s    CallState
		want bool
	}{
		{"not run", shed, fresh, true},
		{"cut, must run once", cut, fresh, false},
		{"cut, idempotent", cut, idempotent, true},
		{"shed by the upstream, must run once", busy, fresh, false},
		{"shed by the upstream, idempotent", busy, idempotent, true},
		{"from further down", deeper(busy), idempotent, false},
		{"refused further down", deeper(shed), idempotent, false},
		{"answer begun", sent(cut), idempotent, false},
		{"body gone", shed, CallState{Attempts: 1, HasTimeLeft: true}, false},
		{"no time", shed, CallState{Attempts: 1, BodyReplayable: true}, false},
		{"tried often enough", shed, CallState{Attempts: MaxAttempts, BodyReplayable: true, HasTimeLeft: true}, false},
		{"the caller's own fault", call.Refuse(api.CallBodyTooLarge, nil), idempotent, false},
		{"quarantined", call.Refuse(api.CallQuarantined, nil), idempotent, false},
		{"timed out", call.Result{Code: api.CallTimeout, Ran: api.RanUnknown}, idempotent, false},
	} {
		if _, got := ShouldRetry(tc.res, tc.s); got != tc.want {
			t.Errorf("%s: %v", tc.name, got)
		}
	}
}

func TestBudgetBoundsRetriesPerService(t *testing.T) {
	b := NewBudget()
	retries := 0
	for range 10_000 {
		b.Deposit("a", 5)
		if b.TryWithdraw("a", 1) {
			retries++
		}
	}
	if retries > 10_000*5/100+defaultBurst {
		t.Errorf("%d retries of 10000 calls at 5%%", retries)
	}
	if !b.TryWithdraw("b", 1) {
		t.Error("one service spent the budget of another")
	}
}
