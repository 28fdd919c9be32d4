// Package upstreams keeps what the upstream beside a node says of itself. The
// reports come late, doubled and from instances that are gone; only news of
// the latest instance changes anything.
package upstreams

import (
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/daisytide/daisytide/api"
)

const logPrefix = "upstreams: "

// Report is what one instance of an upstream says of itself.
type Report struct {
	// ID names the instance; a start may have the id of an earlier one.
	ID string
	// Born is the Unix time of the instance's start in milliseconds; 0 where
	// it was not told.
	Born int64
	// Sequence counts the reports since the start.
	Sequence uint64
	Service  string
	Version  string
	Address  string
	Slots    int
	State    api.UpstreamState
	// Cold is how much longer the instance is slow after its start.
	Cold time.Duration
}

// Instance is the upstream as it is believed to be.
type Instance struct {
	Report
	// ColdUntil is when the instance should be warm.
	ColdUntil time.Time
	// HeardAt is when its latest report came.
	HeardAt time.Time
}

// Ready tells whether the instance takes requests.
func (i *Instance) Ready() bool { return i != nil && i.State == api.UpstreamReady }

// Local is the upstream beside this node.
type Local struct {
	// Service and Address are those that the settings name; a report of
	// another one comes from somebody else.
	Service, Address string
	// Changed is told of each change, in order, under the lock: it must not
	// call back.
	Changed func(Instance)

	mu      sync.Mutex
	current *Instance
}

// Current returns the instance; nil before the first report.
func (l *Local) Current() *Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current == nil {
		return nil
	}
	i := *l.current
	return &i
}

// Take merges a report. An error refuses a report that cannot be of this
// upstream; an old one is taken and changes nothing.
func (l *Local) Take(r Report, now time.Time) error {
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
		klog.V(1).Infof(logPrefix+"old report of %q (born %d, sequence %d, %s)", r.ID, r.Born, r.Sequence, r.State)
		return nil
	}
	next := Instance{Report: r, HeardAt: now, ColdUntil: now.Add(r.Cold)}
	if r.State == api.UpstreamDown {
		next = *l.current
		next.State = r.State
	}
	l.set(next)
	return nil
}

// news tells whether a report is of a later start than the one known, or a
// later one of the same start; the caller holds mu.
func (l *Local) news(r Report) bool {
	c := l.current
	same := c != nil && c.ID == r.ID && (r.Born == c.Born || r.Born == 0)
	switch {
	case r.State == api.UpstreamDown:
		// A deregistration has no sequence; it is final for its instance.
		return same
	case c == nil:
		return true
	case r.Born != c.Born:
		return r.Born > c.Born
	case !same:
		return r.Born != 0 || c.State != api.UpstreamReady
	default:
		return r.Sequence > c.Sequence && !l.left(c, r)
	}
}

// left tells that an instance which is leaving would be called ready again.
// Unreachable is taken back by the next report, a deregistration is not.
func (l *Local) left(c *Instance, r Report) bool {
	return c.State == api.UpstreamDraining && r.State == api.UpstreamReady
}

// Unreachable notes that nothing listens at the instance's address, until its
// next report.
func (l *Local) Unreachable(id string) {
	l.end(id, api.UpstreamStarting)
}

// Replaced notes that another instance answers at the address.
func (l *Local) Replaced(id string) { l.end(id, api.UpstreamStarting) }

func (l *Local) end(id string, state api.UpstreamState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current == nil || l.current.ID != id || l.current.State != api.UpstreamReady {
		return
	}
	next := *l.current
	next.State = state
	l.set(next)
}

// set puts an instance in place of the current one; the caller holds mu.
func (l *Local) set(next Instance) {
	old := l.current
	l.current = &next
	if old == nil || old.ID != next.ID || old.State != next.State || old.Born != next.Born {
		klog.Infof(logPrefix+"instance %q (born %d, sequence %d) of %s %s is %s with %d slots",
			next.ID, next.Born, next.Sequence, next.Service, next.Version, next.State, next.Slots)
	}
	if l.Changed != nil {
		l.Changed(next)
	}
}
