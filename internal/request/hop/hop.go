// Package hop holds what a request carries from the node that took it from its
// caller to the node beside the upstream that runs it, and how it ended there.
package hop

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/h1"
	"github.com/daisytide/daisytide/internal/request/call"
	"github.com/daisytide/daisytide/internal/version/traffic"
)

// Dialect is how callers and upstreams spell what a request carries. The
// platform's adapter implements it.
type Dialect interface {
	// ID returns the request's id and the name of its header.
	ID(h http.Header) (name, id string)
	// TimeLeft returns how long the caller waits; false where it does not say.
	TimeLeft(h http.Header) (time.Duration, bool)
	// ToUpstream sets what an upstream expects: the time left, the only
	// instance that may run the request, and the service that it came from.
	ToUpstream(h http.Header, left time.Duration, instance, caller string)
	// NotRun tells whether an upstream's answer states that it did not run
	// the request, and whether that is because another instance has its address.
	NotRun(resp *h1.Response) (notRun, otherInstance bool)
	// ComeBack tells the caller when to send the request again.
	ComeBack(h http.Header, after time.Duration)
}

// Request is one request at one hop.
type Request struct {
	ID      string
	Service string
	Version string
	Route   string
	Repeat  traffic.Repeat
	// Priority is the route's rank; 0 is the highest.
	Priority int
	// Deadline is when an answer is of no more use, Objective until when it is
	// of full use.
	Deadline  time.Time
	Objective time.Time
	// From is the service on whose host the request began.
	From string
	// Config is the number of the configuration that routed it.
	Config uint64
}

// Left returns what is left of the request's time.
func (r *Request) Left(now time.Time) time.Duration { return r.Deadline.Sub(now) }

// fields of call.HeaderCall between nodes.
const (
	fieldService = iota
	fieldVersion
	fieldRoute
	fieldRepeat
	fieldPriority
	fieldLeft
	fieldObjective
	fieldFrom
	fieldConfig
	fieldCount

	separator = "|"
)

// ToGate writes the request into the header for the node beside the upstream.
func (r *Request) ToGate(h http.Header, now time.Time) {
	f := [fieldCount]string{
		fieldService: r.Service, fieldVersion: r.Version, fieldRoute: r.Route, fieldRepeat: string(r.Repeat),
		fieldPriority: strconv.Itoa(r.Priority), fieldFrom: r.From,
		fieldLeft:      strconv.FormatInt(r.Left(now).Microseconds(), 10),
		fieldObjective: strconv.FormatInt(r.Objective.Sub(now).Microseconds(), 10),
		fieldConfig:    strconv.FormatUint(r.Config, 10),
	}
	h[call.HeaderCall] = []string{strings.Join(f[:], separator)}
}

// AtGate reads what ToGate wrote and takes it out of the header.
func AtGate(h http.Header, now time.Time) (*Request, error) {
	f := strings.Split(h.Get(call.HeaderCall), separator)
	delete(h, call.HeaderCall)
	if len(f) != fieldCount {
		return nil, api.Errorf(api.CallHeader, "%s has %d fields", call.HeaderCall, len(f))
	}
	var numbers [fieldCount]int64
	for _, i := range [...]int{fieldPriority, fieldLeft, fieldObjective, fieldConfig} {
		n, err := strconv.ParseInt(f[i], 10, 64)
		if err != nil {
			return nil, api.Errorf(api.CallHeader, "%s: field %d: %w", call.HeaderCall, i, err)
		}
		numbers[i] = n
	}
	return &Request{
		Service: f[fieldService], Version: f[fieldVersion], Route: f[fieldRoute], Repeat: traffic.Repeat(f[fieldRepeat]),
		Priority: int(numbers[fieldPriority]), From: f[fieldFrom], Config: uint64(numbers[fieldConfig]),
		Deadline:  now.Add(time.Duration(numbers[fieldLeft]) * time.Microsecond),
		Objective: now.Add(time.Duration(numbers[fieldObjective]) * time.Microsecond),
	}, nil
}

// Result is how one attempt ended.
type Result struct {
	// Code is api.OK when Answer is the upstream's own, whole.
	Code api.Code
	// Ran tells whether an upstream ran the request.
	Ran api.Ran
	// Reached tells that the upstream itself refused the request: it got it,
	// and did not run it.
	Reached bool
	Answer  *h1.Response
	// After is when a refused request may be sent again.
	After time.Duration
	// Need is the usual time of the route's runs at the upstream; 0 where it
	// is not known.
	Need time.Duration
	// Short tells that the route's runs are short beside others there.
	Short bool
	Err   error
}

// Refuse makes the result of a request that was not run.
func Refuse(c api.Code, after time.Duration, err error) Result {
	return Result{Code: c, Ran: api.RanNo, After: after, Err: err}
}
