package operated_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/kvstore"
	"github.com/daisytide/daisytide/internal/metrics"
	"github.com/daisytide/daisytide/internal/process/operated"
	"github.com/daisytide/daisytide/internal/process/operator/client"
	"github.com/daisytide/daisytide/internal/process/settings"
	"github.com/daisytide/daisytide/internal/standin/scrape"
	"github.com/daisytide/daisytide/internal/standin/store"
	"github.com/daisytide/daisytide/platform"
)

// testTimeout is the time limit of each wait; no assertion depends on it.
const testTimeout = 20 * time.Second

// backend is a stand-in upstream that speaks the platform's protocol.
type backend struct {
	t             testing.TB
	service       string
	id            string
	address       string
	reportAddress string
	workTime      time.Duration
	// born is the start in Unix milliseconds.
	born, seq int

	mu       sync.Mutex
	requests []*http.Request
	// arrivals holds the times at which requests arrived.
	arrivals []time.Time
	// warmupLeft is the time.Duration that heartbeats and health responses give, and
	// extraWork one that is added to workTime.
	warmupLeft, extraWork, healthRequests atomic.Int64
	runsByID                              map[string]int
	// leaving makes health responses say that the upstream leaves.
	leaving atomic.Bool
	// rawHealth, if set, is sent as it is in response to health requests.
	rawHealth atomic.Pointer[string]
}

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		b.healthRequests.Add(1)
		if text := b.rawHealth.Load(); text != nil {
			sendRaw(w, *text)
			return
		}
		if b.leaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Header().Set(platform.HeaderInstanceID, b.id)
		w.Header().Set(platform.HeaderWarmupMillis, strconv.FormatInt(time.Duration(b.warmupLeft.Load()).Milliseconds(), 10))
		return
	}
	if r.Header.Get(platform.HeaderTargetInstance) != b.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get(platform.HeaderRequestID)
	if r.URL.Query().Get("early") == "" {
		_, _ = io.Copy(io.Discard, r.Body)
	}
	b.mu.Lock()
	b.requests = append(b.requests, r)
	b.arrivals = append(b.arrivals, time.Now())
	b.runsByID[id]++
	b.mu.Unlock()
	if serveCut(w, r) || serveEarly(w, r) || serveRaw(w, r) {
		return
	}
	time.Sleep(b.workTime + time.Duration(b.extraWork.Load()))
	w.Header().Set(platform.HeaderRequestID, id)
	w.Header().Set(platform.HeaderSignature, "signed by "+b.id)
	extra, _ := strconv.Atoi(r.URL.Query().Get("bytes"))
	_, _ = io.WriteString(w, "whole "+id+strings.Repeat(" ", extra))
}

// runsOf returns how often the request with this ID ran.
func (b *backend) runsOf(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runsByID[id]
}

func (b *backend) totalRuns() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.requests)
}

// heartbeat reports a state and returns the status of the response.
func (b *backend) heartbeat(state string) int {
	b.seq++
	return b.heartbeatOf(b.born, b.seq, state)
}

// heartbeatOf reports a state of the start at born.
func (b *backend) heartbeatOf(born, sequence int, state string) int {
	body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"a","version":"v1","capacity":8,"state":%q,"warmup_left_s":%g,"sequence":%d,"born":%d}`,
		b.service, b.address, state, time.Duration(b.warmupLeft.Load()).Seconds(), sequence, born)
	return b.call(platform.PathHeartbeat+b.id, body)
}

// deregister reports the end of the start.
func (b *backend) deregister() int {
	return b.call(platform.PathDeregister+b.id, fmt.Sprintf(`{"born":%d}`, b.born))
}

func (b *backend) call(path, body string) int {
	resp, err := http.Post("http://"+b.reportAddress+path, "application/json", strings.NewReader(body))
	if err != nil {
		b.t.Fatal(err)
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// host is a node and its upstream.
type host struct {
	*backend
	store kvstore.Store
	cfg   *settings.Settings
	stop  func()
	done  chan struct{}
}

func (h *host) url(path string) string { return "http://" + h.cfg.Callers.Listen + path }

// hostCount numbers the hosts of this process.
var hostCount atomic.Int64

// hostAddresses returns n listener addresses of a new host on the loopback
// network. The ports are below the kernel's ephemeral range, because an
// outgoing connection could take an ephemeral port between its choice and its
// use.
func hostAddresses(n int) []string {
	pid, host := os.Getpid(), hostCount.Add(1)
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("127.%d.%d.%d:%d", 1+(pid>>8)%200, pid%250, host, 7700+i))
	}
	return out
}

func startHost(t testing.TB, s *store.Store, service, id string) *host {
	t.Helper()
	return startHostWith(t, s, "a", service, id, 0)
}

func startHostIn(t testing.TB, s kvstore.Store, dataCentre, service, id string) *host {
	t.Helper()
	return startHostWith(t, s, dataCentre, service, id, 0)
}

// startHostWithLink starts a host with a link of the given rate in Mbit/s.
func startHostWithLink(t testing.TB, s *store.Store, service, id string, mbps int) *host {
	t.Helper()
	return startHostWith(t, s, "a", service, id, mbps)
}

func startHostWith(t testing.TB, s kvstore.Store, dataCentre, service, id string, mbps int) *host {
	t.Helper()
	a := hostAddresses(6)
	text := fmt.Sprintf("[node]\nregion = r\ndata-centre = %s\n[callers]\nlisten = %s\n[peers]\nlisten = %s\nsecret = nodes-share-this-key\n"+
		"[operators]\nlisten = %s\ntoken = operators-have-this-token\n[store]\naddress = http://127.0.0.1:1\nrate = 50\n[upstream]\nstop-grace = 3s\n"+
		"[operated]\nenabled = true\ngate = %s\nready = %s\nservice = %s\nupstream = %s\nlink-mbps = %d\n", dataCentre, a[0], a[1], a[2], a[3], a[4], service, a[5], mbps)
	cfg, faults := settings.Parse(text)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	b := &backend{t: t, service: service, id: id, born: int(time.Now().UnixMilli()), address: a[5], reportAddress: a[2], runsByID: map[string]int{}}
	l, err := net.Listen("tcp", a[5])
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: b}
	go func() { _ = server.Serve(l) }()
	h := &host{backend: b, store: s, cfg: cfg}
	h.startNode()
	t.Cleanup(func() {
		h.stop()
		<-h.done
		_ = server.Close()
	})
	if status := b.heartbeat("ready"); status != http.StatusOK {
		t.Fatalf("heartbeat: %d", status)
	}
	return h
}

// startNode starts a process of the host's node.
func (h *host) startNode() {
	h.t.Helper()
	n, err := operated.New(h.cfg, h.store, platform.Adapter{}, nil)
	if err != nil {
		h.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	h.stop, h.done = cancel, done
	go func() {
		defer close(done)
		if err := n.Run(ctx); err != nil {
			h.t.Error(err)
		}
	}()
}

// restartNode stops the node as planned and starts it again, while the upstream beside
// it goes on running.
func (h *host) restartNode() {
	h.stop()
	<-h.done
	// Connections to the old process would fail the next heartbeat with EOF.
	http.DefaultClient.CloseIdleConnections()
	h.startNode()
}

// gauge returns the value of a gauge of the node, as text; empty if there is none.
func (h *host) gauge(name string) string {
	resp, err := http.Get("http://" + h.cfg.Operators.Listen + "/metrics")
	if err != nil {
		h.t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		h.t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "daisytide_"+name+" "); ok {
			return strings.TrimSpace(value)
		}
	}
	return ""
}

func writeConfig(t testing.TB, s *store.Store, version int) {
	t.Helper()
	writeConfigWithWarmup(t, s, version, 0)
}

// writeConfigWithWarmup writes a configuration with a warm-up rate of the service "far".
func writeConfigWithWarmup(t testing.TB, s *store.Store, version int, rate float64) {
	t.Helper()
	ctx := context.Background()
	e, err := s.Get(ctx, platform.KeyConfig)
	if err != nil {
		t.Fatal(err)
	}
	value := fmt.Sprintf(`{"version":"%08x","routes":{
"near":{"host":"a.example","path_prefix":"/near/","route_type":"non_idempotent","timeout_s":2,"target_latency_s":1,"priority":1,"service":"near","max_attempts":2},
"far":{"host":"a.example","path_prefix":"/far/","route_type":"idempotent","timeout_s":2,"target_latency_s":1,"priority":1,"service":"far","max_attempts":2}},
"services":{"near":{"max_connections":20},"far":{"max_connections":20,"health_path":"/health","warmup_s":3,"warmup_per_s":%g}},
"limits":{"max_header_bytes":16384,"max_body_bytes":1000000,"header_timeout_s":3,"idle_timeout_s":15}}`, version, rate)
	if _, err := s.CompareAndSwap(ctx, platform.KeyConfig, e.Revision, []byte(value), ""); err != nil {
		t.Fatal(err)
	}
}

var requestCount atomic.Int64

// send sends a request and returns status, body and request ID; status 0
// means that the request failed.
func send(method, url string, body []byte) (int, string, string) {
	id := strconv.FormatInt(requestCount.Add(1), 16)
	r, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error(), id
	}
	r.Host = "a.example"
	r.Header.Set(platform.HeaderRequestID, id)
	r.Header.Set(platform.HeaderDeadlineMillis, "2000")
	r.Header.Set(platform.HeaderCallerService, "forged")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err.Error(), id
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error(), id
	}
	return resp.StatusCode, string(b), id
}

func waitFor(t testing.TB, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !done(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting for " + what)
		}
	}
}

func (h *host) readiness() int {
	resp, err := http.Get("http://" + h.cfg.Operated.Ready + platform.PathReady)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

func TestRequestsAreRoutedToUpstreamsOfOtherNodes(t *testing.T) {
	s := store.New(1)
	near, far := startHost(t, s, "near", "i-near"), startHost(t, s, "far", "i-far")
	if status, _, _ := send("GET", near.url("/far/1"), nil); status != http.StatusServiceUnavailable || near.readiness() != http.StatusServiceUnavailable {
		t.Errorf("without a configuration: %d, readiness %d", status, near.readiness())
	}
	writeConfig(t, s, 3)
	waitFor(t, "a response from the other host", func() bool {
		status, _, _ := send("GET", near.url("/far/1"), nil)
		return status == http.StatusOK
	})
	status, body, id := send("GET", near.url("/far/x?q=1"), nil)
	if status != http.StatusOK || body != "whole "+id || near.readiness() != http.StatusOK {
		t.Errorf("%d %q, readiness %d", status, body, near.readiness())
	}
	far.mu.Lock()
	got := far.requests[len(far.requests)-1]
	far.mu.Unlock()
	left, err := strconv.Atoi(got.Header.Get(platform.HeaderDeadlineMillis))
	if got.URL.RequestURI() != "/far/x?q=1" || got.Host != "a.example" || got.Header.Get(platform.HeaderCallerService) != "near" || err != nil || left > 2000 || left < 1 {
		t.Errorf("the upstream got %s of %s, %v", got.URL, got.Host, got.Header)
	}
	for name := range got.Header {
		if strings.HasPrefix(name, "Daisytide-") {
			t.Errorf("the upstream got %s", name)
		}
	}
	// The answer from far shows that near knows far, but not the reverse: far may learn
	// of near later, and refuses requests for it until then.
	waitFor(t, "far to know near", func() bool {
		status, _, _ := send("GET", far.url("/near/1"), nil)
		return status == http.StatusOK
	})
	for _, size := range []int{0, 10, 100_000} {
		if status, body, id := send("POST", far.url("/near/1"), make([]byte, size)); status != http.StatusOK || body != "whole "+id || near.runsOf(id) != 1 {
			t.Errorf("body of %d bytes: %d %q", size, status, body)
		}
	}
	if status, _, _ := send("GET", near.url("/lacking/"), nil); status != http.StatusNotFound {
		t.Errorf("without a route: %d", status)
	}
}

func TestNoRequestIsSentAfterDrainingIsAcknowledged(t *testing.T) {
	s := store.New(1)
	for name, leave := range map[string]func(b *backend) int{
		"draining":         func(b *backend) int { return b.heartbeat("draining") },
		"without draining": func(b *backend) int { return b.deregister() },
	} {
		t.Run(name, func(t *testing.T) {
			near, far := startHost(t, s, "near", "i-near-"+name[:1]), startHost(t, s, "far", "i-far-"+name[:1])
			writeConfig(t, s, 3)
			waitFor(t, "a response", func() bool { status, _, _ := send("GET", near.url("/far/1"), nil); return status == http.StatusOK })
			if status := leave(far.backend); status != http.StatusOK {
				t.Fatalf("status of the acknowledgement: %d", status)
			}
			before := far.totalRuns()
			for range 20 {
				if status, _, _ := send("GET", near.url("/far/1"), nil); status != http.StatusServiceUnavailable {
					t.Errorf("status %d", status)
				}
			}
			if far.totalRuns() != before {
				t.Errorf("%d requests reached the drained upstream", far.totalRuns()-before)
			}
		})
	}
}

// An upstream whose departure was acknowledged was used again by the next process of
// its node, when a heartbeat arrived that it had sent before. A later start of it, even
// under the same ID, is used.
func TestUpstreamThatLeftIsNotUsedAfterItsNodeRestarted(t *testing.T) {
	for name, tc := range map[string]struct {
		leave func(b *backend) int
		// awayAtDeparture and awayAtStart say when the store is away.
		awayAtDeparture, awayAtStart bool
	}{
		"draining":                            {leave: func(b *backend) int { return b.heartbeat("draining") }},
		"deregistered":                        {leave: func(b *backend) int { return b.deregister() }},
		"deregistered, start unknown":         {leave: func(b *backend) int { return b.call(platform.PathDeregister+b.id, "") }},
		"store away at the departure":         {leave: func(b *backend) int { return b.heartbeat("draining") }, awayAtDeparture: true},
		"store away when the node is started": {leave: func(b *backend) int { return b.heartbeat("draining") }, awayAtStart: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := store.New(1)
			near, far := startHost(t, s, "near", "i-near"), startHost(t, s, "far", "i-far")
			writeConfig(t, s, 3)
			served := func() bool { status, _, _ := send("GET", near.url("/far/1"), nil); return status == http.StatusOK }
			waitFor(t, "a response", served)
			s.SetFaults(store.Faults{Down: tc.awayAtDeparture})
			if status := tc.leave(far.backend); status != http.StatusOK {
				t.Fatalf("status of the acknowledgement: %d", status)
			}
			s.SetFaults(store.Faults{})
			before := far.totalRuns()
			far.stop()
			<-far.done
			s.SetFaults(store.Faults{Down: tc.awayAtStart})
			far.startNode()
			if status := far.heartbeatOf(far.born, 100, "ready"); status != http.StatusOK {
				t.Errorf("status of the late heartbeat: %d", status)
			}
			waitFor(t, "readiness", func() bool { return far.readiness() == http.StatusOK })
			for range 40 {
				served()
				time.Sleep(20 * time.Millisecond)
			}
			if far.totalRuns() != before {
				t.Errorf("%d requests reached the upstream that had left", far.totalRuns()-before)
			}
			s.SetFaults(store.Faults{})
			far.heartbeatOf(int(time.Now().UnixMilli()), 1, "ready")
			waitFor(t, "a response of the next start", served)
		})
	}
}

// An upstream whose departure peers alone held, as the store was away, was used again
// once all processes had ended: its late heartbeat was taken for news when the store was
// back. A start since then is used with its first report.
func TestUpstreamThatLeftIsNotUsedAfterAllNodesRestarted(t *testing.T) {
	deregister := func(b *backend) int { return b.deregister() }
	for name, tc := range map[string]struct {
		leave func(b *backend) int
		// late are the sequences of the heartbeats that arrive after the restart.
		late []int
		// atDeparture is the trouble of the store when the upstream leaves.
		atDeparture store.Faults
		// endsBeforeStart is set if the trouble ends before the nodes are started.
		endsBeforeStart bool
	}{
		"deregistered":                           {leave: deregister, late: []int{50}, atDeparture: store.Faults{Down: true}},
		"draining":                               {leave: func(b *backend) int { return b.heartbeat("draining") }, late: []int{50}, atDeparture: store.Faults{Down: true}},
		"several late reports":                   {leave: deregister, late: []int{50, 51, 52}, atDeparture: store.Faults{Down: true}},
		"store slow":                             {leave: deregister, late: []int{50}, atDeparture: store.Faults{Delay: 700 * time.Millisecond}},
		"the store is back when the nodes start": {leave: deregister, late: []int{50, 51}, atDeparture: store.Faults{Down: true}, endsBeforeStart: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := store.New(1)
			near, far := startHost(t, s, "near", "i-near"), startHost(t, s, "far", "i-far")
			writeConfig(t, s, 3)
			served := func() bool { status, _, _ := send("GET", near.url("/far/1"), nil); return status == http.StatusOK }
			waitFor(t, "a response", served)
			s.SetFaults(tc.atDeparture)
			if status := tc.leave(far.backend); status != http.StatusOK {
				t.Fatalf("status of the acknowledgement: %d", status)
			}
			// Where the store is in trouble at the start, the health response is wrong.
			far.leaving.Store(tc.endsBeforeStart)
			before := far.totalRuns()
			near.stop()
			far.stop()
			<-near.done
			<-far.done
			http.DefaultClient.CloseIdleConnections()
			if tc.endsBeforeStart {
				s.SetFaults(store.Faults{})
			}
			near.startNode()
			far.startNode()
			for _, sequence := range tc.late {
				if status := far.heartbeatOf(far.born, sequence, "ready"); status != http.StatusOK {
					t.Errorf("status of the late heartbeat: %d", status)
				}
				time.Sleep(300 * time.Millisecond)
			}
			if got := far.gauge("upstream_doubted"); got != "1" {
				t.Errorf("the gauge of doubted reports is %q", got)
			}
			s.SetFaults(store.Faults{})
			for end := time.Now().Add(7 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				served()
			}
			if far.totalRuns() != before {
				t.Errorf("%d requests reached the upstream that had left", far.totalRuns()-before)
			}
			far.leaving.Store(false)
			far.heartbeatOf(int(time.Now().UnixMilli()), 1, "ready")
			waitFor(t, "a response of the next start", served)
		})
	}
}

// A report that does not apply binds nobody, so it must not be acknowledged; least of
// all may it end a later start under the same ID.
func TestLateDepartureOfAnEarlierStartIsNotAcknowledged(t *testing.T) {
	s := store.New(1)
	near, far := startHost(t, s, "near", "i-near"), startHost(t, s, "far", "i-far")
	writeConfig(t, s, 3)
	served := func() bool { status, _, _ := send("GET", near.url("/far/1"), nil); return status == http.StatusOK }
	waitFor(t, "a response", served)
	if status := far.heartbeatOf(far.born+1, 2, "ready"); status != http.StatusOK {
		t.Fatalf("the later start: %d", status)
	}
	if status := far.heartbeatOf(far.born, 9, "draining"); status == http.StatusOK {
		t.Error("the draining of the earlier start was acknowledged")
	}
	if status := far.deregister(); status == http.StatusOK {
		t.Error("the deregistration of the earlier start was acknowledged")
	}
	if !served() {
		t.Error("the later start is not used")
	}
	if status := far.heartbeatOf(far.born+1, 3, "draining"); status != http.StatusOK {
		t.Errorf("its own draining: %d", status)
	}
}

// An upstream that has not left is used again as soon as its node is back.
func TestUpstreamIsUsedAgainAfterItsNodeRestarted(t *testing.T) {
	s := store.New(1)
	near, far := startHost(t, s, "near", "i-near"), startHost(t, s, "far", "i-far")
	writeConfig(t, s, 3)
	served := func() bool { status, _, _ := send("GET", near.url("/far/1"), nil); return status == http.StatusOK }
	waitFor(t, "a response", served)
	far.restartNode()
	far.heartbeat("ready")
	waitFor(t, "a response after the restart", served)
}

func TestPlannedStopInterruptsNoRequest(t *testing.T) {
	s := store.New(1)
	near, far := startHost(t, s, "near", "i-near"), startHost(t, s, "far", "i-far")
	far.workTime = 100 * time.Millisecond
	writeConfig(t, s, 3)
	waitFor(t, "a response", func() bool { status, _, _ := send("GET", near.url("/far/1"), nil); return status == http.StatusOK })
	var callers sync.WaitGroup
	var answered, interrupted atomic.Int64
	for range 4 {
		callers.Go(func() {
			for near.readiness() == http.StatusOK {
				status, body, _ := send("GET", near.url("/far/1"), nil)
				switch {
				case status == http.StatusOK:
					answered.Add(1)
				case status == 0:
					t.Log(body)
					interrupted.Add(1)
				}
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	near.stop()
	callers.Wait()
	<-near.done
	if interrupted.Load() > 0 || answered.Load() == 0 {
		t.Errorf("%d requests answered, %d interrupted", answered.Load(), interrupted.Load())
	}
}

// While a node restarts, the upstream beside it keeps running: other nodes use
// it for at least a third of the stop grace, and none of their requests is
// interrupted.
func TestStoppingNodeServesOtherNodesForAThirdOfItsGrace(t *testing.T) {
	s := store.New(1)
	near, far := startHost(t, s, "near", "i-near"), startHost(t, s, "far", "i-far")
	far.workTime = 30 * time.Millisecond
	writeConfig(t, s, 3)
	waitFor(t, "a response", func() bool { status, _, _ := send("GET", near.url("/far/1"), nil); return status == http.StatusOK })
	began := time.Now()
	far.stop()
	var last time.Duration
	for stopped := false; !stopped; {
		switch status, body, _ := send("GET", near.url("/far/1"), nil); status {
		case http.StatusOK:
			last = time.Since(began)
		case http.StatusServiceUnavailable:
			time.Sleep(5 * time.Millisecond)
		default:
			t.Errorf("after %v: %d %s", time.Since(began), status, body)
		}
		select {
		case <-far.done:
			stopped = true
		default:
		}
	}
	if third := far.cfg.Upstream.StopGrace / 3; last < third {
		t.Errorf("the last request was served %v after the stop began, not %v", last, third)
	}
}

// A node without peers could only refuse requests for services that its own
// upstream does not serve, so it is not ready until it has found other nodes.
func TestNodeWithoutPeersIsNotReadyForASecond(t *testing.T) {
	s := store.New(1)
	writeConfig(t, s, 3)
	began := time.Now()
	alone := startHost(t, s, "near", "i-near")
	for time.Since(began) < 800*time.Millisecond {
		if status := alone.readiness(); status != http.StatusServiceUnavailable {
			t.Fatalf("%d after %v", status, time.Since(began))
		}
		time.Sleep(20 * time.Millisecond)
	}
	waitFor(t, "a lone node's readiness", func() bool { return alone.readiness() == http.StatusOK })
	second := startHost(t, s, "far", "i-far")
	began = time.Now()
	waitFor(t, "readiness beside another", func() bool { return second.readiness() == http.StatusOK })
	if took := time.Since(began); took >= time.Second {
		t.Errorf("a node beside another was ready after %v", took)
	}
}

func TestRequestsSucceedWhileTheStoreIsDown(t *testing.T) {
	s := store.New(1)
	near, far := startHost(t, s, "near", "i-near"), startHost(t, s, "far", "i-far")
	writeConfig(t, s, 3)
	waitFor(t, "a response", func() bool { status, _, _ := send("GET", near.url("/far/1"), nil); return status == http.StatusOK })
	s.SetFaults(store.Faults{Down: true})
	for range 20 {
		if status, _, _ := send("GET", near.url("/far/1"), nil); status != http.StatusOK {
			t.Errorf("with the store down: status %d", status)
		}
	}
	_ = far
}

// Beyond some 940,000 bytes in the store, nodes that do not watch it stayed on an older
// configuration for good: encoded for peers, the newer ones exceeded the size limit of
// what peers accept.
func TestNodesThatDoNotWatchTakeAConfigurationOfTheStoresMaximumSize(t *testing.T) {
	const hosts = 10 // of which eight watch
	s := store.New(1)
	var fleet []*host
	for n := range hosts {
		fleet = append(fleet, startHost(t, s, "near", fmt.Sprint("i-", n)))
	}
	writeConfig(t, s, 3)
	awaitNumber := func(number uint64) {
		t.Helper()
		waitFor(t, fmt.Sprint("configuration ", number, " on all hosts"), func() bool {
			c := &client.Client{BaseURL: "http://" + fleet[0].cfg.Operators.Listen, Token: fleet[0].cfg.Operators.Token, Operator: "ann", HTTP: http.DefaultClient}
			var out api.HostsResponse
			if err := c.Get(context.Background(), api.PathHosts, &out); err != nil || len(out.Hosts) != hosts {
				return false
			}
			for _, h := range out.Hosts {
				if h.Number != number {
					return false
				}
			}
			return true
		})
	}
	awaitNumber(3)
	// Routes with few fields grow most when they are encoded for peers.
	var routes strings.Builder
	const limit = 1<<20 - 300
	for n := 0; routes.Len() < limit-100; n++ {
		fmt.Fprintf(&routes, `"%x":{"host":"h","path_prefix":"/%x/","route_type":"upload","timeout_s":1,"service":"near"},`, n, n)
	}
	// A node decides anew whether it watches when its watch has ended.
	for number := uint64(4); number <= 6; number++ {
		value := fmt.Sprintf(`{"version":"%x","routes":{%s"last":{"host":"a.example","path_prefix":"/%d/","route_type":"idempotent","timeout_s":2,"service":"near"}},"services":{"near":{}},"limits":{}}`,
			number, routes.String(), number)
		e, err := s.Get(context.Background(), platform.KeyConfig)
		if err == nil {
			_, err = s.CompareAndSwap(context.Background(), platform.KeyConfig, e.Revision, []byte(value), "")
		}
		if err != nil {
			t.Fatal(err)
		}
		awaitNumber(number)
	}
}

func TestOperatorsSeeTheFleetButCannotWrite(t *testing.T) {
	s := store.New(1)
	near, far := startHost(t, s, "near", "i-near"), startHost(t, s, "far", "i-far")
	writeConfig(t, s, 7)
	c := &client.Client{BaseURL: "http://" + near.cfg.Operators.Listen, Token: near.cfg.Operators.Token, Operator: "ann", HTTP: http.DefaultClient}
	waitFor(t, "both hosts with the configuration", func() bool {
		var out api.HostsResponse
		if err := c.Get(context.Background(), api.PathHosts, &out); err != nil || len(out.Hosts) != 2 {
			return false
		}
		return out.Hosts[0].Number == 7 && out.Hosts[1].Number == 7
	})
	if _, err := c.Validate(context.Background(), []byte(`{}`)); api.CodeOf(err, api.OK) != api.OperatorElsewhere {
		t.Errorf("validate a document: %v", err)
	}
	if out, err := c.Apply(context.Background(), []byte(`{}`), 0); err == nil && out.Error == nil {
		t.Errorf("a document was accepted: %+v", out)
	}
	_ = far
}

func TestHistogramTotalsMatchRequestsSent(t *testing.T) {
	s := store.New(1)
	near, far := startHost(t, s, "near", "i-near"), startHost(t, s, "far", "i-far")
	writeConfig(t, s, 7)
	sent := 0
	sendOK := func() bool {
		sent++
		status, _, _ := send("GET", near.url("/far/1"), nil)
		return status == http.StatusOK
	}
	waitFor(t, "a configuration", func() bool { return near.readiness() == http.StatusOK })
	waitFor(t, "a response", sendOK)
	for range 50 {
		if !sendOK() {
			t.Error("a request failed")
		}
	}
	if status, _, _ := send("GET", near.url("/nowhere"), nil); status != http.StatusNotFound {
		t.Errorf("a path without a route: status %d", status)
	}
	sent++
	if got := scrape.RequestCount(t, "http://"+near.cfg.Operators.Listen, "", metrics.Entry); got != sent {
		t.Errorf("the entry counted %d of %d requests", got, sent)
	}
	if got := scrape.RequestCount(t, "http://"+far.cfg.Operators.Listen, "", metrics.Gate); got < 51 || got > sent {
		t.Errorf("the gate counted %d of %d requests", got, sent)
	}
}
