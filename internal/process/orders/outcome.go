package orders

import (
	"context"
	"log/slog"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/daisytide/daisytide/internal/logs"
	"github.com/daisytide/daisytide/internal/process/membership"
	"github.com/daisytide/daisytide/internal/version/ramp"
)

// judge ends a move when it is time to; the caller holds mu.
func (m *Manager) judge(mv *move, now time.Time) {
	older, newer := mv.totals()
	bad := ramp.Regressed(older, newer)
	if base := mv.before(now.Add(-recent)); !bad && base != nil {
		bad = ramp.Regressed(less(older, base.older), less(newer, base.newer))
	}
	mv.past = append(mv.past, sums{at: now, older: older, newer: newer})
	serving := servingVersions(m.cfg.Members.Index(), mv.order.Service)[mv.order.Target]
	switch {
	case bad:
		m.end(mv, ramp.Withdrawn, now)
	case mv.order.Complete(now.Sub(mv.since)) && serving > 0:
		m.end(mv, ramp.Completed, now)
	}
}

// before returns the sums of a moment, and forgets older ones.
func (mv *move) before(at time.Time) *sums {
	for len(mv.past) > 1 && !mv.past[1].at.After(at) {
		mv.past = mv.past[1:]
	}
	if len(mv.past) == 0 || mv.past[0].at.After(at) {
		return nil
	}
	return &mv.past[0]
}

func less(all, part map[string]ramp.Tally) map[string]ramp.Tally {
	out := make(map[string]ramp.Tally, len(all))
	for route, t := range all {
		t.Sub(part[route])
		out[route] = t
	}
	return out
}

// end sets and spreads the end of a move; the caller holds mu.
func (m *Manager) end(mv *move, p ramp.Phase, now time.Time) {
	older, newer := mv.totals()
	mv.phase, mv.decided = p, now
	logPhase(mv, "this node", now, logs.FieldNew, describe(newer), logs.FieldOld, describe(older))
	m.publishState(mv, now)
}

// logPhase writes the line on a move's phase and who brought it.
func logPhase(mv *move, from string, now time.Time, more ...any) {
	slog.Info(logPrefix+"move changed", append([]any{
		logs.FieldService, mv.order.Service, logs.FieldTarget, mv.order.Target, logs.FieldOrder, mv.order.Revision,
		logs.FieldPhase, mv.phase.String(), logs.FieldFrom, from, logs.FieldSince, now.Sub(mv.since).Milliseconds(),
	}, more...)...)
}

// recordDue tells whether this node is to write a move's phase now; the
// caller holds mu.
func (m *Manager) recordDue(mv *move, now time.Time) bool {
	if mv.phase == ramp.Running && mv.began || mv.recorded || now.Before(mv.tryAt) {
		return false
	}
	since := mv.since
	if mv.phase != ramp.Running {
		since = mv.decided
	}
	return now.Sub(since) >= time.Duration(m.rank(mv))*recordLag
}

// rank is this node's place among the members for a move's record.
func (m *Manager) rank(mv *move) int {
	own := rankHash(mv, m.cfg.Self)
	n := 0
	for _, r := range m.cfg.Members.Index().Members {
		if r.State == membership.Alive && r.Address != m.cfg.Self && rankHash(mv, r.Address) < own {
			n++
		}
	}
	return min(n, lastRank)
}

func rankHash(mv *move, address string) uint64 {
	return xxhash.Sum64String(mv.order.Service + "/" + mv.order.Target + "/" + address)
}

// record writes a move's phase to the store, unless an end stands there.
func (m *Manager) record(ctx context.Context, mv *move, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	m.mu.Lock()
	order, phase := mv.order, mv.phase
	mv.tryAt = now.Add(recordLag)
	m.mu.Unlock()
	key := m.cfg.StatusCodec.StatusKey(order.Service)
	e, err := m.cfg.Store.Get(ctx, key)
	if err != nil {
		klog.Warningf(logPrefix+"read the status of %s: %v", order.Service, err)
		return
	}
	if e.Revision > order.Revision {
		target, p, err := m.cfg.StatusCodec.DecodeStatus(key, e.Value)
		if err == nil && target == order.Target && (p != ramp.Running || phase == ramp.Running) {
			m.ApplyStoredStatus(order.Service, target, p, e.Revision)
			return
		}
	}
	value, err := m.cfg.StatusCodec.EncodeStatus(order, phase)
	if err == nil {
		e, err = m.cfg.Store.CompareAndSwap(ctx, key, e.Revision, value, "")
	}
	if err != nil {
		klog.Warningf(logPrefix+"write the status of %s: %v", order.Service, err)
		return
	}
	m.ApplyStoredStatus(order.Service, order.Target, phase, e.Revision)
}
