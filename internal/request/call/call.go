// Package call holds what one request carries from hop to hop, the headers
// that carry it, and how a request ended.
package call

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/logs"
	"github.com/daisytide/daisytide/internal/version/document"
)

// Headers that callers may send.
const (
	// HeaderIdempotencyKey is the caller's idempotency key.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderAttempt numbers the attempts with one key, from 1.
	HeaderAttempt = "Daisytide-Attempt"
	// HeaderTimeLeft gives the milliseconds that are left to answer.
	HeaderTimeLeft = "Daisytide-Time-Left"
	// HeaderDepth counts the hops between services above this call.
	HeaderDepth = "Daisytide-Depth"
	// HeaderRequestID is the request's id in logs, the caller's or a new one; it
	// goes to the upstream and back on the answer.
	HeaderRequestID = "Daisytide-Request"
)

// Headers between entry and gate.
const (
	// HeaderCall carries what the entry knows of the call and picked for it.
	HeaderCall = "Daisytide-Call"
	// HeaderPeerKey authenticates a peer.
	HeaderPeerKey = "Daisytide-Peer-Key"
)

// Headers on answers.
const (
	// HeaderCode is the result code of a refusal.
	HeaderCode = "Daisytide-Code"
	// HeaderRan tells whether the upstream ran the request.
	HeaderRan = "Daisytide-Run"
	// HeaderLoad carries the gate's load back to the entry.
	HeaderLoad = "Daisytide-Load"
	// HeaderNestedFailure is "1" on answers that a failure further down has shaped;
	// the hop that sees it does not try again.
	HeaderNestedFailure = "Daisytide-Deeper"
)

// Limits of what callers may send.
const (
	MaxKeyBytes    = 128
	MaxIDBytes     = 128
	MaxHeaderBytes = 64 << 10
	MaxDepth       = 64
)

// Call is one request at one hop.
type Call struct {
	// ID finds the request in the logs.
	ID         string
	Service    string
	Version    string
	Route      string
	Caller     document.Caller
	Idempotent bool
	// Deadline is when the answer is of no more use.
	Deadline time.Time
	// IdempotencyKey is the caller's idempotency key; empty where there is none.
	IdempotencyKey string
	// Attempt numbers the caller's attempts with IdempotencyKey, from 1.
	Attempt int
	// Depth counts the hops between services above this call.
	Depth int
	// ConfigNumber is the configuration number that the entry used.
	ConfigNumber uint64
	// FencingToken is the token under which a repeated attempt may run.
	FencingToken string
	// BodyLimit caps the request body in bytes.
	BodyLimit int64
	// Remote tells that the call came from the entry of another node.
	Remote bool
	// Attempts are the nodes that the entry sent the call to, for the log.
	Attempts []logs.Attempt
}

// TimeLeft returns what is left of the call's time at now.
func (c *Call) TimeLeft(now time.Time) time.Duration { return c.Deadline.Sub(now) }

// Result is how one attempt at a call ended.
type Result struct {
	// Code is api.OK when the upstream's whole answer was passed on.
	Code api.Code
	// Ran tells whether the upstream ran the request.
	Ran api.Ran
	// Status is the HTTP status that was or should be sent.
	Status int
	// HeaderSent tells that the answer's header has gone to the caller, so nothing
	// else can be answered.
	HeaderSent bool
	// NestedFailure tells that a failure further down shaped the result, so that this
	// hop must not try again.
	NestedFailure bool
	// Err is the cause of a failure.
	Err error
}

// Refuse makes the result of a call that was not run.
func Refuse(c api.Code, err error) Result {
	return Result{Code: c, Ran: api.RanNo, Status: api.Info(c).HTTP, Err: err}
}

// Handler runs one call and writes its answer, unless the result says that
// nothing was sent; then the caller of the handler writes the refusal.
type Handler func(ctx context.Context, w http.ResponseWriter, r *http.Request, c *Call) Result

// Middleware wraps a handler with one more decision.
type Middleware func(Handler) Handler

// Chain applies middlewares so that the first one sees the call first.
func Chain(h Handler, ms ...Middleware) Handler {
	for i := len(ms) - 1; i >= 0; i-- {
		h = ms[i](h)
	}
	return h
}

// WriteRefusal writes the numbered refusal of res.
func WriteRefusal(w http.ResponseWriter, res Result) {
	info := api.Info(res.Code)
	h := w.Header()
	if res.NestedFailure {
		h.Set(HeaderNestedFailure, "1")
	}
	h.Set(HeaderCode, strconv.Itoa(int(res.Code)))
	h.Set(HeaderRan, string(res.Ran))
	h.Set("Content-Type", "text/plain; charset=utf-8")
	status := res.Status
	if status == 0 {
		status = info.HTTP
	}
	w.WriteHeader(status)
	message := info.Meaning
	if res.Err != nil {
		message = res.Err.Error()
	}
	_, _ = w.Write([]byte(res.Code.String() + ": " + message + "\n"))
}

// DecodeCallerHeaders reads the headers that a caller may send. limit is the route's
// time limit; a shorter time left wins.
func DecodeCallerHeaders(h http.Header, limit time.Duration, now time.Time) (*Call, error) {
	c := &Call{ID: h.Get(HeaderRequestID), Attempt: 1, IdempotencyKey: h.Get(HeaderIdempotencyKey)}
	if len(c.IdempotencyKey) > MaxKeyBytes {
		return nil, api.Errorf(api.CallHeader, "%s is over %d bytes", HeaderIdempotencyKey, MaxKeyBytes)
	}
	var err error
	if c.Attempt, err = intHeader(h, HeaderAttempt, 1, 1, 1<<20); err != nil {
		return nil, err
	}
	if c.Depth, err = intHeader(h, HeaderDepth, 0, 0, MaxDepth); err != nil {
		return nil, err
	}
	left, err := intHeader(h, HeaderTimeLeft, int(limit.Milliseconds()), 0, 1<<31-1)
	if err != nil {
		return nil, err
	}
	c.Deadline = now.Add(min(limit, time.Duration(left)*time.Millisecond))
	return c, nil
}

// number reads an integer header, or def when it is absent.
func intHeader(h http.Header, name string, def, low, high int) (int, error) {
	s := h.Get(name)
	if s == "" {
		return def, nil
	}
	v, err := strconv.Atoi(s)
	if err != nil || v < low || v > high {
		return 0, api.Errorf(api.CallHeader, "%s must be a whole number from %d to %d", name, low, high)
	}
	return v, nil
}
