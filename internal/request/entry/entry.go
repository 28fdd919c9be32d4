// Package entry takes calls from callers and brings each to a gate.
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

// VersionChooser chooses the version of a service that gets a call.
type VersionChooser interface {
	// ChooseVersion returns a version's name; u is uniform in [0, 1).
	ChooseVersion(s *snapshot.Snapshot, service string, u float64) string
	// VersionRefused notes that a gate answered api.CallWithdrawn for a version.
	VersionRefused(s *snapshot.Snapshot, service, version string)
}

// LocalGate is the gate of the entry's own node.
type LocalGate struct {
	// Address is the node's own address.
	Address string
	// Handle runs a call at the gate, in this process.
	Handle call.Handler
	// Load returns the gate's load.
	Load func() gate.Load
}

// Entry is the handler of the caller listener.
type Entry struct {
	Holder    *snapshot.Holder
	Members   *membership.Table
	Versions  VersionChooser
	Picker    *balancer.Picker
	Budget    *retry.Budget
	LocalGate LocalGate
	// Transport reaches the gates of other nodes.
	Transport http.RoundTripper
	// Scheme of the peer listeners, http or https.
	Scheme string
	// PeerKey is sent to gates.
	PeerKey string
	// GatePathPrefix prefixes the paths of calls on the peer listener.
	GatePathPrefix string
	// Middlewares see each call before it is sent to a gate, in order.
	Middlewares []call.Middleware

	// Log tells of calls that failed or needed more than one attempt; nil
	// tells of none.
	Log *logs.Log
	// Metrics may be nil.
	Metrics *metrics.NodeMetrics

	counts   Counters
	leaving  atomic.Bool
	lastCall atomic.Int64
}

// Counters are the entry's counters since its start.
type Counters struct {
	// Running counts the requests in progress.
	Running atomic.Int64
	// Calls counts the requests taken, Failed those that ended without the
	// upstream's whole answer.
	Calls, Failed atomic.Uint64
	// Retries counts the attempts after the first, BudgetExhausted those that the
	// retry budget forbade.
	Retries, BudgetExhausted atomic.Uint64
	// NestedFailures counts failures answered to calls that an upstream made for a
	// call of its own.
	NestedFailures atomic.Uint64
}

// Counters returns the entry's counters.
func (e *Entry) Counters() *Counters { return &e.counts }

// Drain makes each answer from now on ask its caller to close the
// connection. Requests are still taken.
func (e *Entry) Drain() { e.leaving.Store(true) }

// LastCallTime returns when the last request arrived.
func (e *Entry) LastCallTime() time.Time { return time.Unix(0, e.lastCall.Load()) }

// ServeHTTP implements http.Handler.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	e.lastCall.Store(now.UnixNano())
	e.counts.Calls.Add(1)
	e.counts.Running.Add(1)
	defer e.counts.Running.Add(-1)
	if e.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	id := requestID(r.Header)
	w.Header()[call.HeaderRequestID] = id
	c, res := e.serve(w, r, now)
	e.observe(c, id[0], res, now)
	if res.Code != api.OK {
		e.counts.Failed.Add(1)
	}
	if r.Header.Get(call.HeaderDepth) != "" && (res.Code != api.OK || res.Status >= http.StatusInternalServerError) {
		e.counts.NestedFailures.Add(1)
	}
	gate.FinishResponse(w, res)
}

// serve answers a call; c is nil where no route was found for it.
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
	return c, e.route(w, r, c, snap, now)
}

// route brings a call on its way unless it can't be served.
func (e *Entry) route(w http.ResponseWriter, r *http.Request, c *call.Call, snap *snapshot.Snapshot, now time.Time) call.Result {
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

// send brings a call to one gate after another while that is safe and within
// the budget.
func (e *Entry) send(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call.Call, snap *snapshot.Snapshot) call.Result {
	body, err := forward.NewBody(r)
	if err != nil {
		return bodyRefusal(err)
	}
	if s := snap.Service(c.Service); s != nil {
		e.Budget.Deposit(c.Service, s.Limits.RetryShare)
	}
	t := &trial{entry: e, w: w, r: r, call: c, snap: snap, body: body}
	defer t.drop()
	for {
		res, more := t.once(ctx)
		if res.Code == api.CallWithdrawn {
			e.Versions.VersionRefused(snap, c.Service, c.Version)
		}
		if !more {
			return t.settle(ctx, res)
		}
		cost, again := retry.ShouldRetry(res, t.state(ctx))
		if !again {
			return t.settle(ctx, res)
		}
		if !e.Budget.TryWithdraw(c.Service, cost) {
			e.counts.BudgetExhausted.Add(1)
			return t.settle(ctx, overBudget(res))
		}
		e.counts.Retries.Add(1)
	}
}

// overBudget names the budget in a refusal that another try might have
// turned; anything else stays what it is.
func overBudget(res call.Result) call.Result {
	if res.Ran != api.RanNo {
		return res
	}
	out := call.Refuse(api.CallBudget, errors.New("after "+res.Code.String()))
	out.NestedFailure = res.NestedFailure
	return out
}

// bodyRefusal tells why a held body could not be read; nothing was sent.
func bodyRefusal(err error) call.Result {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return call.Refuse(api.CallBodyTooLarge, err)
	}
	return call.Refuse(api.CallBody, err)
}
