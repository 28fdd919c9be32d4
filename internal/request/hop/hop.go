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

// HeaderDialect is how callers and upstreams spell what a request carries. The
// platform's adapter implements it.
type HeaderDialect interface {
	// RequestID returns the request's id and the name of its header.
	RequestID(h http.Header) (name, id string)
	// TimeLeft returns how long the caller waits; false where it does not say.
	TimeLeft(h http.Header) (time.Duration, bool)
	// SetUpstreamHeaders sets what an upstream expects: the time left, the only
	// instance that may run the request, and the service that it came from.
	SetUpstreamHeaders(h http.Header, left time.Duration, instance, caller string)
	// NotExecuted tells whether an upstream's answer states that it did not run
	// the request, and whether that is because another instance has its address.
	NotExecuted(resp *h1.Response) (notRun, otherInstance bool)
	// SetRetryAfter tells the caller when to send the request again.
	SetRetryAfter(h http.Header, after time.Duration)
}

// Request is one request at one hop.
type Request struct {
	ID      string
	Service string
	Version string
	Route   string
	Kind    traffic.RequestKind
	// Priority is the route's rank; 0 is the highest.
	Priority int
	// Deadline is when an answer is of no more use, Objective until when it is
	// of full use.
	Deadline  time.Time
	Objective time.Time
	// CallerService is the service on whose host the request began.
	CallerService string
	// ConfigNumber is the number of the configuration that routed it.
	ConfigNumber uint64
}

// TimeLeft returns what is left of the request's time.
func (r *Request) TimeLeft(now time.Time) time.Duration { return r.Deadline.Sub(now) }

// fields of call.HeaderCall between nodes.
const (
	fieldService = iota
	fieldVersion
	fieldRoute
	fieldKind
	fieldPriority
	fieldTimeLeft
	fieldObjective
	fieldCallerService
	fieldConfig
	fieldCount

	separator = "|"
)

// EncodeHeader writes the request into the header for the node beside the upstream.
func (r *Request) EncodeHeader(h http.Header, now time.Time) {
	f := [fieldCount]string{
		fieldService: r.Service, fieldVersion: r.Version, fieldRoute: r.Route, fieldKind: string(r.Kind),
		fieldPriority: strconv.Itoa(r.Priority), fieldCallerService: r.CallerService,
		fieldTimeLeft:  strconv.FormatInt(r.TimeLeft(now).Microseconds(), 10),
		fieldObjective: strconv.FormatInt(r.Objective.Sub(now).Microseconds(), 10),
		fieldConfig:    strconv.FormatUint(r.ConfigNumber, 10),
	}
	h[call.HeaderCall] = []string{strings.Join(f[:], separator)}
}

// DecodeHeader reads what EncodeHeader wrote and takes it out of the header.
func DecodeHeader(h http.Header, now time.Time) (*Request, error) {
	f := strings.Split(h.Get(call.HeaderCall), separator)
	delete(h, call.HeaderCall)
	if len(f) != fieldCount {
		return nil, api.Errorf(api.CallHeader, "%s has %d fields", call.HeaderCall, len(f))
	}
	var numbers [fieldCount]int64
	for _, i := range [...]int{fieldPriority, fieldTimeLeft, fieldObjective, fieldConfig} {
		n, err := strconv.ParseInt(f[i], 10, 64)
		if err != nil {
			return nil, api.Errorf(api.CallHeader, "%s: field %d: %w", call.HeaderCall, i, err)
		}
		numbers[i] = n
	}
	return &Request{
		Service: f[fieldService], Version: f[fieldVersion], Route: f[fieldRoute], Kind: traffic.RequestKind(f[fieldKind]),
		Priority: int(numbers[fieldPriority]), CallerService: f[fieldCallerService], ConfigNumber: uint64(numbers[fieldConfig]),
		Deadline:  now.Add(time.Duration(numbers[fieldTimeLeft]) * time.Microsecond),
		Objective: now.Add(time.Duration(numbers[fieldObjective]) * time.Microsecond),
	}, nil
}

// Result is how one attempt ended.
type Result struct {
	// Code is api.OK when Answer is the upstream's own, whole.
	Code api.Code
	// Ran tells whether an upstream ran the request.
	Ran api.Ran
	// UpstreamRefused tells that the upstream itself refused the request: it got it,
	// and did not run it.
	UpstreamRefused bool
	Answer          *h1.Response
	// RetryAfter is when a refused request may be sent again.
	RetryAfter time.Duration
	// MeanRunTime is the usual time of the route's runs at the upstream; 0 where it
	// is not known.
	MeanRunTime time.Duration
	// ShortRoute tells that the route's runs are short beside others there.
	ShortRoute bool
	Err        error
}

// Refuse makes the result of a request that was not run.
func Refuse(c api.Code, after time.Duration, err error) Result {
	return Result{Code: c, Ran: api.RanNo, RetryAfter: after, Err: err}
}
