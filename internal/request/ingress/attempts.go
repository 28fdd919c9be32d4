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
type dispatch struct {
	ingress *Ingress
	in      *h1.Request
	req     *hop.Request
	route   *traffic.Route

	tried []string
	// reached counts the upstreams that may have got the request.
	upstreamsReached int
	// kept is what the caller gets unless another attempt does better: an
	// upstream's own failure, else a failure after which the request may have run.
	fallback *hop.Result
	// back is the earliest time after which a node expects room.
	minRetryAfter time.Duration
	// refusal is the last one.
	lastRefusal hop.Result
	// attempts tells of each attempt, for the log.
	attemptLog []logs.Attempt
}

// note remembers an attempt for the log.
func (t *dispatch) recordAttempt(to string, began time.Time, res hop.Result) {
	t.attemptLog = append(t.attemptLog, logs.Attempt{Node: to, Code: res.Code, Took: time.Since(began)})
}

// run brings the request to one node after another while that is safe.
func (t *dispatch) run(ctx context.Context) hop.Result {
	e := t.ingress
	e.Budget.Deposit(t.req.Service, e.RetryPercent)
	for {
		res, found := t.attempt(ctx)
		if !found {
			return t.finalResult(t.lastRefusal)
		}
		switch {
		case res.Code == api.OK && !t.retryableAnswer(res):
			return res
		case ctx.Err() != nil:
			return t.finalResult(t.expired(ctx, res))
		case res.Ran == api.RanNo:
			t.recordRefusal(res)
			if len(t.tried) >= maxNodes || isFinal(res.Code) {
				return t.finalResult(res)
			}
			if res.UpstreamRefused {
				t.upstreamsReached++
				if !t.spendRetry() {
					return t.finalResult(res)
				}
			}
		default:
			t.upstreamsReached++
			t.keepFallback(res)
			if !t.retryIfIdempotent() {
				return t.finalResult(res)
			}
		}
	}
}

// final tells that no other node would take the request either. That one node
// is too slow for the time left says nothing of the others.
func isFinal(c api.Code) bool { return c == api.CallQuarantined }

// worthAnother tells that an upstream's own answer is a failure which another
// upstream may turn into an answer.
func (t *dispatch) retryableAnswer(res hop.Result) bool {
	return res.Answer.Status >= http.StatusInternalServerError && t.req.Kind == traffic.Idempotent
}

// again tells whether the request may go to another upstream, and pays for it.
func (t *dispatch) retryIfIdempotent() bool {
	return t.req.Kind == traffic.Idempotent && t.spendRetry()
}

// pay takes what sending the request to another upstream costs of the budget.
func (t *dispatch) spendRetry() bool {
	if t.upstreamsReached >= max(1, t.route.Attempts) {
		return false
	}
	if !t.ingress.Budget.TryWithdraw(t.req.Service, 1) {
		t.ingress.Counters.BudgetExhausted.Add(1)
		return false
	}
	t.ingress.Counters.Retries.Add(1)
	return true
}

func (t *dispatch) recordRefusal(res hop.Result) {
	t.lastRefusal = res
	if res.RetryAfter > 0 && (t.minRetryAfter == 0 || res.RetryAfter < t.minRetryAfter) {
		t.minRetryAfter = res.RetryAfter
	}
}

// keep remembers an attempt after which the request may have run.
func (t *dispatch) keepFallback(res hop.Result) {
	if t.fallback == nil || t.fallback.Code != api.OK {
		t.fallback = &res
	}
}

// settle ends the request with res, unless an attempt before says more: a
// request that may have run must not be called refused.
func (t *dispatch) finalResult(res hop.Result) hop.Result {
	if t.fallback != nil && (res.Ran == api.RanNo || t.fallback.Code == api.OK) {
		return *t.fallback
	}
	if res.Ran == api.RanNo && t.minRetryAfter > 0 {
		res.RetryAfter = t.minRetryAfter
	}
	return res
}

// late is the result when the time is up or the caller has left.
func (t *dispatch) expired(ctx context.Context, res hop.Result) hop.Result {
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
func (t *dispatch) attempt(ctx context.Context) (hop.Result, bool) {
	e := t.ingress
	x := e.Members.Index()
	t.req.Version = e.Versions.ChooseVersion(x, t.req.Service, rand.Float64())
	if t.req.Version == "" {
		return hop.Result{}, false
	}
	key := membership.UpstreamKey{Service: t.req.Service, Version: t.req.Version}
	now := time.Now()
	want := balancer.Requirements{MeanRunTime: e.meanRunTime(t.req.Route), HasBody: len(t.in.Body) > 0, Objective: t.timeToObjective(now)}
	if t.lastRefusal.Code == api.CallShed && !t.lastRefusal.UpstreamRefused && !t.lastRefusal.ShortRoute {
		// A node was full: only one that is known to have room is worth the way.
		want.MaxExpected = max(time.Nanosecond, time.Duration(expectedTimeSlack*float64(t.req.Objective.Sub(now))))
	}
	if t.lastRefusal.Code == api.CallNoTime {
		want.MaxExpected = max(time.Nanosecond, t.req.TimeLeft(now))
	}
	picked, ok := e.Picker.PickByExpectedTime(x, key, t.tried, now, rand.New(globalRandom{}), want)
	if !ok {
		if len(t.tried) == 0 && len(x.Serving[key]) > 0 {
			t.lastRefusal.RetryAfter = unreachableRetryAfter
		}
		return hop.Result{}, false
	}
	t.tried = append(t.tried, picked.Record.Address)
	if picked.Record.Address == e.Self {
		in := *t.in
		res := e.Local.Handle(ctx, t.req, &in)
		t.recordAttempt(picked.Record.Address, now, res)
		t.reportOutcome(ctx, picked, res, e.Local.Load(), true)
		e.recordRunTime(t.req.Route, res.MeanRunTime)
		return res, true
	}
	res, load, carried := t.sendToNode(ctx, picked)
	t.recordAttempt(picked.Record.Address, now, res)
	e.recordRunTime(t.req.Route, res.MeanRunTime)
	t.reportOutcome(ctx, picked, res, load, carried)
	return res, true
}

// objective is the time in which the answer should come: until the objective, or when
// that has passed until the caller gives up.
func (t *dispatch) timeToObjective(now time.Time) time.Duration {
	if left := t.req.Objective.Sub(now); left > 0 {
		return left
	}
	return t.req.TimeLeft(now)
}

// ended tells the picker how an attempt ended. What puts a node aside changes
// where requests go, so it is logged.
func (t *dispatch) reportOutcome(ctx context.Context, p balancer.Selection, res hop.Result, load gate.Load, carried bool) {
	if aside := p.Done(time.Now(), outcomeFor(ctx, res), load, carried); aside > 0 {
		slog.Warn(logPrefix+"node put aside",
			logs.FieldMember, p.Record.Address, logs.FieldService, t.req.Service, logs.FieldAside, aside.Milliseconds(),
			logs.FieldRequest, t.req.ID, logs.FieldCode, res.Code.String(), logs.FieldError, fmt.Sprint(res.Err))
	}
}

// globalRandom makes the goroutine-safe global generator a source.
type globalRandom struct{}

// Uint64 implements rand.Source.
func (globalRandom) Uint64() uint64 { return rand.Uint64() }

// remote sends the request to the gate of another node.
func (t *dispatch) sendToNode(ctx context.Context, picked balancer.Selection) (hop.Result, gate.Load, bool) {
	to := picked.Record
	now := time.Now()
	header := h1.Forwardable(t.in.Header)
	t.req.EncodeHeader(header, now)
	sign := time.Duration(ackTimeoutFraction * float64(t.req.TimeLeft(now)))
	c := &h1.Call{
		Method: t.in.Method, Target: t.in.Target, Host: t.in.Host, Header: header, Body: t.in.Body,
		Ask: true, Sign: min(max(sign, minAckTimeout), maxAckTimeout), Alive: picked.ConfirmReachable,
	}
	resp, err := t.ingress.Client.Do(ctx, to.Gate, c)
	if err == nil {
		return egress.ParseResponse(resp)
	}
	return t.resultOfError(to, err), gate.Load{}, false
}

// lost says what is known after an exchange with a node brought no answer. A
// body that the node did not ask for cannot have been run.
func (t *dispatch) resultOfError(to membership.Record, err error) hop.Result {
	var e *h1.Error
	if !errors.As(err, &e) {
		return hop.Result{Code: api.CallCut, Ran: api.RanUnknown, Err: err}
	}
	if e.Failure == h1.Silent {
		t.ingress.Client.CloseIdle(to.Gate)
	}
	if !e.Sent || len(t.in.Body) > 0 && !e.Complete {
		return hop.Refuse(api.CallNotReached, defaultRetryAfter, err)
	}
	return hop.Result{Code: api.CallCut, Ran: api.RanUnknown, Err: err}
}

// shown is what an attempt that ended under ctx has shown of the node. A caller
// that leaves breaks off the attempt, wherever it is: that is no fault of the
// node, though its connection ends like a cut one.
func outcomeFor(ctx context.Context, res hop.Result) balancer.Outcome {
	if errors.Is(ctx.Err(), context.Canceled) {
		return balancer.Inconclusive
	}
	return outcomeOf(res)
}

// faultOf reads what an attempt has shown of the node and its upstream. A node
// that gave no sign of life is like one that was not reached: each further
// request sent there would wait as long and could not be called refused.
func outcomeOf(res hop.Result) balancer.Outcome {
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
