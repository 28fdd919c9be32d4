package gate

import (
	"time"

	"github.com/daisytide/daisytide/api"
)

// Parameters of the queue.
const (
	// maxWaitDivisor divides a call's time left to give the longest expected
	// wait at which it is queued.
	maxWaitDivisor = 4
	// minTimeDivisor divides a route's baseline run time to give the time that
	// must be left to start a run.
	minTimeDivisor = 2
	// serviceTimeWeight is the weight of one run in the moving average of the
	// service time.
	serviceTimeWeight = 1.0 / 32
)

// Ticket is a call's place in the queue.
type Ticket struct {
	Criticality Criticality
	Deadline    time.Time
	// Decision receives api.OK if the call is admitted, else the refusal.
	Decision chan api.Code
	// decided is set once the decision is sent.
	decided bool
}

// RequestInfo is the part of a call that admission depends on.
type RequestInfo struct {
	Route       string
	Criticality Criticality
	Deadline    time.Time
}

// Admission decides which calls run, wait or are refused. It is a state machine
// without locks or clocks: methods that need the time get it as an argument.
type Admission struct {
	Limit ConcurrencyLimit
	// MaxQueue caps the waiting calls; 0 means the ceiling of Limit.
	MaxQueue int

	running int
	// queue holds the waiting tickets by criticality, oldest first.
	queue   [criticalityCount][]*Ticket
	waiting int
	// serviceTime is the moving average of the time that a run holds its slot,
	// in seconds.
	serviceTime float64
}

// Running returns the number of calls in progress.
func (a *Admission) Running() int { return a.running }

// Waiting returns the number of waiting calls.
func (a *Admission) Waiting() int { return a.waiting }

// MeanServiceTime returns the mean time that a run holds its slot.
func (a *Admission) MeanServiceTime() time.Duration {
	return time.Duration(a.serviceTime * float64(time.Second))
}

// Arrive decides on a new call: api.OK without a ticket means that it runs now,
// api.OK with a ticket that it waits; any other code is its refusal. A waiting
// call of a lower criticality may be evicted, which its ticket reports.
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

// Complete records the end of a run and admits waiting calls. runTime is the
// time that the outcome refers to, serviceTime the time for which the slot was
// held.
func (a *Admission) Complete(now time.Time, route string, runTime, serviceTime time.Duration, outcome RunOutcome) {
	a.Limit.RecordRun(route, runTime, outcome, a.running)
	a.running--
	if a.serviceTime == 0 {
		a.serviceTime = serviceTime.Seconds()
	}
	a.serviceTime += serviceTimeWeight * (serviceTime.Seconds() - a.serviceTime)
	a.admitWaiting(now)
}

// Cancel removes a waiting call from the queue; false means that it was already
// decided.
func (a *Admission) Cancel(ticket *Ticket) bool {
	if ticket.decided {
		return false
	}
	for i, other := range a.queue[ticket.Criticality] {
		if other == ticket {
			a.queue[ticket.Criticality] = append(a.queue[ticket.Criticality][:i], a.queue[ticket.Criticality][i+1:]...)
			break
		}
	}
	ticket.decided = true
	a.waiting--
	return true
}

// RefuseWaiting refuses all waiting calls with one code.
func (a *Admission) RefuseWaiting(code api.Code) {
	for criticality := range a.queue {
		for _, t := range a.queue[criticality] {
			a.decide(t, code)
		}
		a.queue[criticality] = nil
	}
}

func (a *Admission) maxQueue() int {
	if a.MaxQueue > 0 {
		return a.MaxQueue
	}
	return a.Limit.Ceiling()
}

// estimatedWait estimates how long a call of the given criticality would wait.
func (a *Admission) estimatedWait(criticality Criticality) time.Duration {
	ahead := 1
	for level := criticality; level < criticalityCount; level++ {
		ahead += len(a.queue[level])
	}
	return time.Duration(a.serviceTime * float64(ahead) / float64(a.Limit.Slots()) * float64(time.Second))
}

// evictBelow refuses the newest waiting call of the lowest criticality below
// the given one. It returns false if there is none.
func (a *Admission) evictBelow(criticality Criticality) bool {
	for level := range criticality {
		n := len(a.queue[level])
		if n == 0 {
			continue
		}
		a.decide(a.queue[level][n-1], api.CallShed)
		a.queue[level] = a.queue[level][:n-1]
		return true
	}
	return false
}

// admitWaiting admits waiting calls while slots are free, the most critical
// first. Calls past their deadline are refused and take no slot.
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

// dequeue removes the oldest ticket of the highest criticality; there must be
// one.
func (a *Admission) dequeue() *Ticket {
	for level := criticalityCount - 1; level >= 0; level-- {
		if len(a.queue[level]) > 0 {
			t := a.queue[level][0]
			a.queue[level] = a.queue[level][1:]
			return t
		}
	}
	panic("gate: the waiting count does not match the queues")
}

// decide sends a ticket its decision, after the ticket was removed from its
// queue.
func (a *Admission) decide(ticket *Ticket, code api.Code) {
	ticket.decided = true
	ticket.Decision <- code
	a.waiting--
}
