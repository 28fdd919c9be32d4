package idempotency

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/daisytide/daisytide/api"
)

// Limits bound a RecordTable.
type Limits struct {
	// RetentionWindow is how long a record is kept after it last changed. A late
	// attempt must not be under way for longer.
	RetentionWindow time.Duration
	// MaxRecords caps the records. A full book takes no new key: it forgets none
	// within the window.
	MaxRecords int
	// MaxResponseBytes caps one saved answer, MaxTotalResponseBytes the sum of them. What is
	// over is recorded as run with its answer not kept.
	MaxResponseBytes      int
	MaxTotalResponseBytes int64
}

// DefaultLimits fit a gate's share of the node's memory.
var DefaultLimits = Limits{
	RetentionWindow:       5 * time.Minute,
	MaxRecords:            1 << 16,
	MaxResponseBytes:      16 << 10,
	MaxTotalResponseBytes: 12 << 20,
}

const shardCount = 64

// RecordTable holds a gate's records of one service, in shards. The records of a
// shard stand in the order of their last change, so that the oldest are found
// at the front.
type RecordTable struct {
	limits        Limits
	start         time.Time
	responseBytes atomic.Int64
	shards        [shardCount]shard
}

type shard struct {
	mu      sync.Mutex
	records map[string]*tableEntry
	// oldest and newest end a list in order of the last change.
	oldest, newest *tableEntry
}

type tableEntry struct {
	key        string
	state      KeyState
	response   *SavedResponse
	changedAt  time.Duration
	prev, next *tableEntry
}

// NewRecordTable returns an empty book. start is where its clock begins.
func NewRecordTable(l Limits, start time.Time) *RecordTable {
	t := &RecordTable{limits: l, start: start}
	for i := range t.shards {
		t.shards[i].records = map[string]*tableEntry{}
	}
	return t
}

func (t *RecordTable) shard(key string) *shard {
	return &t.shards[xxhash.Sum64String(key)%shardCount]
}

// Begin lets an attempt through, or gives what stands against it: a saved
// answer, or a code.
func (t *RecordTable) Begin(key string, ballot Ballot, fingerprint uint64, now time.Time) (*SavedResponse, api.Code) {
	s := t.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	t.expire(s, now)
	e := s.records[key]
	state, code := e.stateOrAbsent().Begin(ballot, fingerprint)
	if code == api.CallAnswerNotKept && e.response != nil {
		return e.response, api.OK
	}
	if code == api.OK && !t.put(s, key, state, now) {
		return nil, api.CallShed
	}
	return nil, code
}

// Finish records how the attempt that Begin let through came out.
func (t *RecordTable) Finish(key string, ran api.Ran, response *SavedResponse, now time.Time) {
	s := t.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.records[key]
	if e == nil {
		return
	}
	state := e.state.Finish(ran)
	if state.Phase == PhaseAbsent {
		t.remove(s, e)
		return
	}
	t.put(s, key, state, now)
	if state.Phase == PhaseRan {
		t.saveResponse(e, response)
	}
}

// save keeps an answer if it fits.
func (t *RecordTable) saveResponse(e *tableEntry, response *SavedResponse) {
	size := int64(response.Size())
	if response == nil || t.responseBytes.Add(size) > t.limits.MaxTotalResponseBytes {
		t.responseBytes.Add(-size)
		return
	}
	e.response = response
}

// Fence asks for a fence. A full book gives the zero KeyReply.
func (t *RecordTable) Fence(key string, ballot Ballot, fingerprint uint64, now time.Time) KeyReply {
	s := t.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	t.expire(s, now)
	e := s.records[key]
	state, status := e.stateOrAbsent().Fence(ballot, fingerprint)
	if status == FenceRecordFound {
		return KeyReply{Status: FenceRecordFound, State: state, Response: e.response}
	}
	if status == FenceGranted && !t.put(s, key, state, now) {
		return KeyReply{}
	}
	return KeyReply{Status: status}
}

// Lookup returns the record of an attempt that was let through, and sets no fence.
func (t *RecordTable) Lookup(key string, fingerprint uint64, now time.Time) KeyReply {
	s := t.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	t.expire(s, now)
	e := s.records[key]
	if e.stateOrAbsent().conflictsWith(fingerprint) {
		return KeyReply{Status: FenceKeyConflict}
	}
	if e.stateOrAbsent().Phase <= PhaseFenced {
		return KeyReply{Status: FenceGranted}
	}
	return KeyReply{Status: FenceRecordFound, State: e.state, Response: e.response}
}

// Merge folds another gate's record in; false when the book is full.
func (t *RecordTable) Merge(other KeyRecord, now time.Time) bool {
	s := t.shard(other.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.records[other.Key]
	state := e.stateOrAbsent().Merge(other.State)
	if !t.put(s, other.Key, state, now) {
		return false
	}
	if e = s.records[other.Key]; e.response == nil && state.Phase == PhaseRan {
		t.saveResponse(e, other.Response)
	}
	return true
}

// KeyRecord is one record on its way to another gate.
type KeyRecord struct {
	Key      string         `cbor:"1,keyasint"`
	State    KeyState       `cbor:"2,keyasint"`
	Response *SavedResponse `cbor:"3,keyasint,omitempty"`
}

// Each calls fn for every record within the window, one shard at a time.
func (t *RecordTable) Each(now time.Time, fn func(KeyRecord)) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		t.expire(s, now)
		for e := s.oldest; e != nil; e = e.next {
			fn(KeyRecord{Key: e.key, State: e.state, Response: e.response})
		}
		s.mu.Unlock()
	}
}

// Size returns the number of records and the bytes of saved answers.
func (t *RecordTable) Size() (records int, responseBytes int64) {
	for i := range t.shards {
		t.shards[i].mu.Lock()
		records += len(t.shards[i].records)
		t.shards[i].mu.Unlock()
	}
	return records, t.responseBytes.Load()
}

// get returns the record; an entry that is not there is PhaseAbsent.
func (e *tableEntry) stateOrAbsent() KeyState {
	if e == nil {
		return KeyState{}
	}
	return e.state
}

// put writes a record and makes it the newest. It refuses a new key when the
// shard is full. The caller holds the shard's lock.
func (t *RecordTable) put(s *shard, key string, state KeyState, now time.Time) bool {
	e := s.records[key]
	if e == nil {
		if len(s.records) >= t.limits.MaxRecords/shardCount {
			return false
		}
		e = &tableEntry{key: key}
		s.records[key] = e
	} else {
		s.unlink(e)
	}
	e.state = state
	e.changedAt = now.Sub(t.start)
	s.pushNewest(e)
	return true
}

// expire drops what has not changed within the window. A request that runs
// stays: its record changes when it ends. The caller holds the shard's lock.
func (t *RecordTable) expire(s *shard, now time.Time) {
	limit := now.Sub(t.start) - t.limits.RetentionWindow
	for e := s.oldest; e != nil && e.changedAt < limit; e = s.oldest {
		if e.state.Phase == PhaseRunning {
			t.put(s, e.key, e.state, now)
			continue
		}
		t.remove(s, e)
	}
}

func (t *RecordTable) remove(s *shard, e *tableEntry) {
	s.unlink(e)
	delete(s.records, e.key)
	t.responseBytes.Add(-int64(e.response.Size()))
}

func (s *shard) pushNewest(e *tableEntry) {
	e.prev, e.next = s.newest, nil
	if s.newest != nil {
		s.newest.next = e
	} else {
		s.oldest = e
	}
	s.newest = e
}

func (s *shard) unlink(e *tableEntry) {
	if e.prev != nil {
		e.prev.next = e.next
	} else {
		s.oldest = e.next
	}
	if e.next != nil {
		e.next.prev = e.prev
	} else {
		s.newest = e.prev
	}
}
