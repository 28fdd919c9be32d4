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

func TestUpstreamCrashInEachPhaseOfACall(t *testing.T) {
	header := "HTTP/1.1 200 OK\r\nContent-Length: 90000\r\n\r\n"
	half := header + strings.Repeat("h", 45000)
	for _, tc := range []struct {
		phase, path, sent string
		want              callerResponse
		runs              int64
	}{
		{"during the run of a credit", "/credit", "", callerResponse{status: 502, code: codeOf(api.CallCut), ran: "unknown"}, 1},
		{"in the header of a credit's response", "/credit", header[:20], callerResponse{status: 502, code: codeOf(api.CallCut), ran: "unknown"}, 1},
		{"early in the body of a credit's response", "/credit", header + "h", callerResponse{status: 502, code: codeOf(api.CallCut), ran: "unknown"}, 1},
		{"in the body of a credit's response", "/credit", half, callerResponse{cut: true}, 1},
		{"during the run of a lookup", "/look", "", callerResponse{status: 200, ran: "yes", body: "whole"}, 2},
		{"early in the body of a lookup's response", "/look", header + "h", callerResponse{status: 200, ran: "yes", body: "whole"}, 2},
		{"in the body of a lookup's response", "/look", half, callerResponse{cut: true}, 1},
	} {
		t.Run(tc.phase, func(t *testing.T) {
			var crashed atomic.Bool
			th := newHarness(t, 3, func(_ *testHost, w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if crashed.CompareAndSwap(false, true) {
					crash(w, tc.sent)
					return
				}
				_, _ = io.WriteString(w, "whole")
			})
			got := th.call("POST", tc.path, strings.NewReader("x"), nil)
			if tc.want.body == "" {
				got.body = ""
			}
			if got.cut {
				got = callerResponse{cut: true}
			}
			if got != tc.want || th.runs() != tc.runs {
				t.Errorf("got %+v after %d runs, want %+v after %d", got, th.runs(), tc.want, tc.runs)
			}
		})
	}
}

func TestUnreachableUpstreamsLoseNoCalls(t *testing.T) {
	th := newHarness(t, 3, func(_ *testHost, w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") })
	th.hosts[0].upstream.Close()
	th.hosts[1].peers.Close()
	for i := range 50 {
		if got := th.call("POST", "/credit", strings.NewReader("x"), nil); got.status != http.StatusOK || got.body != "whole" {
			t.Fatalf("call %d: %+v", i, got)
		}
	}
	if th.runs() != 50 {
		t.Errorf("%d runs of 50 calls", th.runs())
	}
}

func TestRefusedUploadIsRetriedWithItsWholeBody(t *testing.T) {
	const size = 10 << 20
	th := newHarness(t, 3, func(_ *testHost, w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		fmt.Fprint(w, n)
	})
	th.hosts[0].gate.Drain()
	th.hosts[1].announce(api.UpstreamDraining)
	for _, declared := range []bool{true, false} {
		for range 6 {
			got := th.call("POST", "/photo", largeBody(size), func(r *http.Request) {
				if !declared {
					r.ContentLength = -1
				}
			})
			if got.status != http.StatusOK || got.body != fmt.Sprint(size) {
				t.Fatalf("%+v", got)
			}
		}
	}
	if n := th.hosts[2].runs.Load(); n != 12 || th.runs() != 12 {
		t.Errorf("%d runs in total, %d at the only open gate", th.runs(), n)
	}
}

func TestDrainUnderLoadLosesNoCalls(t *testing.T) {
	th := newHarness(t, 4, func(_ *testHost, w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, "whole")
	})
	var wrong, answered atomic.Int64
	var load sync.WaitGroup
	half := make(chan struct{})
	for worker := range 6 {
		load.Go(func() {
			rng := seededRand(uint64(worker))
			for i := range 60 {
				if worker == 0 && i == 30 {
					close(half)
				}
				path := []string{"/look", "/credit"}[rng.IntN(2)]
				if got := th.call("POST", path, strings.NewReader("x"), nil); got.body != "whole" || got.cut {
					wrong.Add(1)
				} else {
					answered.Add(1)
				}
			}
		})
	}
	<-half
	th.hosts[0].announce(api.UpstreamDraining)
	<-th.hosts[1].gate.Drain()
	before := th.hosts[1].runs.Load()
	load.Wait()
	if wrong.Load() != 0 || answered.Load() != th.runs() || th.hosts[1].runs.Load() != before {
		t.Errorf("%d calls failed, %d succeeded, %d runs", wrong.Load(), answered.Load(), th.runs())
	}
}

func TestNestedFailureIsNotRetried(t *testing.T) {
	th := newHarness(t, 3, func(_ *testHost, w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/look/forwarded") {
			w.Header().Set(call.HeaderCode, codeOf(api.CallShed))
			w.Header().Set(call.HeaderRan, "no")
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	got := th.call("GET", "/look/forwarded", nil, nil)
	if got.status != 503 || got.ran != "yes" || got.code != "" || th.runs() != 1 {
		t.Errorf("forwarded refusal: %+v after %d runs", got, th.runs())
	}
	if got = th.call("GET", "/look/own", nil, nil); got.status != 503 || th.runs() != 4 {
		t.Errorf("upstream's own 503: %+v after %d runs", got, th.runs()-1)
	}
}

func TestUpstreamHealthEndpointIsNeverProbed(t *testing.T) {
	th := newHarness(t, 3, func(h *testHost, w http.ResponseWriter, _ *http.Request) {
		if h.runs.Load()%2 == 0 {
			crash(w, "")
			return
		}
		_, _ = io.WriteString(w, "whole")
	})
	for range 30 {
		th.call("GET", "/look", nil, nil)
	}
	for i, h := range th.hosts {
		if h.probes.Load() != 0 {
			t.Errorf("host %d was probed %d times", i, h.probes.Load())
		}
	}
}

func TestStalledCallersReleaseTheirSlots(t *testing.T) {
	blob := strings.Repeat("b", 8<<20)
	th := newHarness(t, 1, func(_ *testHost, w http.ResponseWriter, r *http.Request) {
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
			conn, err := net.Dial("tcp", th.callers.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			before := th.entry.Counters().Calls.Load()
			_, _ = io.WriteString(conn, tc.request)
			for th.entry.Counters().Calls.Load() == before {
				if _, err := conn.Write(nil); err != nil {
					t.Fatal(err)
				}
			}
			if strings.Contains(tc.name, "half") {
				_ = conn.Close()
			}
			th.idle()
			_ = conn.Close()
			if got := th.call("GET", "/look", nil, nil); got.body != blob {
				t.Errorf("the next call got %d bytes, status %d", len(got.body), got.status)
			}
		})
	}
}

func TestCallerHeadersAreValidated(t *testing.T) {
	th := newHarness(t, 1, func(_ *testHost, w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, r.Header.Get(call.HeaderCall)+r.Header.Get(call.HeaderPeerKey)+r.Header.Get(call.HeaderDepth))
	})
	if got := th.call("GET", "/look", nil, func(r *http.Request) { r.Header.Set("X-Large", strings.Repeat("h", 1<<20)) }); !got.cut && got.status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("header of 1 MiB: %+v", got)
	}
	if got := th.call("GET", "/look", nil, func(r *http.Request) { r.Header.Set(call.HeaderDepth, "65") }); got.code != codeOf(api.CallHeader) {
		t.Errorf("call depth over the limit: %+v", got)
	}
	got := th.call("GET", "/look", nil, func(r *http.Request) {
		r.Header.Set(call.HeaderCall, "forged")
		r.Header.Set(call.HeaderPeerKey, "forged")
	})
	if got.body != "1" {
		t.Errorf("headers at the upstream: %q, want depth 1 and no forged ones", got.body)
	}
}

func TestLeavingMemberGetsNoCalls(t *testing.T) {
	th := newHarness(t, 2, func(_ *testHost, w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") })
	record, _ := th.entry.Members.Get(th.hosts[0].peers.Listener.Addr().String())
	record.State = membership.Leaving
	th.entry.Members.Merge(record)
	for range 20 {
		th.call("GET", "/look", nil, nil)
	}
	if a, b := th.hosts[0].runs.Load(), th.hosts[1].runs.Load(); a != 0 || b != 20 {
		t.Errorf("%d calls to the leaving node, %d to the other", a, b)
	}
}

func TestDrainingEntryClosesCallerConnections(t *testing.T) {
	th := newHarness(t, 1, func(_ *testHost, w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") })
	for _, leaving := range []bool{false, true} {
		if leaving {
			th.entry.Drain()
		}
		resp, err := http.Get(th.callers.URL + "/look")
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.Close != leaving {
			t.Errorf("draining %v, the response closes its connection: %v", leaving, resp.Close)
		}
	}
}

func TestStalledStreamsDoNotBlockOthersOnTheSameConnection(t *testing.T) {
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
			th := newHarness(t, 1, func(_ *testHost, w http.ResponseWriter, r *http.Request) {
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
			th.warm()
			for range stalled {
				conn, err := net.Dial("tcp", th.callers.Listener.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				defer conn.Close()
				go func() { _, _ = io.WriteString(conn, tc.request) }()
			}
			begun.Wait()
			for range 20 {
				got := th.call("POST", "/look", strings.NewReader(blob[:20_000]), func(r *http.Request) { r.Header.Set(call.HeaderTimeLeft, "5000") })
				if got.status != http.StatusOK || len(got.body) != 20_000 {
					t.Fatalf("lookup beside the stalled streams: status %d, code %s, %d bytes, cut %v", got.status, got.code, len(got.body), got.cut)
				}
			}
		})
	}
}

func TestCallerReceivesTheLastGatesRefusal(t *testing.T) {
	th := newHarness(t, 2, func(_ *testHost, w http.ResponseWriter, _ *http.Request) { crash(w, "") })
	if got := th.call("GET", "/look", nil, nil); got.code != codeOf(api.CallCut) || got.ran != "unknown" || th.runs() != 2 {
		t.Errorf("both upstreams cut the call: %+v after %d runs", got, th.runs())
	}
	for _, h := range th.hosts {
		h.gate.Drain()
	}
	if got := th.call("GET", "/look", nil, nil); got.code != codeOf(api.CallLeaving) || got.ran != "no" {
		t.Errorf("both gates refused the call: %+v", got)
	}
}

func TestNotRunIsNotReportedAfterAnAttemptThatMayHaveRun(t *testing.T) {
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
			th := newHarness(t, 2, func(_ *testHost, w http.ResponseWriter, _ *http.Request) { tc.serve(w) })
			th.entry.Picker.Self = fmt.Sprint("entry", seed)
			th.hosts[0].gate.Drain()
			got := th.call("GET", "/look", nil, nil)
			if got.ran == "no" || got.status != tc.status || got.code != tc.code || th.runs() != 1 {
				t.Errorf("%s: %+v after %d runs", tc.name, got, th.runs())
			}
		}
	}
}

func TestSilentlyVanishedHostLosesFewCalls(t *testing.T) {
	th := newHarness(t, 2, func(_ *testHost, w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") })
	blackhole, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer blackhole.Close()
	go func() {
		for {
			conn, err := blackhole.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(io.Discard, conn) }()
		}
	}()
	th.entry.Members.Merge(membership.Record{
		Address: blackhole.Addr().String(), DataCentre: "dc", Incarnation: 1, State: membership.Alive,
		Service: testService, Version: "v1", Upstream: api.UpstreamReady, Slots: testSlots,
	})
	lost := 0
	for range 60 {
		got := th.call("POST", "/credit", strings.NewReader("x"), func(r *http.Request) { r.Header.Set(call.HeaderTimeLeft, "1000") })
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
