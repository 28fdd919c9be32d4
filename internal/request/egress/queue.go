package egress

import (
	"sort"
	"time"

	"github.com/daisytide/daisytide/api"
)

// Weights and limits of the queue.
const (
	// serviceTimeWeight is the weight of one run in the moving average of the
	// service time.
	serviceTimeWeight = 1.0 / 32
	// runTimeWeight is the weight of one run in the moving average of a route's
	// run time.
	runTimeWeight = 1.0 / 16
	// minRunTimeFraction of a route's mean run time must be left before the
	// deadline for a run to start. Run times vary, and a run that cannot finish
	// wastes its slot.
	minRunTimeFraction = 0.7
	// probeInterval is how often an idle slot is used to probe a route whose
	// mean run time exceeds its requests' time limit. The cause of the long
	// runs may be over, but without runs the mean would never change. A truly
	// slow upstream gets at most four probes per second.
	probeInterval = 250 * time.Millisecond
	// objectiveMargin is the multiple of a route's mean run time that must be
	// left before the objective. A response just after the objective is of
	// little use, and run times vary by half of their mean.
	objectiveMargin = 1.5
	// initialServiceTime is the assumed service time before the first run has
	// ended.
	initialServiceTime = 100 * time.Millisecond
	// minRetryAfter is the shortest retry delay given to a refused request.
	minRetryAfter = 20 * time.Millisecond
	// lateSlotsDivisor divides the slots to give the number of requests that
	// may wait although they will miss their objective. They start only when no
	// other request waits.
	lateSlotsDivisor = 4
	// lateWaitFraction is the part of its remaining time that a late request
	// may wait. If it gets no slot by then, it is better refused so that it can
	// be retried.
	lateWaitFraction = 0.25
	// shortRunFraction times the longest mean run time among a service's routes
	// is the longest mean run time that counts as short. Calls that running
	// upstreams make to others are short: refusing them frees little and wastes
	// the runs that made them.
	shortRunFraction = 0.3
	// minRouteShare is the share of all runs that a route needs to be
	// considered for the longest mean run time. The counts decay by
	// runCountWeight per run, so that they follow the load.
	minRouteShare  = 0.1
	runCountWeight = 1.0 / 256
	// minRunCount is the decayed run count below which a route is forgotten,
	// about 1,200 runs of other routes after its last one.
	minRunCount = 0.01
)

// RequestInfo is the part of a request that admission depends on.
type RequestInfo struct {
	Route string
	// Account is the client account, if any. AccountPriority goes before Priority,
	// which is that of the route; 0 is the highest.
	Account         string
	AccountPriority int
	Priority        int
	// Deadline is when a response becomes useless. Until Objective it has its
	// full value.
	Deadline, Objective time.Time
}

// Ticket is a request's place in the queue.
type Ticket struct {
	RequestInfo
	// Decision receives the decision once; api.OK admits the request.
	Decision chan Decision
	// startBy is the latest start, until which the request waits for a slot:
	// see onTimeStart, and lateStartBy for late requests.
	startBy time.Time
	late    bool
	short   bool
	decided bool
}

// Decision is the admission decision on a request.
type Decision struct {
	Code api.Code
	// RetryAfter is when a refused request may find a free place.
	RetryAfter time.Duration
}

// Queue decides which requests to one upstream run, wait or are refused when
// the load exceeds the upstream's slots. Work for a request that misses its
// objective has little value. Requests that can still meet their objective
// therefore wait in the order of priority and latest start time, a few late
// ones wait behind them, and all others are refused as soon as this is known.
// Short runs go first, and wait at most for the longest mean run time. Queue is
// a state machine without locks or clocks.
type Queue struct {
	// Slots is the maximum number of requests in progress.
	Slots int

	running int
	// waiting is sorted by Ticket.before, late requests last.
	waiting     []*Ticket
	lateCount   int
	serviceTime float64
	runTimes    map[string]float64
	// lastStart is when a run of each route last started. probing holds the
	// routes whose next run replaces the mean run time if it is shorter.
	lastStart map[string]time.Time
	probing   map[string]bool
	// runCounts and totalRuns are exponentially decayed counts of runs, per
	// route and in total.
	runCounts map[string]float64
	totalRuns float64
}

// Running returns the number of requests in progress.
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

// MeanRunTime returns the moving average of a route's run time; 0 if unknown.
func (q *Queue) MeanRunTime(route string) time.Duration {
	return time.Duration(q.runTimes[route] * float64(time.Second))
}

// EstimatedWait estimates the wait at a position of the queue.
func (q *Queue) EstimatedWait(position int) time.Duration {
	return time.Duration(float64(q.MeanServiceTime()) * float64(position+1) / float64(max(1, q.Slots)))
}

// Arrive decides on a request: it runs now, waits with a ticket, or is refused.
func (q *Queue) Arrive(now time.Time, request RequestInfo) (*Ticket, Decision) {
	idle := q.running < q.Slots && len(q.waiting) == 0
	if now.After(q.latestStart(request)) && !(idle && q.startProbe(now, request)) {
		return nil, Decision{Code: api.CallNoTime}
	}
	if idle {
		q.startRun(now, request.Route)
		return nil, Decision{Code: api.OK}
	}
	ticket := q.newTicket(now, request)
	if !q.enqueue(now, ticket) && !q.enqueueLate(now, ticket) {
		return nil, Decision{Code: api.CallShed, RetryAfter: q.retryAfter()}
	}
	return ticket, Decision{Code: api.OK}
}

// Preview returns what Arrive would decide, without changing the queue.
func (q *Queue) Preview(now time.Time, request RequestInfo) Decision {
	idle := q.running < q.Slots && len(q.waiting) == 0
	switch ticket := q.newTicket(now, request); {
	case now.After(q.latestStart(request)) && !(idle && q.probeDue(now, request)):
		return Decision{Code: api.CallNoTime}
	case idle, q.fitsOnTime(now, ticket), q.fitsLate(now, ticket):
		return Decision{Code: api.OK}
	default:
		return Decision{Code: api.CallShed, RetryAfter: q.retryAfter()}
	}
}

func (q *Queue) newTicket(now time.Time, request RequestInfo) *Ticket {
	return &Ticket{RequestInfo: request, Decision: make(chan Decision, 1), startBy: q.onTimeStart(now, request), short: q.IsShort(request.Route)}
}

// startRun takes a slot for a run.
func (q *Queue) startRun(now time.Time, route string) {
	q.running++
	if q.lastStart == nil {
		q.lastStart = map[string]time.Time{}
	}
	q.lastStart[route] = now
}

// startProbe reports whether a request runs as a probe although its route's
// mean run time exceeds the time left, because no run of that route has started
// for probeInterval. If so, it marks the route as being probed.
func (q *Queue) startProbe(now time.Time, request RequestInfo) bool {
	if !q.probeDue(now, request) {
		return false
	}
	if q.probing == nil {
		q.probing = map[string]bool{}
	}
	q.probing[request.Route] = true
	return true
}

func (q *Queue) probeDue(now time.Time, request RequestInfo) bool {
	return !now.After(request.Deadline) && now.Sub(q.lastStart[request.Route]) >= probeInterval
}

// latestStart is when a request must start to be answered by its deadline.
func (q *Queue) latestStart(request RequestInfo) time.Time {
	return request.Deadline.Add(-time.Duration(minRunTimeFraction * float64(q.MeanRunTime(request.Route))))
}

// longestRunTime returns the longest mean run time, in seconds, among the
// routes with at least minRouteShare of the runs.
func (q *Queue) longestRunTime() float64 {
	longest := 0.0
	for route, runTime := range q.runTimes {
		if q.runCounts[route] >= minRouteShare*q.totalRuns {
			longest = max(longest, runTime)
		}
	}
	return longest
}

// IsShort reports whether a route's runs are short compared with others here.
func (q *Queue) IsShort(route string) bool {
	return q.runTimes[route] > 0 && q.runTimes[route] <= shortRunFraction*q.longestRunTime()
}

// onTimeStart is when a request must start to meet its objective. A short one
// may miss the objective, but waits at most for the longest mean run time.
func (q *Queue) onTimeStart(now time.Time, request RequestInfo) time.Time {
	start := request.Objective.Add(-time.Duration(objectiveMargin * float64(q.MeanRunTime(request.Route))))
	if q.IsShort(request.Route) {
		start = now.Add(time.Duration(q.longestRunTime() * float64(time.Second)))
	}
	if latest := q.latestStart(request); latest.Before(start) {
		return latest
	}
	return start
}

// position is where a request would wait.
func (q *Queue) position(t *Ticket) int {
	return sort.Search(len(q.waiting), func(i int) bool { return t.before(q.waiting[i]) })
}

// fitsOnTime reports whether a request can start in time.
func (q *Queue) fitsOnTime(now time.Time, t *Ticket) bool {
	return !now.Add(q.EstimatedWait(q.position(t))).After(t.startBy)
}

// enqueue adds a request to those that can start in time. Requests behind it
// that no longer can are removed.
func (q *Queue) enqueue(now time.Time, t *Ticket) bool {
	if !q.fitsOnTime(now, t) {
		return false
	}
	position := q.position(t)
	q.insert(position, t)
	q.dropOverdue(now, position+1)
	return true
}

// fitsLate reports whether a request may wait behind all others.
func (q *Queue) fitsLate(now time.Time, t *Ticket) bool {
	return q.lateCount < max(1, q.Slots/lateSlotsDivisor) && !now.Add(q.EstimatedWait(len(q.waiting))).After(q.lateStartBy(now, t))
}

// lateStartBy is until when a late request waits for a slot.
func (q *Queue) lateStartBy(now time.Time, t *Ticket) time.Time {
	start := q.latestStart(t.RequestInfo)
	if t.short {
		return start
	}
	return now.Add(time.Duration(lateWaitFraction * float64(start.Sub(now))))
}

// enqueueLate adds a request behind all others, if few late ones wait.
func (q *Queue) enqueueLate(now time.Time, t *Ticket) bool {
	if !q.fitsLate(now, t) {
		return false
	}
	t.late, t.startBy = true, q.lateStartBy(now, t)
	q.lateCount++
	q.insert(q.position(t), t)
	return true
}

func (q *Queue) insert(position int, t *Ticket) {
	q.waiting = append(q.waiting, nil)
	copy(q.waiting[position+1:], q.waiting[position:])
	q.waiting[position] = t
}

// retryAfter estimates when a refused request may find a free place: after all
// waiting requests have started.
func (q *Queue) retryAfter() time.Duration {
	return max(minRetryAfter, q.EstimatedWait(len(q.waiting)))
}

// dropOverdue removes the requests from a position on that can no longer start
// in time.
func (q *Queue) dropOverdue(now time.Time, from int) {
	var overdue []*Ticket
	kept := q.waiting[:from]
	for _, t := range q.waiting[from:] {
		if now.Add(q.EstimatedWait(len(kept))).After(t.startBy) {
			overdue = append(overdue, t)
			continue
		}
		kept = append(kept, t)
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
	for _, t := range overdue {
		q.requeueLate(now, t)
	}
}

// requeueLate moves a request that cannot start in time to the late ones, or
// refuses it.
func (q *Queue) requeueLate(now time.Time, t *Ticket) {
	if t.late {
		q.lateCount--
	} else if q.enqueueLate(now, t) {
		return
	}
	t.decide(Decision{Code: api.CallShed, RetryAfter: q.retryAfter()})
}

// Complete records the end of a run and admits waiting requests. A run that did
// not reach the upstream or was abandoned is not conclusive: its time does not
// count.
func (q *Queue) Complete(now time.Time, route string, serviceTime time.Duration, conclusive bool) {
	q.running--
	if conclusive {
		updateMean(&q.serviceTime, serviceTime, serviceTimeWeight)
		if q.runTimes == nil {
			q.runTimes = map[string]float64{}
		}
		mean := q.runTimes[route]
		if q.probing[route] && serviceTime.Seconds() < mean {
			mean = serviceTime.Seconds()
		} else {
			updateMean(&mean, serviceTime, runTimeWeight)
		}
		delete(q.probing, route)
		q.runTimes[route] = mean
		q.countRun(route)
	}
	q.AdmitWaiting(now)
}

// countRun counts a run of a route and forgets routes without recent runs.
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

// updateMean adds a run time to a moving average in seconds.
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

// Cancel removes a request from the queue; false means that it was already
// decided.
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

// RefuseWaiting refuses all waiting requests with one decision.
func (q *Queue) RefuseWaiting(decision Decision) {
	for _, t := range q.waiting {
		t.decide(decision)
	}
	q.waiting, q.lateCount = nil, 0
}

func (t *Ticket) decide(decision Decision) {
	t.decided = true
	t.Decision <- decision
}

// before reports whether t is admitted before o.
func (t *Ticket) before(o *Ticket) bool {
	switch {
	case t.late != o.late:
		return !t.late
	case t.short != o.short:
		return t.short
	case t.AccountPriority != o.AccountPriority:
		return t.AccountPriority < o.AccountPriority
	case t.Priority != o.Priority:
		return t.Priority < o.Priority
	default:
		return t.startBy.Before(o.startBy)
	}
}
