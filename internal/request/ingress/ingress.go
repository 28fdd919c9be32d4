// Package ingress takes requests from callers, finds the node whose upstream
// is to run each, and answers.
package ingress

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/h1"
	"github.com/daisytide/daisytide/internal/logs"
	"github.com/daisytide/daisytide/internal/metrics"
	"github.com/daisytide/daisytide/internal/process/membership"
	"github.com/daisytide/daisytide/internal/request/balancer"
	"github.com/daisytide/daisytide/internal/request/call"
	"github.com/daisytide/daisytide/internal/request/egress"
	"github.com/daisytide/daisytide/internal/request/gate"
	"github.com/daisytide/daisytide/internal/request/hop"
	"github.com/daisytide/daisytide/internal/request/retry"
	"github.com/daisytide/daisytide/internal/version/snapshot"
	"github.com/daisytide/daisytide/internal/version/traffic"
)

// Bounds of placing.
const (
	// maxPlaces is the most nodes that one request is offered to. A refusal
	// costs the upstream nothing, only the caller's time.
	maxNodes = 3
	// hopeful times what is left to the objective is the longest expected time
	// at which another node is tried after a refusal: what an entry knows of
	// other nodes is seconds old, and their queues move faster.
	expectedTimeSlack = 1.5
	// signPart of the time left is what a node may take to show that it has a
	// request, within signMin and signMax: above the pauses of a node that is
	// short of processor time, which must not be given up while it works.
	ackTimeoutFraction = 0.4
	minAckTimeout      = 250 * time.Millisecond
	maxAckTimeout      = time.Second
	// backPart bounds the time after which a caller is told to return: callers
	// do not wait longer than a third of the time that they have left.
	retryAfterFraction = 0.33
	// backDefault is that time where no node gave one.
	defaultRetryAfter = 100 * time.Millisecond
	// backUnreached is that time while none of a service's nodes is reached: a
	// process takes about a second to start, a host longer.
	unreachableRetryAfter = time.Second
)

// VersionChooser chooses the version of a service that gets a request.
type VersionChooser interface {
	// ChooseVersion returns a version; u is uniform in [0, 1). Empty means that no
	// upstream of the service is ready.
	ChooseVersion(x *membership.Index, service string, u float64) string
}

// LocalGate is the gate of this node.
type LocalGate interface {
	Handle(ctx context.Context, r *hop.Request, in *h1.Request) hop.Result
	Load() gate.Load
}

// Ingress is the handler of the caller listener.
type Ingress struct {
	// Self is this node's address in the member table, Service that of the
	// upstream beside it.
	Self, Service string
	Holder        *snapshot.Holder
	Members       *membership.Table
	Versions      VersionChooser
	Picker        *balancer.Picker
	Budget        *retry.Budget
	// RetryPercent is the percentage of a service's requests that may be sent to
	// a second upstream.
	RetryPercent float64
	Local        LocalGate
	Client       *h1.Client
	Dialect      hop.HeaderDialect

	Counters Counters
	// Log tells of requests that failed, were refused or needed more than one
	// attempt; nil tells of none.
	Log *logs.Log
	// Metrics may be nil.
	Metrics *metrics.Requests

	// patience holds, by route, the longest time that a caller gave.
	maxTimeLeft sync.Map
	// needs holds, by route, the usual time of its runs.
	runTimes sync.Map
}

// Counters are the counters since the start.
type Counters struct {
	Requests, Answered, Refused, Failed, Retries, BudgetExhausted atomic.Uint64
}

// Serve implements h1.Handler.
func (e *Ingress) Serve(ctx context.Context, in *h1.Request) *h1.Response {
	e.Counters.Requests.Add(1)
	t := &dispatch{ingress: e, in: in, lastRefusal: hop.Refuse(api.CallNoUpstream, 0, nil)}
	res := t.serve(ctx)
	out := e.buildResponse(in, res, t.req)
	route := ""
	if t.req != nil {
		route = t.req.Route
	}
	e.Metrics.Observe(metrics.Entry, route, egress.MetricsOutcome(res), time.Since(in.Arrived))
	t.log(res, out)
	return out
}

// serve finds the request's route and brings it to a node.
func (t *dispatch) serve(ctx context.Context) hop.Result {
	snap := t.ingress.Holder.Current()
	if snap == nil || snap.Traffic == nil {
		return hop.Refuse(api.CallNotReady, defaultRetryAfter, nil)
	}
	t.route = snap.Traffic.Find(t.in.Host, t.in.Path())
	if t.route == nil {
		return hop.Refuse(api.CallNoRoute, 0, nil)
	}
	t.req = t.ingress.newRequest(t.in, t.route, snap)
	if t.req.TimeLeft(time.Now()) <= 0 {
		return hop.Refuse(api.CallNoTime, defaultRetryAfter, nil)
	}
	ctx, cancel := context.WithDeadline(ctx, t.req.Deadline)
	defer cancel()
	return t.run(ctx)
}

// log writes one line on a request that did not simply succeed.
func (t *dispatch) log(res hop.Result, out *h1.Response) {
	plain := res.Code == api.OK && len(t.attemptLog) == 1 && out.Status < http.StatusInternalServerError
	if t.ingress.Log == nil || plain || !t.ingress.Log.Request() {
		return
	}
	now := time.Now()
	r := t.req
	if r == nil {
		_, id := t.ingress.Dialect.RequestID(t.in.Header)
		r = &hop.Request{ID: id, ConfigNumber: t.ingress.Holder.Current().Number(), Deadline: now}
	}
	slog.Info(logs.MessageAnswered,
		logs.FieldRequest, r.ID, logs.FieldRoute, r.Route, logs.FieldService, r.Service, logs.FieldVersion, r.Version,
		logs.FieldConfig, r.ConfigNumber, logs.FieldCode, res.Code.String(), logs.FieldRan, string(res.Ran), logs.FieldStatus, out.Status,
		logs.FieldAttempts, t.attemptLog, logs.FieldLeft, r.TimeLeft(now).Milliseconds(), logs.FieldTook, now.Sub(t.in.Arrived).Milliseconds(),
		logs.FieldAfter, res.RetryAfter.Milliseconds(), logs.FieldError, fmt.Sprint(res.Err))
}

// request makes what the request carries to the next node.
func (e *Ingress) newRequest(in *h1.Request, route *traffic.Route, snap *snapshot.Snapshot) *hop.Request {
	limit := route.TimeLimit
	spent := time.Duration(0)
	if left, ok := e.Dialect.TimeLeft(in.Header); ok {
		limit = min(limit, left)
		spent = e.timeSpent(route.Name, left)
	}
	_, id := e.Dialect.RequestID(in.Header)
	return &hop.Request{
		ID: id, Service: route.Pick(rand.Float64()), Route: route.Name, Kind: route.Kind, Priority: route.Priority,
		Deadline: in.Arrived.Add(limit), Objective: in.Arrived.Add(route.Objective - spent),
		CallerService: e.Service, ConfigNumber: snap.Number(),
	}
}

// spent estimates how much of its time a request has used up before it came
// here: callers of one route give the same time, and one that was refused and
// comes back gives what is left of it.
func (e *Ingress) timeSpent(route string, left time.Duration) time.Duration {
	longest, ok := e.maxTimeLeft.Load(route)
	if !ok || longest.(time.Duration) < left {
		e.maxTimeLeft.Store(route, left)
		return 0
	}
	return longest.(time.Duration) - left
}

// needWeight is the weight of one upstream's report in a route's usual time.
const runTimeWeight = 1.0 / 16

// need returns the usual time of a route's runs over all upstreams.
func (e *Ingress) meanRunTime(route string) time.Duration {
	if v, ok := e.runTimes.Load(route); ok {
		return v.(time.Duration)
	}
	return 0
}

// learn folds an upstream's usual time of a route in. Of two at the same
// moment one may be lost, which does no harm.
func (e *Ingress) recordRunTime(route string, need time.Duration) {
	if need <= 0 {
		return
	}
	if old := e.meanRunTime(route); old > 0 {
		need = old + time.Duration(runTimeWeight*float64(need-old))
	}
	e.runTimes.Store(route, need)
}

// PruneRoutes drops what is kept of routes that a configuration no longer has.
func (e *Ingress) PruneRoutes(s *snapshot.Snapshot) {
	if s.Traffic == nil {
		return
	}
	there := make(map[any]bool, len(s.Traffic.Config.Routes))
	for i := range s.Traffic.Config.Routes {
		there[s.Traffic.Config.Routes[i].Name] = true
	}
	for _, m := range []*sync.Map{&e.maxTimeLeft, &e.runTimes} {
		m.Range(func(route, _ any) bool {
			if !there[route] {
				m.Delete(route)
			}
			return true
		})
	}
}

// respond turns a result into the caller's answer.
func (e *Ingress) buildResponse(in *h1.Request, res hop.Result, r *hop.Request) *h1.Response {
	if res.Code == api.OK {
		e.Counters.Answered.Add(1)
		return &h1.Response{Status: res.Answer.Status, Header: h1.Forwardable(res.Answer.Header), Body: res.Answer.Body}
	}
	h := http.Header{call.HeaderCode: {strconv.Itoa(int(res.Code))}, call.HeaderRan: {string(res.Ran)}}
	name, id := e.Dialect.RequestID(in.Header)
	if id != "" {
		h[name] = []string{id}
	}
	status := statusOf(res)
	if status == http.StatusServiceUnavailable {
		e.Counters.Refused.Add(1)
		e.Dialect.SetRetryAfter(h, retryAfter(res, r, time.Now()))
	} else {
		e.Counters.Failed.Add(1)
	}
	return &h1.Response{Status: status, Header: h}
}

// statusOf chooses the status of a failure. Only a request that surely was
// not run is answered by one that says so.
func statusOf(res hop.Result) int {
	switch {
	case res.Code == api.CallNoRoute:
		return http.StatusNotFound
	case res.Ran == api.RanNo:
		return http.StatusServiceUnavailable
	case res.Code == api.CallTimeout, res.Code == api.CallNoTime:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

// comeBack is when a refused caller should return: when there may be room,
// but early enough for another try.
func retryAfter(res hop.Result, r *hop.Request, now time.Time) time.Duration {
	after := res.RetryAfter
	if after <= 0 {
		after = defaultRetryAfter
	}
	if r != nil {
		after = min(after, time.Duration(retryAfterFraction*float64(r.TimeLeft(now))))
	}
	return max(after, time.Millisecond)
}
