package canary

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"
)

// Limits for hard failures, which a gate detects by itself, and for runs that
// are left out.
const (
	// hardFailureStreak is the number of consecutive failures, or of
	// simultaneous overdue calls, that is a hard failure.
	hardFailureStreak = 4
	// hardFailureTTL is how long after its last failure a streak is a hard
	// failure. Afterwards the gate lets calls through again, which end or
	// continue the streak.
	hardFailureTTL = 2 * time.Second
	// overdueFactor times the slow threshold is the time after which a call in
	// progress is overdue.
	overdueFactor = 3
	// minOverdue is the shortest time after which a call in progress is
	// overdue.
	minOverdue = 50 * time.Millisecond
	// coldDuration is the time after an upstream became ready during which run
	// times are not counted.
	coldDuration = 15 * time.Second
	// connectionLossWindow is the time within which lost connections of one
	// host count as one failure: a host that dies breaks all its connections at
	// once.
	connectionLossWindow = time.Second
)

// Outcome is the result of a call as counted by the analysis.
type Outcome uint8

const (
	// Succeeded: the whole response arrived, with a status below 500.
	Succeeded Outcome = iota + 1
	// Failed: a status of 500 or more, a truncated response or a timeout.
	Failed
	// Shed: the upstream rejected the call because of overload. This is a
	// failure but never a hard failure, since temporary load causes it, too.
	Shed
	// ConnectionLost: the connection to the upstream broke.
	ConnectionLost
	// NotExecuted: the upstream did not execute the call, or the caller went
	// away.
	NotExecuted
)

// InFlight is a call in progress.
type InFlight struct {
	route   *routeRecorder
	started time.Time
	cold    bool
	// countedOverdue reports whether the call was already counted as overdue.
	countedOverdue bool
	index          int
}

// Recorder counts the calls of one upstream of one version. Each route has its
// own lock.
type Recorder struct {
	mu     sync.RWMutex
	routes map[string]*routeRecorder
	// byName lists the routes by name; it is copied on write.
	byName     []*routeRecorder
	readySince time.Time
}

type routeRecorder struct {
	mu       sync.Mutex
	name     string
	counts   Counts
	inFlight []*InFlight
	// failureStreak counts the failures since the last success.
	failureStreak      int
	lastFailure        time.Time
	lastConnectionLoss time.Time
	// slowThreshold is 0 until an analyzer has sent it.
	slowThreshold time.Duration
	// lastEnd is the time at which a call last ended.
	lastEnd time.Time
}

// NewRecorder returns an empty recorder of an upstream that became ready at
// ready.
func NewRecorder(ready time.Time) *Recorder {
	return &Recorder{routes: map[string]*routeRecorder{}, readySince: ready}
}

func (r *Recorder) route(name string) *routeRecorder {
	r.mu.RLock()
	rr := r.routes[name]
	r.mu.RUnlock()
	if rr != nil {
		return rr
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if rr = r.routes[name]; rr == nil {
		rr = &routeRecorder{name: name}
		r.routes[name] = rr
		r.byName = append(slices.Clone(r.byName), rr)
		slices.SortFunc(r.byName, func(a, b *routeRecorder) int { return cmp.Compare(a.name, b.name) })
	}
	return rr
}

// Begin records the start of a call. InFlight.End must be called for it.
func (r *Recorder) Begin(route string, now time.Time) *InFlight {
	rr := r.route(route)
	c := &InFlight{route: rr, started: now, cold: now.Before(r.readySince.Add(coldDuration))}
	rr.mu.Lock()
	defer rr.mu.Unlock()
	c.index = len(rr.inFlight)
	rr.inFlight = append(rr.inFlight, c)
	return c
}

// End records the result of the call.
func (c *InFlight) End(o Outcome, now time.Time) {
	rr := c.route
	rr.mu.Lock()
	defer rr.mu.Unlock()
	last := rr.inFlight[len(rr.inFlight)-1]
	rr.inFlight[c.index], last.index = last, c.index
	rr.inFlight = rr.inFlight[:len(rr.inFlight)-1]
	rr.lastEnd = now
	rr.countEnd(c, o, now)
}

func (rr *routeRecorder) countEnd(c *InFlight, o Outcome, now time.Time) {
	switch o {
	case NotExecuted:
		return
	case ConnectionLost:
		if now.Sub(rr.lastConnectionLoss) < connectionLossWindow {
			return
		}
		rr.lastConnectionLoss = now
	}
	if !c.countedOverdue {
		rr.counts.Runs++
	}
	if o != Succeeded {
		rr.counts.Failures++
		if o != Shed {
			rr.failureStreak++
			rr.lastFailure = now
		}
		return
	}
	rr.failureStreak = 0
	if !c.countedOverdue && !c.cold {
		rr.counts.Buckets[bucketOf(now.Sub(c.started))]++
	}
}

// overdueAfter returns the time after which a call is overdue; 0 if it is not
// known.
func (rr *routeRecorder) overdueAfter() time.Duration {
	if rr.slowThreshold == 0 {
		return 0
	}
	return max(overdueFactor*rr.slowThreshold, minOverdue)
}

// SetSlowThresholds sets the slow thresholds from an analyzer's reply.
func (r *Recorder) SetSlowThresholds(thresholds []SlowThreshold) {
	for _, t := range thresholds {
		rr := r.route(t.Route)
		rr.mu.Lock()
		rr.slowThreshold = t.Duration
		rr.mu.Unlock()
	}
}

// DetectHardFailure counts overdue calls as slow runs, each once, and returns
// the hard failure of this upstream and its route; both are empty if there is
// none.
func (r *Recorder) DetectHardFailure(now time.Time) (reason, route string) {
	for _, rr := range r.sortedRoutes() {
		if found := rr.detectHardFailure(now); found != "" {
			reason, route = found, rr.name
		}
	}
	return reason, route
}

func (rr *routeRecorder) detectHardFailure(now time.Time) string {
	rr.mu.Lock()
	defer rr.mu.Unlock()
	if rr.hasHardFailure(now) {
		return fmt.Sprintf("%d calls in a row failed on %s", rr.failureStreak, rr.name)
	}
	limit := rr.overdueAfter()
	if limit == 0 {
		return ""
	}
	hanging := 0
	for _, c := range rr.inFlight {
		age := now.Sub(c.started)
		if c.cold || age < limit {
			continue
		}
		if !c.countedOverdue {
			c.countedOverdue = true
			rr.counts.Runs++
			rr.counts.Buckets[bucketOf(age)]++
		}
		if rr.lastEnd.Before(c.started) {
			hanging++
		}
	}
	if hanging >= hardFailureStreak {
		return fmt.Sprintf("%d calls hang on %s", hanging, rr.name)
	}
	return ""
}

// Failures returns the number of failures on all routes.
func (r *Recorder) Failures() uint64 {
	var n uint64
	for _, rr := range r.sortedRoutes() {
		rr.mu.Lock()
		n += rr.counts.Failures
		rr.mu.Unlock()
	}
	return n
}

// HasHardFailure reports whether a route has a streak of failures so long that
// it should get no more calls. It is cheap enough to be called for every call.
func (r *Recorder) HasHardFailure(route string, now time.Time) bool {
	rr := r.route(route)
	rr.mu.Lock()
	defer rr.mu.Unlock()
	return rr.hasHardFailure(now)
}

// hasHardFailure reports whether the current streak is a hard failure. The
// caller holds mu.
func (rr *routeRecorder) hasHardFailure(now time.Time) bool {
	return rr.failureStreak >= hardFailureStreak && now.Sub(rr.lastFailure) < hardFailureTTL
}

// ResetStreaks ends the failure streaks, after the analysis found that they are
// not the version's fault.
func (r *Recorder) ResetStreaks() {
	for _, rr := range r.sortedRoutes() {
		rr.mu.Lock()
		rr.failureStreak = 0
		rr.mu.Unlock()
	}
}

// Counts returns the counts of every route in wire form.
func (r *Recorder) Counts() []RouteCounts {
	var out []RouteCounts
	for _, rr := range r.sortedRoutes() {
		rr.mu.Lock()
		out = append(out, pack(rr.name, rr.counts))
		rr.mu.Unlock()
	}
	return out
}

func (r *Recorder) sortedRoutes() []*routeRecorder {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.byName
}
