// Package store is a small stand-in for the platform's key-value store, for
// tests, the demo and local development. docs/PLATFORM.md describes its protocol.
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

// maxHistory is how many changes the store keeps for watches.
const maxHistory = 4096

// Store is an in-memory store. It implements kvstore.Store for use within one
// process.
type Store struct {
	mu           sync.Mutex
	entries      map[string]kvstore.Entry
	leases       map[string]*lease
	revision     uint64
	changeSignal chan struct{}
	faults       Faults
	counts       Counts
	rng          *rand.Rand
	readWindow   rateWindow
	writeWindow  rateWindow
	onPut        func(kvstore.Entry)
	// history holds the latest changes, oldest first. A watch that begins after a
	// revision below compactedRevision has lost changes.
	history           []kvstore.Entry
	compactedRevision uint64
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Faults are the failures that the store injects.
type Faults struct {
	// Down makes every call fail as if the store could not be reached.
	Down bool `json:"down"`
	// Delay is added to every call.
	Delay time.Duration `json:"delay"`
	// LostReplies is the share of writes, from 0 to 1, that take effect while
	// their reply is lost.
	LostReplies float64 `json:"lost_replies"`
	// ReadsPerSecond and WritesPerSecond are rate limits; 0 means no limit.
	ReadsPerSecond  int `json:"reads_per_second"`
	WritesPerSecond int `json:"writes_per_second"`
}

// Counts holds the numbers of calls received so far. A long-polling watch counts
// as one call.
type Counts struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
	Leases  uint64 `json:"leases"`
	Limited uint64 `json:"limited"`
}

// Total returns the number of all calls.
func (c Counts) Total() uint64 { return c.Reads + c.Writes + c.Watches + c.Leases }

// New returns an empty store. seed determines its random choices.
func New(seed uint64) *Store {
	return &Store{
		entries:      map[string]kvstore.Entry{},
		leases:       map[string]*lease{},
		changeSignal: make(chan struct{}),
		rng:          rand.New(rand.NewPCG(seed, seed)),
	}
}

// SetFaults replaces the faults in force.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wakeWatches()
}

// OnPut registers fn, which is called with each write that takes effect, in
// order, even when its reply is lost. fn must not call the store.
func (s *Store) OnPut(fn func(kvstore.Entry)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onPut = fn
}

// Counts returns the numbers of calls received so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// ExpireLeases expires every lease at once, as if their holders had been paused.
func (s *Store) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.endLease(id)
	}
	s.wakeWatches()
}

var errDown = errors.New("the store is down")

// beginCall counts a call, waits for the injected delay and returns an error for
// an injected outage or an exceeded rate limit.
func (s *Store) beginCall(ctx context.Context, op, key string, counter *uint64, w *rateWindow, limit func(Faults) int) error {
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
	s.expireLeases(time.Now())
	return nil
}

func readLimit(f Faults) int  { return f.ReadsPerSecond }
func writeLimit(f Faults) int { return f.WritesPerSecond }

// rateWindow counts the calls of the current second.
type rateWindow struct {
	second int64
	calls  int
}

func (w *rateWindow) allow(now time.Time, limit int) bool {
	if now.Unix() != w.second {
		w.second, w.calls = now.Unix(), 0
	}
	w.calls++
	return w.calls <= limit
}

// expireLeases ends the leases that have expired; the caller holds mu.
func (s *Store) expireLeases(now time.Time) {
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
			s.wakeWatches()
		}
	}
}

// endLease removes a lease and deletes its entries; the caller holds mu.
func (s *Store) endLease(id string) {
	delete(s.leases, id)
	for k, e := range s.entries {
		if e.Lease == id {
			s.revision++
			delete(s.entries, k)
			s.addToHistory(kvstore.Entry{Key: k, Revision: s.revision, Deleted: true})
		}
	}
}

// wakeWatches wakes the waiting watches; the caller holds mu.
func (s *Store) wakeWatches() {
	close(s.changeSignal)
	s.changeSignal = make(chan struct{})
}

// Get implements kvstore.Store.
func (s *Store) Get(ctx context.Context, key string) (kvstore.Entry, error) {
	if err := s.beginCall(ctx, "get", key, &s.counts.Reads, &s.readWindow, readLimit); err != nil {
		return kvstore.Entry{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[key]
	e.Key = key
	return e, nil
}

// List implements kvstore.Store.
func (s *Store) List(ctx context.Context, prefix string, _ bool) ([]kvstore.Entry, uint64, error) {
	if err := s.beginCall(ctx, "list", prefix, &s.counts.Reads, &s.readWindow, readLimit); err != nil {
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

// CompactHistory drops the history of changes, as the platform's store may do at
// any time.
func (s *Store) CompactHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedRevision = nil, s.revision
	s.wakeWatches()
}

// addToHistory records a change for watches; the caller holds mu.
func (s *Store) addToHistory(e kvstore.Entry) {
	s.history = append(s.history, e)
	if n := len(s.history) - maxHistory; n > 0 {
		s.compactedRevision = s.history[n-1].Revision
		s.history = append([]kvstore.Entry(nil), s.history[n:]...)
	}
}

// changesAfter returns the changes of keys with a prefix after a revision; the
// caller holds mu.
func (s *Store) changesAfter(prefix string, revision uint64) []kvstore.Entry {
	var out []kvstore.Entry
	for _, e := range s.history {
		if strings.HasPrefix(e.Key, prefix) && e.Revision > revision {
			out = append(out, e)
		}
	}
	return out
}

// CompareAndSwap implements kvstore.Store.
func (s *Store) CompareAndSwap(ctx context.Context, key string, revision uint64, value []byte, leaseID string) (kvstore.Entry, error) {
	if err := s.beginCall(ctx, "cas", key, &s.counts.Writes, &s.writeWindow, writeLimit); err != nil {
		return kvstore.Entry{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(value) > kvstore.MaxValueBytes {
		return kvstore.Entry{}, &kvstore.Error{Op: "cas", Key: key, Outcome: kvstore.OutcomeRefused, Err: errors.New("the value exceeds the size limit")}
	}
	if leaseID != "" && s.leases[leaseID] == nil {
		return kvstore.Entry{}, &kvstore.Error{Op: "cas", Key: key, Outcome: kvstore.OutcomeRefused, Err: errors.New("the lease has expired")}
	}
	if old := s.entries[key]; old.Revision != revision {
		old.Key = key
		return kvstore.Entry{}, &kvstore.Error{Op: "cas", Key: key, Outcome: kvstore.OutcomeConflict, Current: old}
	}
	e := s.write(key, value, leaseID)
	if s.faults.LostReplies > 0 && s.rng.Float64() < s.faults.LostReplies {
		return kvstore.Entry{}, &kvstore.Error{Op: "cas", Key: key, Outcome: kvstore.OutcomeUnknown, Err: errors.New("the reply was lost")}
	}
	return e, nil
}

// write writes an entry, or deletes it when value is nil; the caller holds mu.
func (s *Store) write(key string, value []byte, leaseID string) kvstore.Entry {
	s.revision++
	e := kvstore.Entry{Key: key, Value: value, Revision: s.revision, Lease: leaseID}
	if value == nil {
		e.Deleted = true
		delete(s.entries, key)
	} else {
		s.entries[key] = e
	}
	s.addToHistory(e)
	if s.onPut != nil {
		s.onPut(e)
	}
	s.wakeWatches()
	return e
}

// Watch implements kvstore.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]kvstore.Entry, uint64, error) {
	if err := s.beginCall(ctx, "watch", prefix, &s.counts.Watches, &s.readWindow, readLimit); err != nil {
		return nil, 0, err
	}
	deadline := time.After(min(wait, kvstore.MaxWatchWait))
	for {
		s.mu.Lock()
		found, revision, changed, down := s.changesAfter(prefix, after), s.revision, s.changeSignal, s.faults.Down
		lost := after < s.compactedRevision
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

// Grant implements kvstore.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (kvstore.Lease, error) {
	if err := s.beginCall(ctx, "grant", "", &s.counts.Leases, &s.writeWindow, writeLimit); err != nil {
		return kvstore.Lease{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	id := strconv.FormatUint(s.revision, 10)
	s.leases[id] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return kvstore.Lease{ID: id, TTL: ttl}, nil
}

// KeepAlive implements kvstore.Store.
func (s *Store) KeepAlive(ctx context.Context, id string) error {
	if err := s.beginCall(ctx, "keep-alive", id, &s.counts.Leases, &s.writeWindow, writeLimit); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return &kvstore.Error{Op: "keep-alive", Key: id, Outcome: kvstore.OutcomeRefused, Err: errors.New("the lease has expired")}
	}
	l.expires = time.Now().Add(l.ttl)
	return nil
}

// Revoke implements kvstore.Store.
func (s *Store) Revoke(ctx context.Context, id string) error {
	if err := s.beginCall(ctx, "revoke", id, &s.counts.Leases, &s.writeWindow, writeLimit); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(id)
	s.wakeWatches()
	return nil
}
