package cluster

import (
	"net/http"
	"sync"
	"testing"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/standin/upstream"
)

const repeats = 50

// dead counts the upstreams that take no connections.
func dead(c *Cluster) int {
	n := 0
	for _, h := range c.Hosts {
		if !h.upstreamAnswers() {
			n++
		}
	}
	return n
}

func (h *Host) upstreamAnswers() bool {
	resp, err := http.Get("http://" + h.Upstream.Address() + "/health")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return true
}

func TestPoisonRequestCostsTwoUpstreamsAndIsRefusedThen(t *testing.T) {
	for name, path := range map[string]string{
		"keyed, not idempotent":         "/credit/poison",
		"idempotent, retried by itself": "/balance/poison",
	} {
		t.Run(name, func(t *testing.T) {
			c := ledgerCluster(t, 5)
			for _, h := range c.Hosts {
				h.Upstream.SetFaults(upstream.Fault{Prefix: path, Crash: true})
			}
			refused := 0
			for i := range repeats {
				r := post(t, c.Hosts[i%len(c.Hosts)], path, "poison", i+1, "boom")
				if r.status == http.StatusOK {
					t.Fatalf("repeat %d: %+v", i, r)
				}
				if r.code == api.CallQuarantined {
					refused++
				}
			}
			if n := dead(c); n > 2 {
				t.Errorf("%d upstreams lost", n)
			}
			if n := runsOf(c, "poison"); n > 2 {
				t.Errorf("the request ran %d times", n)
			}
			t.Logf("%d upstreams lost, %d of %d repeats refused as quarantined", dead(c), refused, repeats)
		})
	}
}

func TestNeighboursOfAPoisonRequestAreServedAfterwards(t *testing.T) {
	c := ledgerCluster(t, 4)
	for _, h := range c.Hosts {
		h.Upstream.SetFaults(upstream.Fault{Prefix: "/balance/poison", Crash: true})
	}
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			for range 20 {
				r := post(t, c.Hosts[i%len(c.Hosts)], "/balance/"+string(rune('a'+i)), "", 0, "")
				if r.status != http.StatusOK {
					t.Errorf("a neighbour's call: %+v", r)
				}
			}
		})
	}
	for i := range repeats {
		post(t, c.Hosts[i%len(c.Hosts)], "/balance/poison", "", 0, "boom")
	}
	wg.Wait()
	if n := dead(c); n > 2 {
		t.Errorf("%d upstreams lost", n)
	}
}
