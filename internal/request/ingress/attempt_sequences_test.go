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

// attemptResults are the possible results of one attempt.
var attemptResults = map[string]hop.Result{
	"answered": answered(200), "failed": answered(500), "cut": cutConnection, "shed": shed, "refused by the upstream": upstreamRefused,
	"timed out":   {Code: api.CallTimeout, Ran: api.RanUnknown},
	"not reached": hop.Refuse(api.CallNotReached, time.Millisecond, nil),
	"leaving":     hop.Refuse(api.CallLeaving, time.Millisecond, nil),
	"no time":     hop.Refuse(api.CallNoTime, 0, nil),
}

// Runs every sequence of three attempt results, for requests that may and that
// must not run again. The guarantees are checked on the attempts made,
// independently of the ingress's own rules.
func TestGuaranteesHoldForEverySequenceOfAttempts(t *testing.T) {
	const upstreams = 2
	// A request goes to at most maxNodes nodes that refuse it, and after a run
	// that failed or was cut off to one more for each further upstream that it
	// may reach.
	const maxAttempts = maxNodes + upstreams - 1
	sequences := 0
	// The time limit is not under test, so a slow machine must not reach it.
	c := routes()
	for i := range c.Routes {
		c.Routes[i].TimeLimit, c.Routes[i].Objective = time.Minute, time.Minute
	}
	r := newHarness(t, maxAttempts)
	r.ingress.Holder.StoreIfNewer(snapshotOf(t, 2, c))
	for _, path := range []string{"/once/1", "/read/1"} {
		for a, first := range attemptResults {
			for b, second := range attemptResults {
				for c, third := range attemptResults {
					results := []hop.Result{first, second, third}
					r.results, r.sent = results, 0
					r.ingress.Picker = &balancer.Picker{Self: "self", DataCentre: "a"}
					r.ingress.Budget = retry.NewBudgetWithBurst(func() float64 { return 10 })
					resp := r.get(path)
					name := fmt.Sprintf("%s: %s, %s, %s", path, a, b, c)
					if r.sent < 1 || r.sent > maxAttempts {
						t.Fatalf("%s: %d attempts", name, r.sent)
					}
					// The harness refuses attempts beyond the planned results.
					attempts := append(results, shed)[:r.sent]
					checkGuarantees(t, name, path == "/once/1", attempts, resp.Status, upstreams)
					sequences++
				}
			}
		}
	}
	if sequences != 2*9*9*9 {
		t.Errorf("%d sequences", sequences)
	}
}

func checkGuarantees(t *testing.T, name string, once bool, attempts []hop.Result, status, upstreams int) {
	t.Helper()
	mayHaveRun, arrivals := 0, 0
	failed := false
	for i, res := range attempts {
		if res.Ran != api.RanNo {
			mayHaveRun++
			if once && i < len(attempts)-1 {
				t.Errorf("%s: retried after attempt %d, which may have run", name, i+1)
			}
		}
		if res.Ran != api.RanNo || res.UpstreamRefused {
			arrivals++
		}
		failed = failed || res.Code == api.OK && res.Response.Status == 500
	}
	last := attempts[len(attempts)-1]
	switch {
	case arrivals > upstreams:
		t.Errorf("%s: %d upstreams reached", name, arrivals)
	case status == 503 && mayHaveRun > 0:
		t.Errorf("%s: reported as not run, but may have run", name)
	case status == 200 && (last.Code != api.OK || last.Response.Status != 200):
		t.Errorf("%s: success without a successful attempt", name)
	case status == 500 && !failed:
		t.Errorf("%s: status 500 without a failed attempt", name)
	case status != 200 && last.Code == api.OK && last.Response.Status == 200:
		t.Errorf("%s: status %d in place of the upstream's response", name, status)
	case status != 200 && status != 500 && status != 502 && status != 503 && status != 504:
		t.Errorf("%s: unexpected status %d", name, status)
	}
}
