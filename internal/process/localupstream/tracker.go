// Package localupstream keeps what the upstream beside a node says of itself. The
// reports come late, doubled and from instances that are gone; only news of
// the latest instance changes anything.
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

// Report is what one instance of an upstream says of itself.
type Report struct {
	// ID names the instance; a start may have the id of an earlier one.
	ID string
	// StartedMillis is the Unix time of the instance's start in milliseconds; 0 where
	// it was not told.
	StartedMillis int64
	// Sequence counts the reports since the start.
	Sequence uint64
	Service  string
	Version  string
	Address  string
	Slots    int
	State    api.UpstreamState
	// WarmupLeft is how much longer the instance is slow after its start.
	WarmupLeft time.Duration
}

// Tracker is the upstream beside this node.
type Tracker struct {
	// Service and Address are those that the settings name; a report of
	// another one comes from somebody else.
	Service, Address string
	// OnChange is told of each change, in order, under the lock: it must not
	// call back.
	OnChange func(egress.Instance)

	mu      sync.Mutex
	current *egress.Instance
}

// Current implements egress.Upstream.
func (l *Tracker) Current() *egress.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current == nil {
		return nil
	}
	i := *l.current
	return &i
}

// Apply merges a report. An error refuses a report that cannot be of this
// upstream; an old one is taken and changes nothing.
func (l *Tracker) Apply(r Report, now time.Time) error {
	if r.State != api.UpstreamDown {
		if r.Service != l.Service {
			return api.Errorf(api.OperatorBody, "instance %q is of service %q, the upstream here of %q", r.ID, r.Service, l.Service)
		}
		if r.Address != l.Address {
			return api.Errorf(api.OperatorBody, "instance %q is at %s, the upstream here at %s", r.ID, r.Address, l.Address)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.news(r) {
		klog.V(1).Infof(logPrefix+"old report of %q (born %d, sequence %d, %s)", r.ID, r.StartedMillis, r.Sequence, r.State)
		return nil
	}
	next := egress.Instance{
		ID: r.ID, StartedMillis: r.StartedMillis, Sequence: r.Sequence, Service: r.Service, Version: r.Version, Address: r.Address,
		Slots: r.Slots, State: r.State, ReportedAt: now, WarmupEnd: now.Add(r.WarmupLeft),
	}
	if r.State == api.UpstreamDown {
		// A deregistration names its instance only.
		next.Service, next.Address = l.Service, l.Address
		if l.current != nil {
			next = *l.current
			next.State = r.State
		}
	}
	l.set(next)
	return nil
}

// news tells whether a report is of a later start than the one known, or a
// later one of the same start; the caller holds mu.
func (l *Tracker) news(r Report) bool {
	c := l.current
	same := c != nil && c.ID == r.ID && (r.StartedMillis == c.StartedMillis || r.StartedMillis == 0)
	switch {
	case r.State == api.UpstreamDown:
		// A deregistration has no sequence; it is final for its instance, also
		// where this process has not heard of it before.
		return same || c == nil
	case c == nil:
		return true
	case c.State == api.UpstreamDown && c.StartedMillis == 0:
		// Gone before this process knew of its start, and the deregistration did
		// not tell it: under the same id only a start since then is another.
		return r.ID != c.ID || r.StartedMillis > c.ReportedAt.UnixMilli()
	case r.StartedMillis != c.StartedMillis:
		return r.StartedMillis > c.StartedMillis
	case !same:
		return r.StartedMillis != 0 || c.State != api.UpstreamReady
	default:
		return r.Sequence > c.Sequence && !left(c, r)
	}
}

// left tells that an instance which is leaving or gone would be called ready
// again: a report that was sent before may arrive after. What the gate found
// itself, that nobody listens, is taken back by the next report.
func left(c *egress.Instance, r Report) bool {
	switch c.State {
	case api.UpstreamDown:
		return true
	case api.UpstreamDraining:
		return r.State == api.UpstreamReady
	default:
		return false
	}
}

// MarkUnreachable implements egress.Upstream.
func (l *Tracker) MarkUnreachable(id string) { l.end(id) }

// MarkReplaced implements egress.Upstream.
func (l *Tracker) MarkReplaced(id string) { l.end(id) }

// end takes an instance as not ready until it reports again.
func (l *Tracker) end(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current == nil || l.current.ID != id || l.current.State != api.UpstreamReady {
		return
	}
	next := *l.current
	next.State = api.UpstreamStarting
	l.set(next)
}

// set puts an instance in place of the current one; the caller holds mu.
func (l *Tracker) set(next egress.Instance) {
	old := l.current
	l.current = &next
	if old == nil || old.ID != next.ID || old.State != next.State || old.StartedMillis != next.StartedMillis {
		slog.Info(logPrefix+"instance changed",
			logs.FieldInstance, next.ID, logs.FieldState, string(next.State), logs.FieldStarted, next.StartedMillis, logs.FieldSequence, next.Sequence,
			logs.FieldService, next.Service, logs.FieldVersion, next.Version, logs.FieldSlots, next.Slots)
	}
	if l.OnChange != nil {
		l.OnChange(next)
	}
}
