// Package egress is the only way into the upstream beside a node: it queues,
// refuses and sends, and tells truthfully what ran.
package egress

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/h1"
	"github.com/daisytide/daisytide/internal/logs"
	"github.com/daisytide/daisytide/internal/metrics"
	"github.com/daisytide/daisytide/internal/request/gate"
	"github.com/daisytide/daisytide/internal/request/hop"
	"github.com/daisytide/daisytide/internal/request/quarantine"
	"github.com/daisytide/daisytide/internal/version/traffic"
)

const logPrefix = "egress: "

// Times of sending.
const (
	// freshFor is how lately a connection must have been used to carry a
	// request that must run once: an upstream may forget idle connections, and
	// a reset would leave it unknown whether the request ran.
	maxIdleForOnce = time.Second
	// reachTimeout bounds the test whether an upstream still listens.
	crashProbeTimeout = 200 * time.Millisecond
	// downAfter is when a refused request may return to a service whose
	// upstream here is gone.
	defaultRetryAfter = 100 * time.Millisecond
)

// RunObserver hears how each run ended; took is the time in the upstream.
type RunObserver interface {
	ObserveRun(i *Instance, r *hop.Request, res hop.Result, took time.Duration)
}

// Gate sends requests to the upstream beside the node.
type Gate struct {
	Upstream Upstream
	Client   *h1.Client
	Dialect  hop.HeaderDialect
	// VersionAllowed tells whether requests may go to a version of a service.
	VersionAllowed func(service, version string) bool
	// QuarantineEvents knows the requests that crash upstreams; PublishCrash spreads a fact.
	QuarantineEvents *quarantine.EventSet
	PublishCrash     func(quarantine.Event)
	// Observer may be nil.
	Observer RunObserver
	// Log tells of requests that were refused or failed; nil tells of none.
	Log *logs.Log
	// Metrics may be nil.
	Metrics *metrics.Requests

	// LinkBytesPerSecond is what the host's link carries, in bytes a second; 0 takes
	// bodies without a bound.
	LinkBytesPerSecond int64

	bodies bodyLimiter
	// receiving counts the requests whose bodies are waited for.
	receivingBodies atomic.Int64

	mu                  sync.Mutex
	queue               Queue
	runningFingerprints map[string]map[quarantine.Fingerprint]int
}

// UpstreamChanged takes what the upstream says of itself.
func (g *Gate) UpstreamChanged(i Instance) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if i.State != api.UpstreamReady {
		g.queue.RefuseWaiting(Decision{Code: api.CallLeaving, RetryAfter: defaultRetryAfter})
		return
	}
	g.queue.Slots = i.Slots
	g.queue.AdmitWaiting(time.Now())
}

// Load returns what the gate tells of itself.
func (g *Gate) Load() gate.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return gate.Load{
		Busy: g.queue.Running() + g.queue.Waiting() + int(g.receivingBodies.Load()), Slots: max(1, g.queue.Slots),
		ServiceTime: g.queue.MeanServiceTime(), LinkBacklog: g.bodies.backlog(g.LinkBytesPerSecond),
	}
}

// Handle runs one request, or tells why not. The body is asked for when the
// request would be admitted, and takes no slot while it comes.
func (g *Gate) Handle(ctx context.Context, r *hop.Request, in *h1.Request) hop.Result {
	began := time.Now()
	res := g.process(ctx, r, in)
	g.Metrics.Observe(metrics.Gate, r.Route, MetricsOutcome(res), time.Since(began))
	g.mu.Lock()
	res.MeanRunTime, res.ShortRoute = g.queue.MeanRunTime(r.Route), g.queue.IsShort(r.Route)
	g.mu.Unlock()
	if res.Code != api.OK && g.Log != nil && g.Log.Request() {
		g.log(r, res, time.Since(began))
	}
	return res
}

// MetricsOutcome sorts a result for the metrics.
func MetricsOutcome(res hop.Result) metrics.Outcome {
	status := 0
	if res.Code == api.OK {
		status = res.Answer.Status
	}
	return metrics.OutcomeOf(res.Code, status, res.Ran)
}

// log writes one line on a request that was refused or failed here.
func (g *Gate) log(r *hop.Request, res hop.Result, took time.Duration) {
	now := time.Now()
	instance, state, age := "", "none", time.Duration(0)
	if i := g.Upstream.Current(); i != nil {
		instance, state, age = i.ID, string(i.State), now.Sub(i.ReportedAt)
	}
	slog.Info(logs.MessageGate,
		logs.FieldRequest, r.ID, logs.FieldRoute, r.Route, logs.FieldService, r.Service, logs.FieldVersion, r.Version,
		logs.FieldConfig, r.ConfigNumber, logs.FieldCode, res.Code.String(), logs.FieldRan, string(res.Ran),
		logs.FieldInstance, instance, logs.FieldState, state, logs.FieldAge, age.Milliseconds(), logs.FieldLoad, g.Load().String(),
		logs.FieldNeed, res.MeanRunTime.Milliseconds(), logs.FieldLeft, r.TimeLeft(now).Milliseconds(), logs.FieldTook, took.Milliseconds(), logs.FieldError, fmt.Sprint(res.Err))
}

func (g *Gate) process(ctx context.Context, r *hop.Request, in *h1.Request) hop.Result {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	body, refusal := g.receiveBody(ctx, r, in)
	if refusal != nil {
		return *refusal
	}
	if v := g.admit(ctx, r); v.Code != api.OK {
		return hop.Refuse(v.Code, v.RetryAfter, nil)
	}
	began := time.Now()
	telling := false
	defer func() {
		now := time.Now()
		g.mu.Lock()
		defer g.mu.Unlock()
		g.queue.Complete(now, r.Route, now.Sub(began), telling)
	}()
	i, res := g.instanceFor(r)
	if i == nil {
		return res
	}
	print := quarantine.FingerprintOf(in.Method, in.Target, r.CallerService, int64(len(body)), body)
	if verdict, _ := g.QuarantineEvents.Lookup(r.Service, print); verdict == quarantine.Quarantined {
		return hop.Refuse(api.CallQuarantined, 0, nil)
	}
	g.trackRun(i, print, 1)
	defer g.trackRun(i, print, -1)
	sent := time.Now()
	res = g.send(ctx, i, r, in, body)
	took := time.Since(sent)
	telling = res.Ran != api.RanNo && !errors.Is(ctx.Err(), context.Canceled) && !overranDeadline(r, time.Now())
	if res.Code == api.CallCut {
		g.detectCrash(i, r.Service)
	}
	if g.Observer != nil && telling {
		g.Observer.ObserveRun(i, r, res, took)
	}
	return res
}

// outlivedBy is how long after its deadline a run may end and still tell of the
// upstream: a timer ends it within milliseconds, and a process short of
// processor time within a tenth of a second.
const maxOverrun = 100 * time.Millisecond

// outlived tells that a run ended so long after its deadline that this process
// stood still meanwhile, or was held: its time says nothing of the upstream.
func overranDeadline(r *hop.Request, now time.Time) bool { return now.Sub(r.Deadline) > maxOverrun }

// serving returns the instance that may run a request, or the refusal.
func (g *Gate) instanceFor(r *hop.Request) (*Instance, hop.Result) {
	i := g.Upstream.Current()
	switch {
	case !i.Ready():
		return nil, hop.Refuse(api.CallLeaving, defaultRetryAfter, nil)
	case i.Service != r.Service || i.Version != r.Version:
		return nil, hop.Refuse(api.CallNoUpstream, defaultRetryAfter, nil)
	case !g.VersionAllowed(i.Service, i.Version):
		return nil, hop.Refuse(api.CallWithdrawn, defaultRetryAfter, nil)
	}
	return i, hop.Result{}
}

// receive brings the body of a request that would be admitted now. On a slow
// link that takes as long as the run; a slot held meanwhile serves nobody.
func (g *Gate) receiveBody(ctx context.Context, r *hop.Request, in *h1.Request) ([]byte, *hop.Result) {
	size := in.ToCome()
	if size == 0 {
		return in.Body, nil
	}
	refuse := func(c api.Code, after time.Duration, err error) ([]byte, *hop.Result) {
		res := hop.Refuse(c, after, err)
		return nil, &res
	}
	if i, res := g.instanceFor(r); i == nil {
		return refuse(res.Code, res.RetryAfter, res.Err)
	}
	g.mu.Lock()
	v := g.queue.Preview(time.Now(), requestInfo(r), g.bodies.backlog(g.LinkBytesPerSecond)+transferTime(max(0, size), g.LinkBytesPerSecond))
	g.mu.Unlock()
	if v.Code != api.OK {
		return refuse(v.Code, v.RetryAfter, nil)
	}
	g.receivingBodies.Add(1)
	defer g.receivingBodies.Add(-1)
	release, err := g.bodies.acquire(ctx, size, g.LinkBytesPerSecond)
	if err != nil {
		return refuse(api.CallNoTime, 0, err)
	}
	defer release()
	body, err := in.ReadBody()
	if err != nil {
		return refuse(api.CallBody, 0, err)
	}
	return body, nil
}

func requestInfo(r *hop.Request) RequestInfo {
	return RequestInfo{Route: r.Route, Priority: r.Priority, Deadline: r.Deadline, Objective: r.Objective}
}

// admit takes a slot, waits for one, or says why not.
func (g *Gate) admit(ctx context.Context, r *hop.Request) Decision {
	if i, res := g.instanceFor(r); i == nil {
		return Decision{Code: res.Code, RetryAfter: res.RetryAfter}
	}
	g.mu.Lock()
	t, v := g.queue.Arrive(time.Now(), requestInfo(r))
	g.mu.Unlock()
	if t == nil {
		return v
	}
	select {
	case v := <-t.Decision:
		return v
	case <-ctx.Done():
	}
	g.mu.Lock()
	withdrawn := g.queue.Cancel(t)
	g.mu.Unlock()
	if !withdrawn {
		return <-t.Decision
	}
	return Decision{Code: api.CallNoTime}
}

// send makes one exchange with the upstream.
func (g *Gate) send(ctx context.Context, i *Instance, r *hop.Request, in *h1.Request, body []byte) hop.Result {
	header := h1.Forwardable(in.Header)
	g.Dialect.SetUpstreamHeaders(header, r.TimeLeft(time.Now()), i.ID, r.CallerService)
	idHeader, id := g.Dialect.RequestID(header)
	c := &h1.Call{
		Method: in.Method, Target: in.Target, Host: in.Host, Header: header, Body: body,
		IDHeader: idHeader, ID: id,
	}
	if r.Kind != traffic.Idempotent {
		c.Fresh = maxIdleForOnce
	}
	resp, err := g.Client.Do(ctx, i.Address, c)
	if err != nil {
		return g.resultOfError(ctx, i, err)
	}
	notRun, other := g.Dialect.NotExecuted(resp)
	switch {
	case other:
		g.Upstream.MarkReplaced(i.ID)
		return hop.Refuse(api.CallNoUpstream, defaultRetryAfter, errors.New("another instance answers"))
	case notRun:
		res := hop.Refuse(api.CallShed, defaultRetryAfter, errors.New("the upstream refused"))
		res.UpstreamRefused = true
		return res
	}
	return hop.Result{Code: api.OK, Ran: api.RanYes, Answer: resp}
}

// failed says what is known of an exchange without an answer.
func (g *Gate) resultOfError(ctx context.Context, i *Instance, err error) hop.Result {
	var e *h1.Error
	if !errors.As(err, &e) {
		return hop.Result{Code: api.CallCut, Ran: api.RanUnknown, Err: err}
	}
	switch {
	case !e.Sent:
		if e.Failure == h1.Refused {
			g.Upstream.MarkUnreachable(i.ID)
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

// running notes the requests that run in an instance, by fingerprint.
func (g *Gate) trackRun(i *Instance, p quarantine.Fingerprint, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.runningFingerprints == nil {
		g.runningFingerprints = map[string]map[quarantine.Fingerprint]int{}
	}
	if g.runningFingerprints[i.ID] == nil {
		g.runningFingerprints[i.ID] = map[quarantine.Fingerprint]int{}
	}
	g.runningFingerprints[i.ID][p] += n
	if g.runningFingerprints[i.ID][p] == 0 {
		delete(g.runningFingerprints[i.ID], p)
	}
	if len(g.runningFingerprints[i.ID]) == 0 {
		delete(g.runningFingerprints, i.ID)
	}
}

// inquire finds out whether the instance died with the request whose
// connection broke, and blames all that ran in it.
func (g *Gate) detectCrash(i *Instance, service string) {
	conn, err := net.DialTimeout("tcp", i.Address, crashProbeTimeout)
	if err == nil {
		_ = conn.Close()
		return
	}
	now := time.Now()
	f := quarantine.Event{ID: instanceHash(i), Service: service, ExpiresUnix: now.Add(quarantine.SuspectTTL).Unix()}
	g.mu.Lock()
	for p := range g.runningFingerprints[i.ID] {
		f.Fingerprints = append(f.Fingerprints, p)
	}
	g.mu.Unlock()
	g.Upstream.MarkUnreachable(i.ID)
	if g.QuarantineEvents.Add(f) {
		slog.Warn(logPrefix+"instance died", logs.FieldInstance, i.ID, logs.FieldService, service, logs.FieldDied, len(f.Fingerprints))
		g.PublishCrash(f)
	}
}

// Serve answers the calls of other nodes.
func (g *Gate) Serve(ctx context.Context, in *h1.Request) *h1.Response {
	r, err := hop.DecodeHeader(in.Header, in.Arrived)
	if err != nil {
		return BuildResponse(hop.Refuse(api.CallHeader, 0, err), g.Load())
	}
	_, r.ID = g.Dialect.RequestID(in.Header)
	return BuildResponse(g.Handle(ctx, r, in), g.Load())
}
