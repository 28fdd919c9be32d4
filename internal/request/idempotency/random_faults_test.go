package idempotency

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/request/call"
	"github.com/daisytide/daisytide/internal/standin/store"
)

// The drive sends keyed calls through entries and gates that are joined by
// fakes, in virtual time, with faults that depend on the seed and the key.

const (
	driveCalls    = 100_000
	driveRate     = 10 * time.Millisecond // between two calls
	driveKill     = 200 * time.Second     // between two deaths of a gate
	driveBack     = 2 * time.Second       // from a death to the next start
	driveTries    = 6                     // attempts of one caller
	driveGates    = 9
	driveService  = "credit-ledger"
	driveRunTime  = 5 * time.Millisecond
	driveLateness = 30 * time.Second
)

var errLost = errors.New("lost")

type world struct {
	seed    uint64
	plain   bool
	store   *store.Store
	entries []*Coordinator

	mu    sync.Mutex
	gates map[string]*simGate
	runs  map[string]int
	tally map[string]int
	sends map[string]int
}

type simGate struct {
	keys  *Deduplicator
	dead  bool
	stop  context.CancelFunc
	serve call.Handler
}

// chance decides by seed and name, whatever the order of goroutines.
func (w *world) chance(share float64, name ...any) bool {
	return float64(xxhash.Sum64String(fmt.Sprint(w.seed, name))>>11)/(1<<53) < share
}

func (w *world) gate(address string) *simGate {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.gates[address]
}

func (w *world) live(string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for i := range driveGates {
		if a := address(i); !w.gates[a].dead {
			out = append(out, a)
		}
	}
	return out
}

func address(i int) string { return "10.0.0." + strconv.Itoa(i) }

// start starts a gate anew, with nothing in memory.
func (w *world) start(ctx context.Context, i int) {
	ctx, stop := context.WithCancel(ctx)
	keys := NewDeduplicator(GateID{Address: address(i), Incarnation: rand.Uint64() | 1}, DefaultLimits)
	keeper := NewRosterManager(keys, w.store, w)
	g := &simGate{keys: keys, stop: stop, serve: keys.Middleware(w.run)}
	if w.plain {
		g.serve = w.run
	}
	w.mu.Lock()
	w.gates[address(i)] = g
	w.mu.Unlock()
	keeper.AddService(driveService)
	go func() { _ = keeper.Run(ctx) }()
}

func (w *world) kill(i int) {
	g := w.gate(address(i))
	g.stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	g.dead = true
}

// Call implements rpc.Caller between entries and gates.
func (w *world) Call(_ context.Context, address, method string, in, out any) error {
	g := w.gate(address)
	q, isQuestion := in.(KeyRequest)
	if g.dead || isQuestion && w.chance(0.002, "question", q.Key, q.Ballot.Attempt, address) {
		return errLost
	}
	var err error
	switch method {
	case MethodFence:
		*out.(*KeyReply), err = g.keys.GrantFence(context.Background(), q)
	case MethodLookup:
		*out.(*KeyReply), err = g.keys.Lookup(context.Background(), q)
	case MethodClaim:
		*out.(*ClaimReply), err = g.keys.Claim(context.Background(), in.(ClaimRequest))
	case MethodJoin:
		*out.(*JoinReply), err = g.keys.AdmitGate(context.Background(), in.(JoinRequest))
	}
	if isQuestion && w.chance(0.002, "reply", q.Key, q.Ballot.Attempt, address) {
		return errLost
	}
	return err
}

// sending numbers what is sent with a key, below the callers' numbers.
func (w *world) sending(key string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sends[key]++
	return w.sends[key]
}

// run is the upstream: it dies before, during or after some runs.
func (w *world) run(_ context.Context, rw http.ResponseWriter, _ *http.Request, c *call.Call) call.Result {
	n := w.sending(c.IdempotencyKey)
	if w.chance(0.01, "before", c.IdempotencyKey, n) {
		return call.Refuse(api.CallNotReached, nil)
	}
	time.Sleep(driveRunTime)
	if w.chance(0.005, "during", c.IdempotencyKey, n) {
		return told(api.CallCut)
	}
	w.mu.Lock()
	w.runs[c.IdempotencyKey]++
	w.mu.Unlock()
	if w.chance(0.01, "after", c.IdempotencyKey, n) {
		return told(api.CallCut)
	}
	_, _ = rw.Write([]byte("credited " + c.IdempotencyKey))
	return call.Result{Code: api.OK, Ran: api.RanYes, Status: http.StatusOK, HeaderSent: true}
}

// send is what an entry does below its middlewares: it tries up to three
// gates while the call was not run. Some answers are lost on their way.
func (w *world) send(ctx context.Context, rw http.ResponseWriter, r *http.Request, c *call.Call) call.Result {
	res := call.Refuse(api.CallNoUpstream, nil)
	live := w.live("")
	for range min(3, len(live)) {
		n := w.sending(c.IdempotencyKey)
		g := w.gate(live[(int(xxhash.Sum64String(c.IdempotencyKey)%97)+n)%len(live)])
		at := *c
		res = g.serve(ctx, rw, r, &at)
		if w.chance(0.02, "answer", c.IdempotencyKey, n) {
			return told(api.CallCut)
		}
		if res.Ran != api.RanNo {
			return res
		}
	}
	return res
}

// attempt sends one attempt through an entry; 0 leaves the number out.
func (w *world) attempt(key string, entry, number int) api.Code {
	r := httptest.NewRequest(http.MethodPost, "/credit", http.NoBody)
	if number > 0 {
		r.Header.Set(call.HeaderAttempt, strconv.Itoa(number))
	}
	c := &call.Call{Service: driveService, IdempotencyKey: key, Attempt: max(1, number), Deadline: time.Now().Add(5 * time.Second)}
	handler := call.Handler(w.send)
	if !w.plain {
		handler = w.entries[entry%len(w.entries)].Middleware(handler)
	}
	rec := httptest.NewRecorder()
	res := handler(context.Background(), rec, r, c)
	if res.Code == api.OK && rec.Body.String() != "credited "+key {
		w.count("answers that are not the key's")
	}
	return res.Code
}

func (w *world) count(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tally[name]++
}

// caller repeats a call through other entries until it is told how it ended.
func (w *world) caller(i int) {
	key := "key-" + strconv.Itoa(i)
	numbered := !w.chance(0.1, "unnumbered", key)
	kind := "numbered"
	if !numbered {
		kind = "unnumbered"
	}
	number := 0
	if numbered {
		number = 1
	}
	for n := 1; n <= driveTries; n++ {
		if n == 1 && w.chance(0.01, "late", key) {
			late := number
			go func() {
				time.Sleep(time.Duration(xxhash.Sum64String(key) % uint64(driveLateness)))
				w.attempt(key, i, late)
			}()
			number = nextNumber(number)
			continue
		}
		if n > 1 && w.chance(0.1, "twice", key, n) {
			go w.attempt(key, i+n+1, nextNumber(number))
		}
		code := w.attempt(key, i+n, number)
		switch {
		case code == api.OK:
			w.count(kind + " answered")
			return
		case !w.plain && !api.Info(code).Retryable && code != api.CallCut:
			w.count(fmt.Sprint(kind, " ", code))
			return
		case api.Info(code).Ran != api.RanNo || code == api.CallFenced:
			number = nextNumber(number)
		}
		time.Sleep(100 * time.Millisecond)
	}
	w.count(kind + " gave up")
}

// nextNumber numbers the attempt after one that may have run; one that did not run
// is sent again under its number.
func nextNumber(number int) int {
	if number == 0 {
		return 0
	}
	return number + 1
}

// drive runs the calls and returns the most runs of one key.
func drive(t *testing.T, calls int, seed uint64, plain, storeDown bool) (w *world, worst, doubled int) {
	w = &world{seed: seed, plain: plain, store: store.New(seed), gates: map[string]*simGate{}, runs: map[string]int{}, tally: map[string]int{}, sends: map[string]int{}}
	for range driveGates {
		w.entries = append(w.entries, NewCoordinator(w.store, w, w.live))
	}
	for i := range driveGates {
		w.start(t.Context(), i)
	}
	time.Sleep(time.Minute)
	w.store.SetFaults(store.Faults{Down: storeDown})
	var callers sync.WaitGroup
	for i := range calls {
		if at := time.Duration(i) * driveRate; at%driveKill == driveKill/2 {
			victim := int(at/driveKill) % driveGates
			w.kill(victim)
			time.AfterFunc(driveBack, func() { w.start(t.Context(), victim) })
		}
		callers.Go(func() { w.caller(i) })
		time.Sleep(driveRate)
	}
	callers.Wait()
	time.Sleep(2 * driveLateness)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range w.runs {
		worst = max(worst, n)
		if n > 1 {
			doubled++
		}
	}
	for _, g := range w.gates {
		g.stop()
	}
	return w, worst, doubled
}

func TestKeyedCallsUnderRandomFaultsRunAtMostOnce(t *testing.T) {
	calls := driveCalls
	if raceDetector || testing.Short() {
		calls /= 20
	}
	for name, set := range map[string]struct{ plain, down bool }{
		"plain retries": {plain: true},
		"store up":      {},
		"store down":    {down: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w, worst, doubled := drive(t, calls, 1, set.plain, set.down)
				t.Logf("%d keys, at most %d runs of one, %d run more than once; store %+v", calls, worst, doubled, w.store.Counts())
				t.Logf("%v", w.tally)
				if !set.plain && worst > 1 {
					t.Errorf("%d keys ran more than once", doubled)
				}
				if set.plain && doubled == 0 {
					t.Error("plain retries ran no key twice: the faults do not bite")
				}
				if n := w.tally["answers that are not the key's"]; n > 0 {
					t.Errorf("%d answers of another key", n)
				}
			})
		})
	}
}
