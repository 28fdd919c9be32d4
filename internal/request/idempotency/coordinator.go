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
	// askTimeout bounds the wait for one gate's answer.
	askTimeout = 500 * time.Millisecond
	// maxReads bounds how often one attempt reads the roster.
	maxReads = 3
)

// Coordinator is the entry's part: it decides what a later attempt may do.
type Coordinator struct {
	// RPC asks gates.
	RPC rpc.Invoker
	// LiveGates lists the addresses of a service's live gates, as far as known.
	LiveGates func(service string) []string
	// Metrics may be nil.
	Metrics *expvar.Map

	rosters rosters
	views   views
}

// NewCoordinator returns an entry that reads rosters from store.
func NewCoordinator(store kvstore.Store, caller rpc.Invoker, gates func(service string) []string) *Coordinator {
	return &Coordinator{
		RPC:       caller,
		LiveGates: gates,
		rosters:   rosters{store: store, flights: map[string]*flight{}},
	}
}

// Middleware implements call.Middleware at the entry. Callers and their
// libraries repeat calls unseen, so the home of the key is asked about a call
// without a number, and about one that claims to be the first. Where the home
// is not sure the caller's number counts.
func (e *Coordinator) Middleware(next call.Handler) call.Handler {
	return func(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call.Call) call.Result {
		if !RequiresAtMostOnce(c) {
			return next(ctx, w, r, c)
		}
		numbered := r.Header.Get(call.HeaderAttempt) != ""
		if c.Attempt == 1 {
			switch n, home := e.number(ctx, c); {
			case n == first:
				return e.runFirst(ctx, home, c, func() call.Result { return next(ctx, w, r, c) })
			case n == unsure && numbered:
				return next(ctx, w, r, c)
			}
		}
		ballot := Ballot{Attempt: uint32(c.Attempt), TimestampMillis: uint64(time.Now().UnixMilli()), Nonce: rand.Uint64()}
		col := e.collect(ctx, r, c, ballot)
		e.count(col.Outcome())
		switch col.Outcome() {
		case RoundFenced:
			c.FencingToken = ballot.String()
			return next(ctx, w, r, c)
		case RoundRecordFound:
			return col.Record.answer(w)
		case RoundSuperseded:
			return told(api.CallFenced)
		case RoundKeyConflict:
			return told(api.CallKeyClash)
		default:
			return told(api.CallOutcomeUnknown)
		}
	}
}

// verdicts names the counters, by verdict.
var verdicts = [...]string{
	RoundFenced: "repeats_run", RoundIncomplete: "repeats_unknown", RoundStaleRoster: "repeats_unknown",
	RoundSuperseded: "repeats_fenced", RoundRecordFound: "repeats_answered", RoundKeyConflict: "key_clashes",
}

func (e *Coordinator) count(v RoundOutcome) {
	if e.Metrics != nil {
		e.Metrics.Add(verdicts[v], 1)
	}
}

// answer tells what a record says.
func (r KeyReply) answer(w http.ResponseWriter) call.Result {
	if r.Response != nil {
		return r.Response.Write(w)
	}
	return told(r.State.Code())
}

// collect looks for a record at the live gates, which needs no store. Where
// there is none it asks every gate of the roster, and anew while gates join.
func (e *Coordinator) collect(ctx context.Context, r *http.Request, c *call.Call, b Ballot) FenceRound {
	col := e.look(ctx, r, c)
	if col.Outcome() > RoundStaleRoster {
		return col
	}
	for range maxReads {
		roster, err := e.rosters.read(ctx, c.Service)
		if err != nil {
			klog.V(1).Infof(logPrefix+"no table of gates of %s: %v", c.Service, err)
			return NewFenceRound(0)
		}
		e.views.offer(c.Service, roster)
		col = e.fence(ctx, r, c, b, roster)
		if col.Outcome() != RoundStaleRoster {
			return col
		}
	}
	return col
}

// fence asks all gates of a roster at once for a fence or a record.
func (e *Coordinator) fence(ctx context.Context, r *http.Request, c *call.Call, b Ballot, roster Roster) FenceRound {
	questions := make(map[string]KeyRequest, len(roster.Gates))
	col := NewFenceRound(len(roster.Gates))
	twins := 0
	q := KeyRequest{Service: c.Service, Key: c.IdempotencyKey, Ballot: b, Fingerprint: RequestFingerprint(r), RosterRevision: roster.Revision}
	for _, g := range roster.Gates {
		if _, twice := questions[g.Address]; twice {
			// Two incarnations at one address: the older one is dead.
			twins++
			continue
		}
		q.Incarnation = g.Incarnation
		questions[g.Address] = q
	}
	e.ask(ctx, MethodFence, questions, &col)
	for range twins {
		col.AddFailure()
	}
	return col
}

// look asks the live gates for a record. Nothing may run after it, whatever
// they say.
func (e *Coordinator) look(ctx context.Context, r *http.Request, c *call.Call) FenceRound {
	questions := map[string]KeyRequest{}
	for _, address := range e.LiveGates(c.Service) {
		questions[address] = KeyRequest{Service: c.Service, Key: c.IdempotencyKey, Fingerprint: RequestFingerprint(r)}
	}
	// One gate more than can be asked: the verdict is never RoundFenced.
	col := NewFenceRound(len(questions) + 1)
	e.ask(ctx, MethodLookup, questions, &col)
	col.AddFailure()
	return col
}

// ask puts one question to each address and gathers the answers.
func (e *Coordinator) ask(ctx context.Context, method string, questions map[string]KeyRequest, col *FenceRound) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answers := make(chan *KeyReply, len(questions))
	for address, q := range questions {
		go func() { answers <- e.askOne(ctx, address, method, q) }()
	}
	for range questions {
		if col.Outcome() != RoundPending {
			return
		}
		if a := <-answers; a != nil {
			col.AddReply(*a)
		} else {
			col.AddFailure()
		}
	}
}

// askOne returns nil where the gate could not be asked.
func (e *Coordinator) askOne(ctx context.Context, address, method string, q KeyRequest) *KeyReply {
	var out KeyReply
	if err := e.RPC.Call(ctx, address, method, q, &out); err != nil {
		klog.V(1).Infof(logPrefix+"%v", err)
		return nil
	}
	return &out
}
