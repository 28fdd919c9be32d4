package entry

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/process/membership"
	"github.com/daisytide/daisytide/internal/request/call"
)

func codeOf(c api.Code) string { return fmt.Sprint(int(c)) }

func TestUpstreamThatCrashesInEachPhaseOfACall(t *testing.T) {
	header := "HTTP/1.1 200 OK\r\nContent-Length: 90000\r\n\r\n"
	half := header + strings.Repeat("h", 45000)
	for _, tc := range []struct {
		phase, path, sent string
		want              answer
		runs              int64
	}{
		{"during the run of a credit", "/credit", "", answer{status: 502, code: codeOf(api.CallCut), ran: "unknown"}, 1},
		{"in the header of a credit's answer", "/credit", header[:20], answer{status: 502, code: codeOf(api.CallCut), ran: "unknown"}, 1},
		{"early in the body of a credit's answer", "/credit", header + "h", answer{status: 502, code: codeOf(api.CallCut), ran: "unknown"}, 1},
		{"in the body of a credit's answer", "/credit", half, answer{cut: true}, 1},
		{"during the run of a look-up", "/look", "", answer{status: 200, ran: "yes", body: "whole"}, 2},
		{"early in the body of a look-up's answer", "/look", header + "h", answer{status: 200, ran: "yes", body: "whole"}, 2},
		{"in the body of a look-up's answer", "/look", half, answer{cut: true}, 1},
	} {
		t.Run(tc.phase, func(t *testing.T) {
			var crashed atomic.Bool
			g := newRig(t, 3, func(_ *host, w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if crashed.CompareAndSwap(false, true) {
					crash(w, tc.sent)
					return
				}
				_, _ = io.WriteString(w, "whole")
			})
			got := g.do("POST", tc.path, strings.NewReader("x"), nil)
			if tc.want.body == "" {
				got.body = ""
			}
			if got.cut {
				got = answer{cut: true}
			}
			if got != tc.want || g.runs() != tc.runs {
				t.Errorf("got %+v after %d runs, want %+v after %d", got, g.runs(), tc.want, tc.runs)
			}
		})
	}
}

func TestUpstreamThatIsGoneBeforeTheRunCostsNoCall(t *testing.T) {
	g := newRig(t, 3, func(_ *host, w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") })
	g.hosts[0].upstream.Close()
	g.hosts[1].peers.Close()
	for i := range 50 {
		if got := g.do("POST", "/credit", strings.NewReader("x"), nil); got.status != http.StatusOK || got.body != "whole" {
			t.Fatalf("call %d: %+v", i, got)
		}
	}
	if g.runs() != 50 {
		t.Errorf("%d runs of 50 calls", g.runs())
	}
}

func TestRefusedUploadIsOfferedElsewhereWhole(t *testing.T) {
	const size = 10 << 20
	g := newRig(t, 3, func(_ *host, w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		fmt.Fprint(w, n)
	})
	g.hosts[0].gate.Drain()
	g.hosts[1].announce(api.UpstreamDraining)
	for _, declared := range []bool{true, false} {
		for range 6 {
			got := g.do("POST", "/photo", large(size), func(r *http.Request) {
				if !declared {
					r.ContentLength = -1
				}
			})
			if got.status != http.StatusOK || got.body != fmt.Sprint(size) {
				t.Fatalf("%+v", got)
			}
		}
	}
	if n := g.hosts[2].runs.Load(); n != 12 || g.runs() != 12 {
		t.Errorf("%d runs in all, %d at the open gate", g.runs(), n)
	}
}

func TestDrainUnderLoadCutsNothing(t *testing.T) {
	g := newRig(t, 4, func(_ *host, w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, "whole")
	})
	var wrong, answered atomic.Int64
	var load sync.WaitGroup
	half := make(chan struct{})
	for worker := range 6 {
		load.Go(func() {
			rng := seeded(uint64(worker))
			for i := range 60 {
				if worker == 0 && i == 30 {
					close(half)
				}
				path := []string{"/look", "/credit"}[rng.IntN(2)]
				if got := g.do("POST", path, strings.NewReader("x"), nil); got.body != "whole" || got.cut {
					wrong.Add(1)
				} else {
					answered.Add(1)
				}
			}
		})
	}
	<-half
	g.hosts[0].announce(api.UpstreamDraining)
	<-g.hosts[1].gate.Drain()
	before := g.hosts[1].runs.Load()
	load.Wait()
	if wrong.Load() != 0 || answered.Load() != g.runs() || g.hosts[1].runs.Load() != before {
		t.Errorf("%d wrong, %d answered, %d runs", wrong.Load(), answered.Load(), g.runs())
	}
}

func TestFailureFromFurtherDownIsNotTriedAgainAbove(t *testing.T) {
	g := newRig(t, 3, func(_ *host, w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/look/passed-on") {
			w.Header().Set(call.HeaderCode, codeOf(api.CallShed))
			w.Header().Set(call.HeaderRan, "no")
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	got := g.do("GET", "/look/passed-on", nil, nil)
	if got.status != 503 || got.ran != "yes" || got.code != "" || g.runs() != 1 {
		t.Errorf("a passed-on refusal: %+v after %d runs", got, g.runs())
	}
	if got = g.do("GET", "/look/own", nil, nil); got.status != 503 || g.runs() != 4 {
		t.Errorf("the upstream's own 503: %+v after %d runs", got, g.runs()-1)
	}
}

func TestLyingHealthEndpointIsNeverAsked(t *testing.T) {
	g := newRig(t, 3, func(h *host, w http.ResponseWriter, _ *http.Request) {
		if h.runs.Load()%2 == 0 {
			crash(w, "")
			return
		}
		_, _ = io.WriteString(w, "whole")
	})
	for range 30 {
		g.do("GET", "/look", nil, nil)
	}
	for i, h := range g.hosts {
		if h.health.Load() != 0 {
			t.Errorf("host %d was probed %d times", i, h.health.Load())
		}
	}
}

func TestMisbehavingCallersHoldNoSlot(t *testing.T) {
	blob := strings.Repeat("b", 8<<20)
	g := newRig(t, 1, func(_ *host, w http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		if err == nil && n == 0 {
			_, _ = io.WriteString(w, blob)
		}
	})
	for _, tc := range []struct{ name, request string }{
		{"stops reading", "GET /look HTTP/1.1\r\nHost: x\r\nDaisytide-Time-Left: 300\r\n\r\n"},
		{"sends half a streamed body", "POST /photo HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\nhalf"},
		{"sends half a small body", "POST /credit HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nhalf"},
		{"stalls in its body", "POST /photo HTTP/1.1\r\nHost: x\r\nDaisytide-Time-Left: 200\r\nContent-Length: 1000000\r\n\r\nhalf"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", g.callers.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			before := g.entry.Counters().Calls.Load()
			_, _ = io.WriteString(conn, tc.request)
			for g.entry.Counters().Calls.Load() == before {
				if _, err := conn.Write(nil); err != nil {
					t.Fatal(err)
				}
			}
			if strings.Contains(tc.name, "half") {
				_ = conn.Close()
			}
			g.idle()
			_ = conn.Close()
			if got := g.do("GET", "/look", nil, nil); got.body != blob {
				t.Errorf("the next call got %d bytes, status %d", len(got.body), got.status)
			}
		})
	}
}

func TestHeadersOfCallersAreChecked(t *testing.T) {
	g := newRig(t, 1, func(_ *host, w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, r.Header.Get(call.HeaderCall)+r.Header.Get(call.HeaderPeerKey)+r.Header.Get(call.HeaderDepth))
	})
	if got := g.do("GET", "/look", nil, func(r *http.Request) { r.Header.Set("X-Large", strings.Repeat("h", 1<<20)) }); !got.cut && got.status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("a header of a megabyte: %+v", got)
	}
	if got := g.do("GET", "/look", nil, func(r *http.Request) { r.Header.Set(call.HeaderDepth, "65") }); got.code != codeOf(api.CallHeader) {
		t.Errorf("too deep: %+v", got)
	}
	got := g.do("GET", "/look", nil, func(r *http.Request) {
		r.Header.Set(call.HeaderCall, "forged")
		r.Header.Set(call.HeaderPeerKey, "forged")
	})
	if got.body != "1" {
		t.Errorf("the upstream saw %q of the callers' forged headers", got.body)
	}
}

func TestLeavingMemberGetsNoCallAtOnce(t *testing.T) {
	g := newRig(t, 2, func(_ *host, w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") })
	record, _ := g.entry.Members.Get(g.hosts[0].peers.Listener.Addr().String())
	record.State = membership.Leaving
	g.entry.Members.Merge(record)
	for range 20 {
		g.do("GET", "/look", nil, nil)
	}
	if a, b := g.hosts[0].runs.Load(), g.hosts[1].runs.Load(); a != 0 || b != 20 {
		t.Errorf("%d calls to the leaving node, %d to the other", a, b)
	}
}

func TestLeavingEntryAsksItsCallersToReconnectElsewhere(t *testing.T) {
	g := newRig(t, 1, func(_ *host, w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") })
	for _, leaving := range []bool{false, true} {
		if leaving {
			g.entry.Drain()
		}
		resp, err := http.Get(g.callers.URL + "/look")
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.Close != leaving {
			t.Errorf("leaving %v, the answer closes its connection: %v", leaving, resp.Close)
		}
	}
}

func TestStalledStreamsDoNotHoldUpOthersOnTheirConnection(t *testing.T) {
	const stalled = 17
	blob := strings.Repeat("b", 8<<20)
	for _, tc := range []struct{ name, request string }{
		{"callers that stop reading", "GET /look/large HTTP/1.1\r\nHost: x\r\n\r\n"},
		{"upstreams that stop reading", "POST /photo/stuck HTTP/1.1\r\nHost: x\r\nContent-Length: 8388608\r\n\r\n" + blob},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var begun sync.WaitGroup
			begun.Add(stalled)
			release := make(chan struct{})
			g := newRig(t, 1, func(_ *host, w http.ResponseWriter, r *http.Request) {
				switch r.URL.Path {
				case "/look/large":
					begun.Done()
					_, _ = io.WriteString(w, blob)
				case "/photo/stuck":
					begun.Done()
					<-release
				default:
					b, _ := io.ReadAll(r.Body)
					_, _ = w.Write(b)
				}
			})
			defer close(release)
			g.warm()
			for range stalled {
				conn, err := net.Dial("tcp", g.callers.Listener.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				defer conn.Close()
				go func() { _, _ = io.WriteString(conn, tc.request) }()
			}
			begun.Wait()
			for range 20 {
				got := g.do("POST", "/look", strings.NewReader(blob[:20_000]), func(r *http.Request) { r.Header.Set(call.HeaderTimeLeft, "5000") })
				if got.status != http.StatusOK || len(got.body) != 20_000 {
					t.Fatalf("a look-up beside them: status %d, code %s, %d bytes, cut %v", got.status, got.code, len(got.body), got.cut)
				}
			}
		})
	}
}

func TestRefusalOfTheLastGateIsWhatTheCallerHears(t *testing.T) {
	g := newRig(t, 2, func(_ *host, w http.ResponseWriter, _ *http.Request) { crash(w, "") })
	if got := g.do("GET", "/look", nil, nil); got.code != codeOf(api.CallCut) || got.ran != "unknown" || g.runs() != 2 {
		t.Errorf("lost by both upstreams: %+v after %d runs", got, g.runs())
	}
	for _, h := range g.hosts {
		h.gate.Drain()
	}
	if got := g.do("GET", "/look", nil, nil); got.code != codeOf(api.CallLeaving) || got.ran != "no" {
		t.Errorf("refused by both gates: %+v", got)
	}
}

func TestNotRunIsNotSaidAfterAnAttemptThatMayHaveRun(t *testing.T) {
	for _, tc := range []struct {
		name   string
		serve  func(w http.ResponseWriter)
		status int
		code   string
	}{
		{"lost", func(w http.ResponseWriter) { crash(w, "") }, 502, codeOf(api.CallCut)},
		{"shed by the upstream", func(w http.ResponseWriter) { w.WriteHeader(503) }, 503, ""},
	} {
		for seed := range 10 {
			g := newRig(t, 2, func(_ *host, w http.ResponseWriter, _ *http.Request) { tc.serve(w) })
			g.entry.Picker.Self = fmt.Sprint("entry", seed)
			g.hosts[0].gate.Drain()
			got := g.do("GET", "/look", nil, nil)
			if got.ran == "no" || got.status != tc.status || got.code != tc.code || g.runs() != 1 {
				t.Errorf("%s: %+v after %d runs", tc.name, got, g.runs())
			}
		}
	}
}

func TestHostThatVanishesSilentlyCostsFewCalls(t *testing.T) {
	g := newRig(t, 2, func(_ *host, w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") })
	hole, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer hole.Close()
	go func() {
		for {
			conn, err := hole.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(io.Discard, conn) }()
		}
	}()
	g.entry.Members.Merge(membership.Record{
		Address: hole.Addr().String(), DataCentre: "dc", Incarnation: 1, State: membership.Alive,
		Service: testService, Version: "v1", Upstream: api.UpstreamReady, Slots: rigSlots,
	})
	lost := 0
	for range 60 {
		got := g.do("POST", "/credit", strings.NewReader("x"), func(r *http.Request) { r.Header.Set(call.HeaderTimeLeft, "1000") })
		switch {
		case got.body == "whole":
		case got.code == codeOf(api.CallTimeout) && got.ran == "unknown":
			lost++
		default:
			t.Errorf("%+v", got)
		}
	}
	if lost == 0 || lost > 8 {
		t.Errorf("%d of 60 calls were lost", lost)
	}
}
