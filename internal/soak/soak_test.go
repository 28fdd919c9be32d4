package soak

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/daisytide/daisytide/internal/version/traffic"
	"github.com/daisytide/daisytide/platform"
)

// Each case records what callers and backends observed, and the prefix of the
// violation that the checker must find.
func TestCheckerFindsViolations(t *testing.T) {
	began := time.Unix(1000, 0)
	good := &http.Response{Header: http.Header{signatureHeader: {"signed"}}}
	ran := func(c *checker, id string, times int) {
		for range times {
			c.addRun(id, "/once/1", &backend{service: "s0", host: &host{}})
		}
	}
	for _, tc := range []struct {
		name, prefix string
		undisturbed  bool
		observe      func(c *checker)
	}{
		{"no violation", "", true, func(c *checker) {
			ran(c, "a", 1)
			c.addCall(call{id: "a", path: "/once/1", atMostOnce: true, status: 200}, good, expectedBody("a", "s0"))
		}},
		{"non-idempotent request run twice", "twice", true, func(c *checker) { ran(c, "a", 2); c.addCall(call{id: "a", path: "/once/1", atMostOnce: true}, nil, "") }},
		{"idempotent request run twice", "", true, func(c *checker) { ran(c, "a", 2); c.addCall(call{id: "a", path: "/read/1"}, nil, "") }},
		{"refused request ran", "refused", true, func(c *checker) {
			ran(c, "a", 1)
			c.addCall(call{id: "a", path: "/once/1", atMostOnce: true, status: 503}, good, "")
		}},
		{"response of another request", "mixed", true, func(c *checker) {
			ran(c, "a", 1)
			c.addCall(call{id: "a", path: "/read/1", status: 200}, good, expectedBody("b", "s0"))
		}},
		{"response of a service that did not run the request", "mixed", true, func(c *checker) {
			ran(c, "a", 1)
			c.addCall(call{id: "a", path: "/read/1", status: 200}, good, expectedBody("a", "s1"))
		}},
		{"response without a signature", "mixed", true, func(c *checker) {
			ran(c, "a", 1)
			c.addCall(call{id: "a", path: "/read/1", status: 200}, &http.Response{Header: http.Header{}}, expectedBody("a", "s0"))
		}},
		{"connection closed at a planned stop", "lost", true, func(c *checker) {
			ran(c, "a", 1)
			c.addCall(call{id: "a", path: "/once/1", atMostOnce: true, stopping: true, err: "EOF"}, nil, "")
		}},
		{"connection closed during a disturbance", "", false, func(c *checker) {
			ran(c, "a", 1)
			c.addCall(call{id: "a", path: "/once/1", atMostOnce: true, stopping: true, err: "EOF"}, nil, "")
		}},
		{"request in an evacuated data centre", "evacuated", true, func(c *checker) {
			c.evacuatedSince["c1"] = time.Now().Add(-evacuationLimit - time.Second)
			c.addRun("a", "/read/1", &backend{host: &host{dataCentre: "c1"}})
		}},
		{"request in time after an order, and elsewhere", "", true, func(c *checker) {
			c.evacuatedSince["c1"] = time.Now().Add(-evacuationLimit + time.Second)
			c.addRun("a", "/read/1", &backend{host: &host{dataCentre: "c1"}})
			c.addRun("a", "/read/1", &backend{host: &host{dataCentre: "c2"}})
		}},
		{"request in an evacuated data centre after a pause", "", true, func(c *checker) {
			c.evacuatedSince["c1"] = time.Now().Add(-evacuationLimit - time.Second)
			h := &host{dataCentre: "c1"}
			h.markDelayed(time.Now().Add(-time.Second), time.Second)
			c.addRun("a", "/read/1", &backend{host: h})
		}},
		{"not served after recovery", "recover", true, func(c *checker) {
			c.addCall(call{id: "a", path: "/read/1", sentAt: began.Add(time.Hour), status: 503}, good, "")
		}},
		{"not served outside the recovered range", "", true, func(c *checker) {
			c.addCall(call{id: "a", path: "/read/1", sentAt: began.Add(29 * time.Minute), status: 503}, good, "")
			c.addCall(call{id: "b", path: "/read/1", sentAt: began.Add(4 * time.Hour), status: 503}, good, "")
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			always := func(int, time.Time, time.Time) bool { return tc.undisturbed }
			c := newChecker(always, always)
			tc.observe(c)
			c.addRun("end", "/read/1", &backend{service: "s0", host: &host{}})
			c.addCall(call{id: "end", path: "/read/1", sentAt: began.Add(2 * time.Hour), status: 200}, good, expectedBody("end", "s0"))
			c.checkAtEnd(timeRange{began.Add(30 * time.Minute), began.Add(3 * time.Hour)})
			if tc.prefix == "" && len(c.violations) > 0 || tc.prefix != "" && (len(c.violations) != 1 || !strings.HasPrefix(c.violations[0], tc.prefix+":")) {
				t.Errorf("violations %q, want prefix %q", c.violations, tc.prefix)
			}
		})
	}
}

// Each case is one request of a route in three configurations: the first acknowledged at
// 0 s, the second at 10 s, the third sent but not acknowledged. The checker must find
// what only an older configuration than those that may be in force allows, and no more.
func TestCheckerFindsRequestsThatOnlyOlderConfigurationsAllow(t *testing.T) {
	at := func(seconds float64) time.Time {
		return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
	}
	moved := func(prefix string, shares ...string) map[string]traffic.Route {
		routes := map[string]traffic.Route{}
		if len(shares) > 0 {
			r := newRoute(prefix, shares[0])
			for _, s := range shares[1:] {
				r.Shares = append(r.Shares, traffic.WeightedService{Service: s, Weight: 1})
			}
			routes[prefix] = r
		}
		return routes
	}
	var (
		a, b, ab, none = moved("/x/", "s0"), moved("/x/", "s1"), moved("/x/", "s0", "s1"), moved("/x/")
		calmAndSound   = [2]bool{true, true}
		storeDisturbed = [2]bool{false, true}
		disturbed      = [2]bool{false, false}
	)
	for _, tc := range []struct {
		name, rule string
		// configs are the routes of the three configurations.
		configs [3]map[string]traffic.Route
		// state is whether host and store are calm, and whether the host is undisturbed.
		state [2]bool
		// sent is when the request was sent. The third configuration is sent at 13 s.
		sent float64
		// ranAt is the service that ran the request; noService for an answer 404.
		ranAt string
		// shownAt is when the process served a request as only the second one allows; 0 for
		// never. startedAnew is set if it did so before its latest start.
		shownAt               float64
		startedAnew, stopping bool
	}{
		{"old service", "older configurations allow", [3]map[string]traffic.Route{a, b, b}, calmAndSound, 12.1, "s0", 0, false, false},
		{"old service in time", "", [3]map[string]traffic.Route{a, b, b}, calmAndSound, 11.9, "s0", 0, false, false},
		{"new service", "", [3]map[string]traffic.Route{a, b, b}, calmAndSound, 12.1, "s1", 0, false, false},
		{"service of a configuration not acknowledged", "", [3]map[string]traffic.Route{b, b, a}, calmAndSound, 13.1, "s0", 0, false, false},
		{"old service that a later one allows again", "", [3]map[string]traffic.Route{a, b, a}, calmAndSound, 13.1, "s0", 0, false, false},
		{"old service that a later one will allow again", "older configurations allow", [3]map[string]traffic.Route{a, b, a}, calmAndSound, 12.9, "s0", 0, false, false},
		{"a part of a split", "", [3]map[string]traffic.Route{a, ab, ab}, calmAndSound, 12.1, "s0", 0, false, false},
		{"a part of a split that has ended", "older configurations allow", [3]map[string]traffic.Route{ab, b, b}, calmAndSound, 12.1, "s0", 0, false, false},
		{"added route refused", "refused a route", [3]map[string]traffic.Route{none, a, a}, calmAndSound, 12.1, noService, 0, false, false},
		{"removed route served", "was removed", [3]map[string]traffic.Route{a, none, none}, calmAndSound, 12.1, "s0", 0, false, false},
		{"removed route refused", "", [3]map[string]traffic.Route{a, none, none}, calmAndSound, 12.1, noService, 0, false, false},
		{"service of no configuration", "no configuration allows", [3]map[string]traffic.Route{a, a, a}, disturbed, 1, "s1", 0, false, false},
		{"route of all configurations refused", "no configuration allows", [3]map[string]traffic.Route{a, a, b}, disturbed, 1, noService, 0, false, false},
		{"late while the store is disturbed", "", [3]map[string]traffic.Route{a, b, b}, storeDisturbed, 16.9, "s0", 0, false, false},
		{"too late while the store is disturbed", "older configurations allow", [3]map[string]traffic.Route{a, b, b}, storeDisturbed, 17.1, "s0", 0, false, false},
		{"late at a stopping host", "", [3]map[string]traffic.Route{a, b, b}, calmAndSound, 16.9, "s0", 0, false, true},
		{"too late at a stopping host", "older configurations allow", [3]map[string]traffic.Route{a, b, b}, calmAndSound, 17.1, "s0", 0, false, true},
		{"late at a disturbed host", "", [3]map[string]traffic.Route{a, b, b}, disturbed, 30, "s0", 0, false, false},
		{"older after newer", "went back", [3]map[string]traffic.Route{a, b, b}, calmAndSound, 10.8, "s0", 10.5, false, false},
		{"older soon after newer", "", [3]map[string]traffic.Route{a, b, b}, calmAndSound, 10.7, "s0", 10.5, false, false},
		{"older after newer at a disturbed host", "went back", [3]map[string]traffic.Route{a, b, b}, disturbed, 12.6, "s0", 10.5, false, false},
		{"older soon after newer at a disturbed host", "", [3]map[string]traffic.Route{a, b, b}, disturbed, 12.4, "s0", 10.5, false, false},
		{"older after a restart", "", [3]map[string]traffic.Route{a, b, b}, calmAndSound, 10.8, "s0", 10.5, true, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			always := func(yes bool) func(int, time.Time, time.Time) bool {
				return func(int, time.Time, time.Time) bool { return yes }
			}
			c := newChecker(always(tc.state[1]), always(tc.state[0]))
			for i, routes := range tc.configs {
				c.configs = append(c.configs, &configuration{number: i + 1, routes: routes})
			}
			c.configs[0].ackedAt, c.configs[1].ackedAt, c.configs[2].sentAt = at(0), at(10), at(13)
			observed := call{id: "a", path: "/x/1", start: 2, status: http.StatusOK, sentAt: at(tc.sent), endedAt: at(tc.sent), stopping: tc.stopping}
			if tc.ranAt == noService {
				observed.status = http.StatusNotFound
			} else {
				c.runs["a"] = []run{{tc.ranAt, at(tc.sent)}}
			}
			if tc.shownAt > 0 {
				earlier := call{id: "b", path: "/x/1", start: 2, status: http.StatusOK, sentAt: at(tc.shownAt), endedAt: at(tc.shownAt)}
				if tc.startedAnew {
					earlier.start = 1
				}
				c.runs["b"] = []run{{"s1", at(tc.shownAt)}}
				c.calls = append(c.calls, earlier)
			}
			c.calls = append(c.calls, observed)
			c.checkAtEnd(timeRange{})
			if tc.rule == "" && len(c.violations) > 0 || tc.rule != "" && (len(c.violations) != 1 || !strings.HasPrefix(c.violations[0], "config:") || !strings.Contains(c.violations[0], tc.rule)) {
				t.Errorf("violations %q, want one of %q", c.violations, tc.rule)
			}
		})
	}
}

// Without changes of every kind, a run shows nothing about those that are missing.
func TestConfigurationsChangeRoutesInEveryWay(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	seen := map[string]bool{}
	before := nextConfiguration(rng, nil)
	for range 200 {
		next := nextConfiguration(rng, before)
		if next.number <= before.number || len(next.routes) > len(fixedPrefixes)+maxAddedRoutes {
			t.Fatalf("configuration %d with %d routes after %d", next.number, len(next.routes), before.number)
		}
		for _, prefix := range next.changed {
			old, wasThere := before.routes[prefix]
			r, isThere := next.routes[prefix]
			seen["added"] = seen["added"] || isThere && !wasThere
			seen["removed"] = seen["removed"] || wasThere && !isThere
			seen["moved"] = seen["moved"] || wasThere && len(r.Shares) == 1 && r.Shares[0].Service != old.Shares[0].Service
			seen["split"] = seen["split"] || len(r.Shares) == 2
			seen["limited"] = seen["limited"] || isThere && wasThere && r.TimeLimit != old.TimeLimit
		}
		for _, prefix := range fixedPrefixes {
			if next.allows(prefix, noService) {
				t.Fatalf("configuration %d lacks %s", next.number, prefix)
			}
		}
		before = next
	}
	for _, change := range []string{"added", "removed", "moved", "split", "limited"} {
		if !seen[change] {
			t.Errorf("no route was %s in 200 configurations", change)
		}
	}
}

// Callers that opened a connection for each request would not meet a process that is
// stopping, nor requests that cross the close of a connection.
func TestCallersKeepTheirConnectionUntilItIsClosed(t *testing.T) {
	var opened, requests atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader([]int{http.StatusOK, http.StatusServiceUnavailable, http.StatusNotFound}[requests.Load()%3])
		_, _ = io.WriteString(w, "text")
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	c := newCaller(&host{callers: server.Listener.Addr().String()}, newTestChecker(), &atomic.Int64{})
	rng := rand.New(rand.NewPCG(1, 1))
	for range 50 {
		c.sendOne(t.Context(), rng)
	}
	if opened.Load() != 1 || requests.Load() != 50 {
		t.Errorf("%d requests over %d connections, want 50 over 1", requests.Load(), opened.Load())
	}
	server.CloseClientConnections()
	c.sendOne(t.Context(), rng)
	if opened.Load() != 2 {
		t.Errorf("%d connections, want a second one after the first was closed", opened.Load())
	}
}

// newTestChecker returns a checker with one configuration, for which time limits hold.
func newTestChecker() *checker {
	always := func(int, time.Time, time.Time) bool { return true }
	c := newChecker(always, always)
	c.addConfig(nextConfiguration(nil, nil))
	return c
}

// If the end of a run cancelled requests in flight, they would be recorded as if
// their callers had timed out.
func TestCallsInProgressFinishAtTheEndOfARun(t *testing.T) {
	began := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(began)
		time.Sleep(50 * time.Millisecond)
		w.Header().Set(signatureHeader, "signed")
		_, _ = io.WriteString(w, expectedBody(r.Header.Get(platform.HeaderRequestID), "s0"))
	}))
	defer server.Close()
	check := newTestChecker()
	c := newCaller(&host{callers: server.Listener.Addr().String()}, check, &atomic.Int64{})
	ctx, end := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.run(ctx, 1)
	}()
	<-began
	end()
	<-done
	if len(check.calls) != 1 || check.calls[0].status != http.StatusOK {
		t.Errorf("calls %+v, want one with status 200", check.calls)
	}
}

func TestStallOfTheMachineIsDetected(t *testing.T) {
	var reported time.Duration
	s := stallDetector{onStall: func(_ time.Time, d time.Duration) { reported = d }}
	began := time.Unix(1000, 0)
	s.observe(began, began.Add(stallCheckInterval+minStall/2))
	if s.totalStalled() != 0 || reported != 0 {
		t.Errorf("%v recorded as a stall after a short delay", s.totalStalled())
	}
	s.observe(began, began.Add(3*time.Second))
	if !s.stalledSince(began) || s.stalledSince(began.Add(4*time.Second)) || reported != 3*time.Second {
		t.Errorf("latest stall %v, reported %v", s.lastStallTime(), reported)
	}
}

func TestDisturbancesSuspendChecksUntilRecovered(t *testing.T) {
	h := &host{}
	at := func(s int) time.Time { return time.Unix(1000+int64(s), 0) }
	h.markDisturbed(at(10), 2*time.Second)
	h.markDelayed(at(30), time.Second)
	// The range of a disturbance has the recovery in it already.
	for second, calm := range map[int]bool{9: true, 11: false, 13: true} {
		if h.calm(at(second), at(second)) != calm {
			t.Errorf("calm at %d s: %v", second, !calm)
		}
	}
	for _, tc := range []struct {
		from, to               int
		undisturbed, undelayed bool
	}{
		{0, 9, true, true}, {0, 11, false, true}, {14, 20, false, true}, {15, 20, true, true}, {25, 31, true, false},
	} {
		if h.undisturbed(at(tc.from), at(tc.to)) != tc.undisturbed || h.undelayed(at(tc.from), at(tc.to)) != tc.undelayed {
			t.Errorf("%+v: undisturbed %v, undelayed %v", tc, !tc.undisturbed, !tc.undelayed)
		}
	}
}

// works and silent report whether a line sent to an echo server through a proxy
// comes back. works has a long timeout for slow machines; silent reports that
// nothing came back within 300 ms.
func works(conn net.Conn) bool  { return echoes(conn, 20*time.Second) }
func silent(conn net.Conn) bool { return !echoes(conn, 300*time.Millisecond) }

func echoes(conn net.Conn, within time.Duration) bool {
	_ = conn.SetDeadline(time.Now().Add(within))
	if _, err := io.WriteString(conn, "line\n"); err != nil {
		return false
	}
	buf := make([]byte, 5)
	_, err := io.ReadFull(conn, buf)
	return err == nil && string(buf) == "line\n"
}

func TestProxyInjectsTheRequestedFaults(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	p, err := NewProxy(l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	open := func() net.Conn {
		conn, err := net.Dial("tcp", p.Address())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	for direction, dropped := range map[string][2]bool{"to target": {true, false}, "to client": {false, true}} {
		blackholed := open()
		if !works(blackholed) {
			t.Fatal("no echo")
		}
		p.Blackhole(dropped[0], dropped[1])
		if !silent(blackholed) || !works(open()) {
			t.Errorf("blackholed %s: the connection still works, or new ones do not", direction)
		}
	}
	cut := open()
	if !works(cut) {
		t.Fatal("no echo")
	}
	p.ResetConnections()
	if !silent(cut) || !works(open()) {
		t.Error("a reset connection still works, or new ones do not")
	}
	quiet := open()
	if !works(quiet) {
		t.Fatal("no echo")
	}
	p.SetSilent(true)
	if !silent(quiet) || !silent(open()) {
		t.Error("silent: the connection still works, or new ones do")
	}
	p.SetSilent(false)
	if !works(open()) {
		t.Error("new connections do not work after a silence")
	}
	p.SetTarget("127.0.0.1:1")
	if other, err := net.Dial("tcp", p.Address()); err == nil && works(other) {
		t.Error("new connections go to the target before")
	}
	p.SetTarget(l.Addr().String())
	p.SetRefusing(true)
	// The reset may arrive before or after Dial returns.
	if conn, err := net.Dial("tcp", p.Address()); err == nil {
		if !silent(conn) {
			t.Error("a refused connection works")
		}
		_ = conn.Close()
	}
	p.SetRefusing(false)
	p.SetDelay(100 * time.Millisecond)
	began := time.Now()
	if !works(open()) || time.Since(began) < 200*time.Millisecond {
		t.Errorf("delayed by %v, want at least 200ms", time.Since(began))
	}
}
