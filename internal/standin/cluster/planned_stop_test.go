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

// entries is the list of caller addresses that the load uses.
type entries struct {
	mu   sync.Mutex
	list []string
}

func (e *entries) at(i int) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.list[i%len(e.list)]
}

func (e *entries) set(list []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.list = list
}

// stopLoad keeps workers calling until it is ended. A worker that is refused
// a connection goes to the next entry: nothing was sent.
type stopLoad struct {
	entries entries
	over    atomic.Bool
	wait    sync.WaitGroup

	sent, answered, notRun, unknown, cut atomic.Int64
}

func (l *stopLoad) start(workers int) {
	client := caller()
	for w := range workers {
		l.wait.Go(func() {
			for i := w; !l.over.Load(); i++ {
				l.one(client, i)
			}
		})
	}
}

func (l *stopLoad) one(client *http.Client, i int) {
	method, path, size := http.MethodGet, "/look", 0
	switch i % 4 {
	case 1:
		method, path, size = http.MethodPost, "/credit", 300
	case 2:
		method, path, size = http.MethodPost, "/photo", 300_000
	}
	e := request(client, method, l.entries.at(i)+path, size)
	if e.refused {
		return
	}
	l.sent.Add(1)
	switch {
	case e.cut:
		l.cut.Add(1)
	case e.status == http.StatusOK:
		l.answered.Add(1)
	case e.ran == string(api.RanNo):
		l.notRun.Add(1)
	default:
		l.unknown.Add(1)
	}
}

// await waits until n more calls were answered.
func (l *stopLoad) await(n int64) {
	for until := l.answered.Load() + n; l.answered.Load() < until; {
		time.Sleep(time.Millisecond)
	}
}

// TestPlannedStopsUnderLoadCutNothing stops each node and drains each upstream
// in turn while callers go on, and counts what ran against what was answered.
func TestPlannedStopsUnderLoadCutNothing(t *testing.T) {
	const hosts = 3
	each := int64(200)
	if testing.Short() {
		each = 40
	}
	o := upstream.Options{Service: "svc", Version: "v1", Slots: 10, Connections: 100, WorkTime: time.Millisecond}
	c := startService(t, hosts, 0, o, mixed(20*time.Second))
	ctx := context.Background()
	l := &stopLoad{}
	l.entries.set(urls(c.Hosts, (*Host).CallerBase))
	l.start(8)
	l.await(each)
	for i := range hosts {
		h := c.Hosts[i]
		h.Upstream.Drain()
		if err := h.Upstream.Announce(ctx, h.OperatorBase(), Token); err != nil {
			t.Fatal(err)
		}
		l.await(each)
		before := h.Upstream.TotalRuns()
		l.await(each)
		if more := h.Upstream.TotalRuns() - before; more != 0 {
			t.Errorf("upstream %d ran %d requests long after its drain", i, more)
		}
		h.Upstream.SetDraining(false)
		if err := h.Upstream.Announce(ctx, h.OperatorBase(), Token); err != nil {
			t.Fatal(err)
		}
		l.await(each)
	}
	for i := range hosts {
		if _, err := c.AddHost(ctx); err != nil {
			t.Fatal(err)
		}
		if err := c.AwaitConfig(ctx, 1); err != nil {
			t.Fatal(err)
		}
		l.entries.set(urls(c.Hosts[i:], (*Host).CallerBase))
		l.await(each)
		if err := c.Hosts[i].Stop(); err != nil {
			t.Errorf("stop of host %d: %v", i, err)
		}
		l.entries.set(urls(c.Hosts[i+1:], (*Host).CallerBase))
		l.await(each)
	}
	l.over.Store(true)
	l.wait.Wait()
	var ran int64
	for _, h := range c.Hosts {
		ran += int64(h.Upstream.TotalRuns())
	}
	t.Logf("%d sent, %d answered, %d ran, %d not run, %d unknown, %d cut",
		l.sent.Load(), l.answered.Load(), ran, l.notRun.Load(), l.unknown.Load(), l.cut.Load())
	if l.cut.Load() != 0 || l.unknown.Load() != 0 {
		t.Errorf("%d cut, %d of unknown outcome", l.cut.Load(), l.unknown.Load())
	}
	if ran != l.answered.Load() {
		t.Errorf("%d ran, %d were answered: a refusal as not run had run", ran, l.answered.Load())
	}
}
