package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/logs"
	"github.com/daisytide/daisytide/internal/process/membership"
	"github.com/daisytide/daisytide/internal/request/balancer"
	"github.com/daisytide/daisytide/internal/request/call"
	"github.com/daisytide/daisytide/internal/request/forward"
	"github.com/daisytide/daisytide/internal/request/gate"
	"github.com/daisytide/daisytide/internal/request/retry"
	"github.com/daisytide/daisytide/internal/version/snapshot"
)

// responseGrace is the time after a call's deadline during which a slow caller may
// still read a response that began in time.
const responseGrace = 2 * time.Second

// attemptSeries holds the attempts at one call.
type attemptSeries struct {
	entry *Entry
	w     http.ResponseWriter
	r     *http.Request
	call  *call.Call
	snap  *snapshot.Snapshot
	body  *forward.Body

	// tried holds the nodes that were sent an attempt, backed by triedBuffer.
	tried       []string
	triedBuffer [retry.MaxAttempts]string
	// lastResult is the result of the latest attempt. maybeRanResult is that of
	// the latest failed attempt that may have run; its code is api.OK if there
	// was none.
	lastResult     call.Result
	maybeRanResult call.Result
	// deferredResponse is sent only if no further attempt is made.
	deferredResponse *http.Response
}

func (s *attemptSeries) callState(ctx context.Context) retry.CallState {
	return retry.CallState{
		Attempts:       len(s.tried),
		Idempotent:     s.call.Idempotent,
		BodyReplayable: s.body.Replayable(),
		HasTimeLeft:    ctx.Err() == nil,
	}
}

// closeDeferred discards the deferred response.
func (s *attemptSeries) closeDeferred() {
	if s.deferredResponse != nil {
		s.deferredResponse.Body.Close()
		s.deferredResponse = nil
	}
}

// finalResult ends the call with res, unless an earlier attempt takes precedence: a
// deferred response, or a failure after which the call may have run. If the last
// gate did not run the call, an earlier one still may have.
func (s *attemptSeries) finalResult(ctx context.Context, res call.Result) call.Result {
	switch {
	case res.HeaderSent:
		return res
	case s.deferredResponse != nil:
		resp := s.deferredResponse
		s.deferredResponse = nil
		return s.writeResponse(ctx, resp)
	case res.Ran == api.RanNo && s.maybeRanResult.Code != api.OK:
		return s.maybeRanResult
	default:
		return res
	}
}

// record stores the result of an attempt.
func (s *attemptSeries) record(res call.Result) {
	s.lastResult = res
	if res.Code != api.OK && res.Ran != api.RanNo {
		s.maybeRanResult = res
	}
}

// attemptNext makes one attempt. more is false if no node is left to try; res is
// then the result of the previous attempt, if there was one.
func (s *attemptSeries) attemptNext(ctx context.Context) (res call.Result, more bool) {
	e := s.entry
	s.call.Version = e.Versions.ChooseVersion(s.snap, s.call.Service, rand.Float64())
	key := membership.UpstreamKey{Service: s.call.Service, Version: s.call.Version}
	rng := rand.New(globalSource{})
	selection, ok := e.Picker.PickTwoChoices(e.Members.Index(), key, s.tried, time.Now(), rng)
	if !ok {
		return s.noNodeLeft(), false
	}
	s.tried = append(s.triedBuffer[:len(s.tried)], selection.Record.Address)
	start := time.Now()
	if selection.Record.Address == e.LocalGate.Address {
		s.record(s.attemptLocal(ctx, selection))
	} else {
		s.record(s.attemptRemote(ctx, selection))
	}
	s.call.Attempts = append(s.call.Attempts, logs.Attempt{Node: selection.Record.Address, Code: s.lastResult.Code, Took: time.Since(start)})
	return s.lastResult, true
}

// globalSource makes the goroutine-safe global generator a rand.Source.
type globalSource struct{}

// Uint64 implements rand.Source.
func (globalSource) Uint64() uint64 { return rand.Uint64() }

// noNodeLeft returns the result for when no node is left to try: that of the
// previous attempt, or a refusal if there was none.
func (s *attemptSeries) noNodeLeft() call.Result {
	if len(s.tried) > 0 {
		return s.lastResult
	}
	return call.Refuse(api.CallNoUpstream, nil)
}

// attemptLocal runs the call at this node's own gate, without a network hop.
func (s *attemptSeries) attemptLocal(ctx context.Context, selection balancer.Selection) call.Result {
	reader, end := s.body.NewAttemptReader()
	defer end()
	r := *s.r
	r.Body = reader
	res := s.entry.LocalGate.Handle(ctx, s.w, &r, s.call)
	selection.Done(time.Now(), outcomeOf(res), s.entry.LocalGate.Load(), true)
	return res
}

// attemptRemote sends the call to the gate of another node.
func (s *attemptSeries) attemptRemote(ctx context.Context, selection balancer.Selection) call.Result {
	reader, end := s.body.NewAttemptReader()
	defer end()
	a := forward.Attempt{
		Transport: s.entry.Transport, Scheme: s.entry.Scheme, Host: selection.Record.Address, Prefix: s.entry.GatePathPrefix,
		Body: reader, ContentLength: s.body.Size(), ExpectContinue: s.body.Streamed(), Idempotent: s.call.Idempotent,
		SetHeaders: s.setHeaders,
	}
	resp, res := a.Send(ctx, s.r)
	if res.Code != api.OK {
		selection.Done(time.Now(), outcomeOf(res), gate.Load{}, false)
		return res
	}
	load, err := gate.ParseLoad(resp.Header.Get(call.HeaderLoad))
	if refusal, ok := forward.ParseRefusal(resp); ok {
		resp.Body.Close()
		selection.Done(time.Now(), outcomeOf(refusal), load, err == nil)
		return refusal
	}
	res = s.handleResponse(ctx, resp)
	selection.Done(time.Now(), outcomeOf(res), load, err == nil)
	return res
}

func (s *attemptSeries) setHeaders(h http.Header) {
	s.call.EncodeHeader(h, time.Now())
	h.Set(call.HeaderPeerKey, s.entry.PeerKey)
}

// handleResponse sends the upstream's response to the caller, or defers it if a
// retry may give a better one.
func (s *attemptSeries) handleResponse(ctx context.Context, resp *http.Response) call.Result {
	res := call.Result{Code: api.OK, Ran: api.RanYes, Status: resp.StatusCode, NestedFailure: resp.Header.Get(call.HeaderNestedFailure) != ""}
	if _, again := retry.ShouldRetry(res, s.callState(ctx)); again {
		s.closeDeferred()
		s.deferredResponse = resp
		return res
	}
	return s.writeResponse(ctx, resp)
}

func (s *attemptSeries) writeResponse(ctx context.Context, resp *http.Response) call.Result {
	delete(resp.Header, call.HeaderLoad)
	nestedFailure := resp.Header.Get(call.HeaderNestedFailure) != ""
	res := forward.WriteResponse(ctx, s.w, resp, s.call.Deadline.Add(responseGrace))
	res.NestedFailure = nestedFailure
	return res
}

// outcomeOf returns what the result of an attempt shows about the upstream.
func outcomeOf(res call.Result) balancer.Outcome {
	switch res.Code {
	case api.OK:
		return responseOutcome(res)
	case api.CallNotReached:
		return balancer.Unreachable
	case api.CallLeaving, api.CallNoUpstream:
		return balancer.Draining
	case api.CallCut, api.CallShortAnswer, api.CallTimeout:
		if !res.NestedFailure {
			return balancer.Failure
		}
	}
	return balancer.Inconclusive
}

func responseOutcome(res call.Result) balancer.Outcome {
	switch {
	case res.Status < http.StatusInternalServerError:
		return balancer.Success
	case res.NestedFailure:
		return balancer.Inconclusive
	default:
		return balancer.Failure
	}
}
