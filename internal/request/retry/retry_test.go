package retry

import (
	"testing"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/request/call"
)

func TestRetryOnlyIfSafeAndNextToTheFailure(t *testing.T) {
	shed := call.Refuse(api.CallShed, nil)
	cut := call.Result{Code: api.CallCut, Ran: api.RanUnknown}
	busy := call.Result{Code: api.OK, Ran: api.RanYes, Status: 503}
	nested := func(r call.Result) call.Result { r.NestedFailure = true; return r }
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
		{"connection cut, not idempotent", cut, fresh, false},
		{"connection cut, idempotent", cut, idempotent, true},
		{"shed by the upstream, not idempotent", busy, fresh, false},
		{"shed by the upstream, idempotent", busy, idempotent, true},
		{"shed by the upstream because of a nested failure", nested(busy), idempotent, false},
		{"refused because of a nested failure", nested(shed), idempotent, false},
		{"response header sent", sent(cut), idempotent, false},
		{"body not replayable", shed, CallState{Attempts: 1, HasTimeLeft: true}, false},
		{"no time left", shed, CallState{Attempts: 1, BodyReplayable: true}, false},
		{"maximum attempts made", shed, CallState{Attempts: MaxAttempts, BodyReplayable: true, HasTimeLeft: true}, false},
		{"caller error", call.Refuse(api.CallBodyTooLarge, nil), idempotent, false},
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
		t.Error("one service used up the budget of another")
	}
}
