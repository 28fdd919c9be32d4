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

// answerGrace is the time past a call's deadline in which a caller that reads
// slowly may still take an answer that began in time.
const responseGrace = 2 * time.Second

// Handle implements call.Handler: admit, run, pass the answer on.
func (g *Gate) Handle(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call.Call) call.Result {
	start := time.Now()
	s, code := g.admit(ctx, c, r.ContentLength, start)
	if code != api.OK {
		return call.Result{Code: code, Ran: api.RanNo, Status: api.Info(code).HTTP}
	}
	run := &run{gate: g, slot: s, call: c, began: time.Now()}
	defer run.release()
	res := run.do(ctx, w, r)
	for _, o := range g.Observers {
		o.Observe(c, res, time.Since(start))
	}
	return res
}

// run is one call that holds a slot.
type run struct {
	gate  *Gate
	slot  slot
	call  *call.Call
	began time.Time
	// took is the time to the answer's header.
	took    time.Duration
	outcome RunOutcome
}

func (n *run) release() { n.gate.release(n.call, n.began, n.took, n.outcome) }

func (n *run) do(ctx context.Context, w http.ResponseWriter, r *http.Request) call.Result {
	ctx, cancel := context.WithDeadline(ctx, n.call.Deadline)
	defer cancel()
	refusals := n.gate.cfg.NestedFailures()
	a := forward.Attempt{
		Transport: n.slot.transport, Scheme: "http", Host: n.slot.address,
		Body: r.Body, ContentLength: r.ContentLength, Idempotent: n.call.Idempotent,
		SetHeaders: func(h http.Header) { n.call.SetUpstreamHeaders(h, n.began) },
	}
	if r.ContentLength == 0 {
		a.Body = http.NoBody
	}
	resp, res := a.Send(ctx, r)
	n.took = time.Since(n.began)
	if res.Code != api.OK {
		n.outcome = outcomeOf(res.Code)
		return res
	}
	deeper := n.setResponseHeaders(resp, refusals)
	n.classify(r, resp, deeper)
	res = forward.WriteResponse(ctx, w, resp, n.call.Deadline.Add(responseGrace))
	res.NestedFailure = deeper
	return res
}

// outcomeOf reads what a run without an answer tells of the upstream.
func outcomeOf(code api.Code) RunOutcome {
	switch code {
	case api.CallCancelled, api.CallBody, api.CallBodyTooLarge:
		return Untimed
	default:
		return Overloaded
	}
}

// judge reads what an answer tells of the upstream.
func (n *run) classify(r *http.Request, resp *http.Response, deeper bool) {
	switch {
	case deeper:
		n.outcome = Untimed
	case resp.StatusCode == http.StatusServiceUnavailable:
		n.outcome = Overloaded
	case r.ContentLength < 0 || r.ContentLength > forward.MaxBufferedBytes:
		n.outcome = Untimed
	}
}

// mark sets the headers of this hop on the upstream's answer. A code in it is
// that of a call that the upstream made, and never this hop's refusal.
// It tells whether a failure further down shaped the answer.
func (n *run) setResponseHeaders(resp *http.Response, refusals uint64) bool {
	h := resp.Header
	deeper := h.Get(call.HeaderCode) != "" || h.Get(call.HeaderNestedFailure) != ""
	deeper = deeper || n.gate.cfg.NestedFailures() != refusals
	delete(h, call.HeaderCode)
	delete(h, call.HeaderNestedFailure)
	delete(h, call.HeaderLoad)
	h[call.HeaderRan] = ranYes
	deeper = deeper && resp.StatusCode >= http.StatusInternalServerError
	if deeper {
		h.Set(call.HeaderNestedFailure, "1")
	}
	if n.call.Remote {
		h.Set(call.HeaderLoad, n.gate.Load().String())
	}
	return deeper
}

// ranYes is shared by all answers and never changed.
var ranYes = []string{string(api.RanYes)}

// HTTPHandler takes a call from an entry, whose path begins with prefix; the
// peer key was checked.
func (g *Gate) HTTPHandler(prefix string, h call.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.URL.Path = strings.TrimPrefix(r.URL.Path, prefix)
		r.URL.RawPath = strings.TrimPrefix(r.URL.RawPath, prefix)
		c, err := call.DecodeHeader(r.Header, time.Now())
		if err != nil {
			call.WriteRefusal(w, call.Refuse(api.CallHeader, err))
			return
		}
		res := h(r.Context(), w, r, c)
		if res.Code != api.OK && !res.HeaderSent {
			w.Header().Set(call.HeaderLoad, g.Load().String())
		}
		FinishResponse(w, res)
	})
}

// FinishResponse answers what is left to answer: a refusal where nothing was sent,
// an abort where the answer ended early.
func FinishResponse(w http.ResponseWriter, res call.Result) {
	switch {
	case res.Code == api.OK:
	case res.HeaderSent:
		panic(http.ErrAbortHandler)
	default:
		call.WriteRefusal(w, res)
	}
}
