package egress

import (
	"errors"
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
	// CallerUrgency ranks the runs that make nested calls; see callerUrgency.
	CallerUrgency int
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
	// standing is that of the account on arrival.
	standing Standing
	decided  bool
}

// Decision is the admission decision on a request.
type Decision struct {
	Code api.Code
	// RetryAfter is when a refused request may find a free place.
	RetryAfter time.Duration
	// Cause tells in the log why a request was refused under overload.
	Cause Cause
}

// Cause is the cause of a refusal under overload. It is no error, because a channel of
// decisions with pointers needs one more allocation per waiting request.
type Cause uint8

// Causes of refusals.
const (
	CauseNone Cause = iota
	// CauseOnTime: the request could not start in time behind those that wait.
	CauseOnTime
	// CauseFairShare: so it was, and its account has used up its share.
	CauseFairShare
	// CauseNested: a call of a running upstream could not start in time.
	CauseNested
)

var causeErrors = [...]error{
	CauseOnTime:    errors.New("on-time: could not start in time behind the waiting requests"),
	CauseFairShare: errors.New("fair share: the account has used up its share"),
	CauseNested:    errors.New("nested: a call of a running upstream could not start in time"),
}

// Err returns the cause for the log; nil for CauseNone.
func (c Cause) Err() error { return causeErrors[c] }

// refusalCause returns why a request finds no place in the queue.
func (t *Ticket) refusalCause() Cause {
	switch {
	case t.Nested:
		return CauseNested
	case t.standing == AboveShare:
		return CauseFairShare
	}
	return CauseOnTime
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
	case t.CallerUrgency != o.CallerUrgency:
		return t.CallerUrgency < o.CallerUrgency
	case (t.standing == Deprived) != (o.standing == Deprived):
		return t.standing == Deprived
	case t.AccountPriority != o.AccountPriority:
		return t.AccountPriority < o.AccountPriority
	case t.Priority != o.Priority:
		return t.Priority < o.Priority
	case t.standing != o.standing:
		return t.standing < o.standing
	default:
		return t.startBy.Before(o.startBy)
	}
}
