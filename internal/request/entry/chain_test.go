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

// A chain of services, each of which calls the next through the entry beside it.
const (
	chainDepth    = 28
	chainReplicas = 2
	chainSlow     = 7
	chainFailing  = 14
)

// chain is the services with an entry and a gate beside each upstream.
type chain struct {
	tb      testing.TB
	holder  *snapshot.Holder
	members *membership.Table
	top     string
	// marks tells that a failure from further down is marked.
	marks bool
	// failEvery makes one in so many answers of the failing hop an error,
	// after the rest of the chain has run.
	failEvery int64

	client          *http.Client
	failing, bottom atomic.Int64
}

func newChain(tb testing.TB, marks bool, retryShare float64, failEvery int64) *chain {
	c := &chain{
		tb: tb, holder: &snapshot.Holder{}, members: membership.NewTable(), marks: marks, failEvery: failEvery,
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
			c.host(d)
		}
	}
	return c
}

// serve starts a server that the chain's test closes.
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

func (c *chain) host(depth int) {
	e := &Entry{
		Holder: c.holder, Members: c.members, Versions: current{}, Budget: retry.NewBudget(),
		Picker: &balancer.Picker{Self: fmt.Sprint(depth), DataCentre: "dc"}, Transport: dial.PeerTransport(nil), Scheme: "http",
	}
	callers := c.serve(e, false)
	upstream := c.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { c.work(w, r, depth, callers.URL) }), false)
	cfg := gate.Config{Dial: func(n int) http.RoundTripper { return dial.UpstreamTransport(n) }}
	if c.marks {
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
	if c.top == "" {
		c.top = callers.URL
	}
}

// work is an upstream that needs the next service for its answer and says
// nothing of why it failed.
func (c *chain) work(w http.ResponseWriter, r *http.Request, depth int, entry string) {
	if depth == chainDepth-1 {
		c.bottom.Add(1)
		_, _ = io.WriteString(w, "whole")
		return
	}
	if depth == chainSlow {
		time.Sleep(time.Millisecond)
	}
	status, body := c.next(r.Context(), r.Header, fmt.Sprintf("%s/s%d/x", entry, depth+1))
	if depth == chainFailing && c.failing.Add(1)%c.failEvery == 0 {
		status = http.StatusServiceUnavailable
	}
	if status != http.StatusOK {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, body)
}

func (c *chain) next(ctx context.Context, h http.Header, url string) (int, string) {
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

// calls sends n calls to the top and returns the runs at the bottom per call
// and the share answered whole.
func (c *chain) calls(n int) (bottom, answered float64) {
	ok := 0
	for range n {
		if status, body := c.next(context.Background(), http.Header{}, c.top+"/s0/x"); status == http.StatusOK && strings.TrimSpace(body) == "whole" {
			ok++
		}
	}
	return float64(c.bottom.Load()) / float64(n), float64(ok) / float64(n)
}

// BenchmarkChain gives the runs at the bottom of the longest chain per call at
// its top, against retries at every hop: -bench Chain -benchtime 1x.
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
					bottom, answered := c.calls(300)
					b.ReportMetric(bottom, "bottom-runs/call")
					b.ReportMetric(100*answered, "answered-%")
				}
			})
		}
	}
}

// chainCalls are enough for the budget's burst to be a small part of them.
const chainCalls = 220

func TestLongestChainIsNotMultipliedByRetries(t *testing.T) {
	for _, failEvery := range []int64{10, 1} {
		c := newChain(t, true, 0, failEvery)
		bottom, answered := c.calls(chainCalls)
		t.Logf("1 in %d fails: %.3f runs at the bottom per call at the top, %.1f%% answered", failEvery, bottom, 100*answered)
		if bottom >= 1.2 {
			t.Errorf("1 in %d fails: %.3f runs at the bottom per call at the top", failEvery, bottom)
		}
	}
}
