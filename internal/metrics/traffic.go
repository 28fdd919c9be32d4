package metrics

import (
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

// Kinds of traffic between nodes that are not messages on links.
const (
	KindRequest  = "request"
	KindResponse = "response"
)

// trafficKey identifies one counter: a kind of traffic and the data centre that it
// goes to, or for responses comes from.
type trafficKey struct{ kind, dataCentre string }

// Traffic counts the bytes that a node exchanges with others, without the headers of
// HTTP, WebSocket, TCP and IP.
type Traffic struct {
	mu    sync.Mutex
	bytes map[trafficKey]uint64
	desc  *prometheus.Desc
}

func newTraffic() *Traffic {
	return &Traffic{
		bytes: map[trafficKey]uint64{},
		desc: prometheus.NewDesc("daisytide_peer_bytes_total",
			"Bytes sent to other nodes, or received as responses, by kind and data centre.", []string{"kind", "data_centre"}, nil),
	}
}

// Add counts n bytes. If t is nil it does nothing.
func (t *Traffic) Add(kind, dataCentre string, n int) {
	if t == nil || n == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.bytes[trafficKey{kind, dataCentre}] += uint64(n)
}

// Describe implements prometheus.Collector.
func (t *Traffic) Describe(ch chan<- *prometheus.Desc) { ch <- t.desc }

// Collect implements prometheus.Collector.
func (t *Traffic) Collect(ch chan<- prometheus.Metric) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, n := range t.bytes {
		ch <- prometheus.MustNewConstMetric(t.desc, prometheus.CounterValue, float64(n), k.kind, k.dataCentre)
	}
}

// Outside returns the bytes exchanged with other data centres than own by kind, as
// "kind=bytes" sorted by kind.
func (t *Traffic) Outside(own string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	sums := map[string]uint64{}
	for k, n := range t.bytes {
		if k.dataCentre != own {
			sums[k.kind] += n
		}
	}
	out := make([]string, 0, len(sums))
	for kind, n := range sums {
		out = append(out, fmt.Sprintf("%s=%d", kind, n))
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}
