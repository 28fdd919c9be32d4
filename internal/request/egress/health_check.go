package egress

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/request/hop"
)

const (
	// minHealthInterval is the shortest time between two health requests. One costs
	// the upstream 6 ms, so that they take at most 1.2% of one slot, while heartbeats
	// come every 1.5 s.
	minHealthInterval = 500 * time.Millisecond
	// healthTimeout bounds a health request.
	healthTimeout = time.Second
	// A run that takes longer than slowRunFactor times the mean run time of its route,
	// and minSlowExcess longer than the mean, may mean a return to the cold state. A busy
	// host delays runs by some milliseconds.
	slowRunFactor = 3
	minSlowExcess = 20 * time.Millisecond
)

// healthChecks decides when the gate asks a warm upstream whether it has become cold
// between two heartbeats. Its zero value never does.
type healthChecks struct {
	// enabled is set while a warm upstream's service has a warm-up rate.
	enabled atomic.Bool
	// lastMillis is the time of the latest request in Unix milliseconds.
	lastMillis atomic.Int64
}

// due reports whether a sign leads to a health request, and records the request.
func (h *healthChecks) due(now time.Time) bool {
	last := h.lastMillis.Load()
	return now.UnixMilli()-last >= minHealthInterval.Milliseconds() && h.lastMillis.CompareAndSwap(last, now.UnixMilli())
}

// isSignOfCold reports whether the end of a run may mean that the upstream has become
// cold: it failed, was refused by the upstream, or took far longer than usual.
func isSignOfCold(res hop.Result, took, mean time.Duration) bool {
	switch {
	case res.Code == api.CallCut, res.Code == api.CallTimeout, res.UpstreamRefused:
		return true
	case res.Code == api.OK && res.Response.Status >= http.StatusInternalServerError:
		return true
	}
	return res.Ran != api.RanNo && mean > 0 && took > max(slowRunFactor*mean, mean+minSlowExcess)
}

// checkHealth asks the upstream for its warm-up if the end of a run is a sign of it.
func (g *Gate) checkHealth(ctx context.Context, instance *Instance, r *hop.Request, res hop.Result, took time.Duration) {
	if !g.health.enabled.Load() || errors.Is(ctx.Err(), context.Canceled) ||
		!isSignOfCold(res, took, g.meanRunTime(r.Route)) || !g.health.due(time.Now()) {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), healthTimeout)
		defer cancel()
		if left, ok := g.AskWarmup(ctx, *instance); ok && left > 0 {
			g.Upstream.MarkCold(instance.ID, time.Now().Add(left))
		}
	}()
}
