package gate

import (
	"time"

	"github.com/daisytide/daisytide/api"
)

// Parameters of the queue.
const (
	// waitPart bounds the expected wait to this part of the call's time left.
	maxWaitDivisor = 4
	// finishPart of a route's usual time must be left to begin a run.
	minTimeDivisor = 2
	// meanWeight is the weight of one run in the mean time that a slot is held.
	serviceTimeWeight = 1.0 / 32
)

// Ticket is a place in the queue.
type Ticket struct {
	Criticality Criticality
	Deadline    time.Time
	// Decision receives api.OK when the call is admitted, else the refusal.
	Decision chan api.Code
	// decided is set with the verdict.
	decided bool
}

// RequestInfo is what admission needs to know of a call.
type RequestInfo struct {
	Route       string
	Criticality Criticality
	Deadline    time.Time
}

// Admission decides which calls run, wait or are refused. It is a state
// machine without locks or clocks: each method takes the time.
type Admission struct {
	Limit ConcurrencyLimit
	// MaxQueue caps the waiting calls; 0 means as many as the ceiling has slots.
	MaxQueue int

	running int
	// queue holds the waiting tickets of each rank, the oldest first.
	queue   [criticalityCount][]*Ticket
	waiting int
	// held is the mean time that a run holds its slot, in seconds.
	serviceTime float64
}

// Running returns the requests in progress.
func (a *Admission) Running() int { return a.running }

// Waiting returns the length of the queue.
func (a *Admission) Waiting() int { return a.waiting }

// MeanServiceTime returns the mean time that a run holds its slot.
func (a *Admission) MeanServiceTime() time.Duration {
	return time.Duration(a.serviceTime * float64(time.Second))
}

// Arrive decides on a new call: api.OK without a ticket means that it runs
// now, api.OK with a ticket that it waits, anything else is its refusal. A
// waiting call of a lower rank may lose its place; its ticket says so.
func (a *Admission) Arrive(now time.Time, r RequestInfo) (*Ticket, api.Code) {
	left := r.Deadline.Sub(now)
	if left <= 0 || left < a.Limit.BaselineTime(r.Route)/minTimeDivisor {
		return nil, api.CallNoTime
	}
	if a.running < a.Limit.Slots() && a.waiting == 0 {
		a.running++
		return nil, api.OK
	}
	if a.estimatedWait(r.Criticality) > left/maxWaitDivisor {
		return nil, api.CallShed
	}
	if a.waiting >= a.maxQueue() && !a.evictBelow(r.Criticality) {
		return nil, api.CallShed
	}
	t := &Ticket{Criticality: r.Criticality, Deadline: r.Deadline, Decision: make(chan api.Code, 1)}
	a.queue[r.Criticality] = append(a.queue[r.Criticality], t)
	a.waiting++
	a.admitWaiting(now)
	return t, api.OK
}

// Complete takes the end of a run and admits the next calls. took is the time
// that o speaks of, held the time that the slot was held.
func (a *Admission) Complete(now time.Time, route string, took, held time.Duration, o RunOutcome) {
	a.Limit.RecordRun(route, took, o, a.running)
	a.running--
	if a.serviceTime == 0 {
		a.serviceTime = held.Seconds()
	}
	a.serviceTime += serviceTimeWeight * (held.Seconds() - a.serviceTime)
	a.admitWaiting(now)
}

// Cancel takes a waiting call out of the queue; false means that its
// verdict has been given.
func (a *Admission) Cancel(t *Ticket) bool {
	if t.decided {
		return false
	}
	for i, other := range a.queue[t.Criticality] {
		if other == t {
			a.queue[t.Criticality] = append(a.queue[t.Criticality][:i], a.queue[t.Criticality][i+1:]...)
			break
		}
	}
	t.decided = true
	a.waiting--
	return true
}

// RefuseWaiting empties the queue with one verdict.
func (a *Admission) RefuseWaiting(code api.Code) {
	for rank := range a.queue {
		for _, t := range a.queue[rank] {
			a.decide(t, code)
		}
		a.queue[rank] = nil
	}
}

func (a *Admission) maxQueue() int {
	if a.MaxQueue > 0 {
		return a.MaxQueue
	}
	return a.Limit.Ceiling()
}

// wait estimates how long a call of rank would wait.
func (a *Admission) estimatedWait(rank Criticality) time.Duration {
	ahead := 1
	for r := rank; r < criticalityCount; r++ {
		ahead += len(a.queue[r])
	}
	return time.Duration(a.serviceTime * float64(ahead) / float64(a.Limit.Slots()) * float64(time.Second))
}

// evictBelow refuses the newest waiting call of the lowest rank under rank.
func (a *Admission) evictBelow(rank Criticality) bool {
	for r := range rank {
		n := len(a.queue[r])
		if n == 0 {
			continue
		}
		a.decide(a.queue[r][n-1], api.CallShed)
		a.queue[r] = a.queue[r][:n-1]
		return true
	}
	return false
}

// fill admits waiting calls while slots are free, the highest rank first. A
// call whose time has passed is refused without a slot.
func (a *Admission) admitWaiting(now time.Time) {
	for a.waiting > 0 && a.running < a.Limit.Slots() {
		t := a.dequeue()
		if !now.Before(t.Deadline) {
			a.decide(t, api.CallNoTime)
			continue
		}
		a.running++
		a.decide(t, api.OK)
	}
}

// next takes the oldest ticket of the highest rank; there must be one.
func (a *Admission) dequeue() *Ticket {
	for r := criticalityCount - 1; r >= 0; r-- {
		if len(a.queue[r]) > 0 {
			t := a.queue[r][0]
			a.queue[r] = a.queue[r][1:]
			return t
		}
	}
	panic("gate: the queue's length is wrong")
}

// decide gives a ticket its verdict; it has left the queue.
func (a *Admission) decide(t *Ticket, code api.Code) {
	t.decided = true
	t.Decision <- code
	a.waiting--
}
