package cluster

import (
	"bytes"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/daisytide/daisytide/internal/logs"
	"github.com/daisytide/daisytide/internal/metrics"
	"github.com/daisytide/daisytide/internal/process/node"
	"github.com/daisytide/daisytide/internal/request/call"
	"github.com/daisytide/daisytide/internal/standin/scrape"
	"github.com/daisytide/daisytide/internal/standin/upstream"
)

// requestCount returns the number of requests in the histograms of one hop at a
// host.
func requestCount(t *testing.T, h *Host, hop metrics.Hop) int {
	t.Helper()
	return scrape.RequestCount(t, h.OperatorBase(), Token, hop)
}

func TestEntryAndGateHistogramsCountEveryCall(t *testing.T) {
	c := startService(t, 2, 1, upstream.Options{Service: "svc", Version: "v1", Slots: 10, Connections: 100}, mixedRoutes(2*time.Second))
	entryBefore, gateBefore := requestCount(t, c.Hosts[0], metrics.Entry), requestCount(t, c.Hosts[1], metrics.Gate)
	const sent = 40
	for range sent {
		if e := sendRequest(newClient(), http.MethodGet, c.Hosts[0].CallerBase()+"/look", 0); e.status != http.StatusOK {
			t.Fatalf("%+v", e)
		}
	}
	unrouted := sendRequest(newClient(), http.MethodGet, c.Hosts[0].CallerBase()+"/nowhere", 0)
	if unrouted.status != http.StatusNotFound {
		t.Fatalf("%+v", unrouted)
	}
	if n := requestCount(t, c.Hosts[0], metrics.Entry) - entryBefore; n != sent+1 {
		t.Errorf("entry: %d requests counted, want %d", n, sent+1)
	}
	if n := requestCount(t, c.Hosts[1], metrics.Gate) - gateBefore; n != sent {
		t.Errorf("gate: %d requests counted, want %d", n, sent)
	}
}

// lockedBuffer is a buffer that several nodes write to concurrently.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// A call that fails because its upstream is down must be logged, at the entry and
// at the gate, under the request id that the caller sent or was given.
func TestFailedCallIsLoggedUnderItsRequestID(t *testing.T) {
	var out lockedBuffer
	requestLog := logs.New(io.Discard)
	defer requestLog.Close()
	c := startServiceWith(t, 2, 1, upstream.Options{Service: "svc", Version: "v1", Slots: 10, Connections: 100}, mixedRoutes(2*time.Second),
		func(_ int, n *node.Node) { n.LogRequests(requestLog) })
	old := slog.Default()
	defer slog.SetDefault(old)
	slog.SetDefault(slog.New(slog.NewJSONHandler(&out, nil)))
	c.Hosts[1].Upstream.Crash()
	for _, given := range []string{"id-of-the-caller", ""} {
		r, err := http.NewRequest(http.MethodGet, c.Hosts[0].CallerBase()+"/look", nil)
		if err != nil {
			t.Fatal(err)
		}
		if given != "" {
			r.Header.Set(call.HeaderRequestID, given)
		}
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		id := resp.Header.Get(call.HeaderRequestID)
		if resp.StatusCode < http.StatusInternalServerError || id == "" || given != "" && id != given {
			t.Fatalf("status %d, id %q", resp.StatusCode, id)
		}
		found := map[string]map[string]any{}
		for line := range strings.Lines(out.String()) {
			var fields map[string]any
			if err := json.Unmarshal([]byte(line), &fields); err != nil {
				t.Fatal(err)
			}
			if fields[logs.FieldRequest] == id {
				found[fields["msg"].(string)] = fields
			}
		}
		gate, ended := found[logs.MessageRequestAtGate], found[logs.MessageRequestEnded]
		if gate == nil || ended == nil {
			t.Fatalf("log lines of request %q: %v", id, found)
		}
		if attempts, _ := ended[logs.FieldAttempts].([]any); len(attempts) == 0 || !strings.Contains(attempts[0].(string), c.Hosts[1].Node.PeersAddress()) {
			t.Errorf("attempts: %v", ended[logs.FieldAttempts])
		}
		if gate[logs.FieldCode] == nil || gate[logs.FieldLoad] == nil {
			t.Errorf("gate line: %v", gate)
		}
	}
}
