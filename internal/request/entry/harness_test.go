package entry

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/dial"
	"github.com/daisytide/daisytide/internal/process/membership"
	"github.com/daisytide/daisytide/internal/request/balancer"
	"github.com/daisytide/daisytide/internal/request/gate"
	"github.com/daisytide/daisytide/internal/request/retry"
	"github.com/daisytide/daisytide/internal/version/document"
	"github.com/daisytide/daisytide/internal/version/snapshot"
)

// testHost is a gate behind a real listener, with a real upstream.
type testHost struct {
	gate     *gate.Gate
	peers    *httptest.Server
	upstream *httptest.Server
	// runs counts the requests that the upstream received, probes the requests
	// to its health and load endpoints.
	runs, probes atomic.Int64
}

// testHarness is one entry in front of some hosts.
type testHarness struct {
	t       *testing.T
	entry   *Entry
	callers *httptest.Server
	hosts   []*testHost
}

const (
	testService = "svc"
	testSlots   = 20
)

// newHarness starts hosts whose upstreams use handler.
func newHarness(t *testing.T, hosts int, handler func(h *testHost, w http.ResponseWriter, r *http.Request)) *testHarness {
	th := &testHarness{t: t, entry: &Entry{
		Holder: &snapshot.Holder{}, Members: membership.NewTable(), Versions: fixedVersion{},
		Picker: &balancer.Picker{Self: "entry", DataCentre: "dc"}, Budget: retry.NewBudget(),
		Transport: dial.PeerTransport(nil), Scheme: "http",
	}}
	th.entry.Holder.StoreIfNewer(testSnapshot(t))
	for range hosts {
		th.hosts = append(th.hosts, th.startHost(handler))
	}
	th.callers = httptest.NewUnstartedServer(th.entry)
	th.callers.Config.MaxHeaderBytes = 64 << 10
	th.callers.Start()
	t.Cleanup(th.callers.Close)
	return th
}

type fixedVersion struct{}

func (fixedVersion) ChooseVersion(*snapshot.Snapshot, string, float64) string { return "v1" }

// VersionRefused implements VersionChooser.
func (fixedVersion) VersionRefused(*snapshot.Snapshot, string, string) {}

func testSnapshot(t *testing.T) *snapshot.Snapshot {
	t.Helper()
	route := func(name string, idempotent bool, caller document.Caller) document.Route {
		return document.Route{
			Name: name, Match: document.Match{Prefix: "/" + name}, Service: testService, Idempotent: idempotent,
			TimeLimit: document.Duration(time.Minute), Caller: caller, BodyLimit: 64 << 20,
		}
	}
	doc := &document.Document{
		Services: []document.Service{{Name: testService, Versions: []string{"v1"}, Current: "v1"}},
		Routes:   []document.Route{route("look", true, document.Buyer), route("credit", false, document.Clerk), route("photo", false, document.Driver)},
	}
	return snapshotOf(t, doc)
}

// snapshotOf builds the snapshot of a document.
func snapshotOf(tb testing.TB, doc *document.Document) *snapshot.Snapshot {
	tb.Helper()
	text, err := json.Marshal(doc)
	if err != nil {
		tb.Fatal(err)
	}
	envelope, err := document.NextAccepted(nil, nil, text, doc, "s", "test", time.Unix(0, 0)).Encode()
	if err != nil {
		tb.Fatal(err)
	}
	s, err := snapshot.Build(envelope)
	if err != nil {
		tb.Fatal(err)
	}
	return s
}

func (th *testHarness) startHost(handler func(h *testHost, w http.ResponseWriter, r *http.Request)) *testHost {
	h := &testHost{gate: gate.New(gate.Config{
		Dial:           func(n int) http.RoundTripper { return dial.UpstreamTransport(n) },
		NestedFailures: th.entry.Counters().NestedFailures.Load,
	})}
	h.upstream = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/health" || r.URL.Path == "/load" {
			h.probes.Add(1)
			return
		}
		if r.URL.Path == "/look/warm" {
			time.Sleep(2 * time.Millisecond)
			return
		}
		h.runs.Add(1)
		handler(h, w, r)
	}))
	th.t.Cleanup(h.upstream.Close)
	h.peers = httptest.NewUnstartedServer(h.gate.HTTPHandler("", h.gate.Handle))
	var p http.Protocols
	p.SetUnencryptedHTTP2(true)
	h.peers.Config.Protocols = &p
	h.peers.Config.HTTP2 = dial.ServerHTTP2Config(1000)
	h.peers.Start()
	th.t.Cleanup(h.peers.Close)
	h.announce(api.UpstreamReady)
	th.entry.Members.Merge(membership.Record{
		Address: h.peers.Listener.Addr().String(), DataCentre: "dc", Incarnation: 1, State: membership.Alive,
		Service: testService, Version: "v1", Upstream: api.UpstreamReady, Slots: testSlots,
	})
	return h
}

func (h *testHost) announce(s api.UpstreamState) {
	h.gate.UpdateUpstream(api.Announcement{
		Service: testService, Version: "v1", Address: h.upstream.Listener.Addr().String(), State: s, Slots: testSlots, Connections: testSlots,
	})
}

func (th *testHarness) runs() (n int64) {
	for _, h := range th.hosts {
		n += h.runs.Load()
	}
	return n
}

// callerResponse is what a caller received; cut is set if the response was
// incomplete.
type callerResponse struct {
	status    int
	code, ran string
	body      string
	cut       bool
}

// call sends one request on a connection of its own.
func (th *testHarness) call(method, path string, body io.Reader, edit func(*http.Request)) callerResponse {
	th.t.Helper()
	r, err := http.NewRequestWithContext(context.Background(), method, th.callers.URL+path, body)
	if err != nil {
		th.t.Fatal(err)
	}
	if edit != nil {
		edit(r)
	}
	tr := &http.Transport{DisableKeepAlives: true, ExpectContinueTimeout: time.Minute}
	resp, err := tr.RoundTrip(r)
	if err != nil {
		return callerResponse{cut: true}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return callerResponse{
		status: resp.StatusCode, code: resp.Header.Get("Daisytide-Code"), ran: resp.Header.Get("Daisytide-Run"),
		body: string(b), cut: err != nil,
	}
}

// idle waits until neither a gate nor the entry has a request in progress.
func (th *testHarness) idle() {
	th.t.Helper()
	for _, h := range th.hosts {
		for h.gate.Running() > 0 {
			time.Sleep(time.Millisecond)
		}
	}
	for th.entry.Counters().Running.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// warm makes calls until the gates, which start with few slots, offer all of them.
func (th *testHarness) warm() {
	for _, h := range th.hosts {
		for h.gate.Load().Slots < testSlots {
			var wait sync.WaitGroup
			for range testSlots {
				wait.Go(func() { th.call("GET", "/look/warm", nil, nil) })
			}
			wait.Wait()
		}
	}
}

// crash sends the given bytes and closes the connection of a request.
func crash(w http.ResponseWriter, bytes string) {
	conn, out, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = out.WriteString(bytes)
	_ = out.Flush()
	_ = conn.Close()
}

// largeBody returns a body of n bytes that is streamed.
func largeBody(n int) io.Reader { return strings.NewReader(strings.Repeat("p", n)) }

// seededRand makes the calls of a test reproducible.
func seededRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }
