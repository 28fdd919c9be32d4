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

// host is a gate behind a real listener, with a real upstream.
type host struct {
	gate     *gate.Gate
	peers    *httptest.Server
	upstream *httptest.Server
	// runs counts the requests that the upstream took, health the probes.
	runs, health atomic.Int64
}

// rig is one entry in front of some hosts.
type rig struct {
	t       *testing.T
	entry   *Entry
	callers *httptest.Server
	hosts   []*host
}

const (
	testService = "svc"
	rigSlots    = 20
)

// newRig starts hosts whose upstreams answer with handler.
func newRig(t *testing.T, hosts int, handler func(h *host, w http.ResponseWriter, r *http.Request)) *rig {
	g := &rig{t: t, entry: &Entry{
		Holder: &snapshot.Holder{}, Members: membership.NewTable(), Versions: current{},
		Picker: &balancer.Picker{Self: "entry", DataCentre: "dc"}, Budget: retry.NewBudget(),
		Transport: dial.PeerTransport(nil), Scheme: "http",
	}}
	g.entry.Holder.StoreIfNewer(testSnapshot(t))
	for range hosts {
		g.hosts = append(g.hosts, g.startHost(handler))
	}
	g.callers = httptest.NewUnstartedServer(g.entry)
	g.callers.Config.MaxHeaderBytes = 64 << 10
	g.callers.Start()
	t.Cleanup(g.callers.Close)
	return g
}

type current struct{}

func (current) ChooseVersion(*snapshot.Snapshot, string, float64) string { return "v1" }

// VersionRefused implements VersionChooser.
func (current) VersionRefused(*snapshot.Snapshot, string, string) {}

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

// snapshotOf puts a document in the form that requests use.
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

func (g *rig) startHost(handler func(h *host, w http.ResponseWriter, r *http.Request)) *host {
	h := &host{gate: gate.New(gate.Config{
		Dial:           func(n int) http.RoundTripper { return dial.UpstreamTransport(n) },
		NestedFailures: g.entry.Counters().NestedFailures.Load,
	})}
	h.upstream = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/health" || r.URL.Path == "/load" {
			h.health.Add(1)
			return
		}
		if r.URL.Path == "/look/warm" {
			time.Sleep(2 * time.Millisecond)
			return
		}
		h.runs.Add(1)
		handler(h, w, r)
	}))
	g.t.Cleanup(h.upstream.Close)
	h.peers = httptest.NewUnstartedServer(h.gate.HTTPHandler("", h.gate.Handle))
	var p http.Protocols
	p.SetUnencryptedHTTP2(true)
	h.peers.Config.Protocols = &p
	h.peers.Config.HTTP2 = dial.ServerHTTP2Config(1000)
	h.peers.Start()
	g.t.Cleanup(h.peers.Close)
	h.announce(api.UpstreamReady)
	g.entry.Members.Merge(membership.Record{
		Address: h.peers.Listener.Addr().String(), DataCentre: "dc", Incarnation: 1, State: membership.Alive,
		Service: testService, Version: "v1", Upstream: api.UpstreamReady, Slots: rigSlots,
	})
	return h
}

func (h *host) announce(s api.UpstreamState) {
	h.gate.UpdateUpstream(api.Announcement{
		Service: testService, Version: "v1", Address: h.upstream.Listener.Addr().String(), State: s, Slots: rigSlots, Connections: rigSlots,
	})
}

func (g *rig) runs() (n int64) {
	for _, h := range g.hosts {
		n += h.runs.Load()
	}
	return n
}

// answer is what a caller got; cut tells that the answer broke off.
type answer struct {
	status    int
	code, ran string
	body      string
	cut       bool
}

// do sends one request of a caller on a connection of its own.
func (g *rig) do(method, path string, body io.Reader, edit func(*http.Request)) answer {
	g.t.Helper()
	r, err := http.NewRequestWithContext(context.Background(), method, g.callers.URL+path, body)
	if err != nil {
		g.t.Fatal(err)
	}
	if edit != nil {
		edit(r)
	}
	tr := &http.Transport{DisableKeepAlives: true, ExpectContinueTimeout: time.Minute}
	resp, err := tr.RoundTrip(r)
	if err != nil {
		return answer{cut: true}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return answer{
		status: resp.StatusCode, code: resp.Header.Get("Daisytide-Code"), ran: resp.Header.Get("Daisytide-Run"),
		body: string(b), cut: err != nil,
	}
}

// idle waits until no gate and no entry has a request in progress.
func (g *rig) idle() {
	g.t.Helper()
	for _, h := range g.hosts {
		for h.gate.Running() > 0 {
			time.Sleep(time.Millisecond)
		}
	}
	for g.entry.Counters().Running.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// warm answers calls until the gates, cold at first, give all their slots.
func (g *rig) warm() {
	for _, h := range g.hosts {
		for h.gate.Load().Slots < rigSlots {
			var wait sync.WaitGroup
			for range rigSlots {
				wait.Go(func() { g.do("GET", "/look/warm", nil, nil) })
			}
			wait.Wait()
		}
	}
}

// crash breaks the connection of a request, after the given bytes.
func crash(w http.ResponseWriter, bytes string) {
	conn, out, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = out.WriteString(bytes)
	_ = out.Flush()
	_ = conn.Close()
}

// large is a body that streams, of n bytes.
func large(n int) io.Reader { return strings.NewReader(strings.Repeat("p", n)) }

// seeded makes the calls of a test the same each time.
func seeded(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }
