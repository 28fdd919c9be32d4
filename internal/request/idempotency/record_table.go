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

const shards = 64

// RecordTable holds a gate's records of one service, in shards. The records of a
// shard stand in the order of their last change, so that the oldest are found
// at the front.
type RecordTable struct {
	limits  Limits
	start   time.Time
	answers atomic.Int64
	shards  [shards]shard
}

type shard struct {
	mu      sync.Mutex
	records map[string]*entry
	// oldest and newest end a list in order of the last change.
	oldest, newest *entry
}

type entry struct {
	key        string
	state      KeyState
	answer     *SavedResponse
	changed    time.Duration
	prev, next *entry
}

// NewRecordTable returns an empty book. start is where its clock begins.
func NewRecordTable(l Limits, start time.Time) *RecordTable {
	b := &RecordTable{limits: l, start: start}
	for i := range b.shards {
		b.shards[i].records = map[string]*entry{}
	}
	return b
}

func (b *RecordTable) shard(key string) *shard {
	return &b.shards[xxhash.Sum64String(key)%shards]
}

// Begin lets an attempt through, or gives what stands against it: a saved
// answer, or a code.
func (b *RecordTable) Begin(key string, ballot Ballot, print uint64, now time.Time) (*SavedResponse, api.Code) {
	sh := b.shard(key)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	b.expire(sh, now)
	e := sh.records[key]
	state, code := e.get().Begin(ballot, print)
	if code == api.CallAnswerNotKept && e.answer != nil {
		return e.answer, api.OK
	}
	if code == api.OK && !b.put(sh, key, state, now) {
		return nil, api.CallShed
	}
	return nil, code
}

// Finish records how the attempt that Begin let through came out.
func (b *RecordTable) Finish(key string, ran api.Ran, answer *SavedResponse, now time.Time) {
	sh := b.shard(key)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	e := sh.records[key]
	if e == nil {
		return
	}
	state := e.state.Finish(ran)
	if state.Phase == PhaseAbsent {
		b.drop(sh, e)
		return
	}
	b.put(sh, key, state, now)
	if state.Phase == PhaseRan {
		b.save(e, answer)
	}
}

// save keeps an answer if it fits.
func (b *RecordTable) save(e *entry, a *SavedResponse) {
	size := int64(a.Size())
	if a == nil || b.answers.Add(size) > b.limits.MaxTotalResponseBytes {
		b.answers.Add(-size)
		return
	}
	e.answer = a
}

// Fence asks for a fence. A full book gives the zero KeyReply.
func (b *RecordTable) Fence(key string, ballot Ballot, print uint64, now time.Time) KeyReply {
	sh := b.shard(key)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	b.expire(sh, now)
	e := sh.records[key]
	state, grant := e.get().Fence(ballot, print)
	if grant == FenceRecordFound {
		return KeyReply{Status: FenceRecordFound, State: state, Response: e.answer}
	}
	if grant == FenceGranted && !b.put(sh, key, state, now) {
		return KeyReply{}
	}
	return KeyReply{Status: grant}
}

// Lookup returns the record of an attempt that was let through, and sets no fence.
func (b *RecordTable) Lookup(key string, print uint64, now time.Time) KeyReply {
	sh := b.shard(key)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	b.expire(sh, now)
	e := sh.records[key]
	if e.get().clashes(print) {
		return KeyReply{Status: FenceKeyConflict}
	}
	if e.get().Phase <= PhaseFenced {
		return KeyReply{Status: FenceGranted}
	}
	return KeyReply{Status: FenceRecordFound, State: e.state, Response: e.answer}
}

// Merge folds another gate's record in; false when the book is full.
func (b *RecordTable) Merge(k KeyRecord, now time.Time) bool {
	sh := b.shard(k.Key)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	e := sh.records[k.Key]
	state := e.get().Merge(k.State)
	if !b.put(sh, k.Key, state, now) {
		return false
	}
	if e = sh.records[k.Key]; e.answer == nil && state.Phase == PhaseRan {
		b.save(e, k.Response)
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
func (b *RecordTable) Each(now time.Time, fn func(KeyRecord)) {
	for i := range b.shards {
		sh := &b.shards[i]
		sh.mu.Lock()
		b.expire(sh, now)
		for e := sh.oldest; e != nil; e = e.next {
			fn(KeyRecord{Key: e.key, State: e.state, Response: e.answer})
		}
		sh.mu.Unlock()
	}
}

// Size returns the number of records and the bytes of saved answers.
func (b *RecordTable) Size() (records int, answers int64) {
	for i := range b.shards {
		b.shards[i].mu.Lock()
		records += len(b.shards[i].records)
		b.shards[i].mu.Unlock()
	}
	return records, b.answers.Load()
}

// get returns the record; an entry that is not there is PhaseAbsent.
func (e *entry) get() KeyState {
	if e == nil {
		return KeyState{}
	}
	return e.state
}

// put writes a record and makes it the newest. It refuses a new key when the
// shard is full. The caller holds the shard's lock.
func (b *RecordTable) put(sh *shard, key string, s KeyState, now time.Time) bool {
	e := sh.records[key]
	if e == nil {
		if len(sh.records) >= b.limits.MaxRecords/shards {
			return false
		}
		e = &entry{key: key}
		sh.records[key] = e
	} else {
		sh.unlink(e)
	}
	e.state = s
	e.changed = now.Sub(b.start)
	sh.append(e)
	return true
}

// expire drops what has not changed within the window. A request that runs
// stays: its record changes when it ends. The caller holds the shard's lock.
func (b *RecordTable) expire(sh *shard, now time.Time) {
	limit := now.Sub(b.start) - b.limits.RetentionWindow
	for e := sh.oldest; e != nil && e.changed < limit; e = sh.oldest {
		if e.state.Phase == PhaseRunning {
			b.put(sh, e.key, e.state, now)
			continue
		}
		b.drop(sh, e)
	}
}

func (b *RecordTable) drop(sh *shard, e *entry) {
	sh.unlink(e)
	delete(sh.records, e.key)
	b.answers.Add(-int64(e.answer.Size()))
}

func (sh *shard) append(e *entry) {
	e.prev, e.next = sh.newest, nil
	if sh.newest != nil {
		sh.newest.next = e
	} else {
		sh.oldest = e
	}
	sh.newest = e
}

func (sh *shard) unlink(e *entry) {
	if e.prev != nil {
		e.prev.next = e.next
	} else {
		sh.oldest = e.next
	}
	if e.next != nil {
		e.next.prev = e.prev
	} else {
		sh.newest = e.prev
	}
}
