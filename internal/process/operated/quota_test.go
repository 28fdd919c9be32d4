package operated_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/daisytide/daisytide/internal/standin/store"
	"github.com/daisytide/daisytide/platform"
)

// writeAccounts writes a configuration with a limited account and one without limit.
func writeAccounts(t testing.TB, s *store.Store) {
	t.Helper()
	value := `{"version":"00000001","routes":{
"near":{"host":"a.example","path_prefix":"/near/","route_type":"non_idempotent","timeout_s":2,"target_latency_s":1,"priority":1,"service":"near","max_attempts":2}},
"services":{"near":{"max_connections":20}},
"tenants":{"small":{"api_keys":["key-of-small"],"priority":1,"rate_per_s":20,"burst":10},"free":{"api_keys":["key-of-free"],"priority":1}},
"limits":{"max_header_bytes":16384,"max_body_bytes":1000000,"header_timeout_s":3,"idle_timeout_s":15}}`
	if _, err := s.CompareAndSwap(context.Background(), platform.KeyConfig, 0, []byte(value), ""); err != nil {
		t.Fatal(err)
	}
}

// sendAs sends a request with a key and returns its status and retry delay.
func sendAs(key, url string) (status int, retryAfter float64) {
	r, err := http.NewRequest(http.MethodGet, url, http.NoBody)
	if err != nil {
		return 0, 0
	}
	r.Host = "a.example"
	r.Header.Set(platform.HeaderRequestID, strconv.FormatInt(requestCount.Add(1), 16))
	r.Header.Set(platform.HeaderDeadlineMillis, "2000")
	r.Header.Set("Authorization", "Token "+key)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	retryAfter, _ = strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return resp.StatusCode, retryAfter
}

// Guards against nodes that each allow an account's whole quota, against a limit that
// refuses what is within it, and against limits on accounts that have none.
func TestQuotaHoldsOverAllNodes(t *testing.T) {
	s := store.New(1)
	writeAccounts(t, s)
	var hosts []*host
	for i := range 3 {
		hosts = append(hosts, startHost(t, s, "near", fmt.Sprint("n", i)))
	}
	for _, h := range hosts {
		waitFor(t, "the node to admit the account", func() bool {
			status, _ := sendAs("key-of-small", h.url("/near/1"))
			return status == http.StatusOK
		})
	}
	// Until here a few requests ran, which the bound has to allow for as well.
	const seconds, bound = 4, (20*5+10)*1.1 + 20
	var ran, refused, retryMicros atomic.Int64
	var callers sync.WaitGroup
	began := time.Now()
	for _, h := range hosts {
		callers.Go(func() {
			for time.Since(began) < seconds*time.Second {
				switch status, retryAfter := sendAs("key-of-small", h.url("/near/1")); status {
				case http.StatusOK:
					ran.Add(1)
				case http.StatusTooManyRequests:
					refused.Add(1)
					retryMicros.Add(int64(retryAfter * 1e6))
				default:
					t.Errorf("status %d", status)
				}
				time.Sleep(2 * time.Millisecond)
			}
		})
	}
	callers.Wait()
	if n := ran.Load(); n > bound || n < seconds*20*6/10 {
		t.Errorf("%d requests ran in %d s, want at most %.0f and about %d", n, seconds, bound, seconds*20)
	}
	if refused.Load() == 0 || retryMicros.Load()/refused.Load() < 50_000 {
		t.Errorf("%d refused, with a mean retry delay of %d us", refused.Load(), retryMicros.Load()/max(1, refused.Load()))
	}
	for range 100 {
		if status, _ := sendAs("key-of-free", hosts[0].url("/near/1")); status != http.StatusOK {
			t.Errorf("account without a limit: status %d", status)
		}
	}
}
