// Package localupstream tracks the state of the upstream on this host from its
// reports. Reports may be late, duplicated or from instances that have stopped;
// only newer reports of the latest instance change the state.
package localupstream

import (
	"log/slog"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/logs"
	"github.com/daisytide/daisytide/internal/request/egress"
)

const logPrefix = "upstreams: "

// MaxStartAhead is how far ahead of this host's clock an instance's start may be, as
// the clock may be behind or set back by seconds. A start beyond it, which no
// instance has, would make all of the instance's own reports look old.
const MaxStartAhead = time.Minute

// maxReportsPerSecond bounds the sequence of a report by the time since the start. A
// sequence beyond it would make all later reports look old.
const maxReportsPerSecond = 100

// Report is a status report of one upstream instance.
type Report struct {
	// ID identifies the instance; a new start may reuse an earlier ID.
	ID string
	// StartedMillis is the instance's start in Unix milliseconds; 0 if unknown.
	StartedMillis int64
	// Sequence counts the reports since the start.
	Sequence uint64
	Service  string
	Version  string
	Address  string
	Slots    int
	State    api.UpstreamState
	// WarmupLeft is the remaining time of the slow phase after a start.
	WarmupLeft time.Duration
}

// Tracker tracks the upstream on this host.
type Tracker struct {
	// Service and Address come from the settings; reports for any other
	// upstream are rejected.
	Service, Address string
	// OnChange is called with each change, in order, with the lock held: it
	// must not call back into the Tracker.
	OnChange func(egress.Instance)

	mu      sync.Mutex
	current *egress.Instance
	// healthWarmupEnd is the end of the warm-up by the latest health response of the
	// current start.
	healthWarmupEnd time.Time
	// holding is set while all reports of a ready instance are held back. Those of a
	// start before doubtedBefore, in Unix milliseconds, are held back as well; 0 is
	// none. heldReport is the latest of the reports held back, if any.
	holding       bool
	doubtedBefore int64
	heldReport    *heldReport
	// unconfirmed is the doubted report that was dropped, if any. A copy of it or an
	// earlier report of its start says nothing new.
	unconfirmed *Report
}

// heldReport is a report that waits for Release or for the end of the doubt.
type heldReport struct {
	report     Report
	receivedAt time.Time
}

// HoldReady holds back reports of a ready instance until Release. All other reports
// take effect.
func (t *Tracker) HoldReady() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.holding = true
}

// Release ends HoldReady and applies the latest report that was held back, unless it is
// doubted.
func (t *Tracker) Release() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.holding = false
	t.applyHeldLocked()
}

// DoubtReady holds back reports of a ready instance that was started before the given
// time, until Trust or TrustLaterReports: a process that has just started may not know
// that the instance has left. An instance that started later has not left before.
func (t *Tracker) DoubtReady(startedBefore time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.doubtedBefore = startedBefore.UnixMilli()
}

// Trust ends DoubtReady and applies the latest report that was held back.
func (t *Tracker) Trust() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.doubtedBefore = 0
	t.applyHeldLocked()
}

// TrustLaterReports ends DoubtReady and drops the doubted report that was held back:
// only reports that arrive from now on, and are later than that one, were sent after the
// process started.
func (t *Tracker) TrustLaterReports() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if held := t.heldReport; held != nil && t.isDoubtedLocked(held.report) {
		t.heldReport, t.unconfirmed = nil, &held.report
		slog.Info(logPrefix+"unconfirmed report dropped",
			logs.FieldInstance, held.report.ID, logs.FieldStarted, held.report.StartedMillis, logs.FieldSequence, held.report.Sequence)
	}
	t.doubtedBefore = 0
	t.applyHeldLocked()
}

// Doubted returns the latest doubted report that is held back, if it was received at the
// given time or later; false if there is none.
func (t *Tracker) Doubted(receivedFrom time.Time) (Report, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := t.heldReport
	if held == nil || !t.isDoubtedLocked(held.report) || held.receivedAt.Before(receivedFrom) {
		return Report{}, false
	}
	return held.report, true
}

// isDoubtedLocked reports whether a report of a ready instance is doubted; the caller
// holds mu.
func (t *Tracker) isDoubtedLocked(r Report) bool {
	return t.doubtedBefore != 0 && r.StartedMillis < t.doubtedBefore
}

// applyHeldLocked applies the report that was held back if nothing holds it any more;
// the caller holds mu.
func (t *Tracker) applyHeldLocked() {
	held := t.heldReport
	if held == nil || t.holding || t.isDoubtedLocked(held.report) {
		return
	}
	t.heldReport = nil
	t.mergeLocked(held.report, held.receivedAt)
}

// RestoreDeparture applies the departure of an instance, which another process of
// this node acknowledged at the given time. startedMillis is 0 if unknown.
func (t *Tracker) RestoreDeparture(id string, startedMillis int64, leftAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := egress.Instance{ID: id, StartedMillis: startedMillis, Service: t.Service, Address: t.Address, State: api.UpstreamDown, ReportedAt: leftAt}
	if c := t.current; c != nil {
		latestStart := startedMillis
		if startedMillis == 0 {
			latestStart = leftAt.UnixMilli()
		}
		same := c.ID == id && (c.StartedMillis == startedMillis || startedMillis == 0 && c.StartedMillis <= latestStart)
		switch {
		case same && (c.State == api.UpstreamDown || c.State == api.UpstreamDraining):
			return
		case same:
			next = *c
			next.State = api.UpstreamDown
		case c.StartedMillis >= latestStart:
			// The current instance was started later.
			return
		}
	}
	t.setLocked(next)
}

// Current implements egress.Upstream.
func (t *Tracker) Current() *egress.Instance {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current == nil {
		return nil
	}
	i := *t.current
	return &i
}

// checkPlausible returns an error for a start or a sequence that no instance has
// reached by now.
func (r Report) checkPlausible(now time.Time) error {
	age := now.Add(MaxStartAhead).Sub(time.UnixMilli(r.StartedMillis))
	switch {
	case r.StartedMillis == 0:
		return nil
	case age < 0:
		return api.Errorf(api.OperatorBody, "instance %q was started at %d, which is after %d, the time now", r.ID, r.StartedMillis, now.UnixMilli())
	case float64(r.Sequence) > maxReportsPerSecond*age.Seconds():
		return api.Errorf(api.OperatorBody, "instance %q, started at %d, sends its report number %d", r.ID, r.StartedMillis, r.Sequence)
	}
	return nil
}

// Apply merges a report. It returns an error if the report is for another upstream
// or is not plausible; an outdated report is ignored without an error.
func (t *Tracker) Apply(r Report, now time.Time) error {
	if err := r.checkPlausible(now); err != nil {
		return err
	}
	if r.State != api.UpstreamDown {
		if r.Service != t.Service {
			return api.Errorf(api.OperatorBody, "instance %q is of service %q, the upstream here of %q", r.ID, r.Service, t.Service)
		}
		if r.Address != t.Address {
			return api.Errorf(api.OperatorBody, "instance %q is at %s, the upstream here at %s", r.ID, r.Address, t.Address)
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if u := t.unconfirmed; u != nil && r.State == api.UpstreamReady && r.ID == u.ID && r.StartedMillis == u.StartedMillis && r.Sequence <= u.Sequence {
		return nil
	}
	if r.State == api.UpstreamReady && (t.holding || t.isDoubtedLocked(r)) {
		if held := t.heldReport; held == nil || r.supersedes(held.report) {
			t.heldReport = &heldReport{report: r, receivedAt: now}
		}
		return nil
	}
	t.mergeLocked(r, now)
	return nil
}

// supersedes reports whether r is of a later start than o, or later of the same.
func (r Report) supersedes(o Report) bool {
	if r.StartedMillis != o.StartedMillis {
		return r.StartedMillis > o.StartedMillis
	}
	return r.Sequence > o.Sequence
}

// mergeLocked applies a report unless it is outdated; the caller holds mu.
func (t *Tracker) mergeLocked(r Report, now time.Time) {
	if !t.isNewerLocked(r) {
		klog.V(1).Infof(logPrefix+"old report of %q (born %d, sequence %d, %s)", r.ID, r.StartedMillis, r.Sequence, r.State)
		return
	}
	next := egress.Instance{
		ID: r.ID, StartedMillis: r.StartedMillis, Sequence: r.Sequence, Service: r.Service, Version: r.Version, Address: r.Address,
		Slots: r.Slots, State: r.State, ReportedAt: now, WarmupEnd: now.Add(r.WarmupLeft),
	}
	if t.isCurrentLocked(r) && t.healthWarmupEnd.After(next.WarmupEnd) {
		next.WarmupEnd = t.healthWarmupEnd
	}
	if r.State == api.UpstreamDown {
		// A deregistration contains only the instance's ID and start.
		next.Service, next.Address = t.Service, t.Address
		if t.isCurrentLocked(r) {
			next = *t.current
			next.State = r.State
		}
	}
	t.setLocked(next)
}

// isCurrentLocked reports whether a report is of the current start; the caller holds
// mu.
func (t *Tracker) isCurrentLocked(r Report) bool {
	return t.current != nil && t.current.ID == r.ID && (r.StartedMillis == t.current.StartedMillis || r.StartedMillis == 0)
}

// isNewerLocked reports whether a report is of a later start than the current
// one, or a later report of the same start; the caller holds mu.
func (t *Tracker) isNewerLocked(r Report) bool {
	current, same := t.current, t.isCurrentLocked(r)
	switch {
	case r.State == api.UpstreamDown:
		// A deregistration has no sequence. It is final for its instance, even
		// if this process has not received any report of it.
		return same || current == nil || r.StartedMillis > current.StartedMillis
	case current == nil:
		return true
	case current.State == api.UpstreamDown && current.StartedMillis == 0:
		// The instance was deregistered, without a start time, before this process
		// received a report of it: under the same ID only a start since then is a
		// new instance.
		return r.ID != current.ID || r.StartedMillis > current.ReportedAt.UnixMilli()
	case r.StartedMillis != current.StartedMillis:
		return r.StartedMillis > current.StartedMillis
	case !same:
		// Another instance with the same start time. If the time is unknown, the
		// report does not replace a ready instance.
		return r.StartedMillis != 0 || current.State != api.UpstreamReady
	case r.State == api.UpstreamDraining:
		// A draining instance is never ready again, so whatever its sequence, the
		// report is not outdated by a ready one.
		return current.State != api.UpstreamDown && (current.State != api.UpstreamDraining || r.Sequence > current.Sequence)
	default:
		return r.Sequence > current.Sequence && !revivesStopped(current, r)
	}
}

// revivesStopped reports whether r would make a draining or stopped instance
// ready again; such a report was sent earlier and arrived late. An instance in
// any other state, such as one that the gate found unreachable, becomes ready
// with its next report.
func revivesStopped(current *egress.Instance, r Report) bool {
	switch current.State {
	case api.UpstreamDown:
		return true
	case api.UpstreamDraining:
		return r.State == api.UpstreamReady
	default:
		return false
	}
}

// MarkUnreachable implements egress.Upstream.
func (t *Tracker) MarkUnreachable(id string) { t.markNotReady(id) }

// MarkReplaced implements egress.Upstream.
func (t *Tracker) MarkReplaced(id string) { t.markNotReady(id) }

// MarkCold implements egress.Upstream.
func (t *Tracker) MarkCold(id string, end time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current == nil || t.current.ID != id {
		return
	}
	t.healthWarmupEnd = end
	if end.After(t.current.WarmupEnd) {
		next := *t.current
		next.WarmupEnd = end
		t.setLocked(next)
	}
}

// markNotReady sets a ready instance to starting until its next report.
func (t *Tracker) markNotReady(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current == nil || t.current.ID != id || t.current.State != api.UpstreamReady {
		return
	}
	next := *t.current
	next.State = api.UpstreamStarting
	t.setLocked(next)
}

// setLocked replaces the current instance; the caller holds mu.
func (t *Tracker) setLocked(next egress.Instance) {
	old := t.current
	t.current = &next
	if old == nil || old.ID != next.ID || old.StartedMillis != next.StartedMillis {
		t.healthWarmupEnd = time.Time{}
	}
	if old == nil || old.ID != next.ID || old.State != next.State || old.StartedMillis != next.StartedMillis {
		slog.Info(logPrefix+"instance changed",
			logs.FieldInstance, next.ID, logs.FieldState, string(next.State), logs.FieldStarted, next.StartedMillis, logs.FieldSequence, next.Sequence,
			logs.FieldService, next.Service, logs.FieldVersion, next.Version, logs.FieldSlots, next.Slots)
	}
	if t.OnChange != nil {
		t.OnChange(next)
	}
}
