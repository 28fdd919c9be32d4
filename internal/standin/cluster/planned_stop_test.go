package cluster

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/standin/upstream"
)

// callerAddresses is the list of caller addresses that the load uses.
type callerAddresses struct {
	mu   sync.Mutex
	list []string
}

func (e *callerAddresses) at(i int) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.list[i%len(e.list)]
}

func (e *callerAddresses) set(list []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.list = list
}

// continuousLoad keeps workers calling until it is stopped. A worker whose
// connection is refused goes on to the next address, since nothing was sent.
type continuousLoad struct {
	entries callerAddresses
	stopped atomic.Bool
	wait    sync.WaitGroup

	sent, answered, notRun, unknown, incomplete atomic.Int64
}

func (l *continuousLoad) start(workers int) {
	client := newClient()
	for w := range workers {
		l.wait.Go(func() {
			for i := w; !l.stopped.Load(); i++ {
				l.sendOne(client, i)
			}
		})
	}
}

func (l *continuousLoad) sendOne(client *http.Client, i int) {
	method, path, size := http.MethodGet, "/look", 0
	switch i % 4 {
	case 1:
		method, path, size = http.MethodPost, "/credit", 300
	case 2:
		method, path, size = http.MethodPost, "/photo", 300_000
	}
	e := sendRequest(client, method, l.entries.at(i)+path, size)
	if e.connectionRefused {
		return
	}
	l.sent.Add(1)
	switch {
	case e.incomplete:
		l.incomplete.Add(1)
	case e.status == http.StatusOK:
		l.answered.Add(1)
	case e.runState == string(api.RanNo):
		l.notRun.Add(1)
	default:
		l.unknown.Add(1)
	}
}

// awaitAnswered waits until n more calls were answered.
func (l *continuousLoad) awaitAnswered(n int64) {
	for until := l.answered.Load() + n; l.answered.Load() < until; {
		time.Sleep(time.Millisecond)
	}
}

// TestPlannedStopsUnderLoadLoseNoCalls drains each upstream and stops each node in
// turn under load. No call may be cut off or end with an unknown outcome, and a
// call that is refused as not run must not have run.
func TestPlannedStopsUnderLoadLoseNoCalls(t *testing.T) {
	const hosts = 3
	callsPerStep := int64(200)
	if testing.Short() {
		callsPerStep = 40
	}
	o := upstream.Options{Service: "svc", Version: "v1", Slots: 10, Connections: 100, WorkTime: time.Millisecond}
	c := startService(t, hosts, 0, o, mixedRoutes(20*time.Second))
	ctx := context.Background()
	l := &continuousLoad{}
	l.entries.set(urls(c.Hosts, (*Host).CallerBase))
	l.start(8)
	l.awaitAnswered(callsPerStep)
	for i := range hosts {
		h := c.Hosts[i]
		h.Upstream.Drain()
		if err := h.Upstream.Announce(ctx, h.OperatorBase(), Token); err != nil {
			t.Fatal(err)
		}
		l.awaitAnswered(callsPerStep)
		before := h.Upstream.TotalRuns()
		l.awaitAnswered(callsPerStep)
		if more := h.Upstream.TotalRuns() - before; more != 0 {
			t.Errorf("upstream %d ran %d requests after its drain", i, more)
		}
		h.Upstream.SetDraining(false)
		if err := h.Upstream.Announce(ctx, h.OperatorBase(), Token); err != nil {
			t.Fatal(err)
		}
		l.awaitAnswered(callsPerStep)
	}
	for i := range hosts {
		if _, err := c.AddHost(ctx); err != nil {
			t.Fatal(err)
		}
		if err := c.AwaitConfig(ctx, 1); err != nil {
			t.Fatal(err)
		}
		l.entries.set(urls(c.Hosts[i:], (*Host).CallerBase))
		l.awaitAnswered(callsPerStep)
		if err := c.Hosts[i].Stop(); err != nil {
			t.Errorf("stop of host %d: %v", i, err)
		}
		l.entries.set(urls(c.Hosts[i+1:], (*Host).CallerBase))
		l.awaitAnswered(callsPerStep)
	}
	l.stopped.Store(true)
	l.wait.Wait()
	var ran int64
	for _, h := range c.Hosts {
		ran += int64(h.Upstream.TotalRuns())
	}
	t.Logf("%d sent, %d answered, %d ran, %d not run, %d unknown, %d incomplete",
		l.sent.Load(), l.answered.Load(), ran, l.notRun.Load(), l.unknown.Load(), l.incomplete.Load())
	if l.incomplete.Load() != 0 || l.unknown.Load() != 0 {
		t.Errorf("%d incomplete responses, %d of unknown outcome", l.incomplete.Load(), l.unknown.Load())
	}
	if ran != l.answered.Load() {
		t.Errorf("%d ran, %d were answered: a call refused as not run has run", ran, l.answered.Load())
	}
}
