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

// The simulation sends keyed calls through entries and gates over a fake network
// in virtual time, with faults that depend on the seed and the key.

const (
	simCalls         = 100_000
	simCallInterval  = 10 * time.Millisecond // between two calls
	simCrashInterval = 200 * time.Second     // between two crashes of a gate
	simRestartDelay  = 2 * time.Second       // from a crash to the restart
	simMaxAttempts   = 6                     // per caller
	simGates         = 9
	simService       = "credit-ledger"
	simRunTime       = 5 * time.Millisecond
	simMaxDelay      = 30 * time.Second
)

var errMessageLost = errors.New("lost")

type simulation struct {
	seed         uint64
	plainRetries bool
	store        *store.Store
	coordinators []*Coordinator

	mu         sync.Mutex
	gates      map[string]*simGate
	runs       map[string]int
	tally      map[string]int
	sendCounts map[string]int
}

type simGate struct {
	dedup *Deduplicator
	dead  bool
	stop  context.CancelFunc
	serve call.Handler
}

// happens draws from the seed and a name, independently of the goroutines' order.
func (s *simulation) happens(probability float64, name ...any) bool {
	return float64(xxhash.Sum64String(fmt.Sprint(s.seed, name))>>11)/(1<<53) < probability
}

func (s *simulation) gate(address string) *simGate {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gates[address]
}

func (s *simulation) liveGates(string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for i := range simGates {
		if a := address(i); !s.gates[a].dead {
			out = append(out, a)
		}
	}
	return out
}

func address(i int) string { return "10.0.0." + strconv.Itoa(i) }

// start starts a gate with empty state.
func (s *simulation) start(ctx context.Context, i int) {
	ctx, stop := context.WithCancel(ctx)
	dedup := NewDeduplicator(GateID{Address: address(i), Incarnation: rand.Uint64() | 1}, DefaultLimits)
	manager := NewRosterManager(dedup, s.store, s)
	g := &simGate{dedup: dedup, stop: stop, serve: dedup.Middleware(s.runUpstream)}
	if s.plainRetries {
		g.serve = s.runUpstream
	}
	s.mu.Lock()
	s.gates[address(i)] = g
	s.mu.Unlock()
	manager.AddService(simService)
	go func() { _ = manager.Run(ctx) }()
}

func (s *simulation) kill(i int) {
	g := s.gate(address(i))
	g.stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	g.dead = true
}

// Call implements rpc.Invoker between entries and gates.
func (s *simulation) Call(_ context.Context, address, method string, in, out any) error {
	g := s.gate(address)
	request, isKeyRequest := in.(KeyRequest)
	if g.dead || isKeyRequest && s.happens(0.002, "question", request.Key, request.Ballot.Attempt, address) {
		return errMessageLost
	}
	var err error
	switch method {
	case MethodFence:
		*out.(*KeyReply), err = g.dedup.GrantFence(context.Background(), request)
	case MethodLookup:
		*out.(*KeyReply), err = g.dedup.Lookup(context.Background(), request)
	case MethodClaim:
		*out.(*ClaimReply), err = g.dedup.Claim(context.Background(), in.(ClaimRequest))
	case MethodJoin:
		*out.(*JoinReply), err = g.dedup.AdmitGate(context.Background(), in.(JoinRequest))
	}
	if isKeyRequest && s.happens(0.002, "reply", request.Key, request.Ballot.Attempt, address) {
		return errMessageLost
	}
	return err
}

// nextSend counts the sends with a key, including retries within one attempt.
func (s *simulation) nextSend(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sendCounts[key]++
	return s.sendCounts[key]
}

// runUpstream is the upstream. Some runs fail before, during or after execution.
func (s *simulation) runUpstream(_ context.Context, rw http.ResponseWriter, _ *http.Request, c *call.Call) call.Result {
	n := s.nextSend(c.IdempotencyKey)
	if s.happens(0.01, "before", c.IdempotencyKey, n) {
		return call.Refuse(api.CallNotReached, nil)
	}
	time.Sleep(simRunTime)
	if s.happens(0.005, "during", c.IdempotencyKey, n) {
		return storedOutcome(api.CallCut)
	}
	s.mu.Lock()
	s.runs[c.IdempotencyKey]++
	s.mu.Unlock()
	if s.happens(0.01, "after", c.IdempotencyKey, n) {
		return storedOutcome(api.CallCut)
	}
	_, _ = rw.Write([]byte("credited " + c.IdempotencyKey))
	return call.Result{Code: api.OK, Ran: api.RanYes, Status: http.StatusOK, HeaderSent: true}
}

// send acts as the entry below its middlewares: it tries up to three gates while
// the call was not run. Some responses are lost.
func (s *simulation) send(ctx context.Context, rw http.ResponseWriter, r *http.Request, c *call.Call) call.Result {
	res := call.Refuse(api.CallNoUpstream, nil)
	live := s.liveGates("")
	for range min(3, len(live)) {
		n := s.nextSend(c.IdempotencyKey)
		g := s.gate(live[(int(xxhash.Sum64String(c.IdempotencyKey)%97)+n)%len(live)])
		attemptCall := *c
		res = g.serve(ctx, rw, r, &attemptCall)
		if s.happens(0.02, "answer", c.IdempotencyKey, n) {
			return storedOutcome(api.CallCut)
		}
		if res.Ran != api.RanNo {
			return res
		}
	}
	return res
}

// attempt sends one attempt through an entry; number 0 omits the header.
func (s *simulation) attempt(key string, entry, number int) api.Code {
	r := httptest.NewRequest(http.MethodPost, "/credit", http.NoBody)
	if number > 0 {
		r.Header.Set(call.HeaderAttempt, strconv.Itoa(number))
	}
	c := &call.Call{Service: simService, IdempotencyKey: key, Attempt: max(1, number), Deadline: time.Now().Add(5 * time.Second)}
	handler := call.Handler(s.send)
	if !s.plainRetries {
		handler = s.coordinators[entry%len(s.coordinators)].Middleware(handler)
	}
	rec := httptest.NewRecorder()
	res := handler(context.Background(), rec, r, c)
	if res.Code == api.OK && rec.Body.String() != "credited "+key {
		s.count("responses of another key")
	}
	return res.Code
}

func (s *simulation) count(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tally[name]++
}

// runCaller repeats a call through other entries until its outcome is known.
func (s *simulation) runCaller(i int) {
	key := "key-" + strconv.Itoa(i)
	numbered := !s.happens(0.1, "unnumbered", key)
	kind := "numbered"
	if !numbered {
		kind = "unnumbered"
	}
	number := 0
	if numbered {
		number = 1
	}
	for n := 1; n <= simMaxAttempts; n++ {
		if n == 1 && s.happens(0.01, "late", key) {
			late := number
			go func() {
				time.Sleep(time.Duration(xxhash.Sum64String(key) % uint64(simMaxDelay)))
				s.attempt(key, i, late)
			}()
			number = nextNumber(number)
			continue
		}
		if n > 1 && s.happens(0.1, "twice", key, n) {
			go s.attempt(key, i+n+1, nextNumber(number))
		}
		code := s.attempt(key, i+n, number)
		switch {
		case code == api.OK:
			s.count(kind + " answered")
			return
		case !s.plainRetries && !api.Info(code).Retryable && code != api.CallCut:
			s.count(fmt.Sprint(kind, " ", code))
			return
		case api.Info(code).Ran != api.RanNo || code == api.CallFenced:
			number = nextNumber(number)
		}
		time.Sleep(100 * time.Millisecond)
	}
	s.count(kind + " gave up")
}

// nextNumber returns the number for the attempt after one that may have run. An
// attempt that did not run is repeated under the same number.
func nextNumber(number int) int {
	if number == 0 {
		return 0
	}
	return number + 1
}

// simulate runs the calls and returns the highest number of runs of one key and
// the number of keys that ran more than once.
func simulate(t *testing.T, calls int, seed uint64, plainRetries, storeDown bool) (sim *simulation, maxRuns, repeatedKeys int) {
	sim = &simulation{seed: seed, plainRetries: plainRetries, store: store.New(seed), gates: map[string]*simGate{}, runs: map[string]int{}, tally: map[string]int{}, sendCounts: map[string]int{}}
	for range simGates {
		sim.coordinators = append(sim.coordinators, NewCoordinator(sim.store, sim, sim.liveGates))
	}
	for i := range simGates {
		sim.start(t.Context(), i)
	}
	time.Sleep(time.Minute)
	sim.store.SetFaults(store.Faults{Down: storeDown})
	var callers sync.WaitGroup
	for i := range calls {
		if at := time.Duration(i) * simCallInterval; at%simCrashInterval == simCrashInterval/2 {
			victim := int(at/simCrashInterval) % simGates
			sim.kill(victim)
			time.AfterFunc(simRestartDelay, func() { sim.start(t.Context(), victim) })
		}
		callers.Go(func() { sim.runCaller(i) })
		time.Sleep(simCallInterval)
	}
	callers.Wait()
	time.Sleep(2 * simMaxDelay)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, n := range sim.runs {
		maxRuns = max(maxRuns, n)
		if n > 1 {
			repeatedKeys++
		}
	}
	for _, g := range sim.gates {
		g.stop()
	}
	return sim, maxRuns, repeatedKeys
}

func TestKeyedCallsUnderRandomFaultsRunAtMostOnce(t *testing.T) {
	calls := simCalls
	if raceDetector || testing.Short() {
		calls /= 20
	}
	for name, mode := range map[string]struct{ plain, down bool }{
		"plain retries": {plain: true},
		"store up":      {},
		"store down":    {down: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sim, maxRuns, repeatedKeys := simulate(t, calls, 1, mode.plain, mode.down)
				t.Logf("%d keys, at most %d runs of a key, %d keys run more than once; store %+v", calls, maxRuns, repeatedKeys, sim.store.Counts())
				t.Logf("%v", sim.tally)
				if !mode.plain && maxRuns > 1 {
					t.Errorf("%d keys ran more than once", repeatedKeys)
				}
				if mode.plain && repeatedKeys == 0 {
					t.Error("plain retries ran no key twice: the injected faults have no effect")
				}
				if n := sim.tally["responses of another key"]; n > 0 {
					t.Errorf("%d responses of another key", n)
				}
			})
		})
	}
}
