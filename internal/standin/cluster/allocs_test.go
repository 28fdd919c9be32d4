//go:build !race

package cluster

import (
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/daisytide/daisytide/internal/standin/upstream"
)

// A call may take 0.85 ms longer at the 99th percentile, a tenth of which is the
// budget for memory management. At a quarter of a microsecond for an allocation
// and its collection, 85 microseconds are 340 allocations at entry and gate
// together.
const maxAddedAllocations = 340

// measuredCalls is large enough that the allocations of heartbeats in the
// background hardly count per call.
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
	forwarded := c.Hosts[0].CallerBase() + "/look"
	perCall(direct)
	perCall(forwarded)
	added := perCall(forwarded) - perCall(direct)
	if added > maxAddedAllocations {
		t.Errorf("%.0f allocations added per call, want at most %d", added, maxAddedAllocations)
	}
	t.Logf("%.0f allocations added per call", added)
}
