package cluster

import (
	"net/http"
	"sync"
	"testing"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/standin/upstream"
)

const repeats = 50

// unreachableUpstreams counts the upstreams that accept no connections.
func unreachableUpstreams(c *Cluster) int {
	n := 0
	for _, h := range c.Hosts {
		if !h.upstreamReachable() {
			n++
		}
	}
	return n
}

func (h *Host) upstreamReachable() bool {
	resp, err := http.Get("http://" + h.Upstream.Address() + "/health")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return true
}

func TestPoisonRequestCrashesAtMostTwoUpstreams(t *testing.T) {
	for name, path := range map[string]string{
		"keyed, not idempotent":            "/credit/poison",
		"idempotent, retried by the entry": "/balance/poison",
	} {
		t.Run(name, func(t *testing.T) {
			c := startLedgerCluster(t, 5)
			for _, h := range c.Hosts {
				h.Upstream.SetFaults(upstream.Fault{Prefix: path, Crash: true})
			}
			refused := 0
			for i := range repeats {
				r := sendKeyed(t, c.Hosts[i%len(c.Hosts)], path, "poison", i+1, "boom")
				if r.status == http.StatusOK {
					t.Fatalf("repeat %d: %+v", i, r)
				}
				if r.code == api.CallQuarantined {
					refused++
				}
			}
			if n := unreachableUpstreams(c); n > 2 {
				t.Errorf("%d upstreams crashed, want at most 2", n)
			}
			if n := totalRuns(c, "poison"); n > 2 {
				t.Errorf("the request ran %d times, want at most 2", n)
			}
			t.Logf("%d upstreams crashed, %d of %d repeats refused as quarantined", unreachableUpstreams(c), refused, repeats)
		})
	}
}

func TestOtherRequestsAreServedBesideAPoisonRequest(t *testing.T) {
	c := startLedgerCluster(t, 4)
	for _, h := range c.Hosts {
		h.Upstream.SetFaults(upstream.Fault{Prefix: "/balance/poison", Crash: true})
	}
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			for range 20 {
				r := sendKeyed(t, c.Hosts[i%len(c.Hosts)], "/balance/"+string(rune('a'+i)), "", 0, "")
				if r.status != http.StatusOK {
					t.Errorf("another request: %+v", r)
				}
			}
		})
	}
	for i := range repeats {
		sendKeyed(t, c.Hosts[i%len(c.Hosts)], "/balance/poison", "", 0, "boom")
	}
	wg.Wait()
	if n := unreachableUpstreams(c); n > 2 {
		t.Errorf("%d upstreams crashed, want at most 2", n)
	}
}
