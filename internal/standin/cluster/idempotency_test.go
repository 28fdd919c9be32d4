package cluster

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/process/operator/client"
	"github.com/daisytide/daisytide/internal/request/call"
	"github.com/daisytide/daisytide/internal/request/idempotency"
	"github.com/daisytide/daisytide/internal/standin/store"
	"github.com/daisytide/daisytide/internal/standin/upstream"
)

const ledgerDocument = `{"services":[{"name":"credit-ledger","versions":["v1"],"current":"v1"}],
"routes":[{"name":"credit","match":{"prefix":"/credit"},"service":"credit-ledger","idempotent":false,"time_limit":"5s","caller":"clerk"},
{"name":"balance","match":{"prefix":"/balance"},"service":"credit-ledger","idempotent":true,"time_limit":"5s","caller":"buyer"}]}`

// startLedgerCluster starts hosts with an upstream of credit-ledger beside each
// and waits until every gate accepts calls with idempotency keys.
func startLedgerCluster(t testing.TB, hosts int) *Cluster {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	c, err := Start(t.Context(), Config{Nodes: hosts, DataCentres: 2, Seed: 1, Upstream: func(int) upstream.Options {
		return upstream.Options{Service: "credit-ledger", Version: "v1", Slots: 8, Connections: 16, WorkTime: 2 * time.Millisecond}
	}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Stop)
	if err := c.AwaitMembers(ctx); err != nil {
		t.Fatal(err)
	}
	operator := client.Client{BaseURL: c.Hosts[0].OperatorBase(), Token: Token, Operator: "test", HTTP: http.DefaultClient}
	out, err := operator.Apply(ctx, []byte(ledgerDocument), 0)
	if err != nil || out.Outcome != api.ApplyAccepted {
		t.Fatalf("apply: %v %+v", err, out)
	}
	if err := c.AwaitConfig(ctx, out.Number); err != nil {
		t.Fatal(err)
	}
	for _, h := range c.Hosts {
		for !h.Node.KeysReady("credit-ledger") {
			if ctx.Err() != nil {
				t.Fatal("not every gate is ready for calls with idempotency keys")
			}
			time.Sleep(pollInterval)
		}
	}
	return c
}

type reply struct {
	status int
	code   api.Code
	saved  bool
	body   string
}

// sendKeyed sends one request with an idempotency key; attempt 0 omits the attempt
// number.
func sendKeyed(t testing.TB, h *Host, path, key string, attempt int, body string) reply {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, h.CallerBase()+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(call.HeaderIdempotencyKey, key)
	req.GetBody = nil
	if attempt > 0 {
		req.Header.Set(call.HeaderAttempt, strconv.Itoa(attempt))
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	code, _ := strconv.Atoi(resp.Header.Get(call.HeaderCode))
	return reply{resp.StatusCode, api.Code(code), resp.Header.Get(idempotency.HeaderSaved) == "1", string(b)}
}

func totalRuns(c *Cluster, key string) int {
	n := 0
	for _, h := range c.Hosts {
		n += h.Upstream.RunsByKey()[key]
	}
	return n
}

func TestKeyedCallRunsOnceThroughEveryEntry(t *testing.T) {
	c := startLedgerCluster(t, 4)
	// Each function returns the attempt number that attempt i+2 is sent with, from
	// i = -1 for the first attempt; 0 sends none.
	for key, attemptNumber := range map[string]func(i int) int{
		"numbered":    func(i int) int { return i + 2 },
		"unnumbered":  func(int) int { return 0 },
		"always 1":    func(int) int { return 1 },
		"number lost": func(i int) int { return -min(i, 0) },
	} {
		first := sendKeyed(t, c.Hosts[0], "/credit/7", key, attemptNumber(-1), "20 TTD")
		if first.status != http.StatusOK || first.saved {
			t.Fatalf("%s: first attempt: %+v", key, first)
		}
		for i, h := range c.Hosts {
			retry := sendKeyed(t, h, "/credit/7", key, attemptNumber(i), "20 TTD")
			if retry.status != http.StatusOK || !retry.saved || retry.body != first.body {
				t.Errorf("%s: attempt %d: %+v, want the saved response %q", key, i+2, retry, first.body)
			}
		}
		if conflict := sendKeyed(t, c.Hosts[1], "/credit/8", key, attemptNumber(9), "20 TTD"); conflict.code != api.CallKeyClash {
			t.Errorf("%s: another request with the key: %+v", key, conflict)
		}
		if n := totalRuns(c, key); n != 1 {
			t.Errorf("%s: ran %d times", key, n)
		}
	}
}

func TestRetryBeforeItsFirstAttemptFencesTheFirst(t *testing.T) {
	c := startLedgerCluster(t, 3)
	if r := sendKeyed(t, c.Hosts[1], "/credit/7", "k2", 2, "x"); r.status != http.StatusOK || r.saved {
		t.Fatalf("second attempt: %+v", r)
	}
	for range 8 {
		late := sendKeyed(t, c.Hosts[2], "/credit/7", "k2", 1, "x")
		if late.code != api.CallFenced && !late.saved {
			t.Errorf("late first attempt: %+v", late)
		}
	}
	sendKeyed(t, c.Hosts[0], "/credit/7", "k2", 0, "x")
	if r := sendKeyed(t, c.Hosts[1], "/credit/7", "k2", 0, "x"); !r.saved {
		t.Errorf("second attempt without a number: %+v", r)
	}
	if n := totalRuns(c, "k2"); n != 1 {
		t.Errorf("k2 ran %d times", n)
	}
}

func TestStoreOutageAllowsFirstAttemptsAndBlocksUnknownRepeats(t *testing.T) {
	c := startLedgerCluster(t, 3)
	c.Store.SetFaults(store.Faults{Down: true})
	first := sendKeyed(t, c.Hosts[0], "/credit/7", "k3", 1, "x")
	if first.status != http.StatusOK {
		t.Fatalf("first attempt: %+v", first)
	}
	if retry := sendKeyed(t, c.Hosts[1], "/credit/7", "k3", 2, "x"); !retry.saved || retry.body != first.body {
		t.Errorf("retry of an answered call: %+v", retry)
	}
	if r := sendKeyed(t, c.Hosts[1], "/credit/7", "k4", 2, "x"); r.code != api.CallOutcomeUnknown {
		t.Errorf("retry of a call unknown to every gate: %+v", r)
	}
	unnumbered := sendKeyed(t, c.Hosts[2], "/credit/7", "k5", 0, "x")
	if retry := sendKeyed(t, c.Hosts[1], "/credit/7", "k5", 0, "x"); unnumbered.status != http.StatusOK || !retry.saved {
		t.Errorf("a call without attempt numbers and its retry: %+v, %+v", unnumbered, retry)
	}
	if n := totalRuns(c, "k3") + totalRuns(c, "k4") + totalRuns(c, "k5"); n != 2 {
		t.Errorf("%d runs, want 2", n)
	}
}

func TestRetryAfterCallerTimeoutReturnsTheSavedResponse(t *testing.T) {
	c := startLedgerCluster(t, 3)
	for _, h := range c.Hosts {
		h.Upstream.SetFaults(upstream.Fault{Prefix: "/credit/slow", SlowFactor: 500})
	}
	ctx, giveUp := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.Hosts[0].CallerBase()+"/credit/slow", strings.NewReader("x"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(call.HeaderIdempotencyKey, "gone")
	req.Header.Set(call.HeaderAttempt, "1")
	ended := make(chan error)
	go func() {
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			resp.Body.Close()
		}
		ended <- err
	}()
	for totalRuns(c, "gone") == 0 {
		time.Sleep(pollInterval)
	}
	giveUp()
	if err := <-ended; err == nil {
		t.Fatal("the call ended before the caller gave up")
	}
	r := reply{code: api.CallStillRunning}
	for n := 2; r.code == api.CallStillRunning; n++ {
		r = sendKeyed(t, c.Hosts[n%3], "/credit/slow", "gone", n, "x")
	}
	if !r.saved || totalRuns(c, "gone") != 1 {
		t.Errorf("retry: %+v after %d runs, want a saved response after 1", r, totalRuns(c, "gone"))
	}
}

func TestPlannedStopHandsOverIdempotencyRecords(t *testing.T) {
	c := startLedgerCluster(t, 4)
	for i := range 8 {
		if r := sendKeyed(t, c.Hosts[i%4], "/credit/7", "stop"+strconv.Itoa(i), i%2, "x"); r.status != http.StatusOK {
			t.Fatalf("first attempt: %+v", r)
		}
	}
	if err := c.Hosts[3].Stop(); err != nil {
		t.Fatal(err)
	}
	c.Hosts = c.Hosts[:3]
	for i := range 8 {
		r := sendKeyed(t, c.Hosts[i%3], "/credit/7", "stop"+strconv.Itoa(i), 2*(i%2), "x")
		if !r.saved {
			t.Errorf("retry of a call after the stop: %+v", r)
		}
	}
	if r := sendKeyed(t, c.Hosts[0], "/credit/7", "fresh", 2, "x"); r.status != http.StatusOK || r.saved {
		t.Errorf("second attempt of a call unknown to every gate: %+v", r)
	}
}

// BenchmarkCallWithKey measures a call through entry and gate without an
// idempotency key, and with one, for which the entry asks the key's owner first.
func BenchmarkCallWithKey(b *testing.B) {
	c := startLedgerCluster(b, 4)
	for _, h := range c.Hosts {
		h.Upstream.SetFaults(upstream.Fault{SlowFactor: 1e-9})
	}
	for name, key := range map[string]string{"without": "", "with": "key-"} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				k := key
				if key != "" {
					k += strconv.Itoa(b.N) + "-" + strconv.Itoa(i)
				}
				if r := sendKeyed(b, c.Hosts[i%4], "/credit/7", k, 1, "x"); r.status != http.StatusOK || r.saved {
					b.Fatalf("%+v", r)
				}
			}
		})
	}
}
