package idempotency

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/kvstore"
	"github.com/daisytide/daisytide/internal/conn/rpc"
	"github.com/daisytide/daisytide/internal/request/call"
)

const logPrefix = "once: "

const (
	// gateReplyTimeout bounds the wait for the gates' replies.
	gateReplyTimeout = 500 * time.Millisecond
	// maxRosterReads bounds how often one attempt reads the roster.
	maxRosterReads = 3
)

// Coordinator decides at the entry whether a repeated attempt may run.
type Coordinator struct {
	// RPC calls the gates.
	RPC rpc.Invoker
	// LiveGates lists the known addresses of a service's live gates.
	LiveGates func(service string) []string
	// Metrics may be nil.
	Metrics *expvar.Map

	rosterReader rosterReader
	rosterCache  rosterCache
}

// NewCoordinator returns a coordinator that reads rosters from store.
func NewCoordinator(store kvstore.Store, caller rpc.Invoker, gates func(service string) []string) *Coordinator {
	return &Coordinator{
		RPC:          caller,
		LiveGates:    gates,
		rosterReader: rosterReader{store: store, reads: map[string]*sharedRead{}},
	}
}

// Middleware implements call.Middleware at the entry. Client libraries may
// repeat calls without the caller's knowledge. So the owner of the key is asked
// about each call without an attempt number and each call numbered 1. If the
// owner cannot decide, the caller's number counts.
func (co *Coordinator) Middleware(next call.Handler) call.Handler {
	return func(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call.Call) call.Result {
		if !RequiresAtMostOnce(c) {
			return next(ctx, w, r, c)
		}
		numbered := r.Header.Get(call.HeaderAttempt) != ""
		if c.Attempt == 1 {
			switch order, owner := co.classify(ctx, c); {
			case order == orderFirst:
				return co.runFirst(ctx, owner, c, func() call.Result { return next(ctx, w, r, c) })
			case order == orderUnknown && numbered:
				return next(ctx, w, r, c)
			}
		}
		ballot := Ballot{Attempt: uint32(c.Attempt), TimestampMillis: uint64(time.Now().UnixMilli()), Nonce: rand.Uint64()}
		round := co.resolve(ctx, r, c, ballot)
		co.count(round.Outcome())
		switch round.Outcome() {
		case RoundFenced:
			c.FencingToken = ballot.String()
			return next(ctx, w, r, c)
		case RoundRecordFound:
			return round.Record.writeTo(w)
		case RoundSuperseded:
			return storedOutcome(api.CallFenced)
		case RoundKeyConflict:
			return storedOutcome(api.CallKeyClash)
		default:
			return storedOutcome(api.CallOutcomeUnknown)
		}
	}
}

// outcomeCounters are the metric names of the outcomes.
var outcomeCounters = [...]string{
	RoundFenced: "repeats_run", RoundIncomplete: "repeats_unknown", RoundStaleRoster: "repeats_unknown",
	RoundSuperseded: "repeats_fenced", RoundRecordFound: "repeats_answered", RoundKeyConflict: "key_clashes",
}

func (co *Coordinator) count(outcome RoundOutcome) {
	if co.Metrics != nil {
		co.Metrics.Add(outcomeCounters[outcome], 1)
	}
}

// writeTo sends the saved response, or returns the result for the record's state.
func (r KeyReply) writeTo(w http.ResponseWriter) call.Result {
	if r.Response != nil {
		return r.Response.Write(w)
	}
	return storedOutcome(r.State.Code())
}

// resolve first looks for a record at the live gates, which needs no store. If
// there is none, it requests a fence from every gate of the roster, and starts
// again if a gate has joined meanwhile.
func (co *Coordinator) resolve(ctx context.Context, r *http.Request, c *call.Call, ballot Ballot) FenceRound {
	round := co.lookupRecords(ctx, r, c)
	if round.Outcome() > RoundStaleRoster {
		return round
	}
	for range maxRosterReads {
		roster, err := co.rosterReader.read(ctx, c.Service)
		if err != nil {
			klog.V(1).Infof(logPrefix+"read roster of service %q: %v", c.Service, err)
			return NewFenceRound(0)
		}
		co.rosterCache.putIfNewer(c.Service, roster)
		round = co.requestFences(ctx, r, c, ballot, roster)
		if round.Outcome() != RoundStaleRoster {
			return round
		}
	}
	return round
}

// requestFences asks all gates of a roster concurrently for a fence.
func (co *Coordinator) requestFences(ctx context.Context, r *http.Request, c *call.Call, ballot Ballot, roster Roster) FenceRound {
	requests := make(map[string]KeyRequest, len(roster.Gates))
	round := NewFenceRound(len(roster.Gates))
	duplicates := 0
	request := KeyRequest{Service: c.Service, Key: c.IdempotencyKey, Ballot: ballot, Fingerprint: RequestFingerprint(r), RosterRevision: roster.Revision}
	for _, g := range roster.Gates {
		if _, duplicate := requests[g.Address]; duplicate {
			// One of two incarnations at one address has ended and cannot be
			// asked.
			duplicates++
			continue
		}
		request.Incarnation = g.Incarnation
		requests[g.Address] = request
	}
	co.broadcast(ctx, MethodFence, requests, &round)
	for range duplicates {
		round.AddFailure()
	}
	return round
}

// lookupRecords asks the live gates for a record. Its outcome never allows the
// attempt to run.
func (co *Coordinator) lookupRecords(ctx context.Context, r *http.Request, c *call.Call) FenceRound {
	requests := map[string]KeyRequest{}
	for _, address := range co.LiveGates(c.Service) {
		requests[address] = KeyRequest{Service: c.Service, Key: c.IdempotencyKey, Fingerprint: RequestFingerprint(r)}
	}
	// One more gate than is asked, so that the outcome is never RoundFenced.
	round := NewFenceRound(len(requests) + 1)
	co.broadcast(ctx, MethodLookup, requests, &round)
	round.AddFailure()
	return round
}

// broadcast sends one request to each address and collects the replies.
func (co *Coordinator) broadcast(ctx context.Context, method string, requests map[string]KeyRequest, round *FenceRound) {
	ctx, cancel := context.WithTimeout(ctx, gateReplyTimeout)
	defer cancel()
	replies := make(chan *KeyReply, len(requests))
	for address, request := range requests {
		go func() { replies <- co.send(ctx, address, method, request) }()
	}
	for range requests {
		if round.Outcome() != RoundPending {
			return
		}
		if reply := <-replies; reply != nil {
			round.AddReply(*reply)
		} else {
			round.AddFailure()
		}
	}
}

// send returns nil if the call fails.
func (co *Coordinator) send(ctx context.Context, address, method string, request KeyRequest) *KeyReply {
	var reply KeyReply
	if err := co.RPC.Call(ctx, address, method, request, &reply); err != nil {
		klog.V(1).Infof(logPrefix+"%v", err)
		return nil
	}
	return &reply
}
