package soak

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/daisytide/daisytide/platform"
)

// Each case records what callers and backends observed, and the prefix of the
// violation that the checker must find.
func TestCheckerFindsViolations(t *testing.T) {
	began := time.Unix(1000, 0)
	good := &http.Response{Header: http.Header{signatureHeader: {"signed"}}}
	ran := func(c *checker, id string, times int) {
		for range times {
			c.addRun(id, "/once/1", nil)
		}
	}
	for _, tc := range []struct {
		name, prefix string
		undisturbed  bool
		observe      func(c *checker)
	}{
		{"no violation", "", true, func(c *checker) {
			ran(c, "a", 1)
			c.addCall(call{id: "a", path: "/once/1", atMostOnce: true, status: 200}, good, expectedBody("a"))
		}},
		{"non-idempotent request run twice", "twice", true, func(c *checker) { ran(c, "a", 2); c.addCall(call{id: "a", path: "/once/1", atMostOnce: true}, nil, "") }},
		{"idempotent request run twice", "", true, func(c *checker) { ran(c, "a", 2); c.addCall(call{id: "a", path: "/read/1"}, nil, "") }},
		{"refused request ran", "refused", true, func(c *checker) {
			ran(c, "a", 1)
			c.addCall(call{id: "a", path: "/once/1", atMostOnce: true, status: 503}, good, "")
		}},
		{"response of another request", "mixed", true, func(c *checker) {
			c.addCall(call{id: "a", path: "/read/1", status: 200}, good, expectedBody("b"))
		}},
		{"response without a signature", "mixed", true, func(c *checker) {
			c.addCall(call{id: "a", path: "/read/1", status: 200}, &http.Response{Header: http.Header{}}, expectedBody("a"))
		}},
		{"connection closed at a planned stop", "lost", true, func(c *checker) {
			ran(c, "a", 1)
			c.addCall(call{id: "a", path: "/once/1", atMostOnce: true, stopping: true, err: "EOF"}, nil, "")
		}},
		{"connection closed during a disturbance", "", false, func(c *checker) {
			ran(c, "a", 1)
			c.addCall(call{id: "a", path: "/once/1", atMostOnce: true, stopping: true, err: "EOF"}, nil, "")
		}},
		{"older configuration after a newer one", "config", false, func(c *checker) {
			c.highestSeen[[2]int{0, 1}] = seenConfig{7, began}
			c.addCall(call{id: "a", path: "/v6/1", start: 1, sentAt: began.Add(time.Minute), status: 404}, good, "")
		}},
		{"older configuration after a restart", "", false, func(c *checker) {
			c.highestSeen[[2]int{0, 1}] = seenConfig{7, began}
			c.addCall(call{id: "a", path: "/v6/1", start: 2, sentAt: began.Add(time.Minute), status: 404}, good, "")
		}},
		{"configuration not in force in time", "config", true, func(c *checker) {
			c.acked[9] = began
			c.addCall(call{id: "a", path: "/v9/1", start: 1, sentAt: began.Add(applyLimit + time.Second), status: 404}, good, "")
		}},
		{"configuration late during a disturbance", "", false, func(c *checker) {
			c.acked[9] = began
			c.addCall(call{id: "a", path: "/v9/1", start: 1, sentAt: began.Add(applyLimit + time.Second), status: 404}, good, "")
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
			c := newChecker(func(int, time.Time, time.Time) bool { return tc.undisturbed })
			tc.observe(c)
			c.addCall(call{id: "end", path: "/read/1", sentAt: began.Add(2 * time.Hour), status: 200}, good, expectedBody("end"))
			c.checkAtEnd(timeRange{began.Add(30 * time.Minute), began.Add(3 * time.Hour)})
			if tc.prefix == "" && len(c.violations) > 0 || tc.prefix != "" && (len(c.violations) != 1 || !strings.HasPrefix(c.violations[0], tc.prefix+":")) {
				t.Errorf("violations %q, want prefix %q", c.violations, tc.prefix)
			}
		})
	}
}

// If the end of a run cancelled requests in flight, they would be recorded as if
// their callers had timed out.
func TestCallsInProgressFinishAtTheEndOfARun(t *testing.T) {
	began := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(began)
		time.Sleep(50 * time.Millisecond)
		w.Header().Set(signatureHeader, "signed")
		_, _ = io.WriteString(w, expectedBody(r.Header.Get(platform.HeaderRequestID)))
	}))
	defer server.Close()
	check := newChecker(func(int, time.Time, time.Time) bool { return true })
	c := &caller{
		host: &host{callers: server.Listener.Addr().String()}, checker: check, latestConfig: func() int { return 1 },
		client: server.Client(), ids: &atomic.Int64{},
	}
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
