package operated_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/daisytide/daisytide/internal/standin/store"
)

// arrivedSince returns the number of requests that arrived since t, and the most of
// them in one second.
func (b *backend) arrivedSince(t time.Time) (total, most int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var since []time.Time
	for _, at := range b.arrivals {
		if !at.Before(t) {
			since = append(since, at)
		}
	}
	for i, first := 0, 0; i < len(since); i++ {
		for since[i].Sub(since[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return len(since), most
}

// loadFar sends requests for the service "far" through a host from 20 callers, until the
// returned function is called.
func loadFar(h *host) (stop func()) {
	var callers sync.WaitGroup
	done := make(chan struct{})
	for range 20 {
		callers.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(5 * time.Millisecond):
					send("GET", h.url("/far/1"), nil)
				}
			}
		})
	}
	return func() {
		close(done)
		callers.Wait()
	}
}

func (h *host) warmupRate() string {
	resp, err := http.Get("http://" + h.cfg.Operators.Listen + "/metrics")
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	_, after, _ := strings.Cut(string(text), "\ndaisytide_gate_warmup_rate ")
	line, _, _ := strings.Cut(after, "\n")
	return line
}

// The rate of the configuration in force applies from the heartbeat that reports an
// upstream as cold, over a restart of its node, and until a configuration removes it.
func TestColdUpstreamGetsTheRateOfTheConfigurationInForce(t *testing.T) {
	const rate, allowed = 12, 12*1.5 + 8
	s := store.New(1)
	near, far := startHost(t, s, "near", "i-near"), startHost(t, s, "far", "i-far")
	writeConfigWithWarmup(t, s, 3, rate)
	waitFor(t, "a response", func() bool { status, _, _ := send("GET", near.url("/far/1"), nil); return status == http.StatusOK })
	stop := loadFar(near)
	defer stop()
	waitFor(t, "load", func() bool { return far.totalRuns() > 100 })
	far.warmupLeft.Store(int64(time.Minute))
	if status := far.heartbeat("ready"); status != http.StatusOK {
		t.Fatal(status)
	}
	// The heartbeat is acknowledged when it has taken effect. Requests that were sent
	// before arrive within some milliseconds.
	time.Sleep(20 * time.Millisecond)
	cold := time.Now()
	if got := far.warmupRate(); got != fmt.Sprint(rate) {
		t.Errorf("the metric gives the rate %q", got)
	}
	time.Sleep(1500 * time.Millisecond)
	if total, most := far.arrivedSince(cold); most > allowed || total < rate {
		t.Errorf("%d requests, %d in one second, %v are allowed", total, most, allowed)
	}
	far.restartNode()
	if status := far.heartbeat("ready"); status != http.StatusOK {
		t.Fatal(status)
	}
	restarted := time.Now()
	waitFor(t, "requests after the restart", func() bool { total, _ := far.arrivedSince(restarted); return total > rate })
	if _, most := far.arrivedSince(cold); most > allowed {
		t.Errorf("%d requests in one second over a restart, %v are allowed", most, allowed)
	}
	writeConfigWithWarmup(t, s, 4, 0)
	waitFor(t, "the limit to end", func() bool {
		total, _ := far.arrivedSince(time.Now().Add(-100 * time.Millisecond))
		return total > allowed && far.warmupRate() == "0"
	})
}

// An upstream that becomes cold between two heartbeats got the full load until the next
// one. A sign of it, here runs that take longer, leads to a health request; without one
// there is none.
func TestReturnToColdBetweenHeartbeatsIsNoticedBySlowRuns(t *testing.T) {
	s := store.New(1)
	near, far := startHost(t, s, "near", "i-near"), startHost(t, s, "far", "i-far")
	far.workTime = 20 * time.Millisecond
	writeConfigWithWarmup(t, s, 3, 12)
	waitFor(t, "a response", func() bool { status, _, _ := send("GET", near.url("/far/1"), nil); return status == http.StatusOK })
	began := time.Now()
	for range 20 {
		send("GET", near.url("/far/1"), nil)
	}
	if got := far.warmupRate(); got != "0" {
		t.Errorf("a warm upstream is limited to %q", got)
	}
	far.warmupLeft.Store(int64(time.Minute))
	far.extraWork.Store(int64(100 * time.Millisecond))
	stop := loadFar(near)
	defer stop()
	waitFor(t, "the limit", func() bool { return far.warmupRate() == "12" })
	if n := far.healthRequests.Load(); n > 1+int64(time.Since(began)/(500*time.Millisecond)) {
		t.Errorf("%d health requests in %v", n, time.Since(began))
	}
}
