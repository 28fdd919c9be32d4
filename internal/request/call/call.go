// Package call defines a request as it travels from hop to hop, its headers,
// and its result. Packages entry and gate use it, which package node wires;
// package operated uses package hop instead, and shares the header names.
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
	// HeaderTimeLeft is the time left to respond, in milliseconds.
	HeaderTimeLeft = "Daisytide-Time-Left"
	// HeaderDepth counts the calls between services above this one.
	HeaderDepth = "Daisytide-Depth"
	// HeaderRequestID is the request's ID in logs, from the caller or
	// generated. It is sent to the upstream and returned with the response.
	HeaderRequestID = "Daisytide-Request"
)

// Headers between entry and gate.
const (
	// HeaderCall carries the call's fields, with the version that the entry
	// chose.
	HeaderCall = "Daisytide-Call"
	// HeaderPeerKey authenticates a peer.
	HeaderPeerKey = "Daisytide-Peer-Key"
)

// Headers of responses.
const (
	// HeaderCode is the result code of a refusal.
	HeaderCode = "Daisytide-Code"
	// HeaderRan is whether the upstream ran the request.
	HeaderRan = "Daisytide-Run"
	// HeaderLoad is the load that the gate reports to the entry.
	HeaderLoad = "Daisytide-Load"
	// HeaderNestedFailure is "1" if the failure of a nested call shaped the
	// response; a hop that receives it must not retry.
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
	// ID identifies the request in logs.
	ID         string
	Service    string
	Version    string
	Route      string
	Caller     document.Caller
	Idempotent bool
	// Deadline is when a response becomes useless.
	Deadline time.Time
	// IdempotencyKey is the caller's idempotency key, if any.
	IdempotencyKey string
	// Attempt numbers the caller's attempts with IdempotencyKey, from 1.
	Attempt int
	// Depth counts the calls between services above this one.
	Depth int
	// ConfigNumber is the number of the configuration that the entry used.
	ConfigNumber uint64
	// FencingToken is the token under which a repeated attempt may run.
	FencingToken string
	// BodyLimit caps the request body, in bytes.
	BodyLimit int64
	// Remote is set if the call came from the entry of another node.
	Remote bool
	// Attempts lists the nodes that the entry sent the call to, for the log.
	Attempts []logs.Attempt
}

// TimeLeft returns the time until the call's deadline.
func (c *Call) TimeLeft(now time.Time) time.Duration { return c.Deadline.Sub(now) }

// Result is the outcome of one attempt at a call.
type Result struct {
	// Code is api.OK if the upstream's complete response was forwarded.
	Code api.Code
	// Ran is whether the upstream ran the request.
	Ran api.Ran
	// Status is the HTTP status that was or should be sent.
	Status int
	// HeaderSent is set if the response header was sent to the caller, so that
	// no other response is possible.
	HeaderSent bool
	// NestedFailure is set if the failure of a nested call shaped the result,
	// so that this hop must not retry.
	NestedFailure bool
	// Err is the cause of a failure.
	Err error
}

// Refuse returns the result of a call that did not run.
func Refuse(c api.Code, err error) Result {
	return Result{Code: c, Ran: api.RanNo, Status: api.Info(c).HTTP, Err: err}
}

// Handler runs one call and writes its response. If the result says that
// nothing was sent, the handler's caller writes the refusal.
type Handler func(ctx context.Context, w http.ResponseWriter, r *http.Request, c *Call) Result

// Middleware wraps a handler.
type Middleware func(Handler) Handler

// Chain applies middlewares so that the first one sees the call first.
func Chain(h Handler, ms ...Middleware) Handler {
	for i := len(ms) - 1; i >= 0; i-- {
		h = ms[i](h)
	}
	return h
}

// WriteRefusal writes the refusal described by res, with its result code.
func WriteRefusal(w http.ResponseWriter, res Result) {
	info := api.Info(res.Code)
	header := w.Header()
	if res.NestedFailure {
		header.Set(HeaderNestedFailure, "1")
	}
	header.Set(HeaderCode, strconv.Itoa(int(res.Code)))
	header.Set(HeaderRan, string(res.Ran))
	header.Set("Content-Type", "text/plain; charset=utf-8")
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

// DecodeCallerHeaders reads the headers that a caller may send. limit is the
// route's time limit; a shorter time left in the header takes precedence.
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

// intHeader reads an integer header, or returns def if it is absent.
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
