// Package egress contains the gate through which every request reaches the
// upstream beside a node. It queues, refuses and sends requests, and reports
// exactly whether each one ran. Package operated uses it; its counterpart for
// package node is package gate.
package egress

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/h1"
	"github.com/daisytide/daisytide/internal/logs"
	"github.com/daisytide/daisytide/internal/metrics"
	"github.com/daisytide/daisytide/internal/request/gate"
	"github.com/daisytide/daisytide/internal/request/hop"
	"github.com/daisytide/daisytide/internal/request/linkqueue"
	"github.com/daisytide/daisytide/internal/request/quarantine"
)

const logPrefix = "egress: "

// Timeouts of sending.
const (
	// maxIdleForOnce is the longest idle time of a connection that may carry a
	// request which must run at most once. An upstream may drop idle
	// connections, and after a reset it would be unknown whether the request
	// ran.
	maxIdleForOnce = time.Second
	// crashProbeTimeout bounds the check whether an upstream still listens.
	crashProbeTimeout = 200 * time.Millisecond
	// defaultRetryAfter is the retry delay of requests refused because this
	// upstream cannot take them.
	defaultRetryAfter = 100 * time.Millisecond
)

// RunObserver is notified of the outcome of each run; took is the time in the
// upstream.
type RunObserver interface {
	ObserveRun(i *Instance, r *hop.Request, res hop.Result, took time.Duration)
}

// Gate sends requests to the upstream beside the node.
type Gate struct {
	Upstream Upstream
	Client   *h1.Client
	Dialect  hop.HeaderDialect
	// VersionAllowed reports whether requests may go to a version of a service.
	VersionAllowed func(service, version string) bool
	// Evacuated reports whether the data centre of this node is evacuated; nil means
	// that it never is.
	Evacuated func() bool
	// QuarantineEvents holds the crash events and the requests isolated by
	// them. PublishCrash sends a crash event to the other nodes.
	QuarantineEvents *quarantine.EventSet
	PublishCrash     func(quarantine.Event)
	// Observer may be nil.
	Observer RunObserver
	// Log records requests that were refused or failed; nil disables it.
	Log *logs.Log
	// Metrics may be nil.
	Metrics *metrics.NodeMetrics

	// Stopping refuses requests that a planned stop would cut.
	Stopping Stopping

	// Link is the host's link; its zero value bounds nothing.
	Link linkqueue.Link

	// evacuationRefusals counts the requests refused because of an evacuation.
	evacuationRefusals atomic.Uint64

	// responseSizes holds the mean sizes of responses.
	responseSizes linkqueue.Sizes
	// receivingBodies counts the requests that wait for their bodies.
	receivingBodies atomic.Int64

	// ServiceWarmupRate returns the requests per second that a cold upstream of a
	// service sustains, by the configuration in force; 0 is no limit. nil limits none.
	ServiceWarmupRate func(service string) float64
	// AskWarmup asks an instance by a health request how long it stays cold; false if
	// it does not tell. It may be nil.
	AskWarmup func(ctx context.Context, i Instance) (left time.Duration, ok bool)
	// Announce receives each state of the upstream, in order, with the number of slots
	// that entries should count on: fewer while it is cold. It may be nil, and must not
	// call back into the Gate.
	Announce func(i Instance, slots int)

	health healthChecks

	// announceMu orders the calls of Announce. It is locked before mu.
	announceMu sync.Mutex

	// publicRuns holds the urgencies of the runs that may make nested calls.
	publicRuns runUrgencies

	mu    sync.Mutex
	queue Queue
	// instance is the latest state of the upstream, limitedRate the rate to which its
	// starts are limited, 0 for none, and announcedSlots the slots last announced.
	instance       Instance
	limitedRate    float64
	announcedSlots int
	// warmupTimer admits waiting requests while the starts are limited.
	warmupTimer *time.Timer
	// runningFingerprints counts the running requests by instance ID and
	// fingerprint.
	runningFingerprints map[string]map[quarantine.Fingerprint]int
}

// RefuseEvacuated refuses the waiting requests once Evacuated reports true. Requests
// in progress end normally.
func (g *Gate) RefuseEvacuated() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.RefuseWaiting(Decision{Code: api.CallEvacuated, RetryAfter: defaultRetryAfter})
}

// EvacuationRefusals returns the number of requests refused because of an evacuation.
func (g *Gate) EvacuationRefusals() uint64 { return g.evacuationRefusals.Load() }

// Load returns the load that the gate reports to other nodes.
func (g *Gate) Load() gate.Load {
	now := time.Now()
	incoming, outgoing := g.Link.In.Backlog(now), g.Link.Out.Backlog(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	load := gate.Load{
		Busy: g.queue.Running() + g.queue.Waiting() + int(g.receivingBodies.Load()), Slots: max(1, g.queue.Slots),
		ServiceTime: g.queue.MeanServiceTime(), LinkBacklog: incoming, ResponseBacklog: outgoing,
	}
	if g.limitedRate > 0 {
		now := time.Now()
		load.Slots, load.ServiceTime = max(1, g.queue.SustainedSlots(now)), g.queue.SlotTime(now)
	}
	return load
}

// MostUrgentRun returns the urgency of the most urgent public run in progress.
func (g *Gate) MostUrgentRun() int { return g.publicRuns.mostUrgent() }

// Accounts returns the number of client accounts with a standing.
func (g *Gate) Accounts(standing Standing) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.accounts.count(time.Now(), standing)
}

// Handle runs one request or returns why it did not run. The body is requested
// only after the request passed a preliminary admission check, and holds no
// slot while it is in transfer.
func (g *Gate) Handle(ctx context.Context, r *hop.Request, in *h1.Request) hop.Result {
	return g.handle(ctx, r, in, nil)
}

// handle is Handle. response is the transfer of the response to another node; nil if
// it does not cross the link.
func (g *Gate) handle(ctx context.Context, r *hop.Request, in *h1.Request, response *linkqueue.Transfer) hop.Result {
	began := time.Now()
	res := g.process(ctx, r, in, response)
	if res.Code == api.CallEvacuated {
		g.evacuationRefusals.Add(1)
	}
	if res.Code == api.OK {
		g.responseSizes.Observe(r.Route, len(res.Response.Body))
	}
	g.Metrics.ObserveRequest(metrics.Gate, r.Route, MetricsOutcome(res), time.Since(began))
	g.mu.Lock()
	res.MeanRunTime, res.ShortRoute = g.queue.MeanRunTime(r.Route), g.queue.IsShort(r.Route)
	g.mu.Unlock()
	if res.Code != api.OK && g.Log != nil && g.Log.AllowRequestLine() {
		g.log(r, res, time.Since(began))
	}
	return res
}

// MetricsOutcome classifies a result for the metrics.
func MetricsOutcome(res hop.Result) metrics.Outcome {
	status := 0
	if res.Code == api.OK {
		status = res.Response.Status
	}
	return metrics.OutcomeOf(res.Code, status, res.Ran)
}

// log writes one line for a request that was refused or failed here.
func (g *Gate) log(r *hop.Request, res hop.Result, took time.Duration) {
	now := time.Now()
	instance, state, age := "", "none", time.Duration(0)
	if current := g.Upstream.Current(); current != nil {
		instance, state, age = current.ID, string(current.State), now.Sub(current.ReportedAt)
	}
	slog.Info(logs.MessageRequestAtGate,
		logs.FieldRequest, r.ID, logs.FieldRoute, r.Route, logs.FieldService, r.Service, logs.FieldVersion, r.Version,
		logs.FieldConfig, r.ConfigNumber, logs.FieldCode, res.Code.String(), logs.FieldRan, string(res.Ran),
		logs.FieldInstance, instance, logs.FieldState, state, logs.FieldAge, age.Milliseconds(), logs.FieldLoad, g.Load().String(),
		logs.FieldMeanRun, res.MeanRunTime.Milliseconds(), logs.FieldTimeLeft, r.TimeLeft(now).Milliseconds(), logs.FieldTook, took.Milliseconds(), logs.FieldError, fmt.Sprint(res.Err))
}

func (g *Gate) process(ctx context.Context, r *hop.Request, in *h1.Request, response *linkqueue.Transfer) hop.Result {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	if g.Stopping.Refuses(time.Now(), g.meanRunTime(r.Route)) {
		return hop.Refuse(api.CallLeaving, defaultRetryAfter, nil)
	}
	if response != nil {
		if refusal := g.reserveResponse(r, in, response); refusal != nil {
			return *refusal
		}
	}
	body, refusal := g.receiveBody(ctx, r, in)
	if refusal != nil {
		return *refusal
	}
	if decision := g.admit(ctx, r); decision.Code != api.OK {
		return hop.Refuse(decision.Code, decision.RetryAfter, decision.Cause.Err())
	}
	began := time.Now()
	conclusive := false
	defer func() {
		now := time.Now()
		g.mu.Lock()
		defer g.mu.Unlock()
		g.queue.Complete(now, r.Route, now.Sub(began), conclusive)
		g.setTimerLocked(now)
	}()
	instance, res := g.instanceFor(r)
	if instance == nil {
		return res
	}
	if g.Stopping.EndsBefore(began, g.meanRunTime(r.Route)) {
		return hop.Refuse(api.CallLeaving, defaultRetryAfter, nil)
	}
	fingerprint := quarantine.FingerprintOf(in.Method, in.Target, r.CallerService, int64(len(body)), body)
	if verdict, _ := g.QuarantineEvents.Lookup(r.Service, fingerprint); verdict == quarantine.Quarantined {
		return hop.Refuse(api.CallQuarantined, 0, nil)
	}
	g.trackRun(instance, fingerprint, 1)
	defer g.trackRun(instance, fingerprint, -1)
	if !r.Nested {
		urgency := callerUrgency(r.Priority, r.Kind.Repeatable())
		g.publicRuns.add(urgency, 1)
		defer g.publicRuns.add(urgency, -1)
	}
	sent := time.Now()
	res = g.send(ctx, instance, r, in, body)
	took := time.Since(sent)
	conclusive = res.Ran != api.RanNo && !errors.Is(ctx.Err(), context.Canceled) && !overranDeadline(r, time.Now())
	if res.Code == api.CallCut {
		g.detectCrash(instance, r.Service)
	}
	g.checkHealth(ctx, instance, r, res, took)
	if g.Observer != nil && conclusive {
		g.Observer.ObserveRun(instance, r, res, took)
	}
	return res
}

// maxOverrun is how long after its deadline a run may end and still count as
// evidence about the upstream. A timer ends runs within milliseconds, and a
// process short of CPU time within a tenth of a second.
const maxOverrun = 100 * time.Millisecond

// overranDeadline reports whether a run ended so long after its deadline that
// this process must have been suspended, so that the run's time says nothing
// about the upstream.
func overranDeadline(r *hop.Request, now time.Time) bool { return now.Sub(r.Deadline) > maxOverrun }

func (g *Gate) meanRunTime(route string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.MeanRunTime(route)
}

// instanceFor returns the instance that may run a request, or nil and the
// refusal.
func (g *Gate) instanceFor(r *hop.Request) (*Instance, hop.Result) {
	instance := g.Upstream.Current()
	switch {
	case g.Evacuated != nil && g.Evacuated():
		return nil, hop.Refuse(api.CallEvacuated, defaultRetryAfter, nil)
	case !instance.Ready():
		return nil, hop.Refuse(api.CallLeaving, defaultRetryAfter, nil)
	case instance.Service != r.Service || instance.Version != r.Version:
		return nil, hop.Refuse(api.CallNoUpstream, defaultRetryAfter, nil)
	case !g.VersionAllowed(instance.Service, instance.Version):
		return nil, hop.Refuse(api.CallWithdrawn, defaultRetryAfter, nil)
	}
	return instance, hop.Result{}
}

// receiveBody reads the body of a request that would be admitted now. On a slow
// link this takes as long as the run, so no slot is held meanwhile.
func (g *Gate) receiveBody(ctx context.Context, r *hop.Request, in *h1.Request) ([]byte, *hop.Result) {
	size := in.PendingBodySize()
	if size == 0 {
		return in.Body, nil
	}
	refuse := func(c api.Code, after time.Duration, err error) ([]byte, *hop.Result) {
		res := hop.Refuse(c, after, err)
		return nil, &res
	}
	if instance, res := g.instanceFor(r); instance == nil {
		return refuse(res.Code, res.RetryAfter, res.Err)
	}
	g.mu.Lock()
	decision := g.queue.Preview(time.Now(), requestInfo(r))
	g.mu.Unlock()
	if decision.Code != api.OK {
		return refuse(decision.Code, decision.RetryAfter, nil)
	}
	g.receivingBodies.Add(1)
	defer g.receivingBodies.Add(-1)
	release, refusal := g.acquireBody(ctx, r, size)
	if refusal != nil {
		return nil, refusal
	}
	defer release()
	body, err := in.ReadBody()
	if err != nil {
		return refuse(api.CallBody, 0, err)
	}
	return body, nil
}

func requestInfo(r *hop.Request) RequestInfo {
	return RequestInfo{Route: r.Route, Account: r.Account, AccountPriority: r.AccountPriority, Priority: r.Priority, Nested: r.Nested, CallerUrgency: r.CallerUrgency, Deadline: r.Deadline, Objective: r.Objective}
}

// admit takes a slot, waits for one, or returns the refusal.
func (g *Gate) admit(ctx context.Context, r *hop.Request) Decision {
	if instance, res := g.instanceFor(r); instance == nil {
		return Decision{Code: res.Code, RetryAfter: res.RetryAfter}
	}
	g.mu.Lock()
	now := time.Now()
	ticket, decision := g.queue.Arrive(now, requestInfo(r))
	if ticket != nil {
		g.setTimerLocked(now)
	}
	g.mu.Unlock()
	if ticket == nil {
		return decision
	}
	select {
	case decision := <-ticket.Decision:
		return decision
	case <-ctx.Done():
	}
	g.mu.Lock()
	cancelled := g.queue.Cancel(ticket)
	g.mu.Unlock()
	if !cancelled {
		return <-ticket.Decision
	}
	return Decision{Code: api.CallNoTime}
}

// send performs one exchange with the upstream.
func (g *Gate) send(ctx context.Context, instance *Instance, r *hop.Request, in *h1.Request, body []byte) hop.Result {
	header := h1.ForwardableHeaders(in.Header)
	g.Dialect.SetUpstreamHeaders(header, r.TimeLeft(time.Now()), instance.ID, r.CallerService)
	if r.Account != "" {
		g.Dialect.SetAccount(header, r.Account)
	}
	idHeader, id := g.Dialect.RequestID(header)
	c := &h1.ClientRequest{
		Method: in.Method, Target: in.Target, Host: in.Host, Header: header, Body: body,
		IDHeader: idHeader, ID: id, Judge: g.judgeResponse,
	}
	if !r.Kind.Repeatable() {
		c.MaxIdleTime = maxIdleForOnce
	}
	resp, err := g.Client.Do(ctx, instance.Address, c)
	if err != nil {
		return g.resultOfError(ctx, instance, err)
	}
	notExecuted, replaced := g.Dialect.NotExecuted(resp)
	switch {
	case replaced:
		g.Upstream.MarkReplaced(instance.ID)
		return hop.Refuse(api.CallNoUpstream, defaultRetryAfter, errors.New("another instance answers at the upstream's address"))
	case notExecuted:
		res := hop.Refuse(api.CallShed, defaultRetryAfter, errors.New("the upstream refused the request"))
		res.UpstreamRefused = true
		return res
	}
	return hop.Result{Code: api.OK, Ran: api.RanYes, Response: resp}
}

var errUnsigned = errors.New("a success without the upstream's signature")

// judgeResponse implements h1.ClientRequest.Judge. An upstream echoes the ID in all
// responses but those by which it refuses a request. A faulty one sends bytes that
// belong to no request; a success among them has neither ID nor signature.
func (g *Gate) judgeResponse(resp *h1.Response, echoed bool) error {
	notExecuted, _ := g.Dialect.NotExecuted(resp)
	switch {
	case notExecuted:
		return nil
	case !echoed:
		return h1.ErrForeignResponse
	case resp.Status < http.StatusMultipleChoices && !g.Dialect.Signed(resp):
		return errUnsigned
	}
	return nil
}

// resultOfError derives the result of an exchange that got no response.
func (g *Gate) resultOfError(ctx context.Context, instance *Instance, err error) hop.Result {
	var exchange *h1.Error
	if !errors.As(err, &exchange) {
		return hop.Result{Code: api.CallCut, Ran: api.RanUnknown, Err: err}
	}
	switch {
	case !exchange.Sent:
		if exchange.Failure == h1.ConnectionRefused {
			g.Upstream.MarkUnreachable(instance.ID)
		}
		return hop.Refuse(api.CallNotReached, defaultRetryAfter, err)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return hop.Result{Code: api.CallTimeout, Ran: api.RanUnknown, Err: err}
	case ctx.Err() != nil:
		return hop.Result{Code: api.CallCancelled, Ran: api.RanUnknown, Err: err}
	default:
		return hop.Result{Code: api.CallCut, Ran: api.RanUnknown, Err: err}
	}
}

// trackRun adds n to the number of requests with a fingerprint that run in an
// instance.
func (g *Gate) trackRun(instance *Instance, fingerprint quarantine.Fingerprint, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.runningFingerprints == nil {
		g.runningFingerprints = map[string]map[quarantine.Fingerprint]int{}
	}
	if g.runningFingerprints[instance.ID] == nil {
		g.runningFingerprints[instance.ID] = map[quarantine.Fingerprint]int{}
	}
	g.runningFingerprints[instance.ID][fingerprint] += n
	if g.runningFingerprints[instance.ID][fingerprint] == 0 {
		delete(g.runningFingerprints[instance.ID], fingerprint)
	}
	if len(g.runningFingerprints[instance.ID]) == 0 {
		delete(g.runningFingerprints, instance.ID)
	}
}

// detectCrash checks whether the instance died with the request whose
// connection broke. If it did, all requests that ran in it become suspects.
func (g *Gate) detectCrash(instance *Instance, service string) {
	conn, err := net.DialTimeout("tcp", instance.Address, crashProbeTimeout)
	if err == nil {
		_ = conn.Close()
		return
	}
	now := time.Now()
	event := quarantine.Event{ID: instanceHash(instance), Service: service, ExpiresUnix: now.Add(quarantine.SuspectTTL).Unix()}
	g.mu.Lock()
	for fingerprint := range g.runningFingerprints[instance.ID] {
		event.Fingerprints = append(event.Fingerprints, fingerprint)
	}
	g.mu.Unlock()
	g.Upstream.MarkUnreachable(instance.ID)
	if g.QuarantineEvents.Add(event) {
		slog.Warn(logPrefix+"instance died", logs.FieldInstance, instance.ID, logs.FieldService, service, logs.FieldRunningAtCrash, len(event.Fingerprints))
		g.PublishCrash(event)
	}
}

// Serve handles the requests of other nodes.
func (g *Gate) Serve(ctx context.Context, in *h1.Request) *h1.Response {
	r, err := hop.DecodeHeader(in.Header, in.ReceivedAt)
	if err != nil {
		return BuildResponse(hop.Refuse(api.CallHeader, 0, err), g.Load())
	}
	_, r.ID = g.Dialect.RequestID(in.Header)
	response := &linkqueue.Transfer{}
	return g.sendResponse(ctx, r, response, g.handle(ctx, r, in, response))
}
