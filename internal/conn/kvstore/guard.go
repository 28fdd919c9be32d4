package kvstore

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"
	"golang.org/x/time/rate"

	"github.com/daisytide/daisytide/internal/logs"
)

// Limits of a guard.
const (
	// guardBurst is the number of calls that may follow each other at once:
	// an operator's document takes a read, a write and a few repeats.
	guardBurst = 10
	// backoffFirst and backoffMost bound the wait after failures in a row,
	// unless the guard has another bound.
	backoffFirst = 100 * time.Millisecond
	backoffMost  = 30 * time.Second
)

var errBackingOff = errors.New("the store failed lately; the node waits before the next call")

// Guard stands in front of every call that a node makes to the store: a token
// bucket, one read per key at a time, and after a failure a wait with full
// jitter. A call whose context ends before the wait does is refused at once.
type RateLimitedStore struct {
	// BackoffMost bounds the wait after failures in a row.
	MaxBackoff time.Duration
	// Returned, where set, is told that calls are answered again, and since when
	// they were not.
	OnRecovery func(away time.Duration)

	store   Store
	limiter *rate.Limiter
	flights singleflight.Group

	mu sync.Mutex
	// readings are the reads under way, by flight.
	readings map[string]*reading
	fails    int
	until    time.Time
	reached  bool
	// lost is when calls ceased to be answered.
	lost  time.Time
	calls uint64
}

const logPrefix = "store: "

// NewGuard guards store with a rate in calls per second.
func NewRateLimitedStore(store Store, perSecond float64) *RateLimitedStore {
	return &RateLimitedStore{MaxBackoff: backoffMost, store: store, limiter: rate.NewLimiter(rate.Limit(perSecond), guardBurst), readings: map[string]*reading{}}
}

// Reached tells whether the last call that ended was answered by the store.
func (g *RateLimitedStore) Reachable() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.reached
}

// Calls returns the number of calls made.
func (g *RateLimitedStore) Calls() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.calls
}

// enter waits for the end of the backoff and for a token.
func (g *RateLimitedStore) enter(ctx context.Context, op, key string) error {
	if err := g.await(ctx); err != nil {
		return &Error{Op: op, Key: key, Outcome: OutcomeNotReached, Err: err}
	}
	if err := g.limiter.Wait(ctx); err != nil {
		return &Error{Op: op, Key: key, Outcome: OutcomeRateLimited, Err: err}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.calls++
	return nil
}

func (g *RateLimitedStore) await(ctx context.Context) error {
	for {
		g.mu.Lock()
		until := g.until
		g.mu.Unlock()
		wait := time.Until(until)
		if wait <= 0 {
			return nil
		}
		if deadline, ok := ctx.Deadline(); ok && deadline.Before(until) {
			return errBackingOff
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C:
		}
	}
}

// leave takes a call's end into account. A call that its own caller gave up
// says nothing of the store.
func (g *RateLimitedStore) leave(ctx context.Context, err error) {
	if err != nil && errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	if err == nil || shows(OutcomeOf(err)) {
		g.answered()
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.reached {
		slog.Warn(logPrefix+"lost", logs.FieldError, err.Error())
		g.lost = time.Now()
	}
	g.reached = false
	wait := min(g.MaxBackoff, backoffFirst<<min(g.fails, 16))
	g.fails++
	g.until = time.Now().Add(rand.N(wait))
}

// answered notes that a call was answered.
func (g *RateLimitedStore) answered() {
	g.mu.Lock()
	back, lost := !g.reached, g.lost
	g.fails, g.reached = 0, true
	g.mu.Unlock()
	if !back {
		return
	}
	slog.Info(logPrefix + "reached")
	if g.OnRecovery != nil && !lost.IsZero() {
		g.OnRecovery(time.Since(lost))
	}
}

// shows tells whether an outcome shows a store at work.
func shows(o Outcome) bool {
	return o == OutcomeRefused || o == OutcomeConflict || o == OutcomeHistoryLost
}

// guarded makes one call behind the guard.
func guarded[T any](ctx context.Context, g *RateLimitedStore, op, key string, call func() (T, error)) (T, error) {
	var none T
	if err := g.enter(ctx, op, key); err != nil {
		return none, err
	}
	out, err := call()
	g.leave(ctx, err)
	return out, err
}

// Get implements Store.
func (g *RateLimitedStore) Get(ctx context.Context, key string) (Entry, error) {
	return shared(ctx, g, "get", key, g.store.Get)
}

// List implements Store.
func (g *RateLimitedStore) List(ctx context.Context, prefix string, stale bool) ([]Entry, uint64, error) {
	op := "list"
	if stale {
		op = "list-stale"
	}
	out, err := shared(ctx, g, op, prefix, func(ctx context.Context, prefix string) (changes, error) {
		entries, revision, err := g.store.List(ctx, prefix, stale)
		return changes{entries, revision}, err
	})
	return out.entries, out.revision, err
}

// reading is a read under way that several callers may wait for.
type reading struct {
	ctx     context.Context
	cancel  context.CancelFunc
	waiters int
}

// join enters a caller into the read of a key. The read keeps the deadline of
// the caller who began it, and goes on when that one gives up.
func (g *RateLimitedStore) join(ctx context.Context, flight string) *reading {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.readings[flight]
	if r == nil {
		r = &reading{}
		inner := context.WithoutCancel(ctx)
		if deadline, ok := ctx.Deadline(); ok {
			r.ctx, r.cancel = context.WithDeadline(inner, deadline)
		} else {
			r.ctx, r.cancel = context.WithCancel(inner)
		}
		g.readings[flight] = r
	}
	r.waiters++
	return r
}

// part ends a read once nobody waits for it, so that no read outlives its
// callers in a backoff or a queue for tokens.
func (g *RateLimitedStore) part(flight string, r *reading) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r.waiters--
	if r.waiters > 0 {
		return
	}
	r.cancel()
	g.flights.Forget(flight)
	delete(g.readings, flight)
}

// shared makes a read that others who ask for the same key meanwhile wait for.
func shared[T any](ctx context.Context, g *RateLimitedStore, op, key string, read func(context.Context, string) (T, error)) (T, error) {
	flight := op + " " + key
	r := g.join(ctx, flight)
	defer g.part(flight, r)
	done := g.flights.DoChan(flight, func() (any, error) {
		return guarded(r.ctx, g, op, key, func() (T, error) { return read(r.ctx, key) })
	})
	var none T
	select {
	case <-ctx.Done():
		return none, &Error{Op: op, Key: key, Outcome: OutcomeUnknown, Err: ctx.Err()}
	case out := <-done:
		if out.Err != nil {
			return none, out.Err
		}
		return out.Val.(T), nil
	}
}

// CompareAndSwap implements Store. A read that begins after it returned does
// not join one that began before.
func (g *RateLimitedStore) CompareAndSwap(ctx context.Context, key string, revision uint64, value []byte, lease string) (Entry, error) {
	defer g.flights.Forget("get " + key)
	return guarded(ctx, g, "cas", key, func() (Entry, error) {
		return g.store.CompareAndSwap(ctx, key, revision, value, lease)
	})
}

// changes is what a watch or a list returned.
type changes struct {
	entries  []Entry
	revision uint64
}

// Watch implements Store.
func (g *RateLimitedStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Entry, uint64, error) {
	out, err := guarded(ctx, g, "watch", prefix, func() (changes, error) {
		entries, revision, err := g.store.Watch(ctx, prefix, after, wait)
		return changes{entries, revision}, err
	})
	return out.entries, out.revision, err
}

// Grant implements Store.
func (g *RateLimitedStore) Grant(ctx context.Context, ttl time.Duration) (Lease, error) {
	return guarded(ctx, g, "grant", "", func() (Lease, error) { return g.store.Grant(ctx, ttl) })
}

// KeepAlive implements Store.
func (g *RateLimitedStore) KeepAlive(ctx context.Context, id string) error {
	_, err := guarded(ctx, g, "keep-alive", id, func() (struct{}, error) { return struct{}{}, g.store.KeepAlive(ctx, id) })
	return err
}

// Revoke implements Store.
func (g *RateLimitedStore) Revoke(ctx context.Context, id string) error {
	_, err := guarded(ctx, g, "revoke", id, func() (struct{}, error) { return struct{}{}, g.store.Revoke(ctx, id) })
	return err
}
