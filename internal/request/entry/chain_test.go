package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/dial"
	"github.com/daisytide/daisytide/internal/process/membership"
	"github.com/daisytide/daisytide/internal/request/balancer"
	"github.com/daisytide/daisytide/internal/request/call"
	"github.com/daisytide/daisytide/internal/request/gate"
	"github.com/daisytide/daisytide/internal/request/retry"
	"github.com/daisytide/daisytide/internal/version/document"
	"github.com/daisytide/daisytide/internal/version/snapshot"
)

// Shape of a chain of services, each of which calls the next one.
const (
	chainDepth      = 28
	chainReplicas   = 2
	chainSlowHop    = 7
	chainFailingHop = 14
)

// chain runs the services, with an entry and a gate beside each upstream.
type chain struct {
	tb      testing.TB
	holder  *snapshot.Holder
	members *membership.Table
	topURL  string
	// markNestedFailures makes gates mark failures of nested calls.
	markNestedFailures bool
	// failEvery makes one in that many responses of the failing hop an error,
	// after the rest of the chain has run.
	failEvery int64

	client                      *http.Client
	failingHopCalls, bottomRuns atomic.Int64
}

func newChain(tb testing.TB, markNestedFailures bool, retryShare float64, failEvery int64) *chain {
	c := &chain{
		tb: tb, holder: &snapshot.Holder{}, members: membership.NewTable(), markNestedFailures: markNestedFailures, failEvery: failEvery,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}},
	}
	doc := &document.Document{}
	for d := range chainDepth {
		name := fmt.Sprintf("s%d", d)
		doc.Services = append(doc.Services, document.Service{
			Name: name, Versions: []string{"v1"}, Current: "v1", Limits: document.Limits{RetryShare: retryShare},
		})
		doc.Routes = append(doc.Routes, document.Route{
			Name: name, Match: document.Match{Prefix: "/" + name + "/"}, Service: name, Idempotent: true,
			TimeLimit: document.Duration(time.Minute), Caller: document.Buyer,
		})
	}
	c.holder.StoreIfNewer(snapshotOf(tb, doc))
	for d := range chainDepth {
		for range chainReplicas {
			c.addHost(d)
		}
	}
	return c
}

// serve starts a server that is closed when the test ends.
func (c *chain) serve(h http.Handler, h2 bool) *httptest.Server {
	s := httptest.NewUnstartedServer(h)
	var p http.Protocols
	p.SetHTTP1(!h2)
	p.SetUnencryptedHTTP2(h2)
	s.Config.Protocols = &p
	s.Start()
	c.tb.Cleanup(s.Close)
	return s
}

func (c *chain) addHost(depth int) {
	e := &Entry{
		Holder: c.holder, Members: c.members, Versions: fixedVersion{}, Budget: retry.NewBudget(),
		Picker: &balancer.Picker{Self: fmt.Sprint(depth), DataCentre: "dc"}, Transport: dial.PeerTransport(nil), Scheme: "http",
	}
	callers := c.serve(e, false)
	upstream := c.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { c.handleUpstream(w, r, depth, callers.URL) }), false)
	cfg := gate.Config{Dial: func(n int) http.RoundTripper { return dial.UpstreamTransport(n) }}
	if c.markNestedFailures {
		cfg.NestedFailures = e.Counters().NestedFailures.Load
	}
	g := gate.New(cfg)
	peers := c.serve(g.HTTPHandler("", g.Handle), true)
	name := fmt.Sprintf("s%d", depth)
	g.UpdateUpstream(api.Announcement{
		Service: name, Version: "v1", Address: upstream.Listener.Addr().String(), State: api.UpstreamReady, Slots: 50, Connections: 50,
	})
	c.members.Merge(membership.Record{
		Address: peers.Listener.Addr().String(), DataCentre: "dc", Incarnation: 1, State: membership.Alive,
		Service: name, Version: "v1", Upstream: api.UpstreamReady, Slots: 50,
	})
	if c.topURL == "" {
		c.topURL = callers.URL
	}
}

// handleUpstream is an upstream that needs the next service for its response and
// does not report the cause of a failure.
func (c *chain) handleUpstream(w http.ResponseWriter, r *http.Request, depth int, entry string) {
	if depth == chainDepth-1 {
		c.bottomRuns.Add(1)
		_, _ = io.WriteString(w, "whole")
		return
	}
	if depth == chainSlowHop {
		time.Sleep(time.Millisecond)
	}
	status, body := c.get(r.Context(), r.Header, fmt.Sprintf("%s/s%d/x", entry, depth+1))
	if depth == chainFailingHop && c.failingHopCalls.Add(1)%c.failEvery == 0 {
		status = http.StatusServiceUnavailable
	}
	if status != http.StatusOK {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, body)
}

func (c *chain) get(ctx context.Context, h http.Header, url string) (int, string) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, ""
	}
	for _, k := range []string{call.HeaderDepth, call.HeaderTimeLeft} {
		if v := h.Get(k); v != "" {
			r.Header.Set(k, v)
		}
	}
	resp, err := c.client.Do(r)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b)
}

// run sends n calls to the top of the chain. It returns the runs at the bottom per
// call and the share of calls with a complete response.
func (c *chain) run(n int) (bottom, answered float64) {
	ok := 0
	for range n {
		if status, body := c.get(context.Background(), http.Header{}, c.topURL+"/s0/x"); status == http.StatusOK && strings.TrimSpace(body) == "whole" {
			ok++
		}
	}
	return float64(c.bottomRuns.Load()) / float64(n), float64(ok) / float64(n)
}

// BenchmarkChain measures the runs at the bottom of the longest chain per call at
// its top, with marked nested failures and with retries at every hop. Run it with
// -bench Chain -benchtime 1x.
func BenchmarkChain(b *testing.B) {
	for _, w := range []struct {
		name  string
		marks bool
		share float64
	}{{"next-to-the-failure", true, 0}, {"at-every-hop", false, 0}} {
		for _, failEvery := range []int64{10, 1} {
			b.Run(fmt.Sprintf("%s/fails-1-in-%d", w.name, failEvery), func(b *testing.B) {
				for range b.N {
					c := newChain(b, w.marks, w.share, failEvery)
					bottom, answered := c.run(300)
					b.ReportMetric(bottom, "bottom-runs/call")
					b.ReportMetric(100*answered, "answered-%")
				}
			})
		}
	}
}

// chainCalls is large enough that the burst of the retry budget matters little.
const chainCalls = 220

func TestRetriesDoNotMultiplyAlongTheLongestChain(t *testing.T) {
	for _, failEvery := range []int64{10, 1} {
		c := newChain(t, true, 0, failEvery)
		bottom, answered := c.run(chainCalls)
		t.Logf("1 in %d fails: %.3f runs at the bottom per call at the top, %.1f%% answered", failEvery, bottom, 100*answered)
		if bottom >= 1.2 {
			t.Errorf("1 in %d fails: %.3f runs at the bottom per call at the top", failEvery, bottom)
		}
	}
}
