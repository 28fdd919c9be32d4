package ingress

import (
	"fmt"
	"testing"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/request/balancer"
	"github.com/daisytide/daisytide/internal/request/hop"
	"github.com/daisytide/daisytide/internal/request/retry"
)

// outcomes are the ends that one attempt can have.
var attemptResults = map[string]hop.Result{
	"answered": answered(200), "failed": answered(500), "cut": cutConnection, "shed": shed, "refused by the upstream": upstreamRefused,
	"timed out":   {Code: api.CallTimeout, Ran: api.RanUnknown},
	"not reached": hop.Refuse(api.CallNotReached, time.Millisecond, nil),
	"leaving":     hop.Refuse(api.CallLeaving, time.Millisecond, nil),
	"no time":     hop.Refuse(api.CallNoTime, 0, nil),
}

// Every sequence of three ends of attempts, for requests that may and that must
// not run again, is walked. What must hold is stated over the attempts made, not
// by the entry's own rules.
func TestPromisesHoldOverEverySequenceOfAttempts(t *testing.T) {
	const upstreams = 2
	// A request is offered to maxPlaces nodes, and after a run that failed or
	// was cut to one more for each further upstream that it may reach.
	const most = maxNodes + upstreams - 1
	walked := 0
	// The time limit is no part of what is walked: a slow machine must not meet it.
	c := routes()
	for i := range c.Routes {
		c.Routes[i].TimeLimit, c.Routes[i].Objective = time.Minute, time.Minute
	}
	r := newHarness(t, most)
	r.ingress.Holder.StoreIfNewer(snapshotOf(t, 2, c))
	for _, path := range []string{"/once/1", "/read/1"} {
		for a, first := range attemptResults {
			for b, second := range attemptResults {
				for c, third := range attemptResults {
					plan := []hop.Result{first, second, third}
					r.results, r.sent = plan, 0
					r.ingress.Picker = &balancer.Picker{Self: "self", DataCentre: "a"}
					r.ingress.Budget = retry.NewBudgetWithBurst(func() float64 { return 10 })
					resp := r.get(path)
					name := fmt.Sprintf("%s: %s, %s, %s", path, a, b, c)
					if r.sent < 1 || r.sent > most {
						t.Fatalf("%s: %d attempts", name, r.sent)
					}
					// The rig refuses what comes after the plan.
					made := append(plan, shed)[:r.sent]
					checkGuarantees(t, name, path == "/once/1", made, resp.Status, upstreams)
					walked++
				}
			}
		}
	}
	if walked != 2*9*9*9 {
		t.Errorf("%d sequences", walked)
	}
}

func checkGuarantees(t *testing.T, name string, once bool, made []hop.Result, status, upstreams int) {
	t.Helper()
	mayHaveRun, arrivals := 0, 0
	failed := false
	for i, res := range made {
		if res.Ran != api.RanNo {
			mayHaveRun++
			if once && i < len(made)-1 {
				t.Errorf("%s: sent again after attempt %d, which may have run", name, i+1)
			}
		}
		if res.Ran != api.RanNo || res.UpstreamRefused {
			arrivals++
		}
		failed = failed || res.Code == api.OK && res.Answer.Status == 500
	}
	last := made[len(made)-1]
	switch {
	case arrivals > upstreams:
		t.Errorf("%s: %d upstreams reached", name, arrivals)
	case status == 503 && mayHaveRun > 0:
		t.Errorf("%s: called not run, and may have", name)
	case status == 200 && (last.Code != api.OK || last.Answer.Status != 200):
		t.Errorf("%s: a success that no upstream gave", name)
	case status == 500 && !failed:
		t.Errorf("%s: a failure that no upstream gave", name)
	case status != 200 && last.Code == api.OK && last.Answer.Status == 200:
		t.Errorf("%s: %d in place of the upstream's answer", name, status)
	case status != 200 && status != 500 && status != 502 && status != 503 && status != 504:
		t.Errorf("%s: status %d", name, status)
	}
}
