package kvstore

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"
	"golang.org/x/time/rate"

	"github.com/daisytide/daisytide/internal/logs"
)

const (
	// maxBurst is the size of the token bucket: applying an operator's document
	// takes a read, a write and a few retries in quick succession.
	maxBurst = 10
	// initialBackoff is the longest wait after the first failure. The longest wait
	// doubles with each further failure, up to MaxBackoff, whose default is
	// defaultMaxBackoff.
	initialBackoff    = 100 * time.Millisecond
	defaultMaxBackoff = 30 * time.Second
)

// ErrOwnLimit is wrapped by the error of a call that a RateLimitedStore did not send
// because of its own rate.
var ErrOwnLimit = errors.New("the rate of this node's calls to the store")

var errBackingOff = errors.New("the last call to the store failed; the backoff outlasts the call's deadline")

// RateLimitedStore wraps a Store and limits the calls of one node: a token
// bucket bounds the rate, concurrent reads of a key share one call, and
// failures are followed by exponential backoff with full jitter. A call whose
// deadline is before the end of the backoff fails at once.
type RateLimitedStore struct {
	// MaxBackoff bounds the wait after consecutive failures.
	MaxBackoff time.Duration
	// OnRecovery, if set, is called when the store responds again, with the time
	// for which it did not.
	OnRecovery func(outage time.Duration)

	store     Store
	limiter   *rate.Limiter
	readGroup singleflight.Group

	mu sync.Mutex
	// sharedReads holds the reads in progress by operation and key.
	sharedReads  map[string]*sharedRead
	failures     int
	backoffUntil time.Time
	reachable    bool
	// unreachableSince is when the store stopped responding.
	unreachableSince time.Time
	// calls counts the calls sent to the store by operation.
	calls map[string]uint64
}

const logPrefix = "store: "

// NewRateLimitedStore limits calls to store to a rate in calls per second.
func NewRateLimitedStore(store Store, perSecond float64) *RateLimitedStore {
	return &RateLimitedStore{MaxBackoff: defaultMaxBackoff, store: store, limiter: rate.NewLimiter(rate.Limit(perSecond), maxBurst), sharedReads: map[string]*sharedRead{}, calls: map[string]uint64{}}
}

// Reachable reports whether the store processed the last finished call.
func (s *RateLimitedStore) Reachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reachable
}

// Calls returns the number of calls sent to the store.
func (s *RateLimitedStore) Calls() uint64 {
	n := uint64(0)
	for _, calls := range s.CallsByOperation() {
		n += calls
	}
	return n
}

// CallsByOperation returns the number of calls sent to the store by operation.
func (s *RateLimitedStore) CallsByOperation() map[string]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

// acquire waits for the end of the backoff and then for a token.
func (s *RateLimitedStore) acquire(ctx context.Context, op, key string) error {
	if err := s.waitForBackoff(ctx); err != nil {
		return &Error{Op: op, Key: key, Outcome: OutcomeNotReached, Err: err}
	}
	if err := s.limiter.Wait(ctx); err != nil {
		return &Error{Op: op, Key: key, Outcome: OutcomeRateLimited, Err: fmt.Errorf("%w: %w", ErrOwnLimit, err)}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[op]++
	return nil
}

// waitForBackoff returns an error at once if ctx's deadline is before the end
// of the backoff.
func (s *RateLimitedStore) waitForBackoff(ctx context.Context) error {
	for {
		s.mu.Lock()
		until := s.backoffUntil
		s.mu.Unlock()
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

// recordResult updates the reachability and the backoff after a call. A call
// that its caller cancelled says nothing about the store and is ignored.
func (s *RateLimitedStore) recordResult(ctx context.Context, err error) {
	if err != nil && errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	if err == nil || isProcessed(OutcomeOf(err)) {
		s.recordResponse()
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	// A store that refuses calls beyond its rate is there: when it takes them again,
	// no lease has lapsed and nobody has to hurry.
	limited := OutcomeOf(err) == OutcomeRateLimited
	if s.reachable && !limited {
		slog.Warn(logPrefix+"lost", logs.FieldError, err.Error())
		s.unreachableSince = time.Now()
	}
	s.reachable = s.reachable && limited
	wait := min(s.MaxBackoff, initialBackoff<<min(s.failures, 16))
	s.failures++
	s.backoffUntil = time.Now().Add(rand.N(wait))
}

// recordResponse records that the store responded, and calls OnRecovery if it
// had been unreachable.
func (s *RateLimitedStore) recordResponse() {
	s.mu.Lock()
	recovered, since := !s.reachable, s.unreachableSince
	s.failures, s.reachable = 0, true
	s.mu.Unlock()
	if !recovered {
		return
	}
	slog.Info(logPrefix + "reached")
	if s.OnRecovery != nil && !since.IsZero() {
		s.OnRecovery(time.Since(since))
	}
}

// isProcessed reports whether an outcome proves that the store processed the
// call. A call that the store's own rate limit rejected counts as a failure, so
// that the node backs off.
func isProcessed(o Outcome) bool {
	return o == OutcomeRefused || o == OutcomeConflict || o == OutcomeHistoryLost
}

// limitedCall makes one call under the rate limit and the backoff.
func limitedCall[T any](ctx context.Context, s *RateLimitedStore, op, key string, call func() (T, error)) (T, error) {
	var zero T
	if err := s.acquire(ctx, op, key); err != nil {
		return zero, err
	}
	out, err := call()
	s.recordResult(ctx, err)
	return out, err
}

// Get implements Store.
func (s *RateLimitedStore) Get(ctx context.Context, key string) (Entry, error) {
	return coalescedRead(ctx, s, "get", key, s.store.Get)
}

// List implements Store.
func (s *RateLimitedStore) List(ctx context.Context, prefix string, stale bool) ([]Entry, uint64, error) {
	op := "list"
	if stale {
		op = "list-stale"
	}
	out, err := coalescedRead(ctx, s, op, prefix, func(ctx context.Context, prefix string) (entriesAtRevision, error) {
		entries, revision, err := s.store.List(ctx, prefix, stale)
		return entriesAtRevision{entries, revision}, err
	})
	return out.entries, out.revision, err
}

// sharedRead is a read in progress that several callers may wait for.
type sharedRead struct {
	ctx     context.Context
	cancel  context.CancelFunc
	waiters int
}

// joinRead adds a caller to the read in progress, or creates it. The read has
// the deadline of the caller that started it, and continues if that caller is
// cancelled.
func (s *RateLimitedStore) joinRead(ctx context.Context, readKey string) *sharedRead {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.sharedReads[readKey]
	if r == nil {
		r = &sharedRead{}
		inner := context.WithoutCancel(ctx)
		if deadline, ok := ctx.Deadline(); ok {
			r.ctx, r.cancel = context.WithDeadline(inner, deadline)
		} else {
			r.ctx, r.cancel = context.WithCancel(inner)
		}
		s.sharedReads[readKey] = r
	}
	r.waiters++
	return r
}

// leaveRead removes a caller from a read and cancels the read after the last
// one, so that no read outlives its callers while it waits for the backoff or
// for a token.
func (s *RateLimitedStore) leaveRead(readKey string, r *sharedRead) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.waiters--
	if r.waiters > 0 {
		return
	}
	r.cancel()
	if s.sharedReads[readKey] == r {
		s.forgetReadLocked(readKey)
	}
}

// forgetReadLocked makes later reads start anew. The caller holds mu.
func (s *RateLimitedStore) forgetReadLocked(readKey string) {
	s.readGroup.Forget(readKey)
	delete(s.sharedReads, readKey)
}

// coalescedRead makes a read, or waits for the same read in progress.
func coalescedRead[T any](ctx context.Context, s *RateLimitedStore, op, key string, read func(context.Context, string) (T, error)) (T, error) {
	readKey := op + " " + key
	r := s.joinRead(ctx, readKey)
	defer s.leaveRead(readKey, r)
	done := s.readGroup.DoChan(readKey, func() (any, error) {
		return limitedCall(r.ctx, s, op, key, func() (T, error) { return read(r.ctx, key) })
	})
	var zero T
	select {
	case <-ctx.Done():
		return zero, &Error{Op: op, Key: key, Outcome: OutcomeUnknown, Err: ctx.Err()}
	case out := <-done:
		if out.Err != nil {
			return zero, out.Err
		}
		return out.Val.(T), nil
	}
}

// CompareAndSwap implements Store. A Get that starts after it returns does not
// share the call of a Get that started before.
func (s *RateLimitedStore) CompareAndSwap(ctx context.Context, key string, revision uint64, value []byte, lease string) (Entry, error) {
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.forgetReadLocked("get " + key)
	}()
	return limitedCall(ctx, s, "cas", key, func() (Entry, error) {
		return s.store.CompareAndSwap(ctx, key, revision, value, lease)
	})
}

// entriesAtRevision is the result of a watch or a list.
type entriesAtRevision struct {
	entries  []Entry
	revision uint64
}

// Watch implements Store.
func (s *RateLimitedStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Entry, uint64, error) {
	out, err := limitedCall(ctx, s, "watch", prefix, func() (entriesAtRevision, error) {
		entries, revision, err := s.store.Watch(ctx, prefix, after, wait)
		return entriesAtRevision{entries, revision}, err
	})
	return out.entries, out.revision, err
}

// Grant implements Store.
func (s *RateLimitedStore) Grant(ctx context.Context, ttl time.Duration) (Lease, error) {
	return limitedCall(ctx, s, "grant", "", func() (Lease, error) { return s.store.Grant(ctx, ttl) })
}

// KeepAlive implements Store.
func (s *RateLimitedStore) KeepAlive(ctx context.Context, id string) error {
	_, err := limitedCall(ctx, s, "keep-alive", id, func() (struct{}, error) { return struct{}{}, s.store.KeepAlive(ctx, id) })
	return err
}

// Revoke implements Store.
func (s *RateLimitedStore) Revoke(ctx context.Context, id string) error {
	_, err := limitedCall(ctx, s, "revoke", id, func() (struct{}, error) { return struct{}{}, s.store.Revoke(ctx, id) })
	return err
}
