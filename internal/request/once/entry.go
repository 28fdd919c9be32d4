package once

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/platform"
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

// Entry is the entry's part: it decides what a later attempt may do.
type Entry struct {
	// Caller asks gates.
	Caller rpc.Caller
	// Gates lists the addresses of a service's live gates, as far as known.
	Gates func(service string) []string
	// Metrics may be nil.
	Metrics *expvar.Map

	rosters rosters
	views   views
}

// NewEntry returns an entry that reads rosters from store.
func NewEntry(store platform.Store, caller rpc.Caller, gates func(service string) []string) *Entry {
	return &Entry{
		Caller:  caller,
		Gates:   gates,
		rosters: rosters{store: store, flights: map[string]*flight{}},
	}
}

// Middleware implements call.Middleware at the entry. Callers and their
// libraries repeat calls unseen, so the home of the key is asked about a call
// without a number, and about one that claims to be the first. Where the home
// is not sure the caller's number counts.
func (e *Entry) Middleware(next call.Handler) call.Handler {
	return func(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call.Call) call.Result {
		if !Guarded(c) {
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
		ballot := Ballot{Attempt: uint32(c.Attempt), Stamp: uint64(time.Now().UnixMilli()), ID: rand.Uint64()}
		col := e.collect(ctx, r, c, ballot)
		e.count(col.Verdict())
		switch col.Verdict() {
		case Held:
			c.Fence = ballot.String()
			return next(ctx, w, r, c)
		case Answered:
			return col.Record.answer(w)
		case Beaten:
			return told(api.CallFenced)
		case Clashed:
			return told(api.CallKeyClash)
		default:
			return told(api.CallOutcomeUnknown)
		}
	}
}

// verdicts names the counters, by verdict.
var verdicts = [...]string{
	Held: "repeats_run", Lost: "repeats_unknown", Reread: "repeats_unknown",
	Beaten: "repeats_fenced", Answered: "repeats_answered", Clashed: "key_clashes",
}

func (e *Entry) count(v Verdict) {
	if e.Metrics != nil {
		e.Metrics.Add(verdicts[v], 1)
	}
}

// answer tells what a record says.
func (r Reply) answer(w http.ResponseWriter) call.Result {
	if r.Answer != nil {
		return r.Answer.Write(w)
	}
	return told(r.State.Code())
}

// collect looks for a record at the live gates, which needs no store. Where
// there is none it asks every gate of the roster, and anew while gates join.
func (e *Entry) collect(ctx context.Context, r *http.Request, c *call.Call, b Ballot) Collection {
	col := e.look(ctx, r, c)
	if col.Verdict() > Reread {
		return col
	}
	for range maxReads {
		roster, err := e.rosters.read(ctx, c.Service)
		if err != nil {
			klog.V(1).Infof(logPrefix+"no table of gates of %s: %v", c.Service, err)
			return Collect(0)
		}
		e.views.offer(c.Service, roster)
		col = e.fence(ctx, r, c, b, roster)
		if col.Verdict() != Reread {
			return col
		}
	}
	return col
}

// fence asks all gates of a roster at once for a fence or a record.
func (e *Entry) fence(ctx context.Context, r *http.Request, c *call.Call, b Ballot, roster Roster) Collection {
	questions := make(map[string]Question, len(roster.Gates))
	col := Collect(len(roster.Gates))
	twins := 0
	q := Question{Service: c.Service, Key: c.Key, Ballot: b, Print: Print(r), Revision: roster.Revision}
	for _, g := range roster.Gates {
		if _, twice := questions[g.Address]; twice {
			// Two incarnations at one address: the older one is dead.
			twins++
			continue
		}
		q.Gate = g.Instance
		questions[g.Address] = q
	}
	e.ask(ctx, MethodFence, questions, &col)
	for range twins {
		col.Missed()
	}
	return col
}

// look asks the live gates for a record. Nothing may run after it, whatever
// they say.
func (e *Entry) look(ctx context.Context, r *http.Request, c *call.Call) Collection {
	questions := map[string]Question{}
	for _, address := range e.Gates(c.Service) {
		questions[address] = Question{Service: c.Service, Key: c.Key, Print: Print(r)}
	}
	// One gate more than can be asked: the verdict is never Held.
	col := Collect(len(questions) + 1)
	e.ask(ctx, MethodLook, questions, &col)
	col.Missed()
	return col
}

// ask puts one question to each address and gathers the answers.
func (e *Entry) ask(ctx context.Context, method string, questions map[string]Question, col *Collection) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answers := make(chan *Reply, len(questions))
	for address, q := range questions {
		go func() { answers <- e.askOne(ctx, address, method, q) }()
	}
	for range questions {
		if col.Verdict() != Collecting {
			return
		}
		if a := <-answers; a != nil {
			col.Heard(*a)
		} else {
			col.Missed()
		}
	}
}

// askOne returns nil where the gate could not be asked.
func (e *Entry) askOne(ctx context.Context, address, method string, q Question) *Reply {
	var out Reply
	if err := e.Caller.Call(ctx, address, method, q, &out); err != nil {
		klog.V(1).Infof(logPrefix+"%v", err)
		return nil
	}
	return &out
}
