package localupstream

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/daisytide/daisytide/internal/ctxtime"
	"github.com/daisytide/daisytide/internal/logs"
)

// Times of asking an upstream to confirm a report.
const (
	// healthTimeout bounds a health request, which waits for a slot like others.
	healthTimeout = 500 * time.Millisecond
	// The pause between two health requests is firstHealthPause after the first, and
	// twice as long after each further one, up to maxHealthPause. A request costs the
	// upstream some milliseconds.
	firstHealthPause = 100 * time.Millisecond
	maxHealthPause   = 800 * time.Millisecond
)

// Health is what an upstream says of itself on its health path.
type Health struct {
	// Instance is the instance that answered that it is healthy and stays, empty if none
	// did.
	Instance string
	// NoPath is set if the configuration gives the service no health path.
	NoPath bool
}

// confirms reports whether the answer makes a doubted report credible. Where there is no
// health path, nothing can be asked.
func (h Health) confirms(r Report) bool { return h.NoPath || h.Instance != "" && h.Instance == r.ID }

// Confirmer has the upstream confirm a doubted report by its health response, so that
// the upstream need not be missed until reports are believed again.
type Confirmer struct {
	Tracker *Tracker
	// Ask sends one health request to the upstream that a report describes.
	Ask func(context.Context, Report) Health

	once    sync.Once
	changed chan struct{}
}

// Wake makes Run look for a doubted report.
func (c *Confirmer) Wake() {
	c.init()
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

func (c *Confirmer) init() { c.once.Do(func() { c.changed = make(chan struct{}, 1) }) }

// Run waits for a doubted report that is received at the given time or later, and asks
// the upstream until it confirms one, which ends the doubt, or until ctx ends.
func (c *Confirmer) Run(ctx context.Context, receivedFrom time.Time) {
	c.init()
	for pause := firstHealthPause; ctx.Err() == nil; {
		r, doubted := c.Tracker.Doubted(receivedFrom)
		if !doubted {
			select {
			case <-ctx.Done():
			case <-c.changed:
			}
			continue
		}
		if c.ask(ctx, r).confirms(r) {
			slog.Info(logPrefix+"report confirmed", logs.FieldInstance, r.ID, logs.FieldStarted, r.StartedMillis, logs.FieldSequence, r.Sequence)
			c.Tracker.Trust()
			return
		}
		ctxtime.Sleep(ctx, pause)
		pause = min(2*pause, maxHealthPause)
	}
}

func (c *Confirmer) ask(ctx context.Context, r Report) Health {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	return c.Ask(ctx, r)
}
