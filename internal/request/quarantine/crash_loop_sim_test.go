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

// The drive has one request repeated by its caller through entries of a
// service, beside calls of others, in virtual time.

const (
	driveGates   = 5
	driveRepeats = 50
	driveEvery   = 200 * time.Millisecond // between two repeats
	driveRestart = 5 * time.Second        // from a crash to the upstream's return
	driveOthers  = 20                     // other callers, each one call at a time
	driveRun     = 10 * time.Millisecond
	drivePause   = 10 * time.Millisecond // between two calls of one caller
	poisonPath   = "/poison"
)

// host is one upstream with its gate.
type host struct {
	mu    sync.Mutex
	life  int
	down  bool
	lost  int
	gate  *CrashMonitor
	serve call.Handler
}

func (h *host) state() (life int, down bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.life, h.down
}

// crash ends the upstream, which comes back and announces itself.
func (h *host) crash() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.life++
	h.lost++
	h.down = true
	time.AfterFunc(driveRestart, func() {
		h.mu.Lock()
		h.down = false
		h.mu.Unlock()
		h.gate.UpstreamAnnounced()
	})
}

// run is the upstream: a request in it is cut when it crashes.
func (h *host) run(_ context.Context, _ http.ResponseWriter, r *http.Request, _ *call.Call) call.Result {
	began, down := h.state()
	if down {
		return call.Refuse(api.CallNotReached, nil)
	}
	time.Sleep(driveRun)
	if r.URL.Path == poisonPath {
		h.crash()
	}
	if life, _ := h.state(); life != began {
		return call.Result{Code: api.CallCut, Ran: api.RanUnknown}
	}
	return call.Result{Code: api.OK, Ran: api.RanYes, Status: http.StatusOK}
}

func startHosts(plain bool) []*host {
	hosts := make([]*host, driveGates)
	for i := range hosts {
		hosts[i] = &host{}
	}
	tell := func(f Event) {
		time.Sleep(2 * time.Millisecond)
		for _, h := range hosts {
			h.gate.Events.Add(f)
		}
	}
	for _, h := range hosts {
		h.gate = NewCrashMonitor(NewEventSet(time.Now), func() bool { _, down := h.state(); return !down }, tell)
		h.serve = h.gate.Middleware(h.run)
		if plain {
			h.serve = h.run
		}
	}
	return hosts
}

// send tries up to three gates while that is safe.
func send(hosts []*host, from int, path string, idempotent bool) call.Result {
	var res call.Result
	for try := range 3 {
		r := httptest.NewRequest(http.MethodPost, path, strings.NewReader("body of "+path))
		c := &call.Call{Service: "s", Idempotent: idempotent, Deadline: time.Now().Add(2 * time.Second)}
		res = hosts[(from+try)%len(hosts)].serve(context.Background(), httptest.NewRecorder(), r, c)
		again := res.Ran == api.RanNo && res.Code != api.CallQuarantined || idempotent && res.Code == api.CallCut
		if !again {
			return res
		}
	}
	return res
}

// others keep calling until stop closes; they count how their calls ended.
func others(hosts []*host, stop <-chan struct{}, tally map[string]int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range driveOthers {
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
				time.Sleep(drivePause)
			}
		})
	}
	wg.Wait()
}

func TestOneRequestRepeatedCostsAServiceTwoUpstreams(t *testing.T) {
	for _, plain := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			hosts := startHosts(plain)
			stop := make(chan struct{})
			tally, ends := map[string]int{}, map[string]int{}
			var done sync.WaitGroup
			done.Go(func() { others(hosts, stop, tally) })
			for i := range driveRepeats {
				time.Sleep(driveEvery)
				ends[send(hosts, i, poisonPath, false).Code.String()]++
			}
			close(stop)
			done.Wait()
			time.Sleep(driveRestart)
			lost := 0
			for _, h := range hosts {
				lost += h.lost
			}
			t.Logf("plain %v: %d upstreams lost; repeats %v; others %v", plain, lost, ends, tally)
			if !plain && lost > 2 {
				t.Errorf("%d upstreams lost", lost)
			}
			if plain && lost <= 2 {
				t.Error("without quarantine no more is lost: the fault does not bite")
			}
			if n := tally["idempotent "+api.CallCut.String()]; !plain && n > 0 {
				t.Errorf("%d idempotent calls of others were not retried", n)
			}
		})
	}
}
