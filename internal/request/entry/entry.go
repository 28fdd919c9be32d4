// Package entry accepts calls from callers and sends each to a gate, with retries.
// Package node uses it; its counterpart for package operated is package ingress.
package entry

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/logs"
	"github.com/daisytide/daisytide/internal/metrics"
	"github.com/daisytide/daisytide/internal/process/membership"
	"github.com/daisytide/daisytide/internal/request/balancer"
	"github.com/daisytide/daisytide/internal/request/call"
	"github.com/daisytide/daisytide/internal/request/forward"
	"github.com/daisytide/daisytide/internal/request/gate"
	"github.com/daisytide/daisytide/internal/request/retry"
	"github.com/daisytide/daisytide/internal/request/route"
	"github.com/daisytide/daisytide/internal/version/document"
	"github.com/daisytide/daisytide/internal/version/snapshot"
)

// VersionChooser chooses the version of a service that a call is sent to.
type VersionChooser interface {
	// ChooseVersion returns the version's name; u is uniform in [0, 1).
	ChooseVersion(s *snapshot.Snapshot, service string, u float64) string
	// VersionRefused records that a gate answered api.CallWithdrawn for a version.
	VersionRefused(s *snapshot.Snapshot, service, version string)
}

// LocalGate is the gate of the entry's own node.
type LocalGate struct {
	// Address is that of the node's peer listener.
	Address string
	// Handle runs a call at the gate, in this process.
	Handle call.Handler
	// Load returns the gate's load.
	Load func() gate.Load
}

// Entry handles the requests of the caller listener.
type Entry struct {
	Holder    *snapshot.Holder
	Members   *membership.Table
	Versions  VersionChooser
	Picker    *balancer.Picker
	Budget    *retry.Budget
	LocalGate LocalGate
	// Transport connects to the gates of other nodes.
	Transport http.RoundTripper
	// Scheme is that of the peer listeners, http or https.
	Scheme string
	// PeerKey authenticates this node to gates.
	PeerKey string
	// GatePathPrefix is the path prefix of calls on the peer listener.
	GatePathPrefix string
	// Middlewares wrap the sending of a call; the first one is the outermost.
	Middlewares []call.Middleware

	// Log logs calls that failed or needed more than one attempt; nil disables
	// it.
	Log *logs.Log
	// Metrics may be nil.
	Metrics *metrics.NodeMetrics

	counters Counters
	draining atomic.Bool
	lastCall atomic.Int64
}

// Counters holds the entry's counters since its start.
type Counters struct {
	// Running counts the requests in progress.
	Running atomic.Int64
	// Calls counts the accepted requests, Failed those that ended without a
	// complete response of the upstream.
	Calls, Failed atomic.Uint64
	// Retries counts the attempts after the first, BudgetExhausted the retries
	// denied by the retry budget.
	Retries, BudgetExhausted atomic.Uint64
	// NestedFailures counts failed calls that an upstream made while it handled
	// another call.
	NestedFailures atomic.Uint64
}

// Counters returns the entry's counters.
func (e *Entry) Counters() *Counters { return &e.counters }

// Drain makes all further responses ask the caller to close the connection.
// Requests are still accepted.
func (e *Entry) Drain() { e.draining.Store(true) }

// LastCallTime returns when the last request arrived.
func (e *Entry) LastCallTime() time.Time { return time.Unix(0, e.lastCall.Load()) }

// ServeHTTP implements http.Handler.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	e.lastCall.Store(now.UnixNano())
	e.counters.Calls.Add(1)
	e.counters.Running.Add(1)
	defer e.counters.Running.Add(-1)
	if e.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	id := requestID(r.Header)
	w.Header()[call.HeaderRequestID] = id
	c, res := e.serve(w, r, now)
	e.instrument(c, id[0], res, now)
	if res.Code != api.OK {
		e.counters.Failed.Add(1)
	}
	if r.Header.Get(call.HeaderDepth) != "" && (res.Code != api.OK || res.Status >= http.StatusInternalServerError) {
		e.counters.NestedFailures.Add(1)
	}
	gate.FinishResponse(w, res)
}

// serve handles a request. c is nil if the request was refused before it had a
// route and valid headers.
func (e *Entry) serve(w http.ResponseWriter, r *http.Request, now time.Time) (c *call.Call, res call.Result) {
	snap := e.Holder.Current()
	if snap == nil {
		return nil, call.Refuse(api.CallNotReady, nil)
	}
	rt := snap.Routes.Find(r.Method, r.Host, r.URL.Path)
	if rt == nil {
		return nil, call.Refuse(api.CallNoRoute, nil)
	}
	c, err := newCall(r, rt, snap, now)
	if err != nil {
		return nil, call.Refuse(api.CallHeader, err)
	}
	return c, e.handle(w, r, c, snap, now)
}

// handle applies the call's limits and sends it through the middlewares.
func (e *Entry) handle(w http.ResponseWriter, r *http.Request, c *call.Call, snap *snapshot.Snapshot, now time.Time) call.Result {
	if r.ContentLength > c.BodyLimit {
		return call.Refuse(api.CallBodyTooLarge, nil)
	}
	if c.TimeLeft(now) <= 0 {
		return call.Refuse(api.CallNoTime, nil)
	}
	if r.ContentLength != 0 {
		r.Body = http.MaxBytesReader(w, r.Body, c.BodyLimit)
		_ = http.NewResponseController(w).SetReadDeadline(c.Deadline)
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.Deadline)
	defer cancel()
	send := func(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call.Call) call.Result {
		return e.send(ctx, w, r, c, snap)
	}
	return call.Chain(send, e.Middlewares...)(ctx, w, r, c)
}

func newCall(r *http.Request, rt *document.Route, snap *snapshot.Snapshot, now time.Time) (*call.Call, error) {
	c, err := call.DecodeCallerHeaders(r.Header, time.Duration(rt.TimeLimit), now)
	if err != nil {
		return nil, err
	}
	c.Service = rt.Service
	c.Route = rt.Name
	c.Caller = rt.Caller
	c.Idempotent = rt.Idempotent
	c.ConfigNumber = snap.Number()
	c.BodyLimit = int64(rt.BodyLimit)
	if c.BodyLimit == 0 {
		c.BodyLimit = route.DefaultBodyLimit
	}
	return c, nil
}

// send sends a call to one gate after another as long as a retry is safe and the
// retry budget allows it.
func (e *Entry) send(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call.Call, snap *snapshot.Snapshot) call.Result {
	body, err := forward.NewBody(r)
	if err != nil {
		return refuseBody(err)
	}
	if s := snap.Service(c.Service); s != nil {
		e.Budget.Deposit(c.Service, s.Limits.RetryShare)
	}
	series := &attemptSeries{entry: e, w: w, r: r, call: c, snap: snap, body: body}
	defer series.closeDeferred()
	for {
		res, more := series.attemptNext(ctx)
		if res.Code == api.CallWithdrawn {
			e.Versions.VersionRefused(snap, c.Service, c.Version)
		}
		if !more {
			return series.finalResult(ctx, res)
		}
		cost, again := retry.ShouldRetry(res, series.callState(ctx))
		if !again {
			return series.finalResult(ctx, res)
		}
		if !e.Budget.TryWithdraw(c.Service, cost) {
			e.counters.BudgetExhausted.Add(1)
			return series.finalResult(ctx, budgetExhausted(res))
		}
		e.counters.Retries.Add(1)
	}
}

// budgetExhausted replaces a result that did not run by a refusal that names the
// retry budget. Other results are returned unchanged.
func budgetExhausted(res call.Result) call.Result {
	if res.Ran != api.RanNo {
		return res
	}
	out := call.Refuse(api.CallBudget, errors.New("retry budget exhausted after "+res.Code.String()))
	out.NestedFailure = res.NestedFailure
	return out
}

// refuseBody returns the result for a body that could not be buffered. Nothing was
// sent.
func refuseBody(err error) call.Result {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return call.Refuse(api.CallBodyTooLarge, err)
	}
	return call.Refuse(api.CallBody, err)
}
