package egress

import (
	"time"

	"github.com/daisytide/daisytide/api"
)

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
	// warmup limits the starts while the upstream is cold; nil while it is warm.
	warmup *warmupLimit
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
	// accounts divides the slots among client accounts under overload.
	accounts accountShares
}

// Running returns the number of requests in progress.
func (q *Queue) Running() int { return q.running }

// Waiting returns the length of the queue.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Arrive decides on a request: it runs now, waits with a ticket, or is refused.
func (q *Queue) Arrive(now time.Time, request RequestInfo) (*Ticket, Decision) {
	idle := q.running < q.Slots && len(q.waiting) == 0 && q.warmup.allows(now)
	if now.After(q.latestStart(request)) && !(idle && q.startProbe(now, request)) {
		return nil, Decision{Code: api.CallNoTime}
	}
	if idle {
		q.startRun(now, request)
		return nil, Decision{Code: api.OK}
	}
	ticket := q.newTicket(now, request)
	if !q.enqueue(now, ticket) && !q.enqueueLate(now, ticket) {
		return nil, q.refusal(now, ticket)
	}
	return ticket, Decision{Code: api.OK}
}

// Preview returns what Arrive would decide, without changing the queue.
func (q *Queue) Preview(now time.Time, request RequestInfo) Decision {
	idle := q.running < q.Slots && len(q.waiting) == 0 && q.warmup.allows(now)
	switch ticket := q.newTicket(now, request); {
	case now.After(q.latestStart(request)) && !(idle && q.probeDue(now, request)):
		return Decision{Code: api.CallNoTime}
	case idle, q.fitsOnTime(now, ticket), q.fitsLate(now, ticket):
		return Decision{Code: api.OK}
	default:
		return Decision{Code: api.CallShed, RetryAfter: q.retryAfter(now)}
	}
}

// startRun takes a slot for a run.
func (q *Queue) startRun(now time.Time, request RequestInfo) {
	q.running++
	q.warmup.take(now)
	if q.lastStart == nil {
		q.lastStart = map[string]time.Time{}
	}
	q.lastStart[request.Route] = now
	q.accounts.decided(now, request.Account, q.MeanRunTime(request.Route), true)
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

// AdmitWaiting admits waiting requests while slots are free and, at a cold upstream,
// its rate allows their start.
func (q *Queue) AdmitWaiting(now time.Time) {
	for q.running < q.Slots && len(q.waiting) > 0 {
		t := q.waiting[0]
		overdue := now.After(t.startBy)
		if !overdue && !q.warmup.allows(now) {
			return
		}
		q.waiting = q.waiting[1:]
		if overdue {
			q.requeueLate(now, t)
			continue
		}
		if t.late {
			q.lateCount--
		}
		q.startRun(now, t.RequestInfo)
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
