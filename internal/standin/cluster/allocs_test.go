//go:build !race

package cluster

import (
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/daisytide/daisytide/internal/standin/upstream"
)

// A call may take 0.85 ms longer at the 99th percentile. A tenth of that may
// go to memory: 85 microseconds at a quarter of a microsecond for an
// allocation and its collection are 340 allocations at entry and gate together.
const maxAddedAllocations = 340

// countedCalls spreads the few allocations of heartbeats over many calls.
const measuredCalls = 1000

func TestCallThroughAnotherNodeStaysWithinAllocationLimit(t *testing.T) {
	c := startService(t, 2, 1, upstream.Options{Service: "svc", Version: "v1", Slots: 10, Connections: 100}, mixedRoutes(2*time.Second))
	client := newClient()
	perCall := func(url string) float64 {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for range measuredCalls {
			if e := sendRequest(client, http.MethodGet, url, 0); e.status != http.StatusOK {
				t.Fatalf("%+v", e)
			}
		}
		runtime.ReadMemStats(&after)
		return float64(after.Mallocs-before.Mallocs) / measuredCalls
	}
	direct := upstreamBase(c.Hosts[1]) + "/look"
	through := c.Hosts[0].CallerBase() + "/look"
	perCall(direct)
	perCall(through)
	added := perCall(through) - perCall(direct)
	if added > maxAddedAllocations {
		t.Errorf("%.0f allocations added to a call, want at most %d", added, maxAddedAllocations)
	}
	t.Logf("%.0f allocations added to a call", added)
}
