package egress

import (
	"log/slog"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/logs"
)

// minTimerDelay keeps a timer that fires too early from being set again without end.
const minTimerDelay = time.Millisecond

// UpstreamChanged applies a new state of the upstream.
func (g *Gate) UpstreamChanged(instance Instance) {
	g.announceMu.Lock()
	defer g.announceMu.Unlock()
	g.mu.Lock()
	now := time.Now()
	fresh := instance.ID != g.instance.ID || instance.StartedMillis != g.instance.StartedMillis
	g.instance = instance
	if instance.Ready() {
		g.queue.Slots = instance.Slots
	} else {
		g.queue.RefuseWaiting(Decision{Code: api.CallLeaving, RetryAfter: defaultRetryAfter})
	}
	g.updateWarmupLocked(now, fresh)
	slots := g.announcedSlots
	g.mu.Unlock()
	if g.Announce != nil {
		g.Announce(instance, slots)
	}
}

// ConfigurationChanged applies the warm-up rate of a new configuration.
func (g *Gate) ConfigurationChanged() { g.refreshWarmup() }

// refreshWarmup applies the current rate and time to the warm-up, admits waiting
// requests, and announces the number of slots if it has changed.
func (g *Gate) refreshWarmup() {
	g.announceMu.Lock()
	defer g.announceMu.Unlock()
	g.mu.Lock()
	announced := g.announcedSlots
	g.updateWarmupLocked(time.Now(), false)
	instance, slots := g.instance, g.announcedSlots
	g.mu.Unlock()
	if g.Announce != nil && slots != announced {
		g.Announce(instance, slots)
	}
}

// updateWarmupLocked applies the rate and the end of the warm-up to the queue and
// admits waiting requests; the caller holds mu.
func (g *Gate) updateWarmupLocked(now time.Time, fresh bool) {
	rate := 0.0
	if g.ServiceWarmupRate != nil {
		rate = g.ServiceWarmupRate(g.instance.Service)
	}
	cold := now.Before(g.instance.WarmupEnd)
	g.health.enabled.Store(rate > 0 && !cold && g.AskWarmup != nil)
	if !cold {
		rate = 0
	}
	limited := g.limitedRate
	g.queue.SetWarmup(now, rate, g.instance.WarmupEnd, fresh)
	g.limitedRate = rate
	switch {
	case rate > 0 && (rate != limited || fresh):
		g.announcedSlots = sustainedSlots(rate, g.queue.MeanServiceTime(), g.instance.Slots)
		slog.Info(logPrefix+"upstream is cold", logs.FieldInstance, g.instance.ID, logs.FieldService, g.instance.Service,
			logs.FieldWarmupRate, rate, logs.FieldWarmupLeft, g.instance.WarmupEnd.Sub(now).Milliseconds(), logs.FieldSlots, g.announcedSlots)
	case rate > 0:
		g.announcedSlots = min(g.announcedSlots, g.instance.Slots)
	default:
		g.announcedSlots = g.instance.Slots
		if limited > 0 {
			slog.Info(logPrefix+"upstream is warm", logs.FieldInstance, g.instance.ID, logs.FieldService, g.instance.Service, logs.FieldSlots, g.announcedSlots)
		}
	}
	if g.instance.Ready() {
		g.queue.AdmitWaiting(now)
	}
	g.setTimerLocked(now)
}

// setTimerLocked sets the timer that admits waiting requests to the next time at which
// the rate of a cold upstream allows one; the caller holds mu.
func (g *Gate) setTimerLocked(now time.Time) {
	delay, limited := g.queue.UntilNextStart(now)
	switch {
	case !limited && g.warmupTimer != nil:
		g.warmupTimer.Stop()
		g.warmupTimer = nil
	case !limited:
	case g.warmupTimer == nil:
		g.warmupTimer = time.AfterFunc(max(minTimerDelay, delay), g.warmupTimerFired)
	default:
		g.warmupTimer.Reset(max(minTimerDelay, delay))
	}
}

func (g *Gate) warmupTimerFired() {
	now := time.Now()
	g.mu.Lock()
	ended := !g.queue.warmup.active(now)
	if !ended {
		g.queue.AdmitWaiting(now)
		g.setTimerLocked(now)
	}
	g.mu.Unlock()
	if ended {
		g.refreshWarmup()
	}
}

// WarmupRate returns the requests per second to which the gate limits its cold
// upstream; 0 if it does not limit them.
func (g *Gate) WarmupRate() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.WarmupRate(time.Now())
}
