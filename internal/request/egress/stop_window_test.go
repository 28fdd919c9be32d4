package egress

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/request/hop"
	"github.com/daisytide/daisytide/internal/request/quarantine"
)

func TestStopWindowRefusesWhatCannotFinish(t *testing.T) {
	began := time.Unix(1000, 0)
	w := StopWindow{RefuseFrom: began.Add(2400 * time.Millisecond), End: began.Add(5100 * time.Millisecond)}
	for _, tc := range []struct {
		at, meanRun time.Duration
		refused     bool
	}{
		{0, 0, false},
		{0, 5 * time.Second, false},
		{0, 6 * time.Second, true},
		{2 * time.Second, 3 * time.Second, false},
		{2300 * time.Millisecond, 3 * time.Second, true},
		{2399 * time.Millisecond, 100 * time.Millisecond, false},
		{2400 * time.Millisecond, 0, true},
		{5 * time.Second, 10 * time.Millisecond, true},
	} {
		if got := w.refuses(began.Add(tc.at), tc.meanRun); got != tc.refused {
			t.Errorf("after %v with a run time of %v: refused %v", tc.at, tc.meanRun, got)
		}
	}
	if (&Stopping{}).Refuses(began, time.Hour) {
		t.Error("refused without a stop")
	}
}

// A request that reached the gate of a stopping node late was sent to the upstream and
// cut by the end of the process.
func TestStoppingGateRefusesLateRequestsAsNotRun(t *testing.T) {
	g, _ := newGate(t, quarantine.NewEventSet(time.Now))
	if res := g.sendRequest("v1", "/1"); res.Code != api.OK {
		t.Fatalf("before the stop: %v", res.Code)
	}
	now := time.Now()
	g.Stopping.Begin(StopWindow{RefuseFrom: now.Add(time.Hour), End: now.Add(time.Hour)})
	if res := g.sendRequest("v1", "/2"); res.Code != api.OK {
		t.Errorf("early in the stop: %v", res.Code)
	}
	g.Stopping.Begin(StopWindow{RefuseFrom: now, End: now.Add(time.Hour)})
	if res := g.sendRequest("v1", "/3"); res.Code != api.CallLeaving || res.Ran != api.RanNo || g.runs.Load() != 2 {
		t.Errorf("late in the stop: %v, ran %v, %d runs", res.Code, res.Ran, g.runs.Load())
	}
}

// A request that waited for a slot is sent while it can finish, and is refused when it
// can't.
func TestStoppingGateSendsWaitingRequestsThatCanFinish(t *testing.T) {
	for name, tc := range map[string]struct {
		end  time.Duration
		code api.Code
	}{
		"enough time": {time.Hour, api.OK},
		"no time":     {0, api.CallLeaving},
	} {
		t.Run(name, func(t *testing.T) {
			g, _ := newGate(t, quarantine.NewEventSet(time.Now))
			g.upstream.set(func(i *Instance) { i.Slots = 1 })
			running, release := make(chan struct{}), make(chan struct{})
			g.respond = func(_ net.Conn, r *http.Request) bool {
				if r.URL.Path == "/first" {
					close(running)
					<-release
				}
				return true
			}
			results := make(chan hop.Result, 1)
			go g.sendRequest("v1", "/first")
			<-running
			go func() { results <- g.sendRequest("v1", "/waiting") }()
			for {
				if g.Load().Busy == 2 {
					break
				}
				time.Sleep(time.Millisecond)
			}
			now := time.Now()
			g.Stopping.Begin(StopWindow{RefuseFrom: now, End: now.Add(tc.end)})
			close(release)
			if res := <-results; res.Code != tc.code {
				t.Errorf("the waiting request ended with %v, want %v", res.Code, tc.code)
			}
		})
	}
}
