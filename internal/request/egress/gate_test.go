package egress

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/h1"
	"github.com/daisytide/daisytide/internal/request/hop"
	"github.com/daisytide/daisytide/internal/request/quarantine"
	"github.com/daisytide/daisytide/internal/version/traffic"
)

// plainHeaders is a header dialect with simple names.
type plainHeaders struct{}

func (plainHeaders) RequestID(h http.Header) (string, string)   { return "Id", h.Get("Id") }
func (plainHeaders) TimeLeft(http.Header) (time.Duration, bool) { return 0, false }
func (plainHeaders) SetRetryAfter(http.Header, time.Duration)   {}
func (plainHeaders) TakeKey(http.Header) string                 { return "" }
func (plainHeaders) SetUnauthorized(http.Header)                {}
func (plainHeaders) SetAccount(h http.Header, name string)      { h.Set("Account", name) }
func (plainHeaders) SetUpstreamHeaders(h http.Header, left time.Duration, instance, caller string) {
	h.Set("Left", strconv.FormatInt(left.Milliseconds(), 10))
	h.Set("Instance", instance)
	h.Set("Caller", caller)
}

func (plainHeaders) Signed(resp *h1.Response) bool { return resp.Header.Get("Unsigned") == "" }

func (plainHeaders) NotExecuted(resp *h1.Response) (bool, bool) {
	return resp.Header.Get("Not-Run") != "" || resp.Status == 421, resp.Status == 421
}

// fakeUpstream is an Upstream whose state the test sets.
type fakeUpstream struct {
	mu      sync.Mutex
	current Instance
	gate    *Gate
}

func (u *fakeUpstream) Current() *Instance {
	u.mu.Lock()
	defer u.mu.Unlock()
	i := u.current
	return &i
}

func (u *fakeUpstream) MarkUnreachable(id string) { u.endInstance(id) }
func (u *fakeUpstream) MarkReplaced(id string)    { u.endInstance(id) }

func (u *fakeUpstream) MarkCold(id string, end time.Time) {
	u.set(func(i *Instance) {
		if i.ID == id {
			i.WarmupEnd = end
		}
	})
}

func (u *fakeUpstream) endInstance(id string) {
	u.mu.Lock()
	current := u.current.ID == id
	u.mu.Unlock()
	if current {
		u.set(func(i *Instance) { i.State = api.UpstreamStarting })
	}
}

func (u *fakeUpstream) set(fn func(*Instance)) {
	u.mu.Lock()
	fn(&u.current)
	i, gate := u.current, u.gate
	u.mu.Unlock()
	gate.UpstreamChanged(i)
}

// replaceGate puts the gate of a new process in the place of the current one, which
// uses the upstream only after its next report. No request waits in the old one.
func (u *fakeUpstream) replaceGate(gate *Gate) {
	u.set(func(i *Instance) { i.State = api.UpstreamStarting })
	u.mu.Lock()
	defer u.mu.Unlock()
	u.gate = gate
}

func (u *fakeUpstream) gateNow() *Gate {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.gate
}

type testGate struct {
	*Gate
	upstream *fakeUpstream
	runs     atomic.Int64
	crashes  atomic.Int64
	// respond writes the response on the hijacked connection of a request;
	// without it the response is 200.
	respond func(conn net.Conn, r *http.Request) bool
}

// newGate returns a gate beside an upstream that responds as respond says.
func newGate(t *testing.T, eventSet *quarantine.EventSet) (*testGate, net.Listener) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	g := &testGate{}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		g.runs.Add(1)
		if g.respond != nil {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			defer conn.Close()
			if g.respond(conn, r) {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
			}
			return
		}
		w.Header().Set("Id", r.Header.Get("Id"))
	})}
	go func() { _ = server.Serve(l) }()
	g.upstream = &fakeUpstream{current: Instance{Service: "s", Address: l.Addr().String(), Version: "v1", Slots: 4}}
	g.Gate = &Gate{
		Upstream: g.upstream, Client: &h1.Client{DialTimeout: time.Second, MaxIdleConns: 8}, Dialect: plainHeaders{},
		VersionAllowed: func(_, version string) bool { return version != "bad" }, QuarantineEvents: eventSet,
		PublishCrash: func(quarantine.Event) { g.crashes.Add(1) },
	}
	g.upstream.gate = g.Gate
	g.ready("i-1", 1)
	return g, l
}

func (g *testGate) ready(id string, startedMillis int64) {
	g.upstream.set(func(i *Instance) { i.ID, i.StartedMillis, i.State = id, startedMillis, api.UpstreamReady })
}

func (g *testGate) sendRequest(version, target string) hop.Result {
	r := &hop.Request{
		Service: "s", Version: version, Route: "r", Kind: traffic.Once, Priority: 1, CallerService: "caller",
		Deadline: time.Now().Add(2 * time.Second), Objective: time.Now().Add(time.Second),
	}
	in := &h1.Request{Method: "POST", Target: target, Host: "a", Header: http.Header{"Id": {"7"}}, Body: []byte("b")}
	return g.Handle(context.Background(), r, in)
}

func TestGateReportsWhetherTheRequestRan(t *testing.T) {
	respond := func(text string) func(net.Conn, *http.Request) bool {
		return func(conn net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(conn, text)
			return false
		}
	}
	for _, tc := range []struct {
		name            string
		version         string
		serve           func(net.Conn, *http.Request) bool
		code            api.Code
		ran             api.Ran
		upstreamRefused bool
	}{
		{"answered", "v1", nil, api.OK, api.RanYes, false},
		{"other version", "v2", nil, api.CallNoUpstream, api.RanNo, false},
		{"refused by the upstream", "v1", respond("HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"), api.CallShed, api.RanNo, true},
		{"other instance", "v1", respond("HTTP/1.1 421 Other\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"), api.CallNoUpstream, api.RanNo, false},
		{"failed by the upstream", "v1", respond("HTTP/1.1 500 Failed\r\nId: 7\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"), api.OK, api.RanYes, false},
		{"failed by the upstream, in bytes without the request's id", "v1", respond("HTTP/1.1 500 Failed\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"), api.CallCut, api.RanUnknown, false},
		{"unsigned success", "v1", respond("HTTP/1.1 200 OK\r\nId: 7\r\nUnsigned: 1\r\nContent-Length: 0\r\n\r\n"), api.CallCut, api.RanUnknown, false},
		{"connection cut", "v1", respond(""), api.CallCut, api.RanUnknown, false},
		{"malformed response", "v1", respond("what is this\r\n\r\n"), api.CallCut, api.RanUnknown, false},
		{"truncated body", "v1", respond("HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 5\r\n\r\nab"), api.CallCut, api.RanUnknown, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g, _ := newGate(t, quarantine.NewEventSet(time.Now))
			g.respond = tc.serve
			if res := g.sendRequest(tc.version, "/x"); res.Code != tc.code || res.Ran != tc.ran || res.UpstreamRefused != tc.upstreamRefused {
				t.Errorf("%+v", res)
			}
		})
	}
}

func TestReplacedInstanceGetsNoRequestsUntilItReports(t *testing.T) {
	g, _ := newGate(t, quarantine.NewEventSet(time.Now))
	g.respond = func(conn net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 421 Other\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		return false
	}
	for range 3 {
		g.sendRequest("v1", "/x")
	}
	if g.runs.Load() != 1 {
		t.Errorf("%d requests were sent, want 1", g.runs.Load())
	}
	g.respond = nil
	g.ready("i-2", 2)
	if res := g.sendRequest("v1", "/x"); res.Code != api.OK {
		t.Errorf("%+v", res)
	}
}

func TestUpstreamThatDoesNotListenIsTakenOutOfService(t *testing.T) {
	g, l := newGate(t, quarantine.NewEventSet(time.Now))
	_ = l.Close()
	if res := g.sendRequest("v1", "/x"); res.Code != api.CallNotReached || res.Ran != api.RanNo {
		t.Errorf("%+v", res)
	}
	if res := g.sendRequest("v1", "/x"); res.Code != api.CallLeaving {
		t.Errorf("%+v", res)
	}
}

func TestWithdrawnVersionIsRefusedAtTheGate(t *testing.T) {
	g, _ := newGate(t, quarantine.NewEventSet(time.Now))
	g.VersionAllowed = func(string, string) bool { return false }
	if res := g.sendRequest("v1", "/x"); res.Code != api.CallWithdrawn || g.runs.Load() != 0 {
		t.Errorf("%+v", res)
	}
}

func TestDrainingUpstreamRefusesWaitingRequests(t *testing.T) {
	g, _ := newGate(t, quarantine.NewEventSet(time.Now))
	release := make(chan struct{})
	g.respond = func(net.Conn, *http.Request) bool { <-release; return true }
	results := make(chan hop.Result, 6)
	for range 6 {
		go func() { results <- g.sendRequest("v1", "/x") }()
	}
	for end := time.Now().Add(10 * time.Second); g.Load().Busy < 6 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	g.upstream.set(func(i *Instance) { i.State = api.UpstreamDraining })
	for range 2 {
		if res := <-results; res.Code != api.CallLeaving || res.Ran != api.RanNo {
			t.Errorf("a waiting request: %+v", res)
		}
	}
	close(release)
	for range 4 {
		if res := <-results; res.Code != api.OK {
			t.Errorf("a running request: %+v", res)
		}
	}
}

// A request that crashes every upstream reaches at most three of them, whichever
// gates it goes through.
func TestRequestThatCrashesUpstreamsReachesOnlyAFew(t *testing.T) {
	eventSet := quarantine.NewEventSet(time.Now)
	total := int64(0)
	for i := range 6 {
		g, l := newGate(t, eventSet)
		g.ready("i-"+strconv.Itoa(i), int64(i+2))
		g.respond = func(conn net.Conn, r *http.Request) bool {
			if r.URL.Path != "/poison" {
				return true
			}
			_ = l.Close()
			return false
		}
		if res := g.sendRequest("v1", "/other"+strconv.Itoa(i)); res.Code != api.OK {
			t.Errorf("another request before it: %+v", res)
		}
		before := g.runs.Load()
		g.sendRequest("v1", "/poison")
		total += g.runs.Load() - before
	}
	if total > 3 {
		t.Errorf("the request reached %d upstreams, want at most 3", total)
	}
}

// After a suspension of the process, the measured time is that of the
// suspension, not of the upstream.
func TestRunThatOverranItsDeadlineIsInconclusive(t *testing.T) {
	r := &hop.Request{Deadline: start}
	for after, want := range map[time.Duration]bool{-time.Second: false, 20 * time.Millisecond: false, 2 * time.Second: true} {
		if got := overranDeadline(r, start.Add(after)); got != want {
			t.Errorf("%v after the deadline: %v", after, got)
		}
	}
}

// Guards against requests that reach the upstream of an evacuated data centre, arriving
// or waiting, against interrupted runs, and against a gate that stays closed.
func TestEvacuatedGateRefusesArrivingAndWaitingRequests(t *testing.T) {
	g, _ := newGate(t, quarantine.NewEventSet(time.Now))
	var evacuated atomic.Bool
	g.Evacuated = evacuated.Load
	release := make(chan struct{})
	g.respond = func(net.Conn, *http.Request) bool { <-release; return true }
	results := make(chan hop.Result, 6)
	for range 6 {
		go func() { results <- g.sendRequest("v1", "/x") }()
	}
	for end := time.Now().Add(10 * time.Second); (g.Load().Busy < 6 || g.runs.Load() < 4) && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	evacuated.Store(true)
	g.RefuseEvacuated()
	expectRefusal := func(what string, res hop.Result) {
		t.Helper()
		if res.Code != api.CallEvacuated || res.Ran != api.RanNo || res.RetryAfter <= 0 {
			t.Errorf("%s: %+v", what, res)
		}
	}
	for range 2 {
		expectRefusal("a waiting request", <-results)
	}
	expectRefusal("an arriving request", g.sendRequest("v1", "/x"))
	close(release)
	for range 4 {
		if res := <-results; res.Code != api.OK {
			t.Errorf("a running request: %+v", res)
		}
	}
	expectRefusal("an arriving request", g.sendRequest("v1", "/x"))
	if n := g.runs.Load(); n != 4 || g.EvacuationRefusals() != 4 {
		t.Errorf("%d requests ran, %d refusals counted", n, g.EvacuationRefusals())
	}
	evacuated.Store(false)
	if res := g.sendRequest("v1", "/x"); res.Code != api.OK {
		t.Errorf("after the evacuation: %+v", res)
	}
}
