package gate

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/request/call"
	"github.com/daisytide/daisytide/internal/request/forward"
)

// responseGrace is the time past a call's deadline during which a caller that
// reads slowly may still receive a response that began in time.
const responseGrace = 2 * time.Second

// Handle implements call.Handler: it admits the call, runs it, and forwards the
// response.
func (g *Gate) Handle(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call.Call) call.Result {
	start := time.Now()
	dest, code := g.admit(ctx, c, r.ContentLength, start)
	if code != api.OK {
		return call.Result{Code: code, Ran: api.RanNo, Status: api.Info(code).HTTP}
	}
	run := &run{gate: g, destination: dest, call: c, began: time.Now()}
	defer run.release()
	res := run.do(ctx, w, r)
	for _, o := range g.Observers {
		o.Observe(c, res, time.Since(start))
	}
	return res
}

// run is a call that holds a slot.
type run struct {
	gate        *Gate
	destination destination
	call        *call.Call
	began       time.Time
	// runTime is the time until the response header.
	runTime time.Duration
	outcome RunOutcome
}

func (n *run) release() { n.gate.release(n.call, n.began, n.runTime, n.outcome) }

func (n *run) do(ctx context.Context, w http.ResponseWriter, r *http.Request) call.Result {
	ctx, cancel := context.WithDeadline(ctx, n.call.Deadline)
	defer cancel()
	failuresBefore := n.gate.cfg.NestedFailures()
	attempt := forward.Attempt{
		Transport: n.destination.transport, Scheme: "http", Host: n.destination.address,
		Body: r.Body, ContentLength: r.ContentLength, Idempotent: n.call.Idempotent,
		SetHeaders: func(h http.Header) { n.call.SetUpstreamHeaders(h, n.began) },
	}
	if r.ContentLength == 0 {
		attempt.Body = http.NoBody
	}
	resp, res := attempt.Send(ctx, r)
	n.runTime = time.Since(n.began)
	if res.Code != api.OK {
		n.outcome = outcomeOf(res.Code)
		return res
	}
	nestedFailure := n.setResponseHeaders(resp, failuresBefore)
	n.classify(r, resp, nestedFailure)
	res = forward.WriteResponse(ctx, w, resp, n.call.Deadline.Add(responseGrace))
	res.NestedFailure = nestedFailure
	return res
}

// outcomeOf derives the outcome of a run that got no response.
func outcomeOf(code api.Code) RunOutcome {
	switch code {
	case api.CallCancelled, api.CallBody, api.CallBodyTooLarge:
		return Untimed
	default:
		return Overloaded
	}
}

// classify derives the outcome of a run from its response.
func (n *run) classify(r *http.Request, resp *http.Response, nestedFailure bool) {
	switch {
	case nestedFailure:
		n.outcome = Untimed
	case resp.StatusCode == http.StatusServiceUnavailable:
		n.outcome = Overloaded
	case r.ContentLength < 0 || r.ContentLength > forward.MaxBufferedBytes:
		n.outcome = Untimed
	}
}

// setResponseHeaders sets the headers of this hop on the upstream's response. A
// result code in the response belongs to a call that the upstream made; it is
// not this hop's refusal. It reports whether the failure of a nested call
// shaped the response.
func (n *run) setResponseHeaders(resp *http.Response, failuresBefore uint64) bool {
	h := resp.Header
	nestedFailure := h.Get(call.HeaderCode) != "" || h.Get(call.HeaderNestedFailure) != ""
	nestedFailure = nestedFailure || n.gate.cfg.NestedFailures() != failuresBefore
	delete(h, call.HeaderCode)
	delete(h, call.HeaderNestedFailure)
	delete(h, call.HeaderLoad)
	h[call.HeaderRan] = ranYes
	nestedFailure = nestedFailure && resp.StatusCode >= http.StatusInternalServerError
	if nestedFailure {
		h.Set(call.HeaderNestedFailure, "1")
	}
	if n.call.Remote {
		h.Set(call.HeaderLoad, n.gate.Load().String())
	}
	return nestedFailure
}

// ranYes is shared by all responses and must not be modified.
var ranYes = []string{string(api.RanYes)}

// HTTPHandler returns the HTTP handler for calls from entries, whose path
// begins with prefix. The caller must have checked the peer key.
func (g *Gate) HTTPHandler(prefix string, handler call.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.URL.Path = strings.TrimPrefix(r.URL.Path, prefix)
		r.URL.RawPath = strings.TrimPrefix(r.URL.RawPath, prefix)
		c, err := call.DecodeHeader(r.Header, time.Now())
		if err != nil {
			call.WriteRefusal(w, call.Refuse(api.CallHeader, err))
			return
		}
		res := handler(r.Context(), w, r, c)
		if res.Code != api.OK && !res.HeaderSent {
			w.Header().Set(call.HeaderLoad, g.Load().String())
		}
		FinishResponse(w, res)
	})
}

// FinishResponse completes a response: it writes the refusal if nothing was
// sent, and aborts the connection if the response ended early.
func FinishResponse(w http.ResponseWriter, res call.Result) {
	switch {
	case res.Code == api.OK:
	case res.HeaderSent:
		panic(http.ErrAbortHandler)
	default:
		call.WriteRefusal(w, res)
	}
}
