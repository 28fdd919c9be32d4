package canary

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"
)

// What a gate takes as proof without asking others, and what it leaves out.
const (
	// plainStreak failures in a row, or overdue calls at once, are plain.
	hardFailureStreak = 4
	// plainFresh is how long after its last failure a row of them is plain. A
	// gate then lets calls through again, so that the row ends or goes on.
	hardFailureTTL = 2 * time.Second
	// overdueFactor times the old version's slow edge is too long in progress.
	overdueFactor = 3
	// minOverdue is the shortest time in progress that counts as too long.
	minOverdue = 50 * time.Millisecond
	// coldSpan is how long after an upstream became ready its slow runs are
	// left out.
	coldDuration = 15 * time.Second
	// cutSpan is the time in which cut calls of one host count as one: a
	// host that dies cuts all that it runs at once.
	connectionLossWindow = time.Second
)

// Outcome is how a call ended for the purposes of a verdict.
type Outcome uint8

// The outcomes.
const (
	// Succeeded: the whole answer came, with a status under 500.
	Succeeded Outcome = iota + 1
	// Failed: a status of 500 or more, a short answer or the time limit.
	Failed
	// Shed: the upstream answered that it takes no more; a failure, but none
	// that is plain, since a load that passes causes it too.
	Shed
	// ConnectionLost: the connection to the upstream broke.
	ConnectionLost
	// NotExecuted: the upstream did not run it, or the caller went away.
	NotExecuted
)

// InFlight is one call in progress.
type InFlight struct {
	route   *routeRecorder
	started time.Time
	cold    bool
	// counted tells that the call was counted as overdue already.
	countedOverdue bool
	index          int
}

// Recorder counts the calls of one upstream of one version. Each route has
// its own lock.
type Recorder struct {
	mu     sync.RWMutex
	routes map[string]*routeRecorder
	// list holds the routes by name; it is replaced, never changed.
	byName     []*routeRecorder
	readySince time.Time
}

type routeRecorder struct {
	mu       sync.Mutex
	name     string
	counts   Counts
	inFlight []*InFlight
	// streak counts the failures since the last answer.
	failureStreak      int
	lastFailure        time.Time
	lastConnectionLoss time.Time
	// longer is the slow edge; 0 while no judge has told it.
	slowThreshold time.Duration
	// lastEnd is when a call last ended.
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

// Begin notes a call in progress; End must be called.
func (r *Recorder) Begin(route string, now time.Time) *InFlight {
	rr := r.route(route)
	c := &InFlight{route: rr, started: now, cold: now.Before(r.readySince.Add(coldDuration))}
	rr.mu.Lock()
	defer rr.mu.Unlock()
	c.index = len(rr.inFlight)
	rr.inFlight = append(rr.inFlight, c)
	return c
}

// End notes how the call ended.
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

// overdue returns how long a call may be in progress; 0 where it is not known.
func (rr *routeRecorder) overdueAfter() time.Duration {
	if rr.slowThreshold == 0 {
		return 0
	}
	return max(overdueFactor*rr.slowThreshold, minOverdue)
}

// SetSlowThresholds takes the slow edges that a judge answered with.
func (r *Recorder) SetSlowThresholds(edges []SlowThreshold) {
	for _, e := range edges {
		rr := r.route(e.Route)
		rr.mu.Lock()
		rr.slowThreshold = e.Duration
		rr.mu.Unlock()
	}
}

// DetectHardFailure counts calls that are in progress for too long as slow runs, each
// once, and returns what is plain on this upstream and on which route; empty
// where nothing is.
func (r *Recorder) DetectHardFailure(now time.Time) (plain, route string) {
	for _, rr := range r.sortedRoutes() {
		if p := rr.detectHardFailure(now); p != "" {
			plain, route = p, rr.name
		}
	}
	return plain, route
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
	hung := 0
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
			hung++
		}
	}
	if hung >= hardFailureStreak {
		return fmt.Sprintf("%d calls hang on %s", hung, rr.name)
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

// HasHardFailure tells, cheaply enough for every call, whether a route has failed so
// often in a row that nothing more should be sent.
func (r *Recorder) HasHardFailure(route string, now time.Time) bool {
	rr := r.route(route)
	rr.mu.Lock()
	defer rr.mu.Unlock()
	return rr.hasHardFailure(now)
}

// plain tells of a row of failures that is long and fresh; the caller holds mu.
func (rr *routeRecorder) hasHardFailure(now time.Time) bool {
	return rr.failureStreak >= hardFailureStreak && now.Sub(rr.lastFailure) < hardFailureTTL
}

// ResetStreaks ends a streak that the judges found to be no fault of the version.
func (r *Recorder) ResetStreaks() {
	for _, rr := range r.sortedRoutes() {
		rr.mu.Lock()
		rr.failureStreak = 0
		rr.mu.Unlock()
	}
}

// Counts returns the counts of every route, ready to be sent.
func (r *Recorder) Counts() []RouteCounts {
	var out []RouteCounts
	for _, rr := range r.sortedRoutes() {
		rr.mu.Lock()
		out = append(out, pack(rr.name, rr.counts))
		rr.mu.Unlock()
	}
	return out
}

// sorted returns the routes by name.
func (r *Recorder) sortedRoutes() []*routeRecorder {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.byName
}
