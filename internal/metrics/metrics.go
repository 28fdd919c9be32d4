// Package metrics publishes a node's Prometheus metrics: histograms of request
// times by hop, route and outcome, and gauges.
package metrics

import (
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/daisytide/daisytide/api"
)

// Hop is the point on a request's path at which it is timed.
type Hop string

// The hops.
const (
	// Entry times a request from the receipt of its header to the response.
	Entry Hop = "entry"
	// Gate times a request at the node of the upstream, including the wait for a
	// slot.
	Gate Hop = "gate"
)

// Outcome is how a request ended at a hop.
type Outcome string

// The outcomes.
const (
	// UpstreamResponded: the upstream responded with a status below 500.
	UpstreamResponded Outcome = "answered"
	// UpstreamFailed: the upstream responded with a status of 500 or above.
	UpstreamFailed Outcome = "upstream failed"
	// Refused: the request was certainly not run.
	Refused Outcome = "refused"
	// Failed: the request may have run, but there was no response.
	Failed Outcome = "failed"
)

// OutcomeOf classifies the result of a request. If code is api.OK, status is the
// upstream's.
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

// maxRoutes bounds the number of route labels; further routes are counted under
// otherRoutes. Only routes that received a request take a label, so hundreds of
// unused ones cost nothing.
const (
	maxRoutes   = 64
	otherRoutes = "other"
	// noRoute is the label of requests that ended before a route was found.
	noRoute = "none"
)

// Bounds of the histogram buckets in seconds: 1 ms to 4 s, doubling.
const (
	firstBucket  = 0.001
	bucketFactor = 2
	bucketCount  = 13
)

// NodeMetrics holds the metrics of one node.
type NodeMetrics struct {
	registry       *prometheus.Registry
	requestSeconds *prometheus.HistogramVec
	// Traffic counts the bytes exchanged with other nodes.
	Traffic *Traffic

	mu     sync.RWMutex
	routes map[string]bool
}

// New returns metrics without any series.
func New() *NodeMetrics {
	m := &NodeMetrics{
		registry: prometheus.NewRegistry(),
		Traffic:  newTraffic(),
		routes:   map[string]bool{},
		requestSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "daisytide_request_seconds", Help: "Times of requests by hop, route and outcome.",
			Buckets: prometheus.ExponentialBuckets(firstBucket, bucketFactor, bucketCount),
		}, []string{"hop", "route", "outcome"}),
	}
	m.registry.MustRegister(m.requestSeconds, m.Traffic)
	return m
}

// ObserveRequest records one request. If m is nil it does nothing.
func (m *NodeMetrics) ObserveRequest(h Hop, route string, o Outcome, took time.Duration) {
	if m != nil {
		m.requestSeconds.WithLabelValues(string(h), m.routeLabel(route), string(o)).Observe(took.Seconds())
	}
}

// AddGauge publishes a gauge whose value is read at each scrape.
func (m *NodeMetrics) AddGauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "daisytide_" + name, Help: help}, read))
}

// Register publishes further series.
func (m *NodeMetrics) Register(c prometheus.Collector) { m.registry.MustRegister(c) }

// Gauges holds the functions that return the values of a node's gauges at each
// scrape.
type Gauges struct {
	Configuration  func() uint64
	Members, Links func() int
	// Busy returns the number of requests at the gate, in progress and waiting.
	Busy func() int
	// Retries returns the number of requests sent to a second upstream.
	Retries func() uint64
}

// PublishGauges adds a node's gauges.
func (m *NodeMetrics) PublishGauges(g Gauges) {
	m.AddGauge("configuration", "Number of the configuration in force.", func() float64 { return float64(g.Configuration()) })
	m.AddGauge("members", "Members of the fleet that the node knows.", func() float64 { return float64(g.Members()) })
	m.AddGauge("links", "Links to other nodes.", func() float64 { return float64(g.Links()) })
	m.AddGauge("gate_busy", "Requests at the gate, in progress and waiting.", func() float64 { return float64(g.Busy()) })
	m.AddGauge("retries", "Requests sent to a second upstream since the start.", func() float64 { return float64(g.Retries()) })
}

// Handler serves the metrics in Prometheus' text format.
func (m *NodeMetrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// routeLabel returns the label value of a route.
func (m *NodeMetrics) routeLabel(route string) string {
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
