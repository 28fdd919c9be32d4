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
	"github.com/daisytide/daisytide/internal/metrics"
	"github.com/daisytide/daisytide/internal/process/membership"
	"github.com/daisytide/daisytide/internal/request/balancer"
	"github.com/daisytide/daisytide/internal/request/egress"
	"github.com/daisytide/daisytide/internal/request/gate"
	"github.com/daisytide/daisytide/internal/request/hop"
	"github.com/daisytide/daisytide/internal/version/traffic"
)

const logPrefix = "ingress: "

// dispatch is the series of attempts at one request.
type dispatch struct {
	ingress *Ingress
	in      *h1.Request
	req     *hop.Request
	route   *traffic.Route
	// key is the digest of the request's key, if the deployment has client
	// accounts.
	key traffic.KeyDigest

	tried []string
	// attempts counts the attempts except those refused because of an evacuation.
	attempts int
	// evacuated holds the data centres whose gates have refused the request because
	// of an evacuation that this node had not learnt of; nil if there are none. Each
	// refused it once: these attempts do not count towards maxNodes.
	evacuated map[string]bool
	// upstreamsReached counts the upstreams that may have received the request.
	upstreamsReached int
	// fallback is the result for the caller unless a later attempt succeeds: an
	// upstream's own failure response, else a failure after which the request
	// may have run.
	fallback *hop.Result
	// minRetryAfter is the earliest time after which a node expects a free
	// place.
	minRetryAfter time.Duration
	lastRefusal   hop.Result
	// attemptLog lists the attempts for the log.
	attemptLog []logs.Attempt
}

// recordAttempt adds an attempt to the log record.
func (d *dispatch) recordAttempt(node string, began time.Time, res hop.Result) {
	d.attemptLog = append(d.attemptLog, logs.Attempt{Node: node, Code: res.Code, Took: time.Since(began)})
}

// run sends the request to one node after another as long as that is safe.
func (d *dispatch) run(ctx context.Context) hop.Result {
	ing := d.ingress
	ing.Budget.Deposit(d.req.Service, ing.RetryPercent)
	for {
		res, found := d.attempt(ctx)
		if !found {
			return d.finalResult(d.lastRefusal)
		}
		switch {
		case res.Code == api.OK && !d.isRetryableResponse(res):
			return res
		case ctx.Err() != nil:
			return d.finalResult(d.expired(ctx, res))
		case res.Ran == api.RanNo:
			d.recordRefusal(res)
			if res.Code == api.CallEvacuated {
				continue
			}
			if d.attempts >= maxNodes || isFinal(res.Code) {
				return d.finalResult(res)
			}
			if res.UpstreamRefused {
				d.upstreamsReached++
				if !d.spendRetry() {
					return d.finalResult(res)
				}
			}
		default:
			d.upstreamsReached++
			d.keepFallback(res)
			if !d.retryIfIdempotent() {
				return d.finalResult(res)
			}
		}
	}
}

// isFinal reports whether no other node would accept the request either.
// CallNoTime is not final, because one node's being too slow for the time left
// says nothing about the others.
func isFinal(c api.Code) bool { return c == api.CallQuarantined }

// isRetryableResponse reports whether an upstream's own response is a failure that
// another upstream may not have.
func (d *dispatch) isRetryableResponse(res hop.Result) bool {
	return res.Response.Status >= http.StatusInternalServerError && d.req.Kind.Repeatable()
}

// retryIfIdempotent spends a retry if the request may run again. It reports
// whether the request may go to another upstream.
func (d *dispatch) retryIfIdempotent() bool {
	return d.req.Kind.Repeatable() && d.spendRetry()
}

// spendRetry takes one retry from the budget. It reports whether the request
// may go to another upstream.
func (d *dispatch) spendRetry() bool {
	if d.upstreamsReached >= max(1, d.route.Attempts) {
		return false
	}
	if !d.ingress.Budget.TryWithdraw(d.req.Service, 1) {
		d.ingress.Counters.BudgetExhausted.Add(1)
		return false
	}
	d.ingress.Counters.Retries.Add(1)
	return true
}

func (d *dispatch) recordRefusal(res hop.Result) {
	d.lastRefusal = res
	if res.RetryAfter > 0 && (d.minRetryAfter == 0 || res.RetryAfter < d.minRetryAfter) {
		d.minRetryAfter = res.RetryAfter
	}
}

// avoidDataCentre leaves out all upstreams of the service in a data centre whose gate
// has refused the request because of an evacuation.
func (d *dispatch) avoidDataCentre(index *membership.Index, dataCentre string) {
	if d.evacuated == nil {
		d.evacuated = map[string]bool{}
	}
	d.evacuated[dataCentre] = true
	for key, records := range index.Serving {
		if key.Service != d.req.Service {
			continue
		}
		for _, r := range records {
			if r.DataCentre == dataCentre {
				d.tried = append(d.tried, r.Address)
			}
		}
	}
}

// chooseVersion chooses the version for the next attempt among those with upstreams
// outside the data centres that are known to be evacuated.
func (d *dispatch) chooseVersion(index *membership.Index) string {
	if d.evacuated != nil {
		index = index.ServingWithout(d.req.Service, d.evacuated)
	}
	return d.ingress.Versions.ChooseVersion(index, d.req.Service, rand.Float64())
}

// keepFallback stores the result of an attempt after which the request may have
// run.
func (d *dispatch) keepFallback(res hop.Result) {
	if d.fallback == nil || d.fallback.Code != api.OK {
		d.fallback = &res
	}
}

// countTraffic counts the bytes of an exchange with another node.
func (d *dispatch) countTraffic(dataCentre string, sent *h1.ClientRequest, resp *h1.Response, err error) {
	if d.ingress.Metrics == nil {
		return
	}
	t := d.ingress.Metrics.Traffic
	var e *h1.Error
	if !errors.As(err, &e) || e.FullySent {
		t.Add(metrics.KindRequest, dataCentre, len(sent.Body))
	}
	if resp != nil {
		t.Add(metrics.KindResponse, dataCentre, len(resp.Body))
	}
}

// finalResult ends the request with res, unless an earlier attempt takes
// precedence: a request that may have run must not be reported as refused.
func (d *dispatch) finalResult(res hop.Result) hop.Result {
	if d.fallback != nil && (res.Ran == api.RanNo || d.fallback.Code == api.OK) {
		return *d.fallback
	}
	if res.Ran == api.RanNo && d.minRetryAfter > 0 {
		res.RetryAfter = d.minRetryAfter
	}
	return res
}

// expired is the result after the deadline has passed or the caller has
// disconnected.
func (d *dispatch) expired(ctx context.Context, res hop.Result) hop.Result {
	if res.Ran == api.RanNo {
		return hop.Refuse(api.CallNoTime, 0, res.Err)
	}
	code := api.CallTimeout
	if errors.Is(ctx.Err(), context.Canceled) {
		code = api.CallCancelled
	}
	return hop.Result{Code: code, Ran: api.RanUnknown, Err: res.Err}
}

// attempt makes one attempt; false means that no node is left to try.
func (d *dispatch) attempt(ctx context.Context) (hop.Result, bool) {
	ing := d.ingress
	if len(d.tried) > 0 && d.keyRevoked() {
		d.lastRefusal = hop.Refuse(api.CallUnknownKey, 0, nil)
		return hop.Result{}, false
	}
	index := ing.Members.Index()
	d.req.Version = d.chooseVersion(index)
	if d.req.Version == "" {
		if len(d.tried) == 0 && index.ServesOnlyExcluded(d.req.Service) {
			d.lastRefusal = hop.Refuse(api.CallEvacuated, unreachableRetryAfter, nil)
		}
		return hop.Result{}, false
	}
	key := membership.UpstreamKey{Service: d.req.Service, Version: d.req.Version}
	now := time.Now()
	requirements := balancer.Requirements{MeanRunTime: ing.meanRunTime(d.req.Route), HasBody: len(d.in.Body) > 0, Objective: d.timeToObjective(now)}
	d.linkRequirements(&requirements)
	if d.lastRefusal.Code == api.CallShed && !d.lastRefusal.UpstreamRefused && !d.lastRefusal.ShortRoute && !d.req.Nested {
		// A node was full, so only nodes expected to be fast enough are tried. Nested
		// calls go first at any node, and a refused one wastes a run.
		requirements.MaxExpected = max(time.Nanosecond, time.Duration(expectedTimeSlack*float64(d.req.Objective.Sub(now))))
	}
	if d.lastRefusal.Code == api.CallNoTime {
		requirements.MaxExpected = max(time.Nanosecond, d.req.TimeLeft(now))
	}
	selection, ok := ing.Picker.PickByExpectedTime(index, key, d.tried, now, rand.New(globalRandom{}), requirements)
	if !ok {
		if len(d.tried) == 0 && len(index.Serving[key]) > 0 {
			d.lastRefusal.RetryAfter = unreachableRetryAfter
		}
		return hop.Result{}, false
	}
	d.tried = append(d.tried, selection.Record.Address)
	d.attempts++
	if selection.Record.Address == ing.Self {
		in := *d.in
		res := ing.Local.Handle(ctx, d.req, &in)
		d.recordAttempt(selection.Record.Address, now, res)
		d.reportOutcome(ctx, selection, res, ing.Local.Load(), true)
		ing.recordRunTime(d.req.Route, res.MeanRunTime)
		d.noteEvacuated(index, selection, res)
		return res, true
	}
	res, load, hasLoad := d.sendToNode(ctx, selection)
	d.recordAttempt(selection.Record.Address, now, res)
	ing.recordRunTime(d.req.Route, res.MeanRunTime)
	d.reportOutcome(ctx, selection, res, load, hasLoad)
	d.noteEvacuated(index, selection, res)
	return res, true
}

// noteEvacuated makes the next attempts avoid the data centre of a gate that refused
// the request because of an evacuation.
func (d *dispatch) noteEvacuated(index *membership.Index, selection balancer.Selection, res hop.Result) {
	if res.Code == api.CallEvacuated {
		d.attempts--
		d.avoidDataCentre(index, selection.Record.DataCentre)
	}
}

// timeToObjective is the time in which the response should arrive: until the
// objective, or until the deadline if the objective has passed.
func (d *dispatch) timeToObjective(now time.Time) time.Duration {
	if left := d.req.Objective.Sub(now); left > 0 {
		return left
	}
	return d.req.TimeLeft(now)
}

// reportOutcome reports the outcome of an attempt to the picker. An ejection
// changes where requests go, so it is logged.
func (d *dispatch) reportOutcome(ctx context.Context, selection balancer.Selection, res hop.Result, load gate.Load, hasLoad bool) {
	if ejectedFor := selection.Done(time.Now(), outcomeFor(ctx, res), load, hasLoad); ejectedFor > 0 {
		slog.Warn(logPrefix+"node put aside",
			logs.FieldMember, selection.Record.Address, logs.FieldService, d.req.Service, logs.FieldEjectedFor, ejectedFor.Milliseconds(),
			logs.FieldRequest, d.req.ID, logs.FieldCode, res.Code.String(), logs.FieldError, fmt.Sprint(res.Err))
	}
}

// globalRandom is a rand.Source backed by the global generator, which is safe
// for concurrent use.
type globalRandom struct{}

// Uint64 implements rand.Source.
func (globalRandom) Uint64() uint64 { return rand.Uint64() }

// sendToNode sends the request to the gate of another node.
func (d *dispatch) sendToNode(ctx context.Context, selection balancer.Selection) (hop.Result, gate.Load, bool) {
	node := selection.Record
	now := time.Now()
	transfers, refusal := d.reserveLink(now)
	if refusal != nil {
		return *refusal, gate.Load{}, false
	}
	defer transfers.end()
	header := h1.ForwardableHeaders(d.in.Header)
	d.req.EncodeHeader(header, now)
	ackTimeout := time.Duration(ackTimeoutFraction * float64(d.req.TimeLeft(now)))
	exchange := &h1.ClientRequest{
		Method: d.in.Method, Target: d.in.Target, Host: d.in.Host, Header: header, Body: d.in.Body,
		ExpectContinue: true, FirstByteTimeout: min(max(ackTimeout, minAckTimeout), maxAckTimeout), OnFirstByte: selection.ConfirmReachable,
	}
	transfers.apply(exchange)
	resp, err := d.ingress.Client.Do(ctx, node.Gate, exchange)
	d.countTraffic(node.DataCentre, exchange, resp, err)
	if err == nil {
		res, load, hasLoad := egress.ParseResponse(resp)
		if res.Code == api.OK {
			d.ingress.responseSizes.Observe(d.req.Route, len(res.Response.Body))
		}
		return res, load, hasLoad
	}
	return d.resultOfError(node, err), gate.Load{}, false
}

// resultOfError derives the result of an exchange with a node that got no
// response. A request whose body the node did not request cannot have run.
func (d *dispatch) resultOfError(node membership.Record, err error) hop.Result {
	var exchange *h1.Error
	if !errors.As(err, &exchange) {
		return hop.Result{Code: api.CallCut, Ran: api.RanUnknown, Err: err}
	}
	if exchange.Failure == h1.FirstByteTimedOut {
		d.ingress.Client.CloseIdle(node.Gate)
	}
	if errors.Is(err, errNoRoomToSend) {
		return hop.Refuse(api.CallNoTime, defaultRetryAfter, err)
	}
	if !exchange.Sent || len(d.in.Body) > 0 && !exchange.FullySent {
		return hop.Refuse(api.CallNotReached, defaultRetryAfter, err)
	}
	return hop.Result{Code: api.CallCut, Ran: api.RanUnknown, Err: err}
}

// outcomeFor returns the outcome of an attempt under ctx. If the caller
// disconnects, the attempt is cut off wherever it is; this is no failure of the
// node, although its connection ends like a broken one.
func outcomeFor(ctx context.Context, res hop.Result) balancer.Outcome {
	if errors.Is(ctx.Err(), context.Canceled) {
		return balancer.Inconclusive
	}
	return outcomeOf(res)
}

// outcomeOf derives the evidence about the node and its upstream from a result.
// A node that did not acknowledge the request counts as unreachable: each
// further request sent there would wait as long, and could not be reported as
// refused.
func outcomeOf(res hop.Result) balancer.Outcome {
	var exchange *h1.Error
	if errors.As(res.Err, &exchange) && exchange.Failure == h1.FirstByteTimedOut {
		return balancer.Unreachable
	}
	switch res.Code {
	case api.OK:
		if res.Response.Status >= http.StatusInternalServerError {
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
