package ingress

import (
	"context"
	"errors"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/h1"
	"github.com/daisytide/daisytide/internal/process/membership"
	"github.com/daisytide/daisytide/internal/request/balancer"
	"github.com/daisytide/daisytide/internal/request/call"
	"github.com/daisytide/daisytide/internal/request/egress"
	"github.com/daisytide/daisytide/internal/request/gate"
	"github.com/daisytide/daisytide/internal/request/hop"
	"github.com/daisytide/daisytide/internal/request/retry"
	"github.com/daisytide/daisytide/internal/version/document"
	"github.com/daisytide/daisytide/internal/version/snapshot"
	"github.com/daisytide/daisytide/internal/version/traffic"
)

// plainHeaders is a header dialect with simple names.
type plainHeaders struct{}

func (plainHeaders) RequestID(h http.Header) (string, string) { return "Id", h.Get("Id") }

func (plainHeaders) TimeLeft(h http.Header) (time.Duration, bool) {
	n, err := strconv.Atoi(h.Get("Left"))
	return time.Duration(n) * time.Millisecond, err == nil
}

func (plainHeaders) SetUpstreamHeaders(http.Header, time.Duration, string, string) {}
func (plainHeaders) NotExecuted(*h1.Response) (bool, bool)                         { return false, false }
func (plainHeaders) SetAccount(http.Header, string)                                {}
func (plainHeaders) SetUnauthorized(http.Header)                                   {}
func (plainHeaders) TakeKey(h http.Header) string {
	key := h.Get("Key")
	delete(h, "Key")
	return key
}
func (plainHeaders) Signed(*h1.Response) bool { return true }
func (plainHeaders) SetRetryAfter(h http.Header, after time.Duration) {
	h.Set("Back", strconv.FormatInt(after.Milliseconds(), 10))
}

type oneVersion struct{}

func (oneVersion) ChooseVersion(*membership.Index, string, float64) string { return "v1" }

// harness is an ingress among gates that return the planned results in order.
type harness struct {
	ingress *Ingress
	// results are the results of the attempts; sent counts them.
	results []hop.Result
	mu      sync.Mutex
	sent    int
	// hang makes an attempt wait for the end of its context.
	hang bool
	// evacuated holds the nodes whose gates refuse because of an evacuation.
	evacuated          map[string]bool
	evacuationRefusals int
	// onHandle, if set, is called during each attempt.
	onHandle func()
}

func (r *harness) handle(ctx context.Context, node string) hop.Result {
	if r.evacuated[node] {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.evacuationRefusals++
		return hop.Refuse(api.CallEvacuated, 100*time.Millisecond, nil)
	}
	r.mu.Lock()
	i := r.sent
	r.sent++
	r.mu.Unlock()
	if r.onHandle != nil {
		r.onHandle()
	}
	if r.hang {
		<-ctx.Done()
		return hop.Result{Code: api.CallTimeout, Ran: api.RanUnknown, Err: ctx.Err()}
	}
	if i >= len(r.results) {
		return hop.Refuse(api.CallShed, 0, nil)
	}
	return r.results[i]
}

// Handle implements LocalGate. The remote gates return results from the same
// list.
func (r *harness) Handle(ctx context.Context, _ *hop.Request, _ *h1.Request) hop.Result {
	return r.handle(ctx, "self")
}

// Load implements LocalGate.
func (r *harness) Load() gate.Load { return gate.Load{Slots: 10} }

func routes() traffic.Config {
	route := func(name string, kind traffic.RequestKind, priority int) traffic.Route {
		return traffic.Route{
			Name: name, Host: "a", Prefix: "/" + name + "/", Kind: kind, TimeLimit: 200 * time.Millisecond,
			Objective: 100 * time.Millisecond, Priority: priority, Attempts: 2, Shares: []traffic.WeightedService{{Service: "s", Weight: 1}},
		}
	}
	return traffic.Config{
		Services: []traffic.Service{{Name: "s"}},
		Routes:   []traffic.Route{route("read", traffic.Idempotent, 1), route("once", traffic.Once, 1), route("call", traffic.Idempotent, 1)},
	}
}

// newHarness returns an ingress with a gate at its own node and at others.
func newHarness(t *testing.T, others int, plan ...hop.Result) *harness {
	t.Helper()
	r := &harness{results: plan}
	members := membership.NewTable()
	add := func(address, gate string) {
		members.Merge(membership.Record{
			Address: address, Gate: gate, DataCentre: "a", Incarnation: 1, State: membership.Alive,
			Service: "s", Version: "v1", Upstream: api.UpstreamReady, Slots: 10,
		})
	}
	add("self", "")
	for i := range others {
		name := "other" + strconv.Itoa(i)
		s := &h1.Server{
			Handler: func(ctx context.Context, _ *h1.Request) *h1.Response {
				return egress.BuildResponse(r.handle(ctx, name), gate.Load{Slots: 10})
			},
			Limits: func() h1.Limits {
				return h1.Limits{HeaderBytes: 1 << 16, BodyBytes: 1 << 20, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}
			},
			MaxBufferedBytes: 1 << 20, DeferContinue: true,
		}
		l, err := h1.Listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		go func() { _ = s.Serve(l) }()
		add(name, l.Addr().String())
	}
	holder := &snapshot.Holder{}
	holder.StoreIfNewer(snapshotOf(t, 1, routes()))
	r.ingress = &Ingress{
		Self: "self", Service: "s", Holder: holder, Members: members, Versions: oneVersion{},
		Picker: &balancer.Picker{Self: "self", DataCentre: "a"}, Budget: retry.NewBudgetWithBurst(func() float64 { return 10 }), RetryPercent: 10,
		Local: r, Client: &h1.Client{DialTimeout: time.Second, MaxIdleConns: 4}, Dialect: plainHeaders{},
	}
	return r
}

func snapshotOf(t *testing.T, number uint64, c traffic.Config) *snapshot.Snapshot {
	t.Helper()
	envelope, err := (&document.AcceptedConfig{Number: number, Traffic: &c}).Encode()
	if err != nil {
		t.Fatal(err)
	}
	s, err := snapshot.Build(envelope)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func (r *harness) get(path string, headers ...string) *h1.Response {
	h := http.Header{"Id": {"7"}}
	for i := 0; i+1 < len(headers); i += 2 {
		h.Set(headers[i], headers[i+1])
	}
	return r.ingress.Serve(context.Background(), &h1.Request{Method: "GET", Target: path, Host: "a", Header: h, ReceivedAt: time.Now()})
}

func answered(status int) hop.Result {
	return hop.Result{Code: api.OK, Ran: api.RanYes, Response: &h1.Response{Status: status, Header: http.Header{}}}
}

var (
	cutConnection   = hop.Result{Code: api.CallCut, Ran: api.RanUnknown, Err: errors.New("cut")}
	shed            = hop.Refuse(api.CallShed, 30*time.Millisecond, nil)
	upstreamRefused = hop.Result{Code: api.CallShed, Ran: api.RanNo, UpstreamRefused: true}
)

func TestStatusReflectsWhetherTheRequestRan(t *testing.T) {
	for _, tc := range []struct {
		name, path string
		plan       []hop.Result
		status     int
		sent       int
	}{
		{"answered", "/once/1", []hop.Result{answered(200)}, 200, 1},
		{"no route", "/lacking/1", nil, 404, 0},
		{"refused everywhere", "/once/1", []hop.Result{shed, shed, shed}, 503, 3},
		{"refused, then answered", "/once/1", []hop.Result{shed, answered(200)}, 200, 2},
		{"run-once request that may have run", "/once/1", []hop.Result{cutConnection, answered(200)}, 502, 1},
		{"run-once request whose upstream failed", "/once/1", []hop.Result{answered(500), answered(200)}, 500, 1},
		{"idempotent request after a cut connection", "/read/1", []hop.Result{cutConnection, answered(200)}, 200, 2},
		{"idempotent request is limited to two upstreams", "/read/1", []hop.Result{cutConnection, cutConnection, answered(200)}, 502, 2},
		{"may have run, then refused elsewhere", "/read/1", []hop.Result{cutConnection, shed, shed}, 502, 3},
		{"failed, then refused elsewhere", "/read/1", []hop.Result{answered(500), shed, shed}, 500, 3},
		{"failed, then cut", "/read/1", []hop.Result{answered(500), cutConnection}, 500, 2},
		{"too slow at one upstream, then answered", "/once/1", []hop.Result{hop.Refuse(api.CallNoTime, 0, nil), answered(200)}, 200, 2},
		{"quarantined", "/once/1", []hop.Result{hop.Refuse(api.CallQuarantined, 0, nil), answered(200)}, 503, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newHarness(t, 3, tc.plan...)
			resp := r.get(tc.path)
			if resp.Status != tc.status || r.sent != tc.sent {
				t.Errorf("status %d after %d attempts, want %d after %d", resp.Status, r.sent, tc.status, tc.sent)
			}
			if (resp.Status == 503) != (resp.Header.Get("Back") != "") {
				t.Errorf("status %d, retry after %q", resp.Status, resp.Header.Get("Back"))
			}
		})
	}
}

func TestRefusalsByUpstreamsSpendTheRetryBudget(t *testing.T) {
	r := newHarness(t, 3)
	r.ingress.Budget = retry.NewBudgetWithBurst(func() float64 { return 3 })
	r.ingress.RetryPercent = 0.001
	for range 20 {
		r.results = append(r.results, upstreamRefused, upstreamRefused)
	}
	for range 10 {
		r.get("/once/1")
	}
	if extra := r.sent - 10; extra > 3 {
		t.Errorf("%d attempts beyond the first with a budget of 3", extra)
	}
}

func TestRequestEndsAtTheTimeLimitOfTheRoute(t *testing.T) {
	r := newHarness(t, 0)
	r.hang = true
	began := time.Now()
	resp := r.get("/once/1", "Left", "60000")
	if took := time.Since(began); resp.Status != 504 || took < 200*time.Millisecond || took > 5*time.Second {
		t.Errorf("status %d after %v", resp.Status, took)
	}
}

func TestNodeWithoutConfigurationRefusesRequestsAsNotRun(t *testing.T) {
	r := newHarness(t, 0)
	r.ingress.Holder = &snapshot.Holder{}
	if resp := r.get("/once/1"); resp.Status != 503 || r.sent != 0 {
		t.Errorf("status %d", resp.Status)
	}
}

func TestRetryAfterIsAtMostAThirdOfTheTimeLeft(t *testing.T) {
	r := newHarness(t, 0, hop.Refuse(api.CallShed, time.Hour, nil))
	resp := r.get("/once/1", "Left", "150")
	if back, err := strconv.Atoi(resp.Header.Get("Back")); err != nil || back < 1 || back > 50 {
		t.Errorf("retry after %q ms, want 1 to 50", resp.Header.Get("Back"))
	}
}

func TestObjectiveOfARetriedRequestIsNearer(t *testing.T) {
	r := newHarness(t, 0)
	route := r.ingress.Holder.Current().Traffic.Find("a", "/read/1")
	objectiveWith := func(left string) (objective time.Duration, returned bool) {
		in := &h1.Request{Host: "a", Header: http.Header{"Left": {left}}, ReceivedAt: time.Now()}
		req := r.ingress.newRequest(in, route, r.ingress.Holder.Current())
		return req.Objective.Sub(in.ReceivedAt), req.Returned
	}
	if first, returned := objectiveWith("150"); first != 100*time.Millisecond || returned {
		t.Errorf("first: %v, returned %v", first, returned)
	}
	if second, returned := objectiveWith("110"); second != 60*time.Millisecond || !returned {
		t.Errorf("with 40 ms used up: %v, returned %v", second, returned)
	}
	if late, returned := objectiveWith("145"); late != 95*time.Millisecond || returned {
		t.Errorf("with 5 ms used up: %v, returned %v", late, returned)
	}
}

// A node goes silent on a kept connection. A request that must run at most once
// may go to another node only while its body has not been requested.
func TestSilentNodeIsAbandonedForAnother(t *testing.T) {
	r := newHarness(t, 0, answered(200))
	r.ingress.Holder.Current().Traffic.Config.Routes[1].TimeLimit = time.Minute
	r.ingress.Members.Merge(membership.Record{
		Address: "self", Gate: "", DataCentre: "b", Incarnation: 2, State: membership.Alive,
		Service: "s", Version: "v1", Upstream: api.UpstreamReady, Slots: 10,
	})
	r.ingress.Members.Merge(membership.Record{
		Address: "silent", Gate: silentGate(t), DataCentre: "a", Incarnation: 1, State: membership.Alive,
		Service: "s", Version: "v1", Upstream: api.UpstreamReady, Slots: 10,
	})
	in := &h1.Request{Method: "POST", Target: "/once/1", Host: "a", Header: http.Header{}, Body: []byte("b"), ReceivedAt: time.Now()}
	if resp := r.ingress.Serve(context.Background(), in); resp.Status != 200 {
		t.Errorf("status %d after %d attempts at the other node", resp.Status, r.sent)
	}
}

// silentGate accepts connections and never responds.
func silentGate(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
		}
	}()
	return l.Addr().String()
}

// The host of a service's only upstream is gone. Callers are refused at once
// with the longest possible retry delay, and only one request probes the host.
// The clock is that of the bubble: on the machine's own, a pause of the process
// between two statements of a caller counted as waiting.
func TestRequestsForAnUnreachableServiceAreRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newHarness(t, 0)
		for i := range r.ingress.Holder.Current().Traffic.Config.Routes {
			r.ingress.Holder.Current().Traffic.Config.Routes[i].TimeLimit = 3 * time.Second
		}
		r.ingress.Members.Merge(membership.Record{
			Address: "self", DataCentre: "a", Incarnation: 2, State: membership.Alive, Service: "other", Version: "v1", Upstream: api.UpstreamReady, Slots: 10,
		})
		r.ingress.Members.Merge(membership.Record{
			Address: "gone", Gate: "gone:1", DataCentre: "a", Incarnation: 1, State: membership.Alive,
			Service: "s", Version: "v1", Upstream: api.UpstreamReady, Slots: 10,
		})
		var dials atomic.Int64
		r.ingress.Client.Dial = silentConn(t, &dials)
		if resp := r.get("/read/1"); resp.Status == http.StatusOK {
			t.Fatalf("status %d from a silent gate", resp.Status)
		}
		const callers = 10
		dials.Store(0)
		var atOnce atomic.Int64
		var all sync.WaitGroup
		for range callers {
			all.Go(func() {
				began := time.Now()
				resp := r.get("/read/1")
				back, _ := strconv.Atoi(resp.Header.Get("Back"))
				if resp.Status == http.StatusServiceUnavailable && time.Since(began) == 0 && back == 990 {
					atOnce.Add(1)
				}
			})
		}
		all.Wait()
		if n := atOnce.Load(); n != callers-1 || dials.Load() != 1 {
			t.Errorf("%d of %d requests were refused at once with the longest retry delay and %d probed, want all but one and one", n, callers, dials.Load())
		}
	})
}

// silentConn returns a Dial that opens connections to a peer that reads and never
// responds, and counts them.
func silentConn(t *testing.T, dials *atomic.Int64) func(context.Context, string, string) (net.Conn, error) {
	return func(context.Context, string, string) (net.Conn, error) {
		dials.Add(1)
		near, far := net.Pipe()
		t.Cleanup(func() { _ = far.Close() })
		go func() { _, _ = io.Copy(io.Discard, far) }()
		return near, nil
	}
}

func TestStateOfRemovedRoutesIsPruned(t *testing.T) {
	r := newHarness(t, 0, answered(200))
	r.get("/read/1", "Left", "150")
	r.ingress.recordRunTime("gone", time.Second)
	r.ingress.timeSpent("gone", time.Second)
	r.ingress.PruneRoutes(r.ingress.Holder.Current())
	if r.ingress.meanRunTime("gone") != 0 {
		t.Error("the mean run time of a removed route is kept")
	}
	if _, ok := r.ingress.maxTimeLeft.Load("gone"); ok {
		t.Error("the callers' time limit of a removed route is kept")
	}
	if _, ok := r.ingress.maxTimeLeft.Load("read"); !ok {
		t.Error("the state of a configured route was dropped")
	}
}

// A silent node counts as unreachable, so that later requests go elsewhere at
// once.
func TestResultsMapToOutcomes(t *testing.T) {
	for _, tc := range []struct {
		name string
		res  hop.Result
		want balancer.Outcome
	}{
		{"answered", answered(200), balancer.Success},
		{"failed by the upstream", answered(500), balancer.Failure},
		{"connection cut", cutConnection, balancer.Failure},
		{"silent", hop.Result{Code: api.CallCut, Ran: api.RanUnknown, Err: &h1.Error{Failure: h1.FirstByteTimedOut, Sent: true, FullySent: true}}, balancer.Unreachable},
		{"silent before the body", hop.Refuse(api.CallNotReached, 0, &h1.Error{Failure: h1.FirstByteTimedOut, Sent: true}), balancer.Unreachable},
		{"shed", shed, balancer.Inconclusive},
		{"leaving", hop.Refuse(api.CallLeaving, 0, nil), balancer.Draining},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := outcomeOf(tc.res); got != tc.want {
				t.Errorf("outcome %d, want %d", got, tc.want)
			}
		})
	}
}

// Disconnecting callers must not get the nodes ejected that serve them.
func TestDisconnectedCallerIsInconclusive(t *testing.T) {
	disconnected, cancel := context.WithCancel(context.Background())
	cancel()
	expired, cancelLate := context.WithDeadline(context.Background(), time.Unix(1, 0))
	defer cancelLate()
	for name, res := range map[string]hop.Result{
		"cut": cutConnection, "not reached": hop.Refuse(api.CallNotReached, 0, nil), "timed out": {Code: api.CallTimeout, Ran: api.RanUnknown},
	} {
		if got := outcomeFor(disconnected, res); got != balancer.Inconclusive {
			t.Errorf("%s, the caller disconnected: outcome %d", name, got)
		}
		for _, ctx := range []context.Context{context.Background(), expired} {
			if got := outcomeFor(ctx, res); got != outcomeOf(res) || got == balancer.Inconclusive {
				t.Errorf("%s, the caller waits: outcome %d", name, got)
			}
		}
	}
}

// Attempts that end because their callers disconnect must leave every node
// selectable.
func TestDisconnectingCallersDoNotEjectNodes(t *testing.T) {
	r := newHarness(t, 1)
	r.hang = true
	for range 12 {
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(10*time.Millisecond, cancel)
		r.ingress.Serve(ctx, &h1.Request{Method: "GET", Target: "/read/1", Host: "a", Header: http.Header{"Id": {"7"}}, ReceivedAt: time.Now()})
	}
	for _, record := range r.ingress.Members.Index().Members {
		tried := []string{"self", "other0"}
		if record.Address == "self" {
			tried = tried[1:]
		} else {
			tried = tried[:1]
		}
		key := membership.UpstreamKey{Service: "s", Version: "v1"}
		picked, ok := r.ingress.Picker.PickByExpectedTime(r.ingress.Members.Index(), key, tried, time.Now(), rand.New(rand.NewPCG(1, 1)), balancer.Requirements{})
		if !ok || picked.Ejected(time.Now()) {
			t.Errorf("%s is ejected", record.Address)
		}
	}
}

// servingVersion chooses the first version of the service that serves.
type servingVersion struct{}

func (servingVersion) ChooseVersion(x *membership.Index, _ string, _ float64) string {
	for _, v := range []string{"v1", "v2"} {
		if len(x.Serving[membership.UpstreamKey{Service: "s", Version: v}]) > 0 {
			return v
		}
	}
	return ""
}

// locate moves a node of the harness to a data centre and gives its upstream a version.
func (r *harness) locate(t *testing.T, address, dataCentre, version string) {
	t.Helper()
	record, ok := r.ingress.Members.Get(address)
	if !ok {
		t.Fatalf("no member %s", address)
	}
	record.Sequence++
	record.DataCentre, record.Version = dataCentre, version
	r.ingress.Members.Merge(record)
}

// Guards against an entry that, before it knows of an evacuation, spends its attempts on
// further nodes of the evacuated data centre or on a version that serves only there, and
// against the ejection of nodes that refuse for this reason.
func TestRefusalBecauseOfAnEvacuationLeadsToAnotherDataCentre(t *testing.T) {
	for name, tc := range map[string]struct {
		// dataCentres and versions are those of self and of each other node.
		dataCentres, versions []string
		// evacuated is the number of the nodes, from the first on, that refuse.
		evacuated int
		// refusals and status are those of one request.
		refusals, status int
		// full is set if the first other node is full.
		full bool
	}{
		"same version":                         {[]string{"a", "a", "a", "a", "a", "b"}, []string{"v1", "v1", "v1", "v1", "v1", "v1"}, 5, 1, 200, false},
		"another version":                      {[]string{"a", "a", "a", "a", "a", "b"}, []string{"v1", "v1", "v1", "v1", "v1", "v2"}, 5, 1, 200, false},
		"several data centres":                 {[]string{"a", "b", "c", "d", "e"}, []string{"v1", "v1", "v1", "v1", "v2"}, 4, 4, 200, false},
		"nowhere else":                         {[]string{"a", "a", "a"}, []string{"v1", "v1", "v1"}, 3, 1, 503, false},
		"several data centres and a full node": {[]string{"a", "b", "c", "d", "e"}, []string{"v1", "v1", "v1", "v1", "v1"}, 3, 3, 200, true},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t, len(tc.dataCentres)-1)
			r.ingress.Versions = servingVersion{}
			r.evacuated = map[string]bool{}
			for i, dataCentre := range tc.dataCentres {
				node := "self"
				if i > 0 {
					node = "other" + strconv.Itoa(i-1)
				}
				r.locate(t, node, dataCentre, tc.versions[i])
				r.evacuated[node] = i < tc.evacuated
			}
			// A node that was ejected would be left out of the later requests.
			const requests = 3
			for range requests {
				r.results, r.sent = []hop.Result{answered(200)}, 0
				if tc.full {
					r.results = []hop.Result{shed, answered(200)}
				}
				resp := r.get("/once/1")
				if resp.Status != tc.status || (resp.Status == 503) != (resp.Header.Get("Back") != "") {
					t.Errorf("status %d, %v", resp.Status, resp.Header)
				}
			}
			if r.evacuationRefusals < requests || r.evacuationRefusals > requests*tc.refusals {
				t.Errorf("%d refusals of %d requests, want at most %d of each", r.evacuationRefusals, requests, tc.refusals)
			}
			for node := range r.evacuated {
				record, _ := r.ingress.Members.Get(node)
				key := membership.UpstreamKey{Service: "s", Version: record.Version}
				others := slices.DeleteFunc(slices.Collect(maps.Keys(r.evacuated)), func(a string) bool { return a == node })
				selection, ok := r.ingress.Picker.PickByExpectedTime(r.ingress.Members.Index(), key, others, time.Now(), rand.New(globalRandom{}), balancer.Requirements{})
				if !ok || selection.Ejected(time.Now()) {
					t.Errorf("%s is ejected", node)
				}
			}
		})
	}
}

// Guards against requests to a data centre that the entry knows to be evacuated, also in
// the choice of a version, and against a late refusal if a service serves only there.
func TestEntrySendsNothingToAnEvacuatedDataCentre(t *testing.T) {
	r := newHarness(t, 2)
	r.ingress.Versions = servingVersion{}
	r.locate(t, "self", "b", "v1")
	r.locate(t, "other0", "b", "v1")
	r.locate(t, "other1", "c", "v2")
	r.ingress.Members.Exclude(map[string]bool{"b": true})
	for range 20 {
		r.results, r.sent = []hop.Result{answered(200)}, 0
		if resp := r.get("/once/1"); resp.Status != 200 || r.sent != 1 {
			t.Fatalf("status %d after %d attempts", resp.Status, r.sent)
		}
	}
	if key := (membership.UpstreamKey{Service: "s", Version: "v1"}); len(r.ingress.Members.Index().Serving[key]) != 0 {
		t.Error("upstreams of the evacuated data centre are offered")
	}
	r.ingress.Members.Exclude(map[string]bool{"b": true, "c": true})
	r.sent = 0
	resp := r.get("/once/1")
	if resp.Status != 503 || r.sent != 0 || resp.Header.Get(call.HeaderCode) != strconv.Itoa(int(api.CallEvacuated)) || resp.Header.Get("Back") == "" {
		t.Errorf("status %d after %d attempts, %v", resp.Status, r.sent, resp.Header)
	}
	r.ingress.Members.Exclude(nil)
	r.results, r.sent = []hop.Result{answered(200)}, 0
	if resp := r.get("/once/1"); resp.Status != 200 {
		t.Errorf("status %d after the evacuation", resp.Status)
	}
}
