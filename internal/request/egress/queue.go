package egress

import (
	"sort"
	"time"

	"github.com/daisytide/daisytide/api"
)

// Weights and margins of the queue.
const (
	// heldWeight is the weight of one run in the mean time that a slot is held.
	serviceTimeWeight = 1.0 / 32
	// needWeight is the weight of one run in a route's usual time.
	runTimeWeight = 1.0 / 16
	// needPart of a route's usual time must be left before the deadline for a
	// run to begin: runs vary, and one begun in vain holds a slot for nothing.
	minRunTimeFraction = 0.7
	// trialEvery is how often an idle slot tries a route again whose usual time
	// leaves its requests no time: what that time rests on may be over, and
	// without runs it would never change. Four runs a second are at most
	// what a truly slow upstream is given by it.
	probeInterval = 250 * time.Millisecond
	// timely times a route's usual time must be left before the objective: an
	// answer just after it is of little use, and runs vary by half of their mean.
	objectiveMargin = 1.5
	// heldFirst is the time that a slot is taken to be held before any run ended.
	initialServiceTime = 100 * time.Millisecond
	// backMin is the shortest time after which a refused request may return.
	minRetryAfter = 20 * time.Millisecond
	// latePart of the slots is how many requests may wait that will be answered
	// after their objective: they begin only when no other waits.
	lateSlotsDivisor = 4
	// latePatience is the part of its time that a late request may wait: one
	// that finds no slot by then is better told to return.
	lateWaitFraction = 0.25
	// shortPart of the longest usual time of a service's routes is what a short
	// run takes at most. Calls that running upstreams make are such: refusing
	// them frees next to nothing and wastes the runs that made them.
	shortRunFraction = 0.3
	// fairPart of the runs makes a route count in that; total forgets by
	// runsWeight, so that it follows the load.
	minRouteShare  = 0.1
	runCountWeight = 1.0 / 256
	// forgetBelow is the number of runs of late, faded by runsWeight, at which a
	// route is forgotten: some 1,200 runs of others after its last.
	minRunCount = 0.01
)

// RequestInfo is what the queue needs to know of a request.
type RequestInfo struct {
	Route string
	// Priority is the route's rank; 0 is the highest.
	Priority int
	// Deadline is when an answer is of no more use, Objective until when it is
	// of full use.
	Deadline, Objective time.Time
}

// Ticket is a place in the queue.
type Ticket struct {
	RequestInfo
	// Decision receives the decision once: api.OK admits.
	Decision chan Decision
	// begin is until when the request waits for a slot: see inTime and, of a
	// late one, enterLate.
	startBy time.Time
	late    bool
	short   bool
	decided bool
}

// Decision is the decision on a request.
type Decision struct {
	Code api.Code
	// RetryAfter is when a refused request may find room.
	RetryAfter time.Duration
}

// Queue decides which requests run, wait or are refused at one upstream. It
// answers more load than the upstream has slots for. Work done for a request
// that misses its objective is worth little, so those that can meet theirs
// wait by rank and by when they must begin, a few late ones wait behind them,
// and all others are refused as soon as that is known. Short runs go first and
// wait for the longest usual run at most. It is a state machine
// without locks or clocks.
type Queue struct {
	// Slots is how many requests run at once.
	Slots int

	running int
	// waiting is in the order of Ticket.before, the late ones last.
	waiting     []*Ticket
	lateCount   int
	serviceTime float64
	runTimes    map[string]float64
	// began is when a run of each route last began; trials are the routes whose
	// next run replaces the usual time.
	lastStart map[string]time.Time
	probing   map[string]bool
	// runs and total count the runs of late, by route and in all.
	runCounts map[string]float64
	totalRuns float64
}

// Running returns the requests in progress.
func (q *Queue) Running() int { return q.running }

// Waiting returns the length of the queue.
func (q *Queue) Waiting() int { return len(q.waiting) }

// MeanServiceTime returns the mean time that a run holds its slot.
func (q *Queue) MeanServiceTime() time.Duration {
	if q.serviceTime == 0 {
		return initialServiceTime
	}
	return time.Duration(q.serviceTime * float64(time.Second))
}

// MeanRunTime returns the usual time of a route's runs; 0 where it is not known.
func (q *Queue) MeanRunTime(route string) time.Duration {
	return time.Duration(q.runTimes[route] * float64(time.Second))
}

// EstimatedWait estimates how long a request at a place of the queue waits.
func (q *Queue) EstimatedWait(place int) time.Duration {
	return time.Duration(float64(q.MeanServiceTime()) * float64(place+1) / float64(max(1, q.Slots)))
}

// Arrive decides on a request: it runs now, waits with a ticket, or is refused.
func (q *Queue) Arrive(now time.Time, w RequestInfo) (*Ticket, Decision) {
	idle := q.running < q.Slots && len(q.waiting) == 0
	if now.After(q.latestStart(w)) && !(idle && q.startProbe(now, w)) {
		return nil, Decision{Code: api.CallNoTime}
	}
	if idle {
		q.startRun(now, w.Route)
		return nil, Decision{Code: api.OK}
	}
	t := q.newTicket(now, w)
	if !q.enqueue(now, t) && !q.enqueueLate(now, t) {
		return nil, Decision{Code: api.CallShed, RetryAfter: q.retryAfter()}
	}
	return t, Decision{Code: api.OK}
}

// Preview tells what Arrive would decide, and changes nothing. body is how long the
// request's body will take to come, behind those that come before it.
func (q *Queue) Preview(now time.Time, w RequestInfo, body time.Duration) Decision {
	if body > 0 && now.Add(body).After(q.bodyDeadline(now, w)) {
		return Decision{Code: api.CallShed, RetryAfter: max(minRetryAfter, body)}
	}
	idle := q.running < q.Slots && len(q.waiting) == 0
	switch t := q.newTicket(now, w); {
	case now.After(q.latestStart(w)) && !(idle && q.probeDue(now, w)):
		return Decision{Code: api.CallNoTime}
	case idle, q.fitsOnTime(now, t), q.fitsLate(now, t):
		return Decision{Code: api.OK}
	default:
		return Decision{Code: api.CallShed, RetryAfter: q.retryAfter()}
	}
}

// bodyBy is until when a request's body must have come: to meet its objective,
// or, where that can't be met even by one that comes at once, within the part of
// its time that a late request may wait.
func (q *Queue) bodyDeadline(now time.Time, w RequestInfo) time.Time {
	begin := w.Objective.Add(-time.Duration(objectiveMargin * float64(q.MeanRunTime(w.Route))))
	if late := now.Add(time.Duration(lateWaitFraction * float64(q.latestStart(w).Sub(now)))); late.After(begin) {
		return late
	}
	return begin
}

func (q *Queue) newTicket(now time.Time, w RequestInfo) *Ticket {
	return &Ticket{RequestInfo: w, Decision: make(chan Decision, 1), startBy: q.onTimeStart(now, w), short: q.IsShort(w.Route)}
}

// begin takes a slot for a run.
func (q *Queue) startRun(now time.Time, route string) {
	q.running++
	if q.lastStart == nil {
		q.lastStart = map[string]time.Time{}
	}
	q.lastStart[route] = now
}

// tries tells whether a request whose route's usual time leaves it no time
// runs all the same, since none of that route has begun for a while.
func (q *Queue) startProbe(now time.Time, w RequestInfo) bool {
	if !q.probeDue(now, w) {
		return false
	}
	if q.probing == nil {
		q.probing = map[string]bool{}
	}
	q.probing[w.Route] = true
	return true
}

func (q *Queue) probeDue(now time.Time, w RequestInfo) bool {
	return !now.After(w.Deadline) && now.Sub(q.lastStart[w.Route]) >= probeInterval
}

// latest is when a request must begin to be answered at all.
func (q *Queue) latestStart(w RequestInfo) time.Time {
	return w.Deadline.Add(-time.Duration(minRunTimeFraction * float64(q.MeanRunTime(w.Route))))
}

// longest returns the longest usual time, in seconds, of the routes that make
// up a fair part of the runs.
func (q *Queue) longestRunTime() float64 {
	out := 0.0
	for route, need := range q.runTimes {
		if q.runCounts[route] >= minRouteShare*q.totalRuns {
			out = max(out, need)
		}
	}
	return out
}

// IsShort tells whether a route's runs are short beside others here.
func (q *Queue) IsShort(route string) bool {
	return q.runTimes[route] > 0 && q.runTimes[route] <= shortRunFraction*q.longestRunTime()
}

// inTime is when a request must begin to meet its objective. A short one may
// miss it, but waits no longer than the longest usual run.
func (q *Queue) onTimeStart(now time.Time, w RequestInfo) time.Time {
	begin := w.Objective.Add(-time.Duration(objectiveMargin * float64(q.MeanRunTime(w.Route))))
	if q.IsShort(w.Route) {
		begin = now.Add(time.Duration(q.longestRunTime() * float64(time.Second)))
	}
	if latest := q.latestStart(w); latest.Before(begin) {
		return latest
	}
	return begin
}

// place is where a request would wait.
func (q *Queue) position(t *Ticket) int {
	return sort.Search(len(q.waiting), func(i int) bool { return t.before(q.waiting[i]) })
}

// fits tells whether a request can begin in time.
func (q *Queue) fitsOnTime(now time.Time, t *Ticket) bool {
	return !now.Add(q.EstimatedWait(q.position(t))).After(t.startBy)
}

// enter puts a request among those that can begin in time.
func (q *Queue) enqueue(now time.Time, t *Ticket) bool {
	if !q.fitsOnTime(now, t) {
		return false
	}
	place := q.position(t)
	q.insert(place, t)
	q.dropOverdue(now, place+1)
	return true
}

// fitsLate tells whether a request can begin behind all others, while few are
// there.
func (q *Queue) fitsLate(now time.Time, t *Ticket) bool {
	return q.lateCount < max(1, q.Slots/lateSlotsDivisor) && !now.Add(q.EstimatedWait(len(q.waiting))).After(q.lateStartBy(now, t))
}

// lateBegin is until when a late request waits for a slot.
func (q *Queue) lateStartBy(now time.Time, t *Ticket) time.Time {
	begin := q.latestStart(t.RequestInfo)
	if t.short {
		return begin
	}
	return now.Add(time.Duration(lateWaitFraction * float64(begin.Sub(now))))
}

// enterLate puts a request behind all others, while few are there.
func (q *Queue) enqueueLate(now time.Time, t *Ticket) bool {
	if !q.fitsLate(now, t) {
		return false
	}
	t.late, t.startBy = true, q.lateStartBy(now, t)
	q.lateCount++
	q.insert(q.position(t), t)
	return true
}

func (q *Queue) insert(place int, t *Ticket) {
	q.waiting = append(q.waiting, nil)
	copy(q.waiting[place+1:], q.waiting[place:])
	q.waiting[place] = t
}

// back estimates when a request that found no room may find some: when what
// waits now has begun.
func (q *Queue) retryAfter() time.Duration {
	return max(minRetryAfter, q.EstimatedWait(len(q.waiting)))
}

// review finds those from a place on that can no longer begin in time.
func (q *Queue) dropOverdue(now time.Time, from int) {
	var out []*Ticket
	kept := q.waiting[:from]
	for _, t := range q.waiting[from:] {
		if now.Add(q.EstimatedWait(len(kept))).After(t.startBy) {
			out = append(out, t)
			continue
		}
		kept = append(kept, t)
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
	for _, t := range out {
		q.requeueLate(now, t)
	}
}

// missed lets a request that left its place wait among the late ones, or
// refuses it.
func (q *Queue) requeueLate(now time.Time, t *Ticket) {
	if t.late {
		q.lateCount--
	} else if q.enqueueLate(now, t) {
		return
	}
	t.decide(Decision{Code: api.CallShed, RetryAfter: q.retryAfter()})
}

// Complete takes the end of a run and admits the next request. A run that did not
// reach the upstream, or was given up, tells nothing of the time that runs take.
func (q *Queue) Complete(now time.Time, route string, held time.Duration, telling bool) {
	q.running--
	if telling {
		updateMean(&q.serviceTime, held, serviceTimeWeight)
		if q.runTimes == nil {
			q.runTimes = map[string]float64{}
		}
		n := q.runTimes[route]
		if q.probing[route] && held.Seconds() < n {
			n = held.Seconds()
		} else {
			updateMean(&n, held, runTimeWeight)
		}
		delete(q.probing, route)
		q.runTimes[route] = n
		q.countRun(route)
	}
	q.AdmitWaiting(now)
}

// count notes a run of a route.
func (q *Queue) countRun(route string) {
	if q.runCounts == nil {
		q.runCounts = map[string]float64{}
	}
	for r := range q.runCounts {
		q.runCounts[r] *= 1 - runCountWeight
		if q.runCounts[r] < minRunCount {
			delete(q.runCounts, r)
			delete(q.runTimes, r)
			delete(q.lastStart, r)
			delete(q.probing, r)
		}
	}
	q.totalRuns = q.totalRuns*(1-runCountWeight) + 1
	q.runCounts[route]++
}

func updateMean(mean *float64, took time.Duration, weight float64) {
	if *mean == 0 {
		*mean = took.Seconds()
		return
	}
	*mean += weight * (took.Seconds() - *mean)
}

// AdmitWaiting admits waiting requests while slots are free.
func (q *Queue) AdmitWaiting(now time.Time) {
	for q.running < q.Slots && len(q.waiting) > 0 {
		t := q.waiting[0]
		q.waiting = q.waiting[1:]
		if now.After(t.startBy) {
			q.requeueLate(now, t)
			continue
		}
		if t.late {
			q.lateCount--
		}
		q.startRun(now, t.Route)
		t.decide(Decision{Code: api.OK})
	}
}

// Cancel takes a request out of the queue; false means that its verdict was
// given.
func (q *Queue) Cancel(t *Ticket) bool {
	if t.decided {
		return false
	}
	for i, other := range q.waiting {
		if other == t {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			break
		}
	}
	if t.late {
		q.lateCount--
	}
	t.decided = true
	return true
}

// RefuseWaiting empties the queue with one verdict.
func (q *Queue) RefuseWaiting(v Decision) {
	for _, t := range q.waiting {
		t.decide(v)
	}
	q.waiting, q.lateCount = nil, 0
}

func (t *Ticket) decide(v Decision) {
	t.decided = true
	t.Decision <- v
}

func (t *Ticket) before(o *Ticket) bool {
	switch {
	case t.late != o.late:
		return !t.late
	case t.short != o.short:
		return t.short
	case t.Priority != o.Priority:
		return t.Priority < o.Priority
	default:
		return t.startBy.Before(o.startBy)
	}
}
