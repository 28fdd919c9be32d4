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

// each plays what callers and backends saw, and names the rule that it breaks.
func TestBrokenPromisesAreFound(t *testing.T) {
	began := time.Unix(1000, 0)
	good := &http.Response{Header: http.Header{signature: {"signed"}}}
	ran := func(r *record, id string, times int) {
		for range times {
			r.ran(id, "/once/1", nil)
		}
	}
	for _, tc := range []struct {
		name, rule string
		calm       bool
		play       func(r *record)
	}{
		{"nothing", "", true, func(r *record) {
			ran(r, "a", 1)
			r.done(sent{id: "a", path: "/once/1", once: true, status: 200}, good, wholeBody("a"))
		}},
		{"run twice", "twice", true, func(r *record) { ran(r, "a", 2); r.done(sent{id: "a", path: "/once/1", once: true}, nil, "") }},
		{"a look-up may", "", true, func(r *record) { ran(r, "a", 2); r.done(sent{id: "a", path: "/read/1"}, nil, "") }},
		{"refused and ran", "refused", true, func(r *record) {
			ran(r, "a", 1)
			r.done(sent{id: "a", path: "/once/1", once: true, status: 503}, good, "")
		}},
		{"another's answer", "mixed", true, func(r *record) {
			r.done(sent{id: "a", path: "/read/1", status: 200}, good, wholeBody("b"))
		}},
		{"without signature", "mixed", true, func(r *record) {
			r.done(sent{id: "a", path: "/read/1", status: 200}, &http.Response{Header: http.Header{}}, wholeBody("a"))
		}},
		{"cut at a planned stop", "lost", true, func(r *record) {
			ran(r, "a", 1)
			r.done(sent{id: "a", path: "/once/1", once: true, stopping: true, err: "EOF"}, nil, "")
		}},
		{"cut while disturbed", "", false, func(r *record) {
			ran(r, "a", 1)
			r.done(sent{id: "a", path: "/once/1", once: true, stopping: true, err: "EOF"}, nil, "")
		}},
		{"configuration back", "config", false, func(r *record) {
			r.seen[[2]int{0, 1}] = version{7, began}
			r.done(sent{id: "a", path: "/v6/1", start: 1, at: began.Add(time.Minute), status: 404}, good, "")
		}},
		{"configuration of an earlier start", "", false, func(r *record) {
			r.seen[[2]int{0, 1}] = version{7, began}
			r.done(sent{id: "a", path: "/v6/1", start: 2, at: began.Add(time.Minute), status: 404}, good, "")
		}},
		{"configuration late", "config", true, func(r *record) {
			r.acked[9] = began
			r.done(sent{id: "a", path: "/v9/1", start: 1, at: began.Add(applyBound + time.Second), status: 404}, good, "")
		}},
		{"configuration late while disturbed", "", false, func(r *record) {
			r.acked[9] = began
			r.done(sent{id: "a", path: "/v9/1", start: 1, at: began.Add(applyBound + time.Second), status: 404}, good, "")
		}},
		{"not served when healed", "recover", true, func(r *record) {
			r.done(sent{id: "a", path: "/read/1", at: began.Add(time.Hour), status: 503}, good, "")
		}},
		{"not served before and after", "", true, func(r *record) {
			r.done(sent{id: "a", path: "/read/1", at: began.Add(29 * time.Minute), status: 503}, good, "")
			r.done(sent{id: "b", path: "/read/1", at: began.Add(4 * time.Hour), status: 503}, good, "")
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRecord(func(int, time.Time, time.Time) bool { return tc.calm })
			tc.play(r)
			r.done(sent{id: "end", path: "/read/1", at: began.Add(2 * time.Hour), status: 200}, good, wholeBody("end"))
			r.close(span{began.Add(30 * time.Minute), began.Add(3 * time.Hour)})
			if tc.rule == "" && len(r.found) > 0 || tc.rule != "" && (len(r.found) != 1 || !strings.HasPrefix(r.found[0], tc.rule+":")) {
				t.Errorf("found %q, want %q", r.found, tc.rule)
			}
		})
	}
}

// The end of a run is no caller's leaving: what was sent is waited for.
func TestCallsInProgressAreNotCutAtTheEndOfARun(t *testing.T) {
	began := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(began)
		time.Sleep(50 * time.Millisecond)
		w.Header().Set(signature, "signed")
		_, _ = io.WriteString(w, wholeBody(r.Header.Get(platform.HeaderRequestID)))
	}))
	defer server.Close()
	r := newRecord(func(int, time.Time, time.Time) bool { return true })
	c := &caller{
		host: &host{callers: server.Listener.Addr().String()}, record: r, latest: func() int { return 1 },
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
	if len(r.sent) != 1 || r.sent[0].status != http.StatusOK {
		t.Errorf("recorded %+v", r.sent)
	}
}

func TestMachineThatStandsStillIsNoted(t *testing.T) {
	var told time.Duration
	s := stalls{told: func(_ time.Time, d time.Duration) { told = d }}
	began := time.Unix(1000, 0)
	s.note(began, began.Add(stallTick+stallLeast/2))
	if s.total() != 0 || told != 0 {
		t.Errorf("%v noted of a busy moment", s.total())
	}
	s.note(began, began.Add(3*time.Second))
	if !s.since(began) || s.since(began.Add(4*time.Second)) || told != 3*time.Second {
		t.Errorf("latest %v, told %v", s.latest(), told)
	}
}

func TestDisturbancesExcuseForAWhile(t *testing.T) {
	h := &host{}
	at := func(s int) time.Time { return time.Unix(1000+int64(s), 0) }
	h.disturb(at(10), 2*time.Second)
	h.hold(at(30), time.Second)
	for _, tc := range []struct {
		from, to      int
		calm, flowing bool
	}{
		{0, 9, true, true}, {0, 11, false, true}, {14, 20, false, true}, {15, 20, true, true}, {25, 31, true, false},
	} {
		if h.calm(at(tc.from), at(tc.to)) != tc.calm || h.flowing(at(tc.from), at(tc.to)) != tc.flowing {
			t.Errorf("%+v: calm %v, flowing %v", tc, !tc.calm, !tc.flowing)
		}
	}
}

// works tells that a line sent through a proxy to an echo comes back, however
// slow the machine; silent that none does for a while.
func works(conn net.Conn) bool  { return echoed(conn, 20*time.Second) }
func silent(conn net.Conn) bool { return !echoed(conn, 300*time.Millisecond) }

func echoed(conn net.Conn, within time.Duration) bool {
	_ = conn.SetDeadline(time.Now().Add(within))
	if _, err := io.WriteString(conn, "line\n"); err != nil {
		return false
	}
	buf := make([]byte, 5)
	_, err := io.ReadFull(conn, buf)
	return err == nil && string(buf) == "line\n"
}

func TestProxyHarmsWhatItIsTold(t *testing.T) {
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
	for name, mute := range map[string][2]bool{"there": {true, false}, "back": {false, true}} {
		muted := open()
		if !works(muted) {
			t.Fatal("no echo")
		}
		p.Blackhole(mute[0], mute[1])
		if !silent(muted) || !works(open()) {
			t.Errorf("muted %s: the connection is not silent, or new ones are", name)
		}
	}
	cut := open()
	if !works(cut) {
		t.Fatal("no echo")
	}
	p.ResetConnections()
	if !silent(cut) || !works(open()) {
		t.Error("a reset connection works, or new ones do not")
	}
	p.SetRefusing(true)
	// The reset may come before the connection is known to stand, or after.
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
		t.Errorf("delayed by %v", time.Since(began))
	}
}
