package operated_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/kvstore"
	"github.com/daisytide/daisytide/internal/process/operator/client"
	"github.com/daisytide/daisytide/internal/request/call"
	"github.com/daisytide/daisytide/internal/request/hop"
	"github.com/daisytide/daisytide/internal/standin/store"
	"github.com/daisytide/daisytide/internal/version/traffic"
	"github.com/daisytide/daisytide/platform"
)

// evacuationBound is how long after the store's response to the operator's write an
// evacuated data centre may still get requests.
const evacuationBound = 5 * time.Second

// setEvacuated writes or removes the operator's order for a data centre.
func setEvacuated(t *testing.T, s *store.Store, dataCentre string, evacuated bool) {
	t.Helper()
	key := platform.PrefixEvacuation + dataCentre
	e, err := s.Get(context.Background(), key)
	var value []byte
	if evacuated {
		value = []byte("{}")
	}
	if err == nil {
		_, err = s.CompareAndSwap(context.Background(), key, e.Revision, value, "")
	}
	if err != nil {
		t.Fatal(err)
	}
}

// evacuated returns the data centres that a node shows as evacuated, in its status and
// in its list of hosts.
func (h *host) evacuated() string {
	c := &client.Client{BaseURL: "http://" + h.cfg.Operators.Listen, Token: h.cfg.Operators.Token, Operator: "ann", HTTP: http.DefaultClient}
	var status api.StatusResponse
	var hosts api.HostsResponse
	if err := c.Get(context.Background(), api.PathStatus, &status); err != nil {
		return err.Error()
	}
	if err := c.Get(context.Background(), api.PathHosts, &hosts); err != nil {
		return err.Error()
	}
	if !slices.Equal(status.Evacuated, hosts.Evacuated) {
		return fmt.Sprint(status.Evacuated, " and ", hosts.Evacuated)
	}
	return strings.Join(status.Evacuated, " ")
}

// awaitEvacuated waits until all nodes show these data centres as evacuated.
func awaitEvacuated(t *testing.T, fleet []*host, want string) {
	t.Helper()
	for _, h := range fleet {
		waitFor(t, fmt.Sprintf("the evacuation of %q at %s", want, h.id), func() bool { return h.evacuated() == want })
	}
}

// get sends a request of a caller and returns status and whole response.
func get(t *testing.T, url string) *http.Response {
	t.Helper()
	r, err := http.NewRequest("GET", url, nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "a.example"
	r.Header.Set(platform.HeaderRequestID, strconv.FormatInt(requestCount.Add(1), 16))
	r.Header.Set(platform.HeaderDeadlineMillis, "2000")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp
}

// codeAtGate sends a request to the gate of a node, as an entry does that does not know of
// an evacuation, and returns the result code.
func (h *host) codeAtGate(t *testing.T) string {
	t.Helper()
	r, err := http.NewRequest("GET", "http://"+h.cfg.Operated.Gate+"/far/1", nil)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	request := hop.Request{Service: h.service, Version: "v1", Route: "far", Kind: traffic.Idempotent, CallerService: "near", Deadline: now.Add(2 * time.Second), Objective: now.Add(time.Second)}
	request.EncodeHeader(r.Header, now)
	r.Header.Set(platform.HeaderRequestID, strconv.FormatInt(requestCount.Add(1), 16))
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	return resp.Header.Get(call.HeaderCode)
}

// awaitServed waits until a node's callers get responses of this host's upstream.
func awaitServed(t *testing.T, from, by *host) {
	t.Helper()
	before := by.totalRuns()
	waitFor(t, by.id+" to serve callers of "+from.id, func() bool {
		send("GET", from.url("/"+by.service+"/1"), nil)
		return by.totalRuns() > before
	})
}

// threeDataCentres starts a node beside an upstream of the service far in the data
// centres a and b, and one of the service near in c.
func threeDataCentres(t *testing.T, s *store.Store) (a, b, c *host) {
	t.Helper()
	a, b, c = startHostIn(t, s, "a", "far", "i-a"), startHostIn(t, s, "b", "far", "i-b"), startHostIn(t, s, "c", "near", "i-c")
	writeConfig(t, s, 3)
	for _, from := range []*host{a, b, c} {
		waitFor(t, "responses to callers of "+from.id, func() bool {
			far, _, _ := send("GET", from.url("/far/1"), nil)
			near, _, _ := send("GET", from.url("/near/1"), nil)
			return far == http.StatusOK && near == http.StatusOK
		})
	}
	awaitServed(t, c, a)
	awaitServed(t, c, b)
	return a, b, c
}

// Without the change an order has no effect. It guards against requests that reach an
// evacuated data centre, callers there that are refused, and an order that outlasts its
// removal.
func TestEvacuatedDataCentreGetsNoRequestsUntilTheOrderIsRemoved(t *testing.T) {
	s := store.New(1)
	a, b, c := threeDataCentres(t, s)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var refused atomic.Int64
	for _, from := range []*host{a, c} {
		callers.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				if status, _, _ := send("GET", from.url("/far/1"), nil); status != http.StatusOK {
					refused.Add(1)
				}
			}
		})
	}
	began := time.Now()
	setEvacuated(t, s, "a", true)
	awaitEvacuated(t, []*host{a, b, c}, "a")
	t.Logf("all nodes showed the order after %v", time.Since(began))
	// Requests that were in progress when the order came end normally.
	time.Sleep(50 * time.Millisecond)
	if took := time.Since(began); took > evacuationBound {
		t.Errorf("the order was in force after %v", took)
	}
	runsAtA, runsAtB := a.totalRuns(), b.totalRuns()
	for range 100 {
		send("GET", a.url("/far/1"), nil)
		send("GET", c.url("/far/1"), nil)
	}
	if n := a.totalRuns() - runsAtA; n != 0 {
		t.Errorf("%d requests reached the evacuated data centre", n)
	}
	if n := b.totalRuns() - runsAtB; n < 200 {
		t.Errorf("the other data centre served %d of 200 requests", n)
	}
	if code, runs := a.codeAtGate(t), a.totalRuns(); code != strconv.Itoa(int(api.CallEvacuated)) || runs != runsAtA {
		t.Errorf("the gate of the evacuated data centre returned the code %q and had %d runs", code, runs-runsAtA)
	}
	close(stop)
	callers.Wait()
	if n := refused.Load(); n != 0 {
		t.Errorf("%d requests were refused although the other data centre serves", n)
	}
	setEvacuated(t, s, "a", false)
	awaitEvacuated(t, []*host{a, b, c}, "")
	awaitServed(t, a, a)
	awaitServed(t, c, a)
	runsAtA = a.totalRuns()
	if code := a.codeAtGate(t); a.totalRuns() != runsAtA+1 {
		t.Errorf("after the removal the gate returned the code %q", code)
	}
}

// Guards against requests that wait for their deadline because a service serves only in
// evacuated data centres, and against an order that replaces another.
func TestServiceWithoutUpstreamsOutsideEvacuatedDataCentresIsRefusedAtOnce(t *testing.T) {
	s := store.New(1)
	a, b, c := threeDataCentres(t, s)
	setEvacuated(t, s, "a", true)
	setEvacuated(t, s, "b", true)
	awaitEvacuated(t, []*host{a, b, c}, "a b")
	runs := a.totalRuns() + b.totalRuns()
	for _, from := range []*host{a, b, c} {
		began := time.Now()
		resp := get(t, from.url("/far/1"))
		after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(call.HeaderCode) != strconv.Itoa(int(api.CallEvacuated)) || err != nil || after <= 0 {
			t.Errorf("%s: %d, %v", from.id, resp.StatusCode, resp.Header)
		}
		if took := time.Since(began); took > time.Second {
			t.Errorf("%s refused after %v", from.id, took)
		}
		if status, _, _ := send("GET", from.url("/near/1"), nil); status != http.StatusOK {
			t.Errorf("%s: status %d of a service elsewhere", from.id, status)
		}
	}
	if n := a.totalRuns() + b.totalRuns() - runs; n != 0 {
		t.Errorf("%d requests reached the evacuated data centres", n)
	}
	setEvacuated(t, s, "b", false)
	awaitEvacuated(t, []*host{a, b, c}, "a")
	awaitServed(t, a, b)
}

// refusingStore turns a node away while refuse is set.
type refusingStore struct {
	*store.Store
	refuse atomic.Bool
}

func (r *refusingStore) err(op, key string) error {
	if r.refuse.Load() {
		return &kvstore.Error{Op: op, Key: key, Outcome: kvstore.OutcomeNotReached}
	}
	return nil
}

func (r *refusingStore) Get(ctx context.Context, key string) (kvstore.Entry, error) {
	if err := r.err("get", key); err != nil {
		return kvstore.Entry{}, err
	}
	return r.Store.Get(ctx, key)
}

func (r *refusingStore) List(ctx context.Context, prefix string, stale bool) ([]kvstore.Entry, uint64, error) {
	// Without the entries of other nodes this one would find no peers.
	if err := r.err("list", prefix); err != nil && prefix == platform.PrefixOperator {
		return nil, 0, err
	}
	return r.Store.List(ctx, prefix, stale)
}

func (r *refusingStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]kvstore.Entry, uint64, error) {
	entries, revision, err := r.Store.Watch(ctx, prefix, after, wait)
	if refused := r.err("watch", prefix); refused != nil {
		return nil, 0, refused
	}
	return entries, revision, err
}

// Guards against a node that does not learn of orders and of their removal because the
// store refuses it, also if it starts meanwhile, and against the use of the upstream
// beside a node that starts during an evacuation.
func TestNodesLearnOfEvacuationsFromPeersAndAtTheirStart(t *testing.T) {
	for name, refused := range map[string]bool{"the store serves the node": false, "the store refuses the node": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := store.New(1)
			refusing := &refusingStore{Store: s}
			a := startHostIn(t, refusing, "a", "far", "i-a")
			b, c := startHostIn(t, s, "b", "far", "i-b"), startHostIn(t, s, "c", "near", "i-c")
			writeConfig(t, s, 3)
			awaitServed(t, a, a)
			awaitServed(t, c, a)
			awaitServed(t, c, b)
			refusing.refuse.Store(refused)
			setEvacuated(t, s, "a", true)
			awaitEvacuated(t, []*host{a, b, c}, "a")
			runs := a.totalRuns()
			a.restartNode()
			for end := time.Now().Add(2 * time.Second); time.Now().Before(end); {
				a.heartbeat("ready")
				send("GET", a.url("/far/1"), nil)
				send("GET", c.url("/far/1"), nil)
			}
			if n := a.totalRuns() - runs; n != 0 {
				t.Errorf("%d requests reached the evacuated data centre after the node's restart", n)
			}
			awaitEvacuated(t, []*host{a}, "a")
			awaitServed(t, a, b)
			setEvacuated(t, s, "a", false)
			awaitEvacuated(t, []*host{a, b, c}, "")
			awaitServed(t, c, a)
		})
	}
}

// Guards against an order that stays in force on a node that saw its removal first or
// both at once, and against an order for an unknown name that affects others.
func TestShortAndUnknownOrdersChangeNothingForOthers(t *testing.T) {
	s := store.New(1)
	a, b, c := threeDataCentres(t, s)
	for range 10 {
		setEvacuated(t, s, "a", true)
		setEvacuated(t, s, "a", false)
	}
	setEvacuated(t, s, "nowhere", true)
	awaitEvacuated(t, []*host{a, b, c}, "nowhere")
	for _, by := range []*host{a, b} {
		awaitServed(t, c, by)
	}
	for range 100 {
		for _, from := range []*host{a, b, c} {
			if status, _, _ := send("GET", from.url("/far/1"), nil); status != http.StatusOK {
				t.Errorf("%s: status %d", from.id, status)
			}
		}
	}
}
