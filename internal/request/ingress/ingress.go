// Package ingress accepts requests from callers, sends each to a node whose
// upstream can run it, and returns the response. Package operated uses it; its
// counterpart for package node is package entry.
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
	"github.com/daisytide/daisytide/internal/request/linkqueue"
	"github.com/daisytide/daisytide/internal/request/retry"
	"github.com/daisytide/daisytide/internal/version/snapshot"
	"github.com/daisytide/daisytide/internal/version/traffic"
)

// Limits on the nodes tried and on retry delays.
const (
	// maxNodes is the maximum number of nodes that may refuse a request before
	// it is refused to the caller. A refusal costs the upstream nothing, only
	// the caller's time.
	maxNodes = 3
	// expectedTimeSlack times the time left to the objective is the longest
	// expected time at which another node is tried after a refusal. The factor
	// is above 1 because the known loads of other nodes are seconds old and
	// their queues change faster.
	expectedTimeSlack = 1.5
	// ackTimeoutFraction of the time left is how long a node may take to
	// acknowledge a request, bounded by minAckTimeout and maxAckTimeout. The
	// lower bound exceeds the pauses of a node that is short of CPU time, which
	// must not be abandoned while it is working.
	ackTimeoutFraction = 0.4
	minAckTimeout      = 250 * time.Millisecond
	maxAckTimeout      = time.Second
	// retryAfterFraction of the time left bounds the retry delay sent to a
	// caller: callers wait at most a third of their remaining time.
	retryAfterFraction = 0.33
	// defaultRetryAfter is the retry delay if no node gave one.
	defaultRetryAfter = 100 * time.Millisecond
	// unreachableRetryAfter is the retry delay while no node of a service is
	// reachable. A process takes about a second to start, a host longer.
	unreachableRetryAfter = time.Second
)

// VersionChooser chooses the version of a service that gets a request.
type VersionChooser interface {
	// ChooseVersion returns a version; u is uniform in [0, 1). An empty string
	// means that the service has no ready upstream.
	ChooseVersion(x *membership.Index, service string, u float64) string
}

// LocalGate is the gate of this node.
type LocalGate interface {
	Handle(ctx context.Context, r *hop.Request, in *h1.Request) hop.Result
	Load() gate.Load
}

// Ingress handles the requests of the caller listener.
type Ingress struct {
	// Self is this node's address in the member table, Service the service of
	// the upstream beside it.
	Self, Service string
	Holder        *snapshot.Holder
	Members       *membership.Table
	Versions      VersionChooser
	Picker        *balancer.Picker
	Budget        *retry.Budget
	// RetryPercent is the percentage of a service's requests that may be sent
	// to a second upstream.
	RetryPercent float64
	Local        LocalGate
	Client       *h1.Client
	Dialect      hop.HeaderDialect
	// Origins tells the calls of the upstream beside this node from those of
	// callers.
	Origins Origins
	// MostUrgentRun returns the urgency of the most urgent public run of the upstream
	// beside this node, whose calls are ranked by it. nil ranks them equally.
	MostUrgentRun func() int

	// Limiter limits the requests of client accounts; nil means no limits.
	Limiter Limiter

	// Stopping refuses requests that a planned stop would cut.
	Stopping egress.Stopping

	// Link is the link of this host; its zero value bounds nothing.
	Link linkqueue.Link

	Counters Counters
	// Log records requests that failed, were refused or needed more than one
	// attempt; nil disables it.
	Log *logs.Log
	// Metrics may be nil.
	Metrics *metrics.NodeMetrics

	// maxTimeLeft holds, by route, the longest time limit that a caller gave.
	maxTimeLeft sync.Map
	// runTimes holds, by route, the moving average of the run time.
	runTimes sync.Map
	// responseSizes holds the mean sizes of responses.
	responseSizes linkqueue.Sizes
}

// Counters are totals since the start of the process.
type Counters struct {
	Requests, Answered, Refused, Failed, Retries, BudgetExhausted atomic.Uint64
}

// Serve implements h1.Handler.
func (ing *Ingress) Serve(ctx context.Context, in *h1.Request) *h1.Response {
	ing.Counters.Requests.Add(1)
	d := &dispatch{ingress: ing, in: in, lastRefusal: hop.Refuse(api.CallNoUpstream, 0, nil)}
	res := d.serve(ctx)
	out := ing.buildResponse(in, res, d.req)
	route := ""
	if d.req != nil {
		route = d.req.Route
	}
	ing.Metrics.ObserveRequest(metrics.Entry, route, egress.MetricsOutcome(res), time.Since(in.ReceivedAt))
	d.log(res, out)
	return out
}

// serve finds the request's route and dispatches the request.
func (d *dispatch) serve(ctx context.Context) hop.Result {
	snap := d.ingress.Holder.Current()
	if snap == nil || snap.Traffic == nil {
		return hop.Refuse(api.CallNotReady, defaultRetryAfter, nil)
	}
	d.route = snap.Traffic.Find(d.in.Host, d.in.Path())
	if d.route == nil {
		return hop.Refuse(api.CallNoRoute, 0, nil)
	}
	account, refused := d.identify(snap.Traffic)
	if refused != nil {
		return *refused
	}
	d.req = d.ingress.newRequest(d.in, d.route, snap)
	d.req.Nested = d.ingress.Origins.IsNested(d.in.RemoteIP)
	if d.req.Nested && d.ingress.MostUrgentRun != nil {
		d.req.CallerUrgency = d.ingress.MostUrgentRun()
	}
	if account != nil {
		d.req.Account, d.req.AccountPriority = account.Name, account.Priority
	}
	switch now := time.Now(); {
	case d.req.TimeLeft(now) <= 0:
		return hop.Refuse(api.CallNoTime, defaultRetryAfter, nil)
	case d.ingress.Stopping.Refuses(now, d.ingress.meanRunTime(d.req.Route)):
		return hop.Refuse(api.CallLeaving, defaultRetryAfter, nil)
	}
	ctx, cancel := context.WithDeadline(ctx, d.req.Deadline)
	defer cancel()
	return d.runWithinQuota(ctx, account)
}

// log writes one line for a request that did not succeed at the first attempt.
func (d *dispatch) log(res hop.Result, out *h1.Response) {
	unremarkable := res.Code == api.OK && len(d.attemptLog) == 1 && out.Status < http.StatusInternalServerError
	if d.ingress.Log == nil || unremarkable || !d.ingress.Log.AllowRequestLine() {
		return
	}
	now := time.Now()
	r := d.req
	if r == nil {
		_, id := d.ingress.Dialect.RequestID(d.in.Header)
		r = &hop.Request{ID: id, ConfigNumber: d.ingress.Holder.Current().Number(), Deadline: now}
	}
	slog.Info(logs.MessageRequestEnded,
		logs.FieldRequest, r.ID, logs.FieldRoute, r.Route, logs.FieldService, r.Service, logs.FieldVersion, r.Version,
		logs.FieldConfig, r.ConfigNumber, logs.FieldCode, res.Code.String(), logs.FieldRan, string(res.Ran), logs.FieldStatus, out.Status,
		logs.FieldAttempts, d.attemptLog, logs.FieldTimeLeft, r.TimeLeft(now).Milliseconds(), logs.FieldTook, now.Sub(d.in.ReceivedAt).Milliseconds(),
		logs.FieldRetryAfter, res.RetryAfter.Milliseconds(), logs.FieldError, fmt.Sprint(res.Err))
}

// newRequest builds the part of the request that is sent between nodes.
func (ing *Ingress) newRequest(in *h1.Request, route *traffic.Route, snap *snapshot.Snapshot) *hop.Request {
	limit := route.TimeLimit
	spent := time.Duration(0)
	if left, ok := ing.Dialect.TimeLeft(in.Header); ok {
		limit = min(limit, left)
		spent = ing.timeSpent(route.Name, left)
	}
	_, id := ing.Dialect.RequestID(in.Header)
	return &hop.Request{
		ID: id, Service: route.Pick(rand.Float64()), Route: route.Name, Kind: route.Kind, Priority: route.Priority,
		Deadline: in.ReceivedAt.Add(limit), Objective: in.ReceivedAt.Add(route.Objective - spent),
		CallerService: ing.Service, ConfigNumber: snap.Number(), Returned: spent >= minReturnedAfter,
	}
}

// timeSpent estimates how much of its time a request used before it arrived
// here. Callers of one route start with the same time limit, and one that
// retries after a refusal sends the remaining time.
func (ing *Ingress) timeSpent(route string, left time.Duration) time.Duration {
	longest, ok := ing.maxTimeLeft.Load(route)
	if !ok || longest.(time.Duration) < left {
		ing.maxTimeLeft.Store(route, left)
		return 0
	}
	return longest.(time.Duration) - left
}

// runTimeWeight is the weight of one reported run time in a route's moving
// average.
const runTimeWeight = 1.0 / 16

// meanRunTime returns the moving average of a route's run time over all
// upstreams.
func (ing *Ingress) meanRunTime(route string) time.Duration {
	if v, ok := ing.runTimes.Load(route); ok {
		return v.(time.Duration)
	}
	return 0
}

// recordRunTime adds an upstream's mean run time to the moving average of a
// route. One of two concurrent updates may be lost, which is harmless.
func (ing *Ingress) recordRunTime(route string, runTime time.Duration) {
	if runTime <= 0 {
		return
	}
	if old := ing.meanRunTime(route); old > 0 {
		runTime = old + time.Duration(runTimeWeight*float64(runTime-old))
	}
	ing.runTimes.Store(route, runTime)
}

// PruneRoutes drops the state of routes that the configuration no longer has.
func (ing *Ingress) PruneRoutes(s *snapshot.Snapshot) {
	if s.Traffic == nil {
		return
	}
	configured := make(map[any]bool, len(s.Traffic.Config.Routes))
	for i := range s.Traffic.Config.Routes {
		configured[s.Traffic.Config.Routes[i].Name] = true
	}
	for _, m := range []*sync.Map{&ing.maxTimeLeft, &ing.runTimes} {
		m.Range(func(route, _ any) bool {
			if !configured[route] {
				m.Delete(route)
			}
			return true
		})
	}
}

// buildResponse turns a result into the response to the caller.
func (ing *Ingress) buildResponse(in *h1.Request, res hop.Result, r *hop.Request) *h1.Response {
	if res.Code == api.OK {
		ing.Counters.Answered.Add(1)
		return &h1.Response{Status: res.Response.Status, Header: h1.ForwardableHeaders(res.Response.Header), Body: res.Response.Body}
	}
	h := http.Header{call.HeaderCode: {strconv.Itoa(int(res.Code))}, call.HeaderRan: {string(res.Ran)}}
	name, id := ing.Dialect.RequestID(in.Header)
	if id != "" {
		h[name] = []string{id}
	}
	status := statusOf(res)
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		ing.Counters.Refused.Add(1)
		ing.Dialect.SetRetryAfter(h, ing.retryAfter(res, r, time.Now()))
	case http.StatusUnauthorized:
		ing.Counters.Refused.Add(1)
		ing.Dialect.SetUnauthorized(h)
	default:
		ing.Counters.Failed.Add(1)
	}
	return &h1.Response{Status: status, Header: h}
}

// statusOf returns the HTTP status of a failed request. Only a request that
// certainly did not run gets a status which says so.
func statusOf(res hop.Result) int {
	switch {
	case res.Code == api.CallNoRoute:
		return http.StatusNotFound
	case res.Code == api.CallUnknownKey:
		return http.StatusUnauthorized
	case res.Code == api.CallQuota:
		return http.StatusTooManyRequests
	case res.Ran == api.RanNo:
		return http.StatusServiceUnavailable
	case res.Code == api.CallTimeout, res.Code == api.CallNoTime:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

// retryAfter is when a refused caller should retry: when the nodes expect free
// places, but early enough for another try. Callers that full queues refused are
// spread. A nested call returns as early as possible, because a run waits for it.
// The delay of an account over its quota is not shortened, because an earlier try
// would be refused as well.
func (ing *Ingress) retryAfter(res hop.Result, r *hop.Request, now time.Time) time.Duration {
	after := res.RetryAfter
	if after <= 0 {
		after = defaultRetryAfter
	}
	if r != nil && res.Code == api.CallShed && !r.Nested {
		after = retry.SpreadDelay(after, r.Objective.Sub(now), r.TimeLeft(now), ing.meanRunTime(r.Route), rand.Float64())
	}
	if r != nil && res.Code != api.CallQuota {
		after = min(after, time.Duration(retryAfterFraction*float64(r.TimeLeft(now))))
	}
	return max(after, time.Millisecond)
}
