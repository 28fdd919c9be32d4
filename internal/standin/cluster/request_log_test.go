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

// observed sums the histogram counts of one hop at a host.
func observed(t *testing.T, h *Host, hop metrics.Hop) int {
	t.Helper()
	return scrape.RequestCount(t, h.OperatorBase(), Token, hop)
}

func TestHistogramTotalsOfBothHopsAreTheCallsSent(t *testing.T) {
	c := startService(t, 2, 1, upstream.Options{Service: "svc", Version: "v1", Slots: 10, Connections: 100}, mixed(2*time.Second))
	entry, before := observed(t, c.Hosts[0], metrics.Entry), observed(t, c.Hosts[1], metrics.Gate)
	const sent = 40
	for range sent {
		if e := request(caller(), http.MethodGet, c.Hosts[0].CallerBase()+"/look", 0); e.status != http.StatusOK {
			t.Fatalf("%+v", e)
		}
	}
	unrouted := request(caller(), http.MethodGet, c.Hosts[0].CallerBase()+"/nowhere", 0)
	if unrouted.status != http.StatusNotFound {
		t.Fatalf("%+v", unrouted)
	}
	if n := observed(t, c.Hosts[0], metrics.Entry) - entry; n != sent+1 {
		t.Errorf("entry: %d counted of %d", n, sent+1)
	}
	if n := observed(t, c.Hosts[1], metrics.Gate) - before; n != sent {
		t.Errorf("gate: %d counted of %d", n, sent)
	}
}

// lines is an output that several nodes write to.
type lines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// A call that an upstream's own failure ended is found in the log by the id
// that its caller gave or got.
func TestFailedCallIsFoundInTheLogByItsID(t *testing.T) {
	var out lines
	written := logs.New(io.Discard)
	defer written.Close()
	c := startServiceWith(t, 2, 1, upstream.Options{Service: "svc", Version: "v1", Slots: 10, Connections: 100}, mixed(2*time.Second),
		func(_ int, n *node.Node) { n.LogRequests(written) })
	old := slog.Default()
	defer slog.SetDefault(old)
	slog.SetDefault(slog.New(slog.NewJSONHandler(&out, nil)))
	c.Hosts[1].Upstream.Crash()
	for _, given := range []string{"the-callers-own", ""} {
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
			t.Fatalf("lines on %q: %v", id, found)
		}
		if attempts, _ := ended[logs.FieldAttempts].([]any); len(attempts) == 0 || !strings.Contains(attempts[0].(string), c.Hosts[1].Node.PeersAddress()) {
			t.Errorf("attempts: %v", ended[logs.FieldAttempts])
		}
		if gate[logs.FieldCode] == nil || gate[logs.FieldLoad] == nil {
			t.Errorf("at the gate: %v", gate)
		}
	}
}
