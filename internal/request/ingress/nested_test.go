package ingress

import (
	"context"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/h1"
	"github.com/daisytide/daisytide/internal/request/hop"
)

// recordingGate refuses all requests as a full queue does, and keeps the last one.
type recordingGate struct {
	*harness
	last *hop.Request
}

func (g *recordingGate) Handle(_ context.Context, r *hop.Request, _ *h1.Request) hop.Result {
	g.last = r
	return hop.Refuse(api.CallShed, 10*time.Millisecond, nil)
}

// Guards against nested calls that lose the urgency of their run at the entry, or that
// are told to wait while a run waits for them, and against refused callers that are all
// told the same time.
func TestNestedCallsKeepUrgencyAndReturnAtOnce(t *testing.T) {
	upstream, caller := netip.MustParseAddr("10.0.0.1"), netip.MustParseAddr("10.9.0.1")
	h := newHarness(t, 0)
	g := &recordingGate{harness: h}
	h.ingress.Local, h.ingress.Origins.UpstreamIP = g, upstream
	h.ingress.MostUrgentRun = func() int { return 5 }
	delays := map[netip.Addr]map[string]bool{caller: {}, upstream: {}}
	for range 50 {
		for _, from := range []netip.Addr{caller, upstream} {
			resp := h.ingress.Serve(context.Background(), &h1.Request{Method: "GET", Target: "/read/1", Host: "a", Header: http.Header{}, RemoteIP: from, ReceivedAt: time.Now()})
			delays[from][resp.Header.Get("Back")] = true
			if want := map[netip.Addr]int{caller: 0, upstream: 5}[from]; g.last.CallerUrgency != want {
				t.Fatalf("from %v: urgency %d", from, g.last.CallerUrgency)
			}
		}
	}
	if n := len(delays[upstream]); n != 1 || !delays[upstream]["10"] {
		t.Errorf("nested calls return after %v", delays[upstream])
	}
	if n := len(delays[caller]); n < 10 {
		t.Errorf("callers return after only %d different times", n)
	}
}
