// Package ingress takes requests from callers, finds the node whose upstream
// is to run each, and answers.
package ingress

import (
	"context"
	"errors"
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
	"github.com/daisytide/daisytide/internal/process/member"
	"github.com/daisytide/daisytide/internal/request/call"
	"github.com/daisytide/daisytide/internal/request/egress"
	"github.com/daisytide/daisytide/internal/request/gate"
	"github.com/daisytide/daisytide/internal/request/hop"
	"github.com/daisytide/daisytide/internal/request/pick"
	"github.com/daisytide/daisytide/internal/request/retry"
	"github.com/daisytide/daisytide/internal/version/snapshot"
	"github.com/daisytide/daisytide/internal/version/traffic"
)

// Bounds of placing.
const (
	// maxPlaces is the most nodes that one request is offered to. A refusal
	// costs the upstream nothing, only the caller's time.
	maxPlaces = 3
	// hopeful times what is left to the objective is the longest expected time
	// at which another node is tried after a refusal: what an entry knows of
	// other nodes is seconds old, and their queues move faster.
	hopeful = 1.5
	// signPart of the time left is what a node may take to show that it has a
	// request, within signMin and signMax: above the pauses of a node that is
	// short of processor time, which must not be given up while it works.
	signPart = 0.4
	signMin  = 250 * time.Millisecond
	signMax  = time.Second
	// backPart bounds the time after which a caller is told to return: callers
	// do not wait longer than a third of the time that they have left.
	backPart = 0.33
	// backDefault is that time where no node gave one.
	backDefault = 100 * time.Millisecond
)

// Versions chooses the version of a service that gets a request.
type Versions interface {
	// Choose returns a version; u is uniform in [0, 1). Empty means that no
	// upstream of the service is ready.
	Choose(x *member.Index, service string, u float64) string
}

// Local is the gate of this node.
type Local interface {
	Handle(ctx context.Context, r *hop.Request, in *h1.Request) hop.Result
	Load() gate.Load
}

// Ingress is the handler of the caller listener.
type Ingress struct {
	// Self is this node's address in the member table, Service that of the
	// upstream beside it.
	Self, Service string
	Holder        *snapshot.Holder
	Members       *member.Table
	Versions      Versions
	Picker        *pick.Picker
	Budget        *retry.Budget
	// RetryShare is the percentage of a service's requests that may be sent to
	// a second upstream.
	RetryShare float64
	Local      Local
	Client     *h1.Client
	Dialect    hop.Dialect

	Counts Counts
	// Log tells of requests that failed, were refused or needed more than one
	// attempt; nil tells of none.
	Log *logs.Log
	// Metrics may be nil.
	Metrics *metrics.Requests

	// patience holds, by route, the longest time that a caller gave.
	patience sync.Map
	// needs holds, by route, the usual time of its runs.
	needs sync.Map
}

// Counts are the counters since the start.
type Counts struct {
	Requests, Answered, Refused, Failed, Retries, OverBudget atomic.Uint64
}

// Serve implements h1.Handler.
func (e *Ingress) Serve(ctx context.Context, in *h1.Request) *h1.Response {
	e.Counts.Requests.Add(1)
	snap := e.Holder.Current()
	if snap == nil || snap.Traffic == nil {
		return e.respond(in, hop.Refuse(api.CallNotReady, backDefault, nil), nil)
	}
	route := snap.Traffic.Find(in.Host, in.Path())
	if route == nil {
		return e.respond(in, hop.Refuse(api.CallNoRoute, 0, nil), nil)
	}
	r := e.request(in, route, snap)
	if r.Left(time.Now()) <= 0 {
		return e.respond(in, hop.Refuse(api.CallNoTime, backDefault, nil), r)
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	t := &trial{e: e, in: in, r: r, route: route, refusal: hop.Refuse(api.CallNoUpstream, 0, nil)}
	res := t.run(ctx)
	out := e.respond(in, res, r)
	e.Metrics.Observe(metrics.Entry, r.Route, egress.OutcomeOf(res), time.Since(in.Arrived))
	t.log(res, out)
	return out
}

// log writes one line on a request that did not simply succeed.
func (t *trial) log(res hop.Result, out *h1.Response) {
	plain := res.Code == api.OK && len(t.attempts) == 1 && out.Status < http.StatusInternalServerError
	if t.e.Log == nil || plain || !t.e.Log.Request() {
		return
	}
	now := time.Now()
	slog.Info(logs.MessageAnswered,
		logs.FieldRequest, t.r.ID, logs.FieldRoute, t.r.Route, logs.FieldService, t.r.Service, logs.FieldVersion, t.r.Version,
		logs.FieldConfig, t.r.Config, logs.FieldCode, res.Code.String(), logs.FieldRan, string(res.Ran), logs.FieldStatus, out.Status,
		logs.FieldAttempts, t.attempts, logs.FieldLeft, t.r.Left(now).Milliseconds(), logs.FieldTook, now.Sub(t.in.Arrived).Milliseconds(),
		logs.FieldAfter, res.After.Milliseconds(), logs.FieldError, fmt.Sprint(res.Err))
}

// request makes what the request carries to the next node.
func (e *Ingress) request(in *h1.Request, route *traffic.Route, snap *snapshot.Snapshot) *hop.Request {
	limit := route.TimeLimit
	spent := time.Duration(0)
	if left, ok := e.Dialect.TimeLeft(in.Header); ok {
		limit = min(limit, left)
		spent = e.spent(route.Name, left)
	}
	_, id := e.Dialect.ID(in.Header)
	return &hop.Request{
		ID: id, Service: route.Pick(rand.Float64()), Route: route.Name, Repeat: route.Repeat, Priority: route.Priority,
		Deadline: in.Arrived.Add(limit), Objective: in.Arrived.Add(route.Objective - spent),
		From: e.Service, Config: snap.Number(),
	}
}

// spent estimates how much of its time a request has used up before it came
// here: callers of one route give the same time, and one that was refused and
// comes back gives what is left of it.
func (e *Ingress) spent(route string, left time.Duration) time.Duration {
	longest, ok := e.patience.Load(route)
	if !ok || longest.(time.Duration) < left {
		e.patience.Store(route, left)
		return 0
	}
	return longest.(time.Duration) - left
}

// needWeight is the weight of one upstream's report in a route's usual time.
const needWeight = 1.0 / 16

// need returns the usual time of a route's runs over all upstreams.
func (e *Ingress) need(route string) time.Duration {
	if v, ok := e.needs.Load(route); ok {
		return v.(time.Duration)
	}
	return 0
}

// learn folds an upstream's usual time of a route in. Of two at the same
// moment one may be lost, which does no harm.
func (e *Ingress) learn(route string, need time.Duration) {
	if need <= 0 {
		return
	}
	if old := e.need(route); old > 0 {
		need = old + time.Duration(needWeight*float64(need-old))
	}
	e.needs.Store(route, need)
}

// respond turns a result into the caller's answer.
func (e *Ingress) respond(in *h1.Request, res hop.Result, r *hop.Request) *h1.Response {
	if res.Code == api.OK {
		e.Counts.Answered.Add(1)
		return &h1.Response{Status: res.Answer.Status, Header: h1.Forwardable(res.Answer.Header), Body: res.Answer.Body}
	}
	h := http.Header{call.HeaderCode: {strconv.Itoa(int(res.Code))}, call.HeaderRun: {string(res.Ran)}}
	name, id := e.Dialect.ID(in.Header)
	if id != "" {
		h[name] = []string{id}
	}
	status := statusOf(res)
	if status == http.StatusServiceUnavailable {
		e.Counts.Refused.Add(1)
		e.Dialect.ComeBack(h, comeBack(res, r, time.Now()))
	} else {
		e.Counts.Failed.Add(1)
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
func comeBack(res hop.Result, r *hop.Request, now time.Time) time.Duration {
	after := res.After
	if after <= 0 {
		after = backDefault
	}
	if r != nil {
		after = min(after, time.Duration(backPart*float64(r.Left(now))))
	}
	return max(after, time.Millisecond)
}

// trial is the attempts at one request.
type trial struct {
	e     *Ingress
	in    *h1.Request
	r     *hop.Request
	route *traffic.Route

	tried []string
	// reached counts the upstreams that may have got the request.
	reached int
	// kept is what the caller gets unless another attempt does better: an
	// upstream's own failure, else a failure after which the request may have run.
	kept *hop.Result
	// back is the earliest time after which a node expects room.
	back time.Duration
	// refusal is the last one.
	refusal hop.Result
	// attempts tells of each attempt, for the log.
	attempts []string
}

// note remembers an attempt for the log.
func (t *trial) note(to string, began time.Time, res hop.Result) {
	t.attempts = append(t.attempts, fmt.Sprintf("%s %s %dms", to, res.Code, time.Since(began).Milliseconds()))
}

// run brings the request to one node after another while that is safe.
func (t *trial) run(ctx context.Context) hop.Result {
	e := t.e
	e.Budget.Earn(t.r.Service, e.RetryShare)
	for {
		res, found := t.once(ctx)
		if !found {
			return t.settle(t.refusal)
		}
		switch {
		case res.Code == api.OK && !t.worthAnother(res):
			return res
		case ctx.Err() != nil:
			return t.settle(t.late(ctx, res))
		case res.Ran == api.RanNo:
			t.refused(res)
			if len(t.tried) >= maxPlaces || final(res.Code) {
				return t.settle(res)
			}
			if res.Reached {
				t.reached++
				if !t.pay() {
					return t.settle(res)
				}
			}
		default:
			t.reached++
			t.keep(res)
			if !t.again() {
				return t.settle(res)
			}
		}
	}
}

// final tells that no other node would take the request either.
func final(c api.Code) bool { return c == api.CallQuarantined || c == api.CallNoTime }

// worthAnother tells that an upstream's own answer is a failure which another
// upstream may turn into an answer.
func (t *trial) worthAnother(res hop.Result) bool {
	return res.Answer.Status >= http.StatusInternalServerError && t.r.Repeat == traffic.Idempotent
}

// again tells whether the request may go to another upstream, and pays for it.
func (t *trial) again() bool {
	return t.r.Repeat == traffic.Idempotent && t.pay()
}

// pay takes what sending the request to another upstream costs of the budget.
func (t *trial) pay() bool {
	if t.reached >= max(1, t.route.Attempts) {
		return false
	}
	if !t.e.Budget.Take(t.r.Service, 1) {
		t.e.Counts.OverBudget.Add(1)
		return false
	}
	t.e.Counts.Retries.Add(1)
	return true
}

func (t *trial) refused(res hop.Result) {
	t.refusal = res
	if res.After > 0 && (t.back == 0 || res.After < t.back) {
		t.back = res.After
	}
}

// keep remembers an attempt after which the request may have run.
func (t *trial) keep(res hop.Result) {
	if t.kept == nil || t.kept.Code != api.OK {
		t.kept = &res
	}
}

// settle ends the request with res, unless an attempt before says more: a
// request that may have run must not be called refused.
func (t *trial) settle(res hop.Result) hop.Result {
	if t.kept != nil && (res.Ran == api.RanNo || t.kept.Code == api.OK) {
		return *t.kept
	}
	if res.Ran == api.RanNo && t.back > 0 {
		res.After = t.back
	}
	return res
}

// late is the result when the time is up or the caller has left.
func (t *trial) late(ctx context.Context, res hop.Result) hop.Result {
	if res.Ran == api.RanNo {
		return hop.Refuse(api.CallNoTime, 0, res.Err)
	}
	code := api.CallTimeout
	if errors.Is(ctx.Err(), context.Canceled) {
		code = api.CallCancelled
	}
	return hop.Result{Code: code, Ran: api.RanUnknown, Err: res.Err}
}

// once makes one attempt; false when no node is left to try.
func (t *trial) once(ctx context.Context) (hop.Result, bool) {
	e := t.e
	x := e.Members.Index()
	t.r.Version = e.Versions.Choose(x, t.r.Service, rand.Float64())
	if t.r.Version == "" {
		return hop.Result{}, false
	}
	key := member.UpstreamKey{Service: t.r.Service, Version: t.r.Version}
	now := time.Now()
	want := pick.Want{Need: e.need(t.r.Route)}
	if t.refusal.Code == api.CallShed && !t.refusal.Reached && !t.refusal.Short {
		// A node was full: only one that is known to have room is worth the way.
		want.Within = max(time.Nanosecond, time.Duration(hopeful*float64(t.r.Objective.Sub(now))))
	}
	picked, ok := e.Picker.Place(x, key, t.tried, now, rand.New(globalRandom{}), want)
	if !ok {
		return hop.Result{}, false
	}
	t.tried = append(t.tried, picked.Record.Address)
	if picked.Record.Address == e.Self {
		in := *t.in
		res := e.Local.Handle(ctx, t.r, &in)
		t.note(picked.Record.Address, now, res)
		picked.Done(time.Now(), faultOf(res), e.Local.Load(), true)
		e.learn(t.r.Route, res.Need)
		return res, true
	}
	res, load, carried := t.remote(ctx, picked.Record)
	t.note(picked.Record.Address, now, res)
	e.learn(t.r.Route, res.Need)
	picked.Done(time.Now(), faultOf(res), load, carried)
	return res, true
}

// globalRandom makes the goroutine-safe global generator a source.
type globalRandom struct{}

// Uint64 implements rand.Source.
func (globalRandom) Uint64() uint64 { return rand.Uint64() }

// remote sends the request to the gate of another node.
func (t *trial) remote(ctx context.Context, to member.Record) (hop.Result, gate.Load, bool) {
	now := time.Now()
	header := h1.Forwardable(t.in.Header)
	t.r.ToGate(header, now)
	sign := time.Duration(signPart * float64(t.r.Left(now)))
	c := &h1.Call{
		Method: t.in.Method, Target: t.in.Target, Host: t.in.Host, Header: header, Body: t.in.Body,
		Ask: true, Sign: min(max(sign, signMin), signMax),
	}
	resp, err := t.e.Client.Do(ctx, to.Gate, c)
	if err == nil {
		return egress.Read(resp)
	}
	return t.lost(to, err), gate.Load{}, false
}

// lost says what is known after an exchange with a node brought no answer. A
// body that the node did not ask for cannot have been run.
func (t *trial) lost(to member.Record, err error) hop.Result {
	var e *h1.Error
	if !errors.As(err, &e) {
		return hop.Result{Code: api.CallCut, Ran: api.RanUnknown, Err: err}
	}
	if e.Failure == h1.Silent {
		t.e.Client.CloseIdle(to.Gate)
	}
	if !e.Sent || len(t.in.Body) > 0 && !e.Complete {
		return hop.Refuse(api.CallNotReached, backDefault, err)
	}
	return hop.Result{Code: api.CallCut, Ran: api.RanUnknown, Err: err}
}

// faultOf reads what an attempt has shown of the node and its upstream.
func faultOf(res hop.Result) pick.Fault {
	switch res.Code {
	case api.OK:
		if res.Answer.Status >= http.StatusInternalServerError {
			return pick.Failed
		}
		return pick.NoFault
	case api.CallNotReached:
		return pick.NotReached
	case api.CallLeaving, api.CallNoUpstream:
		return pick.Leaving
	case api.CallCut, api.CallTimeout:
		return pick.Failed
	}
	return pick.Neutral
}
