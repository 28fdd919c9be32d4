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

// answerGrace is the time past a call's deadline in which a caller that reads
// slowly may still take an answer that began in time.
const answerGrace = 2 * time.Second

// trial is the attempts at one call.
type trial struct {
	entry *Entry
	w     http.ResponseWriter
	r     *http.Request
	call  *call.Call
	snap  *snapshot.Snapshot
	body  *forward.Body

	// tried are the nodes that saw an attempt; triedRoom is their room.
	tried     []string
	triedRoom [retry.MaxAttempts]string
	// last is how the attempt before ended, doubt the last one that may have
	// run in spite of its failure.
	last  call.Result
	doubt call.Result
	// kept is an answer that is passed on only if no other attempt is made.
	kept *http.Response
}

func (t *trial) state(ctx context.Context) retry.CallState {
	return retry.CallState{
		Attempts:       len(t.tried),
		Idempotent:     t.call.Idempotent,
		BodyReplayable: t.body.Replayable(),
		HasTimeLeft:    ctx.Err() == nil,
	}
}

// drop closes an answer that was not passed on.
func (t *trial) drop() {
	if t.kept != nil {
		t.kept.Body.Close()
		t.kept = nil
	}
}

// settle ends the call with res, unless an attempt before it says more: an
// answer that was kept, or a failure after which the call may have run. What
// one gate did not run, another may have.
func (t *trial) settle(ctx context.Context, res call.Result) call.Result {
	switch {
	case res.HeaderSent:
		return res
	case t.kept != nil:
		resp := t.kept
		t.kept = nil
		return t.answer(ctx, resp)
	case res.Ran == api.RanNo && t.doubt.Code != api.OK:
		return t.doubt
	default:
		return res
	}
}

// note remembers how an attempt ended.
func (t *trial) note(res call.Result) {
	t.last = res
	if res.Code != api.OK && res.Ran != api.RanNo {
		t.doubt = res
	}
}

// once makes one attempt. More is false when no node is left to try; the
// result then is that of the attempt before, if there was one.
func (t *trial) once(ctx context.Context) (res call.Result, more bool) {
	e := t.entry
	t.call.Version = e.Versions.ChooseVersion(t.snap, t.call.Service, rand.Float64())
	key := membership.UpstreamKey{Service: t.call.Service, Version: t.call.Version}
	rng := rand.New(globalRandom{})
	picked, ok := e.Picker.PickTwoChoices(e.Members.Index(), key, t.tried, time.Now(), rng)
	if !ok {
		return t.none(), false
	}
	t.tried = append(t.triedRoom[:len(t.tried)], picked.Record.Address)
	began := time.Now()
	if picked.Record.Address == e.LocalGate.Address {
		t.note(t.local(ctx, picked))
	} else {
		t.note(t.remote(ctx, picked))
	}
	t.call.Attempts = append(t.call.Attempts, logs.Attempt{Node: picked.Record.Address, Code: t.last.Code, Took: time.Since(began)})
	return t.last, true
}

// globalRandom makes the goroutine-safe global generator a source.
type globalRandom struct{}

// Uint64 implements rand.Source.
func (globalRandom) Uint64() uint64 { return rand.Uint64() }

// none is the result when no node is left to try: that of the attempt before.
func (t *trial) none() call.Result {
	if len(t.tried) > 0 {
		return t.last
	}
	return call.Refuse(api.CallNoUpstream, nil)
}

// local runs the call at this node's own gate, in process.
func (t *trial) local(ctx context.Context, picked balancer.Selection) call.Result {
	reader, end := t.body.NewAttemptReader()
	defer end()
	r := *t.r
	r.Body = reader
	res := t.entry.LocalGate.Handle(ctx, t.w, &r, t.call)
	picked.Done(time.Now(), faultOf(res), t.entry.LocalGate.Load(), true)
	return res
}

// remote sends the call to the gate of another node.
func (t *trial) remote(ctx context.Context, picked balancer.Selection) call.Result {
	reader, end := t.body.NewAttemptReader()
	defer end()
	a := forward.Attempt{
		Transport: t.entry.Transport, Scheme: t.entry.Scheme, Host: picked.Record.Address, Prefix: t.entry.GatePathPrefix,
		Body: reader, ContentLength: t.body.Size(), ExpectContinue: t.body.Streamed(), Idempotent: t.call.Idempotent,
		SetHeaders: t.prepare,
	}
	resp, res := a.Send(ctx, t.r)
	if res.Code != api.OK {
		picked.Done(time.Now(), faultOf(res), gate.Load{}, false)
		return res
	}
	load, err := gate.ParseLoad(resp.Header.Get(call.HeaderLoad))
	if refusal, ok := forward.ParseRefusal(resp); ok {
		resp.Body.Close()
		picked.Done(time.Now(), faultOf(refusal), load, err == nil)
		return refusal
	}
	res = t.take(ctx, resp)
	picked.Done(time.Now(), faultOf(res), load, err == nil)
	return res
}

func (t *trial) prepare(h http.Header) {
	t.call.EncodeHeader(h, time.Now())
	h.Set(call.HeaderPeerKey, t.entry.PeerKey)
}

// take passes the upstream's answer on, unless another upstream may do
// better: then it is kept.
func (t *trial) take(ctx context.Context, resp *http.Response) call.Result {
	res := call.Result{Code: api.OK, Ran: api.RanYes, Status: resp.StatusCode, NestedFailure: resp.Header.Get(call.HeaderNestedFailure) != ""}
	if _, again := retry.ShouldRetry(res, t.state(ctx)); again {
		t.drop()
		t.kept = resp
		return res
	}
	return t.answer(ctx, resp)
}

func (t *trial) answer(ctx context.Context, resp *http.Response) call.Result {
	delete(resp.Header, call.HeaderLoad)
	deeper := resp.Header.Get(call.HeaderNestedFailure) != ""
	res := forward.WriteResponse(ctx, t.w, resp, t.call.Deadline.Add(answerGrace))
	res.NestedFailure = deeper
	return res
}

// faultOf reads what an attempt has shown of its upstream.
func faultOf(res call.Result) balancer.Outcome {
	switch res.Code {
	case api.OK:
		return answerFault(res)
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

func answerFault(res call.Result) balancer.Outcome {
	switch {
	case res.Status < http.StatusInternalServerError:
		return balancer.Success
	case res.NestedFailure:
		return balancer.Inconclusive
	default:
		return balancer.Failure
	}
}
