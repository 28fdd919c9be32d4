// Package hop defines the request and the result that travel between the node
// that accepted a request from its caller and the node beside the upstream that
// runs it. It belongs to the mode of package operated; package call is its
// counterpart for package node.
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

// HeaderDialect translates between requests and the header names that callers
// and upstreams use. The platform's adapter implements it.
type HeaderDialect interface {
	// RequestID returns the request's ID and the name of its header.
	RequestID(h http.Header) (name, id string)
	// TimeLeft returns how long the caller will wait; false if the header does
	// not give it.
	TimeLeft(h http.Header) (time.Duration, bool)
	// SetUpstreamHeaders sets the headers that an upstream expects: the time
	// left, the only instance that may run the request, and the calling
	// service.
	SetUpstreamHeaders(h http.Header, left time.Duration, instance, caller string)
	// TakeKey removes the key of a client account, and any account's name that the
	// caller claims, from the header. It returns the key, or an empty string if
	// there is none or more than one.
	TakeKey(h http.Header) string
	// SetAccount sets the header with the name of the client account for an
	// upstream.
	SetAccount(h http.Header, name string)
	// SetUnauthorized sets the headers of a response to a request without a valid
	// key.
	SetUnauthorized(h http.Header)
	// NotExecuted reports whether an upstream's response states that it did not
	// run the request, and whether the reason is that another instance has its
	// address.
	NotExecuted(resp *h1.Response) (notExecuted, otherInstance bool)
	// Signed reports whether a response bears the mark of the upstream that made it.
	// A success without it is not the upstream's response.
	Signed(resp *h1.Response) bool
	// SetRetryAfter sets the header with the time after which the caller should
	// retry.
	SetRetryAfter(h http.Header, after time.Duration)
}

// Request is one request at one hop.
type Request struct {
	ID      string
	Service string
	Version string
	Route   string
	Kind    traffic.RequestKind
	// Priority is the route's priority; 0 is the highest.
	Priority int
	// Deadline is when a response becomes useless. Until Objective it has its
	// full value.
	Deadline  time.Time
	Objective time.Time
	// CallerService is the service on whose host the request originated.
	CallerService string
	// ConfigNumber is the number of the configuration that routed the request.
	ConfigNumber uint64
	// Account is the client account that the request belongs to, empty if the
	// deployment has none or the route needs no key. AccountPriority takes
	// precedence over Priority.
	Account         string
	AccountPriority int
	// Nested is set for a call that a running upstream makes itself. Refusing or
	// delaying it wastes the run that waits for it.
	Nested bool
	// Returned is set if the request used a part of its time before it arrived, as one
	// that comes back after the retry delay of a refusal.
	Returned bool
	// CallerUrgency ranks the run that makes a nested call; 0 is the most urgent, and
	// stands for an unknown one.
	CallerUrgency int
}

// TimeLeft returns the time until the request's deadline.
func (r *Request) TimeLeft(now time.Time) time.Duration { return r.Deadline.Sub(now) }

// Fields of call.HeaderCall between nodes, in order, joined by separator.
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

// EncodeHeader writes the request into the header for the node beside the
// upstream.
func (r *Request) EncodeHeader(h http.Header, now time.Time) {
	fields := [fieldCount]string{
		fieldService: r.Service, fieldVersion: r.Version, fieldRoute: r.Route, fieldKind: string(r.Kind),
		fieldPriority: strconv.Itoa(r.Priority), fieldCallerService: r.CallerService,
		fieldTimeLeft:  strconv.FormatInt(r.TimeLeft(now).Microseconds(), 10),
		fieldObjective: strconv.FormatInt(r.Objective.Sub(now).Microseconds(), 10),
		fieldConfig:    strconv.FormatUint(r.ConfigNumber, 10),
	}
	h[call.HeaderCall] = []string{strings.Join(fields[:], separator)}
	delete(h, headerReturned)
	if r.Returned {
		h[headerReturned] = []string{"1"}
	}
	delete(h, headerNested)
	if r.Nested {
		h[headerNested] = []string{strconv.Itoa(r.CallerUrgency + 1)}
	}
	delete(h, headerAccount)
	if r.Account != "" {
		h[headerAccount] = []string{strconv.Itoa(r.AccountPriority) + separator + r.Account}
	}
}

// headerReturned is present if the request is Returned.
const headerReturned = "Daisytide-Returned"

// headerNested is present on nested calls between nodes. Its value is CallerUrgency + 1,
// so that the 1 of nodes that do not know the urgency is the most urgent.
const headerNested = "Daisytide-Nested"

// headerAccount holds the priority and the name of a request's client account
// between nodes. It is absent from requests without an account.
const headerAccount = "Daisytide-Account"

// decodeAccount reads the account written by EncodeHeader and removes it from the
// header.
func (r *Request) decodeAccount(h http.Header) error {
	value := h.Get(headerAccount)
	if value == "" {
		return nil
	}
	delete(h, headerAccount)
	priority, name, _ := strings.Cut(value, separator)
	n, err := strconv.Atoi(priority)
	if err != nil || name == "" {
		return api.Errorf(api.CallHeader, "%s: %.100q", headerAccount, value)
	}
	r.Account, r.AccountPriority = name, n
	return nil
}

// DecodeHeader reads a request written by EncodeHeader and removes it from the
// header.
func DecodeHeader(h http.Header, now time.Time) (*Request, error) {
	fields := strings.Split(h.Get(call.HeaderCall), separator)
	delete(h, call.HeaderCall)
	if len(fields) != fieldCount {
		return nil, api.Errorf(api.CallHeader, "%s has %d fields", call.HeaderCall, len(fields))
	}
	var numbers [fieldCount]int64
	for _, i := range [...]int{fieldPriority, fieldTimeLeft, fieldObjective, fieldConfig} {
		n, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return nil, api.Errorf(api.CallHeader, "%s: field %d: %w", call.HeaderCall, i, err)
		}
		numbers[i] = n
	}
	r := &Request{
		Service: fields[fieldService], Version: fields[fieldVersion], Route: fields[fieldRoute], Kind: traffic.RequestKind(fields[fieldKind]),
		Priority: int(numbers[fieldPriority]), CallerService: fields[fieldCallerService], ConfigNumber: uint64(numbers[fieldConfig]),
		Deadline:  now.Add(time.Duration(numbers[fieldTimeLeft]) * time.Microsecond),
		Objective: now.Add(time.Duration(numbers[fieldObjective]) * time.Microsecond),
	}
	r.Returned = h.Get(headerReturned) != ""
	delete(h, headerReturned)
	if nested := h.Get(headerNested); nested != "" {
		r.Nested = true
		// A value that is not a number counts as the most urgent.
		if n, err := strconv.Atoi(nested); err == nil {
			r.CallerUrgency = max(0, n-1)
		}
	}
	delete(h, headerNested)
	return r, r.decodeAccount(h)
}

// Result is the outcome of one attempt.
type Result struct {
	// Code is api.OK if Response is the upstream's own complete response.
	Code api.Code
	// Ran is whether an upstream ran the request.
	Ran api.Ran
	// UpstreamRefused is set if the upstream itself received the request and
	// refused to run it.
	UpstreamRefused bool
	Response        *h1.Response
	// RetryAfter is when a refused request may be sent again.
	RetryAfter time.Duration
	// MeanRunTime is the moving average of the route's run time at the
	// upstream; 0 if unknown.
	MeanRunTime time.Duration
	// ShortRoute is set if the route's runs are short compared with others at
	// the upstream.
	ShortRoute bool
	Err        error
}

// Refuse returns the result of a request that did not run.
func Refuse(c api.Code, after time.Duration, err error) Result {
	return Result{Code: c, Ran: api.RanNo, RetryAfter: after, Err: err}
}
