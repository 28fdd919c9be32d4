// Package gate is the only way into the upstream beside a node, so that it
// can tell truthfully what ran.
package gate

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/logs"
	"github.com/daisytide/daisytide/internal/metrics"
	"github.com/daisytide/daisytide/internal/request/call"
	"github.com/daisytide/daisytide/internal/version/document"
)

// Observer hears how each call that reached the gate ended.
type Observer interface {
	Observe(c *call.Call, res call.Result, took time.Duration)
}

// Config is what a gate works with.
type Config struct {
	// Dial makes the transport to an upstream that accepts so many connections.
	Dial func(connections int) http.RoundTripper
	// Limits returns what the configuration says of a service's limits.
	Limits func(service string) document.Limits
	// NestedFailures counts the failures that the entry of this node has answered;
	// a change during a run tells that a failure came from further down.
	NestedFailures func() uint64
}

// Gate admits calls to one upstream.
type Gate struct {
	Observers []Observer
	// Log tells of calls that were refused or failed here; nil tells of none.
	Log *logs.Log
	// Metrics may be nil.
	Metrics *metrics.Requests

	cfg Config

	// mu guards all below. An announcement that changes the connections
	// replaces the transport; runs in progress keep the one they began with.
	mu          sync.Mutex
	admission   Admission
	upstream    api.Announcement
	transport   http.RoundTripper
	connections int
	draining    bool
	drained     chan struct{}
	lastCall    time.Time
}

// New returns a gate without an upstream.
func New(cfg Config) *Gate {
	if cfg.Limits == nil {
		cfg.Limits = func(string) document.Limits { return document.Limits{} }
	}
	if cfg.NestedFailures == nil {
		cfg.NestedFailures = func() uint64 { return 0 }
	}
	return &Gate{cfg: cfg}
}

// UpdateUpstream takes what the upstream says of itself. An upstream that becomes
// ready is cold and starts with few slots.
func (g *Gate) UpdateUpstream(a api.Announcement) {
	g.mu.Lock()
	defer g.mu.Unlock()
	old := g.upstream
	g.upstream = a
	cold := a.State == api.UpstreamReady && (old.State == api.UpstreamNone || old.State == api.UpstreamStarting ||
		old.State == api.UpstreamDown || old.Address != a.Address || old.Version != a.Version)
	g.applyLimits(cold)
	if a.State != api.UpstreamReady {
		g.admission.RefuseWaiting(api.CallLeaving)
	}
}

// ApplyConfig takes new limits into use.
func (g *Gate) ApplyConfig() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applyLimits(false)
}

// applyLimits sets ceiling, queue and transport; the caller holds mu. Requests
// in progress never outnumber the connections, so that none waits for one.
func (g *Gate) applyLimits(cold bool) {
	if g.upstream.State == api.UpstreamNone {
		return
	}
	limits := g.cfg.Limits(g.upstream.Service)
	slots := lowerLimit(g.upstream.Slots, limits.Slots)
	connections := lowerLimit(g.upstream.Connections, limits.Connections)
	if connections == 0 {
		connections = slots
	}
	g.admission.MaxQueue = limits.Queue
	g.admission.Limit.SetCeiling(lowerLimit(slots, connections), cold)
	if g.transport != nil && connections == g.connections {
		return
	}
	if t, ok := g.transport.(interface{ CloseIdleConnections() }); ok {
		t.CloseIdleConnections()
	}
	g.connections = connections
	g.transport = g.cfg.Dial(connections)
}

// lower returns the smaller of two limits, of which zero means none.
func lowerLimit(a, b int) int {
	if a <= 0 || b <= 0 {
		return max(a, b, 0)
	}
	return min(a, b)
}

// Upstream returns what the upstream last said of itself.
func (g *Gate) Upstream() api.Announcement {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.upstream
}

// Running returns the requests in progress.
func (g *Gate) Running() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.Running()
}

// Load returns what the gate tells of itself on answers.
func (g *Gate) Load() Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	a := &g.admission
	return Load{Busy: a.Running() + a.Waiting(), Slots: a.Limit.Slots(), ServiceTime: a.MeanServiceTime()}
}

// LastCall returns when the last call arrived, admitted or not.
func (g *Gate) LastCall() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lastCall
}

// Drain refuses new and waiting calls from now on; the channel closes when
// the last request in progress has ended.
func (g *Gate) Drain() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.drained == nil {
		g.draining = true
		g.drained = make(chan struct{})
		g.admission.RefuseWaiting(api.CallLeaving)
		g.closeIfDrained()
	}
	return g.drained
}

// closeIfIdle closes idle when nothing runs; the caller holds mu.
func (g *Gate) closeIfDrained() {
	if g.draining && g.admission.Running() == 0 {
		close(g.drained)
	}
}

// slot is the right to run one call in the upstream.
type slot struct {
	address   string
	transport http.RoundTripper
}

// arrive decides on a call without waiting.
func (g *Gate) arrive(c *call.Call, size int64, now time.Time) (slot, *Ticket, api.Code) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastCall = now
	u := &g.upstream
	s := slot{address: u.Address, transport: g.transport}
	switch {
	case g.draining || u.State == api.UpstreamDraining:
		return s, nil, api.CallLeaving
	case u.State != api.UpstreamReady || u.Service != c.Service || u.Version != c.Version:
		return s, nil, api.CallNoUpstream
	}
	t, code := g.admission.Arrive(now, RequestInfo{Route: c.Route, Criticality: CriticalityOf(c, size), Deadline: c.Deadline})
	return s, t, code
}

// admit takes a slot, waits for one, or says why not.
func (g *Gate) admit(ctx context.Context, c *call.Call, size int64, now time.Time) (slot, api.Code) {
	s, t, code := g.arrive(c, size, now)
	if code != api.OK || t == nil {
		return s, code
	}
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	select {
	case code := <-t.Decision:
		return s, code
	case <-ctx.Done():
	}
	if !g.cancel(t) {
		return s, <-t.Decision
	}
	if time.Now().Before(c.Deadline) {
		return s, api.CallCancelled
	}
	return s, api.CallNoTime
}

func (g *Gate) cancel(t *Ticket) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.Cancel(t)
}

func (g *Gate) release(c *call.Call, began time.Time, took time.Duration, o RunOutcome) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admission.Complete(now, c.Route, took, now.Sub(began), o)
	g.closeIfDrained()
}
