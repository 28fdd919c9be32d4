// Package gate controls admission of calls to the upstream beside a node. All
// calls pass through it, so it can report exactly whether each one ran.
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

// Observer is notified of the result of each call that reached the gate.
type Observer interface {
	Observe(c *call.Call, res call.Result, took time.Duration)
}

// Config holds a gate's dependencies.
type Config struct {
	// Dial returns the transport to an upstream that accepts the given number
	// of connections.
	Dial func(connections int) http.RoundTripper
	// Limits returns the configured limits of a service.
	Limits func(service string) document.Limits
	// NestedFailures counts the failures that this node's entry has returned.
	// If it changes during a run, the run's failure may come from a nested
	// call.
	NestedFailures func() uint64
}

// Gate admits calls to one upstream.
type Gate struct {
	Observers []Observer
	// Log records calls that were refused or failed here; nil disables it.
	Log *logs.Log
	// Metrics may be nil.
	Metrics *metrics.NodeMetrics

	cfg Config

	// mu guards all fields below. An announcement that changes the number of
	// connections replaces the transport; runs in progress keep the old one.
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

// UpdateUpstream applies an announcement of the upstream. An upstream that
// becomes ready is cold and starts with few slots.
func (g *Gate) UpdateUpstream(announcement api.Announcement) {
	g.mu.Lock()
	defer g.mu.Unlock()
	old := g.upstream
	g.upstream = announcement
	cold := announcement.State == api.UpstreamReady && (old.State == api.UpstreamNone || old.State == api.UpstreamStarting ||
		old.State == api.UpstreamDown || old.Address != announcement.Address || old.Version != announcement.Version)
	g.applyLimits(cold)
	if announcement.State != api.UpstreamReady {
		g.admission.RefuseWaiting(api.CallLeaving)
	}
}

// ApplyConfig applies changed limits of the configuration.
func (g *Gate) ApplyConfig() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applyLimits(false)
}

// applyLimits sets the ceiling, the queue limit and the transport; the caller
// holds mu. The ceiling never exceeds the number of connections, so that no
// call in progress waits for one.
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

// lowerLimit returns the smaller of two limits, of which zero means unlimited.
func lowerLimit(a, b int) int {
	if a <= 0 || b <= 0 {
		return max(a, b, 0)
	}
	return min(a, b)
}

// Upstream returns the last announcement of the upstream.
func (g *Gate) Upstream() api.Announcement {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.upstream
}

// Running returns the number of calls in progress.
func (g *Gate) Running() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.Running()
}

// Load returns the load that the gate reports in responses.
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

// Drain refuses new and waiting calls from now on. The channel closes when the
// last call in progress has ended.
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

// closeIfDrained closes the drained channel if no call is in progress; the
// caller holds mu.
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
	ticket, code := g.admission.Arrive(now, RequestInfo{Route: c.Route, Criticality: CriticalityOf(c, size), Deadline: c.Deadline})
	return s, ticket, code
}

// admit takes a slot, waits for one, or returns the refusal.
func (g *Gate) admit(ctx context.Context, c *call.Call, size int64, now time.Time) (slot, api.Code) {
	s, ticket, code := g.arrive(c, size, now)
	if code != api.OK || ticket == nil {
		return s, code
	}
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	select {
	case code := <-ticket.Decision:
		return s, code
	case <-ctx.Done():
	}
	if !g.cancel(ticket) {
		return s, <-ticket.Decision
	}
	if time.Now().Before(c.Deadline) {
		return s, api.CallCancelled
	}
	return s, api.CallNoTime
}

func (g *Gate) cancel(ticket *Ticket) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.Cancel(ticket)
}

func (g *Gate) release(c *call.Call, began time.Time, runTime time.Duration, outcome RunOutcome) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admission.Complete(now, c.Route, runTime, now.Sub(began), outcome)
	g.closeIfDrained()
}
