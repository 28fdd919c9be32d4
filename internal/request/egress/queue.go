package egress

import (
	"sort"
	"time"

	"github.com/daisytide/daisytide/api"
)

// Weights and margins of the queue.
const (
	// heldWeight is the weight of one run in the mean time that a slot is held.
	heldWeight = 1.0 / 32
	// needWeight is the weight of one run in a route's usual time.
	needWeight = 1.0 / 16
	// needPart of a route's usual time must be left for a run to begin: runs
	// vary, and one that is begun in vain holds a slot for nothing.
	needPart = 0.7
	// heldFirst is the time that a slot is taken to be held before any run ended.
	heldFirst = 100 * time.Millisecond
	// backMin is the shortest time after which a refused request may return.
	backMin = 20 * time.Millisecond
)

// Want is what the queue needs to know of a request.
type Want struct {
	Route string
	// Priority is the route's rank; 0 is the highest.
	Priority int
	Deadline time.Time
}

// Ticket is a place in the queue.
type Ticket struct {
	Want
	// Verdict receives the decision once: api.OK admits.
	Verdict chan Verdict
	decided bool
}

// Verdict is the decision on a request.
type Verdict struct {
	Code api.Code
	// After is when a refused request may find room.
	After time.Duration
}

// Queue decides which requests run, wait or are refused at one upstream. It
// answers more load than the upstream has slots for: requests wait by rank and
// deadline, and one that cannot begin in time is refused as soon as that is
// known. It is a state machine without locks or clocks.
type Queue struct {
	// Slots is how many requests run at once.
	Slots int

	running int
	// waiting is ordered by rank, then deadline.
	waiting []*Ticket
	held    float64
	need    map[string]float64
}

// Running returns the requests in progress, Waiting those in the queue.
func (q *Queue) Running() int { return q.running }

// Waiting returns the length of the queue.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Held returns the mean time that a run holds its slot.
func (q *Queue) Held() time.Duration {
	if q.held == 0 {
		return heldFirst
	}
	return time.Duration(q.held * float64(time.Second))
}

// Need returns the usual time of a route's runs; 0 where it is not known.
func (q *Queue) Need(route string) time.Duration {
	return time.Duration(q.need[route] * float64(time.Second))
}

// Wait estimates how long a request at a place of the queue waits.
func (q *Queue) Wait(place int) time.Duration {
	return time.Duration(float64(q.Held()) * float64(place+1) / float64(max(1, q.Slots)))
}

// Arrive decides on a request: it runs now, waits with a ticket, or is refused.
func (q *Queue) Arrive(now time.Time, w Want) (*Ticket, Verdict) {
	if !q.reachable(now, w, 0) {
		return nil, Verdict{Code: api.CallNoTime}
	}
	if q.running < q.Slots && len(q.waiting) == 0 {
		q.running++
		return nil, Verdict{Code: api.OK}
	}
	t := &Ticket{Want: w, Verdict: make(chan Verdict, 1)}
	place := sort.Search(len(q.waiting), func(i int) bool { return t.before(q.waiting[i]) })
	if !q.reachable(now, w, q.Wait(place)) {
		return nil, Verdict{Code: api.CallShed, After: q.back()}
	}
	q.waiting = append(q.waiting, nil)
	copy(q.waiting[place+1:], q.waiting[place:])
	q.waiting[place] = t
	q.shed(now, place+1)
	return t, Verdict{Code: api.OK}
}

// reachable tells whether a request that waits so long can still be answered.
func (q *Queue) reachable(now time.Time, w Want, wait time.Duration) bool {
	need := time.Duration(needPart * float64(q.Need(w.Route)))
	return now.Add(wait + need).Before(w.Deadline)
}

// back estimates when a request that found no room may find some: when what
// waits now has begun.
func (q *Queue) back() time.Duration { return max(backMin, q.Wait(len(q.waiting))) }

// shed refuses the requests from a place on that can no longer begin in time.
func (q *Queue) shed(now time.Time, from int) {
	kept := q.waiting[:from]
	for _, t := range q.waiting[from:] {
		if q.reachable(now, t.Want, q.Wait(len(kept))) {
			kept = append(kept, t)
			continue
		}
		t.decide(Verdict{Code: api.CallShed, After: q.back()})
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
}

// Done takes the end of a run and admits the next request. A run that did not
// reach the upstream, or was given up, tells nothing of the time that runs take.
func (q *Queue) Done(now time.Time, route string, held time.Duration, telling bool) {
	q.running--
	if telling {
		fold(&q.held, held, heldWeight)
		if q.need == nil {
			q.need = map[string]float64{}
		}
		n := q.need[route]
		fold(&n, held, needWeight)
		q.need[route] = n
	}
	q.Fill(now)
}

func fold(mean *float64, took time.Duration, weight float64) {
	if *mean == 0 {
		*mean = took.Seconds()
		return
	}
	*mean += weight * (took.Seconds() - *mean)
}

// Fill admits waiting requests while slots are free.
func (q *Queue) Fill(now time.Time) {
	for q.running < q.Slots && len(q.waiting) > 0 {
		t := q.waiting[0]
		q.waiting = q.waiting[1:]
		if !q.reachable(now, t.Want, 0) {
			t.decide(Verdict{Code: api.CallNoTime, After: q.back()})
			continue
		}
		q.running++
		t.decide(Verdict{Code: api.OK})
	}
}

// Withdraw takes a request out of the queue; false means that its verdict was
// given.
func (q *Queue) Withdraw(t *Ticket) bool {
	if t.decided {
		return false
	}
	for i, other := range q.waiting {
		if other == t {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			break
		}
	}
	t.decided = true
	return true
}

// Refuse empties the queue with one verdict.
func (q *Queue) Refuse(v Verdict) {
	for _, t := range q.waiting {
		t.decide(v)
	}
	q.waiting = nil
}

func (t *Ticket) decide(v Verdict) {
	t.decided = true
	t.Verdict <- v
}

func (t *Ticket) before(o *Ticket) bool {
	if t.Priority != o.Priority {
		return t.Priority < o.Priority
	}
	return t.Deadline.Before(o.Deadline)
}
