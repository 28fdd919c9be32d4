package egress

import (
	"sort"
	"time"

	"github.com/daisytide/daisytide/api"
)

// Limits of what may wait in a queue.
const (
	// minRunTimeFraction of a route's mean run time must be left before the
	// deadline for a run to start. Run times vary, and a run that cannot finish
	// wastes its slot.
	minRunTimeFraction = 0.7
	// objectiveMargin is the multiple of a route's mean run time that must be
	// left before the objective. A response just after the objective is of
	// little use, and run times vary by half of their mean.
	objectiveMargin = 1.5
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
)

// EstimatedWait estimates the wait at a position of the queue.
func (q *Queue) EstimatedWait(now time.Time, position int) time.Duration {
	if q.warmup.active(now) {
		return q.limitedWait(now, position)
	}
	return q.slotWait(position)
}

// slotWait estimates the wait for a slot at a position of the queue.
func (q *Queue) slotWait(position int) time.Duration {
	return time.Duration(float64(q.MeanServiceTime()) * float64(position+1) / float64(max(1, q.Slots)))
}

// retryAfter estimates when a refused request may find a free place: after all
// waiting requests have started.
func (q *Queue) retryAfter(now time.Time) time.Duration {
	return max(minRetryAfter, q.EstimatedWait(now, len(q.waiting)))
}

// refusal returns the decision to refuse a request, and counts it for its account.
func (q *Queue) refusal(now time.Time, t *Ticket) Decision {
	q.accounts.decided(now, t.Account, q.MeanRunTime(t.Route), false)
	return Decision{Code: api.CallShed, RetryAfter: q.retryAfter(now), Cause: t.refusalCause()}
}

func (q *Queue) newTicket(now time.Time, request RequestInfo) *Ticket {
	return &Ticket{
		RequestInfo: request, Decision: make(chan Decision, 1), startBy: q.onTimeStart(now, request), short: q.goesFirst(request),
		standing: q.accounts.standing(now, request.Account),
	}
}

// latestStart is when a request must start to be answered by its deadline.
func (q *Queue) latestStart(request RequestInfo) time.Time {
	return request.Deadline.Add(-time.Duration(minRunTimeFraction * float64(q.MeanRunTime(request.Route))))
}

// onTimeStart is when a request must start to meet its objective. A short one
// may miss the objective, but waits at most for the longest mean run time.
func (q *Queue) onTimeStart(now time.Time, request RequestInfo) time.Time {
	start := request.Objective.Add(-time.Duration(objectiveMargin * float64(q.MeanRunTime(request.Route))))
	if longest := q.longestRunTime(); longest > 0 && q.goesFirst(request) {
		start = now.Add(time.Duration(longest * float64(time.Second)))
	}
	if latest := q.latestStart(request); latest.Before(start) {
		return latest
	}
	return start
}

// lateStartBy is until when a late request waits for a slot.
func (q *Queue) lateStartBy(now time.Time, t *Ticket) time.Time {
	start := q.latestStart(t.RequestInfo)
	if t.short {
		return start
	}
	return now.Add(time.Duration(lateWaitFraction * float64(start.Sub(now))))
}

// position is where a request would wait.
func (q *Queue) position(t *Ticket) int {
	return sort.Search(len(q.waiting), func(i int) bool { return t.before(q.waiting[i]) })
}

// fitsOnTime reports whether a request can start in time.
func (q *Queue) fitsOnTime(now time.Time, t *Ticket) bool {
	return !now.Add(q.EstimatedWait(now, q.position(t))).After(t.startBy)
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
	return q.lateCount < max(1, q.Slots/lateSlotsDivisor) && !now.Add(q.EstimatedWait(now, len(q.waiting))).After(q.lateStartBy(now, t))
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

// dropOverdue removes the requests from a position on that can no longer start
// in time.
func (q *Queue) dropOverdue(now time.Time, from int) {
	var overdue []*Ticket
	kept := q.waiting[:from]
	for _, t := range q.waiting[from:] {
		if now.Add(q.EstimatedWait(now, len(kept))).After(t.startBy) {
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
	t.decide(q.refusal(now, t))
}
