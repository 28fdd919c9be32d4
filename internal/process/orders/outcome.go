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

// maxRecordShift bounds the doublings of the backoff of writes.
const maxRecordShift = 8

// evaluate ends a rollout that is complete or whose new version is bad. The caller
// holds mu.
func (m *Manager) evaluate(ro *rollout, now time.Time) {
	older, newer := ro.totals()
	regressed := ramp.Regressed(older, newer)
	if earlier := ro.countsAt(now.Add(-recentWindow)); !regressed && earlier != nil {
		regressed = ramp.Regressed(subtract(older, earlier.older), subtract(newer, earlier.newer))
	}
	ro.history = append(ro.history, countSample{at: now, older: older, newer: newer})
	serving := servingVersions(m.cfg.Members.Index(), ro.order.Service)[ro.order.Target]
	switch {
	case regressed:
		m.finish(ro, ramp.Withdrawn, now)
	case ro.order.Complete(now.Sub(ro.startedAt)) && serving > 0:
		m.finish(ro, ramp.Completed, now)
	}
}

// countsAt returns the newest recorded counts at or before a time and drops older
// ones; nil if there are none.
func (ro *rollout) countsAt(at time.Time) *countSample {
	for len(ro.history) > 1 && !ro.history[1].at.After(at) {
		ro.history = ro.history[1:]
	}
	if len(ro.history) == 0 || ro.history[0].at.After(at) {
		return nil
	}
	return &ro.history[0]
}

func subtract(all, part map[string]ramp.Tally) map[string]ramp.Tally {
	out := make(map[string]ramp.Tally, len(all))
	for route, t := range all {
		t.Sub(part[route])
		out[route] = t
	}
	return out
}

// finish ends a rollout in a phase and publishes its state. The caller holds mu.
func (m *Manager) finish(ro *rollout, p ramp.Phase, now time.Time) {
	older, newer := ro.totals()
	ro.phase, ro.endedAt = p, now
	logPhase(ro, "this node", now, logs.FieldNewRuns, describeFailures(newer), logs.FieldOldRuns, describeFailures(older))
	m.publishState(ro, now)
}

// logPhase logs a rollout's new phase and whether this node, a peer or the store set
// it.
func logPhase(ro *rollout, source string, now time.Time, fields ...any) {
	slog.Info(logPrefix+"move changed", append([]any{
		logs.FieldService, ro.order.Service, logs.FieldTarget, ro.order.Target, logs.FieldOrder, ro.order.Revision,
		logs.FieldPhase, ro.phase.String(), logs.FieldFrom, source, logs.FieldElapsed, now.Sub(ro.startedAt).Milliseconds(),
	}, fields...)...)
}

// writeDue reports whether this node should write a rollout's phase to the store
// now. The caller holds mu.
func (m *Manager) writeDue(ro *rollout, now time.Time) bool {
	if ro.phase == ramp.Running && ro.runningRecorded || ro.recorded || now.Before(ro.nextWrite) {
		return false
	}
	dueFrom := ro.startedAt
	if ro.phase != ramp.Running {
		dueFrom = ro.endedAt
	}
	return now.Sub(dueFrom) >= writeDelay(m.writerRank(ro))
}

// writeDelay returns how long the node of a rank waits for those before it to write a
// phase.
func writeDelay(rank int) time.Duration {
	late := min(time.Duration(max(0, rank-maxRank))*lateStagger, maxLateStagger)
	return time.Duration(min(rank, maxRank))*recordStagger + late
}

// writerRank returns this node's rank among the live members for writing a
// rollout's status, by rendezvous hashing.
func (m *Manager) writerRank(ro *rollout) int {
	own := rendezvousHash(ro, m.cfg.Self)
	n := 0
	for _, r := range m.cfg.Members.Index().Members {
		if r.State == membership.Alive && r.Address != m.cfg.Self && rendezvousHash(ro, r.Address) < own {
			n++
		}
	}
	return n
}

func rendezvousHash(ro *rollout, address string) uint64 {
	return xxhash.Sum64String(ro.order.Service + "/" + ro.order.Target + "/" + address)
}

// writeStatus writes a rollout's phase to the store. If the store already holds a
// final phase of the rollout, or the running one while the rollout is running, it
// applies that phase instead.
func (m *Manager) writeStatus(ctx context.Context, ro *rollout, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	m.mu.Lock()
	order, phase := ro.order, ro.phase
	ro.nextWrite = now.Add(min(recordStagger<<min(ro.failedWrites, maxRecordShift), maxRecordBackoff))
	// The attempt counts as failed until it has succeeded.
	ro.failedWrites++
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
			m.recordWritten(ro)
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
	m.recordWritten(ro)
	m.ApplyStoredStatus(order.Service, order.Target, phase, e.Revision)
}

// recordWritten ends the backoff of a rollout's writes.
func (m *Manager) recordWritten(ro *rollout) {
	m.mu.Lock()
	defer m.mu.Unlock()
	ro.failedWrites = 0
}
