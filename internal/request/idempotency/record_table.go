package idempotency

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/daisytide/daisytide/api"
)

// Limits bounds a RecordTable.
type Limits struct {
	// RetentionWindow is how long a record is kept after its last change. No
	// attempt may be delayed for longer than this.
	RetentionWindow time.Duration
	// MaxRecords caps the number of records. A full table rejects new keys; it
	// never evicts a record within the retention window.
	MaxRecords int
	// MaxResponseBytes caps one saved response, MaxTotalResponseBytes all of
	// them together. A run whose response exceeds a cap is recorded without it.
	MaxResponseBytes      int
	MaxTotalResponseBytes int64
}

// DefaultLimits keeps a gate's records within its part of the node's memory.
var DefaultLimits = Limits{
	RetentionWindow:       5 * time.Minute,
	MaxRecords:            1 << 16,
	MaxResponseBytes:      16 << 10,
	MaxTotalResponseBytes: 12 << 20,
}

const shardCount = 64

// RecordTable holds a gate's key records for one service, in shards. Each shard
// lists its records by time of the last change, so that expired records are at
// the front.
type RecordTable struct {
	limits        Limits
	start         time.Time
	responseBytes atomic.Int64
	shards        [shardCount]shard
}

type shard struct {
	mu      sync.Mutex
	records map[string]*tableEntry
	// oldest and newest are the ends of a list ordered by the last change.
	oldest, newest *tableEntry
}

type tableEntry struct {
	key        string
	state      KeyState
	response   *SavedResponse
	changedAt  time.Duration
	prev, next *tableEntry
}

// NewRecordTable returns an empty table. Times in it are relative to start.
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

// Begin records the start of an attempt. If the attempt may not start, it
// returns the saved response or the result code instead.
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

// Finish records the outcome of an attempt that Begin has started.
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

// saveResponse keeps a response if it fits within MaxTotalResponseBytes.
func (t *RecordTable) saveResponse(e *tableEntry, response *SavedResponse) {
	size := int64(response.Size())
	if response == nil || t.responseBytes.Add(size) > t.limits.MaxTotalResponseBytes {
		t.responseBytes.Add(-size)
		return
	}
	e.response = response
}

// Fence requests a fence for a key. It returns the zero KeyReply if the table
// is full.
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

// Lookup returns the record of a started attempt without setting a fence.
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

// Merge merges a record received from another gate. It returns false if the
// table is full.
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

// KeyRecord is a record in transfer to another gate.
type KeyRecord struct {
	Key      string         `cbor:"1,keyasint"`
	State    KeyState       `cbor:"2,keyasint"`
	Response *SavedResponse `cbor:"3,keyasint,omitempty"`
}

// Each calls fn for every unexpired record, locking one shard at a time.
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

// Size returns the number of records and the total size of saved responses.
func (t *RecordTable) Size() (records int, responseBytes int64) {
	for i := range t.shards {
		t.shards[i].mu.Lock()
		records += len(t.shards[i].records)
		t.shards[i].mu.Unlock()
	}
	return records, t.responseBytes.Load()
}

// stateOrAbsent returns the entry's state, PhaseAbsent for a nil entry.
func (e *tableEntry) stateOrAbsent() KeyState {
	if e == nil {
		return KeyState{}
	}
	return e.state
}

// put stores a record as the newest of its shard. It returns false for a new
// key if the shard is full. The caller holds the shard's lock.
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

// expire removes records that have not changed within the retention window. A
// running attempt is kept, because its record changes when it ends. The caller
// holds the shard's lock.
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
