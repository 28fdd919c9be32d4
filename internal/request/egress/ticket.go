package egress

import (
	"time"

	"github.com/daisytide/daisytide/api"
)

// RequestInfo is the part of a request that admission depends on.
type RequestInfo struct {
	Route string
	// Account is the client account, if any. AccountPriority goes before Priority,
	// which is that of the route; 0 is the highest.
	Account         string
	AccountPriority int
	Priority        int
	// Nested is set for calls of running upstreams.
	Nested bool
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
