// Package store is a small stand-in of the platform's key-value store, for
// tests, the demo and the first steps of a developer. docs/PLATFORM.md gives
// its protocol.
package store

import (
	"context"
	"errors"
	"math/rand/v2"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/daisytide/daisytide/internal/conn/kvstore"
)

// maxChanges is how many changes the store remembers for watches.
const maxChanges = 4096

// Store is the stand-in, usable in one process as platform.Store.
type Store struct {
	mu       sync.Mutex
	entries  map[string]kvstore.Entry
	leases   map[string]*lease
	revision uint64
	changed  chan struct{}
	faults   Faults
	counts   Counts
	rng      *rand.Rand
	reads    window
	writes   window
	onPut    func(kvstore.Entry)
	// history holds the latest changes, the oldest first; forgotten is the
	// revision up to which watches can no longer begin.
	history   []kvstore.Entry
	forgotten uint64
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Faults are the failures that the stand-in brings about on order.
type Faults struct {
	// Down refuses every call as not reached.
	Down bool `json:"down"`
	// Delay is added to every call.
	Delay time.Duration `json:"delay"`
	// LostReplies is the share of writes, from 0 to 1, that take effect and
	// whose reply is lost.
	LostReplies float64 `json:"lost_replies"`
	// ReadsPerSecond and WritesPerSecond limit the rates; 0 means no limit.
	ReadsPerSecond  int `json:"reads_per_second"`
	WritesPerSecond int `json:"writes_per_second"`
}

// Counts are the calls taken so far; a waiting watch is one.
type Counts struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
	Leases  uint64 `json:"leases"`
	Limited uint64 `json:"limited"`
}

// Total is the number of calls.
func (c Counts) Total() uint64 { return c.Reads + c.Writes + c.Watches + c.Leases }

// New returns an empty store whose random choices come from seed.
func New(seed uint64) *Store {
	return &Store{
		entries: map[string]kvstore.Entry{},
		leases:  map[string]*lease{},
		changed: make(chan struct{}),
		rng:     rand.New(rand.NewPCG(seed, seed)),
	}
}

// SetFaults replaces the faults in force.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
}

// OnPut registers fn, called with each write that takes effect, in order,
// whether or not its reply is lost. It must not call the store.
func (s *Store) OnPut(fn func(kvstore.Entry)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onPut = fn
}

// Counts returns the calls taken so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// LapseLeases ends every lease at once, as if their holders had been paused.
func (s *Store) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.drop(id)
	}
	s.wake()
}

var errDown = errors.New("the store is down")

// enter counts a call, waits the injected delay and applies rate and outage.
func (s *Store) enter(ctx context.Context, op, key string, counter *uint64, w *window, limit func(Faults) int) error {
	s.mu.Lock()
	*counter++
	delay := s.faults.Delay
	s.mu.Unlock()
	if delay > 0 {
		select {
		case <-ctx.Done():
			return &kvstore.Error{Op: op, Key: key, Outcome: kvstore.OutcomeUnknown, Err: ctx.Err()}
		case <-time.After(delay):
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return &kvstore.Error{Op: op, Key: key, Outcome: kvstore.OutcomeNotReached, Err: errDown}
	}
	if n := limit(s.faults); n > 0 && !w.allow(time.Now(), n) {
		s.counts.Limited++
		return &kvstore.Error{Op: op, Key: key, Outcome: kvstore.OutcomeRateLimited}
	}
	s.expire(time.Now())
	return nil
}

func readLimit(f Faults) int  { return f.ReadsPerSecond }
func writeLimit(f Faults) int { return f.WritesPerSecond }

// window counts calls of the running second.
type window struct {
	second int64
	calls  int
}

func (w *window) allow(now time.Time, limit int) bool {
	if now.Unix() != w.second {
		w.second, w.calls = now.Unix(), 0
	}
	w.calls++
	return w.calls <= limit
}

// expire ends the leases that ran out; the caller holds mu.
func (s *Store) expire(now time.Time) {
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.drop(id)
			s.wake()
		}
	}
}

// drop ends one lease with its entries; the caller holds mu.
func (s *Store) drop(id string) {
	delete(s.leases, id)
	for k, e := range s.entries {
		if e.Lease == id {
			s.revision++
			delete(s.entries, k)
			s.remember(kvstore.Entry{Key: k, Revision: s.revision, Deleted: true})
		}
	}
}

// wake releases the waiting watches; the caller holds mu.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Get implements platform.Store.
func (s *Store) Get(ctx context.Context, key string) (kvstore.Entry, error) {
	if err := s.enter(ctx, "get", key, &s.counts.Reads, &s.reads, readLimit); err != nil {
		return kvstore.Entry{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[key]
	e.Key = key
	return e, nil
}

// List implements platform.Store.
func (s *Store) List(ctx context.Context, prefix string, _ bool) ([]kvstore.Entry, uint64, error) {
	if err := s.enter(ctx, "list", prefix, &s.counts.Reads, &s.reads, readLimit); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []kvstore.Entry
	for k, e := range s.entries {
		if strings.HasPrefix(k, prefix) {
			out = append(out, e)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out, s.revision, nil
}

// Forget drops the history of changes, as the platform's store may at any time.
func (s *Store) CompactHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.forgotten = nil, s.revision
	s.wake()
}

// remember notes a change for watches; the caller holds mu.
func (s *Store) remember(e kvstore.Entry) {
	s.history = append(s.history, e)
	if n := len(s.history) - maxChanges; n > 0 {
		s.forgotten = s.history[n-1].Revision
		s.history = append([]kvstore.Entry(nil), s.history[n:]...)
	}
}

// after lists the changes under a prefix above a revision; the caller holds mu.
func (s *Store) after(prefix string, revision uint64) []kvstore.Entry {
	var out []kvstore.Entry
	for _, e := range s.history {
		if strings.HasPrefix(e.Key, prefix) && e.Revision > revision {
			out = append(out, e)
		}
	}
	return out
}

// CompareAndSwap implements platform.Store.
func (s *Store) CompareAndSwap(ctx context.Context, key string, revision uint64, value []byte, leaseID string) (kvstore.Entry, error) {
	if err := s.enter(ctx, "cas", key, &s.counts.Writes, &s.writes, writeLimit); err != nil {
		return kvstore.Entry{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(value) > kvstore.MaxValueBytes {
		return kvstore.Entry{}, &kvstore.Error{Op: "cas", Key: key, Outcome: kvstore.OutcomeRefused, Err: errors.New("the value is over a megabyte")}
	}
	if leaseID != "" && s.leases[leaseID] == nil {
		return kvstore.Entry{}, &kvstore.Error{Op: "cas", Key: key, Outcome: kvstore.OutcomeRefused, Err: errors.New("the lease has lapsed")}
	}
	if old := s.entries[key]; old.Revision != revision {
		old.Key = key
		return kvstore.Entry{}, &kvstore.Error{Op: "cas", Key: key, Outcome: kvstore.OutcomeConflict, Current: old}
	}
	e := s.put(key, value, leaseID)
	if s.faults.LostReplies > 0 && s.rng.Float64() < s.faults.LostReplies {
		return kvstore.Entry{}, &kvstore.Error{Op: "cas", Key: key, Outcome: kvstore.OutcomeUnknown, Err: errors.New("the reply was lost")}
	}
	return e, nil
}

// put writes or deletes; the caller holds mu.
func (s *Store) put(key string, value []byte, leaseID string) kvstore.Entry {
	s.revision++
	e := kvstore.Entry{Key: key, Value: value, Revision: s.revision, Lease: leaseID}
	if value == nil {
		e.Deleted = true
		delete(s.entries, key)
	} else {
		s.entries[key] = e
	}
	s.remember(e)
	if s.onPut != nil {
		s.onPut(e)
	}
	s.wake()
	return e
}

// Watch implements platform.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]kvstore.Entry, uint64, error) {
	if err := s.enter(ctx, "watch", prefix, &s.counts.Watches, &s.reads, readLimit); err != nil {
		return nil, 0, err
	}
	deadline := time.After(min(wait, kvstore.MaxWatchWait))
	for {
		s.mu.Lock()
		found, revision, changed, down := s.after(prefix, after), s.revision, s.changed, s.faults.Down
		lost := after < s.forgotten
		s.mu.Unlock()
		if lost {
			return nil, 0, &kvstore.Error{Op: "watch", Key: prefix, Outcome: kvstore.OutcomeHistoryLost}
		}
		if down {
			return nil, 0, &kvstore.Error{Op: "watch", Key: prefix, Outcome: kvstore.OutcomeUnknown, Err: errDown}
		}
		if len(found) > 0 {
			return found, revision, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, &kvstore.Error{Op: "watch", Key: prefix, Outcome: kvstore.OutcomeUnknown, Err: ctx.Err()}
		case <-deadline:
			return nil, revision, nil
		case <-changed:
		}
	}
}

// Grant implements platform.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (kvstore.Lease, error) {
	if err := s.enter(ctx, "grant", "", &s.counts.Leases, &s.writes, writeLimit); err != nil {
		return kvstore.Lease{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	id := strconv.FormatUint(s.revision, 10)
	s.leases[id] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return kvstore.Lease{ID: id, TTL: ttl}, nil
}

// KeepAlive implements platform.Store.
func (s *Store) KeepAlive(ctx context.Context, id string) error {
	if err := s.enter(ctx, "keep-alive", id, &s.counts.Leases, &s.writes, writeLimit); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return &kvstore.Error{Op: "keep-alive", Key: id, Outcome: kvstore.OutcomeRefused, Err: errors.New("the lease has lapsed")}
	}
	l.expires = time.Now().Add(l.ttl)
	return nil
}

// Revoke implements platform.Store.
func (s *Store) Revoke(ctx context.Context, id string) error {
	if err := s.enter(ctx, "revoke", id, &s.counts.Leases, &s.writes, writeLimit); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(id)
	s.wake()
	return nil
}
