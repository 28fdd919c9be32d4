// Package metrics counts requests by hop, route and outcome, with histograms
// of their times, in Prometheus' form.
package metrics

import (
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/daisytide/daisytide/api"
)

// Hop says where on its way a request was timed.
type Hop string

// The hops.
const (
	// Entry times a request from its header's arrival to its answer.
	Entry Hop = "entry"
	// Gate times it at the node beside the upstream, the wait included.
	Gate Hop = "gate"
)

// Outcome is how a request ended at a hop.
type Outcome string

// The outcomes.
const (
	// Answered: the upstream's own answer, below 500.
	UpstreamResponded Outcome = "answered"
	// Upstream: the upstream's own failure.
	UpstreamFailed Outcome = "upstream failed"
	// Refused: surely not run.
	Refused Outcome = "refused"
	// Failed: it may have run, and there was no answer.
	Failed Outcome = "failed"
)

// OutcomeOf sorts the end of a request; status is the upstream's where code is
// api.OK.
func OutcomeOf(code api.Code, status int, ran api.Ran) Outcome {
	switch {
	case code == api.OK && status < http.StatusInternalServerError:
		return UpstreamResponded
	case code == api.OK:
		return UpstreamFailed
	case ran == api.RanNo:
		return Refused
	default:
		return Failed
	}
}

// maxRoutes bounds the series: routes beyond it are counted as otherRoutes.
// Only routes that got a request count, so hundreds of unused ones cost nothing.
const (
	maxRoutes   = 64
	otherRoutes = "other"
	// noRoute counts requests that ended before a route was found.
	noRoute = "none"
)

// Edges of the histograms' classes, in seconds: 1 ms to 4 s, doubling.
const (
	firstEdge  = 0.001
	edgeFactor = 2
	edgeCount  = 13
)

// Requests are the metrics of one node.
type NodeMetrics struct {
	registry *prometheus.Registry
	seconds  *prometheus.HistogramVec

	mu     sync.RWMutex
	routes map[string]bool
}

// New returns metrics without any series.
func New() *NodeMetrics {
	m := &NodeMetrics{
		registry: prometheus.NewRegistry(),
		routes:   map[string]bool{},
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "daisytide_request_seconds", Help: "Times of requests by hop, route and outcome.",
			Buckets: prometheus.ExponentialBuckets(firstEdge, edgeFactor, edgeCount),
		}, []string{"hop", "route", "outcome"}),
	}
	m.registry.MustRegister(m.seconds)
	return m
}

// Observe counts one request; m may be nil.
func (m *NodeMetrics) ObserveRequest(h Hop, route string, o Outcome, took time.Duration) {
	if m != nil {
		m.seconds.WithLabelValues(string(h), m.series(route), string(o)).Observe(took.Seconds())
	}
}

// Value publishes a value that is read at each scrape.
func (m *NodeMetrics) AddGauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "daisytide_" + name, Help: help}, read))
}

// Gauges are the values that a node of either kind publishes, read at each
// scrape.
type Gauges struct {
	Configuration  func() uint64
	Members, Links func() int
	// Busy counts the requests at the gate, in progress and waiting.
	Busy func() int
	// Retries counts the requests sent to a second upstream.
	Retries func() uint64
}

// Publish publishes a node's gauges.
func (m *NodeMetrics) PublishGauges(g Gauges) {
	m.AddGauge("configuration", "Number of the configuration in force.", func() float64 { return float64(g.Configuration()) })
	m.AddGauge("members", "Members of the fleet that the node knows.", func() float64 { return float64(g.Members()) })
	m.AddGauge("links", "Links to other nodes.", func() float64 { return float64(g.Links()) })
	m.AddGauge("gate_busy", "Requests at the gate, in progress and waiting.", func() float64 { return float64(g.Busy()) })
	m.AddGauge("retries", "Requests sent to a second upstream since the start.", func() float64 { return float64(g.Retries()) })
}

// Handler serves the metrics as text.
func (m *NodeMetrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// series returns the label of a route.
func (m *NodeMetrics) series(route string) string {
	if route == "" {
		return noRoute
	}
	m.mu.RLock()
	known, full := m.routes[route], len(m.routes) >= maxRoutes
	m.mu.RUnlock()
	switch {
	case known:
		return route
	case full:
		return otherRoutes
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.routes) >= maxRoutes && !m.routes[route] {
		return otherRoutes
	}
	m.routes[route] = true
	return route
}
