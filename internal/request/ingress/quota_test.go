package ingress

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/request/hop"
	"github.com/daisytide/daisytide/internal/version/traffic"
)

// countingLimiter admits the given number of requests.
type countingLimiter struct {
	left, taken, returned int
}

func (l *countingLimiter) Take(_ context.Context, _ *traffic.Account, _ time.Time) (bool, time.Duration) {
	l.taken++
	l.left--
	return l.left >= 0, 3 * time.Second
}

func (l *countingLimiter) Return(*traffic.Account, time.Time) { l.returned++ }

// Guards against a request that runs beyond the quota, one that costs more than its
// one token whatever its attempts are, one that did not run and still costs one, and a
// retry delay that is shortened to the request's own time limit.
func TestRequestsTakeFromTheQuotaOnce(t *testing.T) {
	path := routes().Routes[0].Prefix + "1"
	failed := answered(http.StatusInternalServerError)
	for _, tc := range []struct {
		name            string
		rate            float64
		left            int
		plan            []hop.Result
		status          int
		taken, returned int
		attempts        int
	}{
		{"admitted", 5, 1, []hop.Result{answered(http.StatusOK)}, http.StatusOK, 1, 0, 1},
		{"admitted, two attempts", 5, 1, []hop.Result{failed, answered(http.StatusOK)}, http.StatusOK, 1, 0, 2},
		{"refused", 5, 0, nil, http.StatusTooManyRequests, 1, 0, 0},
		{"did not run", 5, 1, []hop.Result{shed, shed, shed}, http.StatusServiceUnavailable, 1, 1, 3},
		{"may have run", 5, 1, []hop.Result{{Code: api.CallCut, Ran: api.RanUnknown}, shed, shed}, http.StatusBadGateway, 1, 0, 3},
		{"no limit", 0, 0, []hop.Result{answered(http.StatusOK)}, http.StatusOK, 0, 0, 1},
	} {
		r := newHarness(t, 2, tc.plan...)
		c := routes()
		c.RequireKey = true
		c.Accounts = []traffic.Account{{Name: "acme", Keys: []traffic.KeyDigest{traffic.DigestOf("k")}, Rate: tc.rate}}
		r.ingress.Holder.StoreIfNewer(snapshotOf(t, 2, c))
		limiter := &countingLimiter{left: tc.left}
		r.ingress.Limiter = limiter
		resp := r.get(path, "Key", "k")
		if resp.Status != tc.status || limiter.taken != tc.taken || limiter.returned != tc.returned || r.sent != tc.attempts {
			t.Errorf("%s: status %d, taken %d, returned %d, %d attempts, want %d, %d, %d, %d", tc.name,
				resp.Status, limiter.taken, limiter.returned, r.sent, tc.status, tc.taken, tc.returned, tc.attempts)
		}
		if tc.status == http.StatusTooManyRequests && resp.Header.Get("Back") != "3000" {
			t.Errorf("%s: retry delay %q ms, want 3000", tc.name, resp.Header.Get("Back"))
		}
	}
}
