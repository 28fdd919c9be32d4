package quarantine

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/request/call"
)

// The simulation repeats one request that crashes its upstream through several
// gates of a service, beside calls of other callers, in virtual time.

const (
	simGates          = 5
	simRepeats        = 50
	simRepeatInterval = 200 * time.Millisecond // between two repeats
	simRestartDelay   = 5 * time.Second        // from a crash to the upstream's restart
	simOtherCallers   = 20                     // each makes one call at a time
	simRunTime        = 10 * time.Millisecond
	simCallerPause    = 10 * time.Millisecond // between two calls of one caller
	poisonPath        = "/poison"
)

// simHost is one upstream with its gate.
type simHost struct {
	mu         sync.Mutex
	generation int
	down       bool
	crashes    int
	monitor    *CrashMonitor
	serve      call.Handler
}

func (h *simHost) state() (generation int, down bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.generation, h.down
}

// crash ends the upstream, which restarts later and announces itself.
func (h *simHost) crash() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.generation++
	h.crashes++
	h.down = true
	time.AfterFunc(simRestartDelay, func() {
		h.mu.Lock()
		h.down = false
		h.mu.Unlock()
		h.monitor.UpstreamAnnounced()
	})
}

// run is the upstream. A crash cuts the requests that are running.
func (h *simHost) run(_ context.Context, _ http.ResponseWriter, r *http.Request, _ *call.Call) call.Result {
	startGeneration, down := h.state()
	if down {
		return call.Refuse(api.CallNotReached, nil)
	}
	time.Sleep(simRunTime)
	if r.URL.Path == poisonPath {
		h.crash()
	}
	if generation, _ := h.state(); generation != startGeneration {
		return call.Result{Code: api.CallCut, Ran: api.RanUnknown}
	}
	return call.Result{Code: api.OK, Ran: api.RanYes, Status: http.StatusOK}
}

func startSimHosts(withoutQuarantine bool) []*simHost {
	hosts := make([]*simHost, simGates)
	for i := range hosts {
		hosts[i] = &simHost{}
	}
	broadcast := func(event Event) {
		time.Sleep(2 * time.Millisecond)
		for _, h := range hosts {
			h.monitor.Events.Add(event)
		}
	}
	for _, h := range hosts {
		h.monitor = NewCrashMonitor(NewEventSet(time.Now), func() bool { _, down := h.state(); return !down }, broadcast)
		h.serve = h.monitor.Middleware(h.run)
		if withoutQuarantine {
			h.serve = h.run
		}
	}
	return hosts
}

// send tries up to three gates as long as a retry is safe.
func send(hosts []*simHost, from int, path string, idempotent bool) call.Result {
	var res call.Result
	for try := range 3 {
		r := httptest.NewRequest(http.MethodPost, path, strings.NewReader("body of "+path))
		c := &call.Call{Service: "s", Idempotent: idempotent, Deadline: time.Now().Add(2 * time.Second)}
		res = hosts[(from+try)%len(hosts)].serve(context.Background(), httptest.NewRecorder(), r, c)
		retryable := res.Ran == api.RanNo && res.Code != api.CallQuarantined || idempotent && res.Code == api.CallCut
		if !retryable {
			return res
		}
	}
	return res
}

// runOtherCallers makes calls until stop closes and counts their outcomes.
func runOtherCallers(hosts []*simHost, stop <-chan struct{}, tally map[string]int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range simOtherCallers {
		wg.Go(func() {
			for n := i; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				kind := "idempotent "
				if i%2 == 1 {
					kind = "other "
				}
				res := send(hosts, n, "/call/"+strconv.Itoa(i), i%2 == 0)
				mu.Lock()
				tally[kind+res.Code.String()]++
				mu.Unlock()
				time.Sleep(simCallerPause)
			}
		})
	}
	wg.Wait()
}

func TestRepeatedCrashingRequestCrashesAtMostTwoUpstreams(t *testing.T) {
	for _, withoutQuarantine := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			hosts := startSimHosts(withoutQuarantine)
			stop := make(chan struct{})
			tally, repeatOutcomes := map[string]int{}, map[string]int{}
			var done sync.WaitGroup
			done.Go(func() { runOtherCallers(hosts, stop, tally) })
			for i := range simRepeats {
				time.Sleep(simRepeatInterval)
				repeatOutcomes[send(hosts, i, poisonPath, false).Code.String()]++
			}
			close(stop)
			done.Wait()
			time.Sleep(simRestartDelay)
			crashes := 0
			for _, h := range hosts {
				crashes += h.crashes
			}
			t.Logf("without quarantine %v: %d crashes; repeated request %v; other callers %v", withoutQuarantine, crashes, repeatOutcomes, tally)
			if !withoutQuarantine && crashes > 2 {
				t.Errorf("%d upstreams crashed", crashes)
			}
			if withoutQuarantine && crashes <= 2 {
				t.Error("without quarantine there are no more crashes: the injected fault has no effect")
			}
			if n := tally["idempotent "+api.CallCut.String()]; !withoutQuarantine && n > 0 {
				t.Errorf("%d idempotent calls of other callers were not retried", n)
			}
		})
	}
}
