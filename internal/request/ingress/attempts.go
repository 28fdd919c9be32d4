package ingress

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/h1"
	"github.com/daisytide/daisytide/internal/logs"
	"github.com/daisytide/daisytide/internal/process/membership"
	"github.com/daisytide/daisytide/internal/request/balancer"
	"github.com/daisytide/daisytide/internal/request/egress"
	"github.com/daisytide/daisytide/internal/request/gate"
	"github.com/daisytide/daisytide/internal/request/hop"
	"github.com/daisytide/daisytide/internal/version/traffic"
)

const logPrefix = "ingress: "

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
	attempts []logs.Attempt
}

// note remembers an attempt for the log.
func (t *trial) note(to string, began time.Time, res hop.Result) {
	t.attempts = append(t.attempts, logs.Attempt{Node: to, Code: res.Code, Took: time.Since(began)})
}

// run brings the request to one node after another while that is safe.
func (t *trial) run(ctx context.Context) hop.Result {
	e := t.e
	e.Budget.Deposit(t.r.Service, e.RetryPercent)
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
			if res.UpstreamRefused {
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

// final tells that no other node would take the request either. That one node
// is too slow for the time left says nothing of the others.
func final(c api.Code) bool { return c == api.CallQuarantined }

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
	if !t.e.Budget.TryWithdraw(t.r.Service, 1) {
		t.e.Counters.BudgetExhausted.Add(1)
		return false
	}
	t.e.Counters.Retries.Add(1)
	return true
}

func (t *trial) refused(res hop.Result) {
	t.refusal = res
	if res.RetryAfter > 0 && (t.back == 0 || res.RetryAfter < t.back) {
		t.back = res.RetryAfter
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
		res.RetryAfter = t.back
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
	t.r.Version = e.Versions.ChooseVersion(x, t.r.Service, rand.Float64())
	if t.r.Version == "" {
		return hop.Result{}, false
	}
	key := membership.UpstreamKey{Service: t.r.Service, Version: t.r.Version}
	now := time.Now()
	want := balancer.Requirements{MeanRunTime: e.need(t.r.Route), HasBody: len(t.in.Body) > 0, Objective: t.objective(now)}
	if t.refusal.Code == api.CallShed && !t.refusal.UpstreamRefused && !t.refusal.ShortRoute {
		// A node was full: only one that is known to have room is worth the way.
		want.MaxExpected = max(time.Nanosecond, time.Duration(hopeful*float64(t.r.Objective.Sub(now))))
	}
	if t.refusal.Code == api.CallNoTime {
		want.MaxExpected = max(time.Nanosecond, t.r.TimeLeft(now))
	}
	picked, ok := e.Picker.PickByExpectedTime(x, key, t.tried, now, rand.New(globalRandom{}), want)
	if !ok {
		if len(t.tried) == 0 && len(x.Serving[key]) > 0 {
			t.refusal.RetryAfter = backUnreached
		}
		return hop.Result{}, false
	}
	t.tried = append(t.tried, picked.Record.Address)
	if picked.Record.Address == e.Self {
		in := *t.in
		res := e.Local.Handle(ctx, t.r, &in)
		t.note(picked.Record.Address, now, res)
		t.ended(ctx, picked, res, e.Local.Load(), true)
		e.learn(t.r.Route, res.MeanRunTime)
		return res, true
	}
	res, load, carried := t.remote(ctx, picked)
	t.note(picked.Record.Address, now, res)
	e.learn(t.r.Route, res.MeanRunTime)
	t.ended(ctx, picked, res, load, carried)
	return res, true
}

// objective is the time in which the answer should come: until the objective, or when
// that has passed until the caller gives up.
func (t *trial) objective(now time.Time) time.Duration {
	if left := t.r.Objective.Sub(now); left > 0 {
		return left
	}
	return t.r.TimeLeft(now)
}

// ended tells the picker how an attempt ended. What puts a node aside changes
// where requests go, so it is logged.
func (t *trial) ended(ctx context.Context, p balancer.Selection, res hop.Result, load gate.Load, carried bool) {
	if aside := p.Done(time.Now(), shown(ctx, res), load, carried); aside > 0 {
		slog.Warn(logPrefix+"node put aside",
			logs.FieldMember, p.Record.Address, logs.FieldService, t.r.Service, logs.FieldAside, aside.Milliseconds(),
			logs.FieldRequest, t.r.ID, logs.FieldCode, res.Code.String(), logs.FieldError, fmt.Sprint(res.Err))
	}
}

// globalRandom makes the goroutine-safe global generator a source.
type globalRandom struct{}

// Uint64 implements rand.Source.
func (globalRandom) Uint64() uint64 { return rand.Uint64() }

// remote sends the request to the gate of another node.
func (t *trial) remote(ctx context.Context, picked balancer.Selection) (hop.Result, gate.Load, bool) {
	to := picked.Record
	now := time.Now()
	header := h1.Forwardable(t.in.Header)
	t.r.EncodeHeader(header, now)
	sign := time.Duration(signPart * float64(t.r.TimeLeft(now)))
	c := &h1.Call{
		Method: t.in.Method, Target: t.in.Target, Host: t.in.Host, Header: header, Body: t.in.Body,
		Ask: true, Sign: min(max(sign, signMin), signMax), Alive: picked.ConfirmReachable,
	}
	resp, err := t.e.Client.Do(ctx, to.Gate, c)
	if err == nil {
		return egress.ParseResponse(resp)
	}
	return t.lost(to, err), gate.Load{}, false
}

// lost says what is known after an exchange with a node brought no answer. A
// body that the node did not ask for cannot have been run.
func (t *trial) lost(to membership.Record, err error) hop.Result {
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

// shown is what an attempt that ended under ctx has shown of the node. A caller
// that leaves breaks off the attempt, wherever it is: that is no fault of the
// node, though its connection ends like a cut one.
func shown(ctx context.Context, res hop.Result) balancer.Outcome {
	if errors.Is(ctx.Err(), context.Canceled) {
		return balancer.Inconclusive
	}
	return faultOf(res)
}

// faultOf reads what an attempt has shown of the node and its upstream. A node
// that gave no sign of life is like one that was not reached: each further
// request sent there would wait as long and could not be called refused.
func faultOf(res hop.Result) balancer.Outcome {
	var e *h1.Error
	if errors.As(res.Err, &e) && e.Failure == h1.Silent {
		return balancer.Unreachable
	}
	switch res.Code {
	case api.OK:
		if res.Answer.Status >= http.StatusInternalServerError {
			return balancer.Failure
		}
		return balancer.Success
	case api.CallNotReached:
		return balancer.Unreachable
	case api.CallLeaving, api.CallNoUpstream:
		return balancer.Draining
	case api.CallCut, api.CallTimeout:
		return balancer.Failure
	}
	return balancer.Inconclusive
}
