package once

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/daisytide/daisytide/api"
)

// Limits bound a Book.
type Limits struct {
	// Window is how long a record is kept after it last changed. A late
	// attempt must not be under way for longer.
	Window time.Duration
	// Records caps the records. A full book takes no new key: it forgets none
	// within the window.
	Records int
	// AnswerBytes caps one saved answer, AllAnswers the sum of them. What is
	// over is recorded as run with its answer not kept.
	AnswerBytes int
	AllAnswers  int64
}

// DefaultLimits fit a gate's share of the node's memory.
var DefaultLimits = Limits{
	Window:      5 * time.Minute,
	Records:     1 << 16,
	AnswerBytes: 16 << 10,
	AllAnswers:  12 << 20,
}

const shards = 64

// Book holds a gate's records of one service, in shards. The records of a
// shard stand in the order of their last change, so that the oldest are found
// at the front.
type Book struct {
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
	state      State
	answer     *Answer
	changed    time.Duration
	prev, next *entry
}

// NewBook returns an empty book. start is where its clock begins.
func NewBook(l Limits, start time.Time) *Book {
	b := &Book{limits: l, start: start}
	for i := range b.shards {
		b.shards[i].records = map[string]*entry{}
	}
	return b
}

func (b *Book) shard(key string) *shard {
	return &b.shards[xxhash.Sum64String(key)%shards]
}

// Start lets an attempt through, or gives what stands against it: a saved
// answer, or a code.
func (b *Book) Start(key string, ballot Ballot, print uint64, now time.Time) (*Answer, api.Code) {
	sh := b.shard(key)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	b.expire(sh, now)
	e := sh.records[key]
	state, code := e.get().Start(ballot, print)
	if code == api.CallAnswerNotKept && e.answer != nil {
		return e.answer, api.OK
	}
	if code == api.OK && !b.put(sh, key, state, now) {
		return nil, api.CallShed
	}
	return nil, code
}

// End records how the attempt that Start let through came out.
func (b *Book) End(key string, ran api.Ran, answer *Answer, now time.Time) {
	sh := b.shard(key)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	e := sh.records[key]
	if e == nil {
		return
	}
	state := e.state.End(ran)
	if state.Phase == Absent {
		b.drop(sh, e)
		return
	}
	b.put(sh, key, state, now)
	if state.Phase == Ran {
		b.save(e, answer)
	}
}

// save keeps an answer if it fits.
func (b *Book) save(e *entry, a *Answer) {
	size := int64(a.Size())
	if a == nil || b.answers.Add(size) > b.limits.AllAnswers {
		b.answers.Add(-size)
		return
	}
	e.answer = a
}

// Fence asks for a fence. A full book gives the zero Reply.
func (b *Book) Fence(key string, ballot Ballot, print uint64, now time.Time) Reply {
	sh := b.shard(key)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	b.expire(sh, now)
	e := sh.records[key]
	state, grant := e.get().Fence(ballot, print)
	if grant == Found {
		return Reply{Grant: Found, State: state, Answer: e.answer}
	}
	if grant == Granted && !b.put(sh, key, state, now) {
		return Reply{}
	}
	return Reply{Grant: grant}
}

// Look returns the record of an attempt that was let through, and sets no fence.
func (b *Book) Look(key string, print uint64, now time.Time) Reply {
	sh := b.shard(key)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	b.expire(sh, now)
	e := sh.records[key]
	if e.get().clashes(print) {
		return Reply{Grant: Clash}
	}
	if e.get().Phase <= Fenced {
		return Reply{Grant: Granted}
	}
	return Reply{Grant: Found, State: e.state, Answer: e.answer}
}

// Merge folds another gate's record in; false when the book is full.
func (b *Book) Merge(k Known, now time.Time) bool {
	sh := b.shard(k.Key)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	e := sh.records[k.Key]
	state := e.get().Merge(k.State)
	if !b.put(sh, k.Key, state, now) {
		return false
	}
	if e = sh.records[k.Key]; e.answer == nil && state.Phase == Ran {
		b.save(e, k.Answer)
	}
	return true
}

// Known is one record on its way to another gate.
type Known struct {
	Key    string  `cbor:"1,keyasint"`
	State  State   `cbor:"2,keyasint"`
	Answer *Answer `cbor:"3,keyasint,omitempty"`
}

// Each calls fn for every record within the window, one shard at a time.
func (b *Book) Each(now time.Time, fn func(Known)) {
	for i := range b.shards {
		sh := &b.shards[i]
		sh.mu.Lock()
		b.expire(sh, now)
		for e := sh.oldest; e != nil; e = e.next {
			fn(Known{Key: e.key, State: e.state, Answer: e.answer})
		}
		sh.mu.Unlock()
	}
}

// Size returns the number of records and the bytes of saved answers.
func (b *Book) Size() (records int, answers int64) {
	for i := range b.shards {
		b.shards[i].mu.Lock()
		records += len(b.shards[i].records)
		b.shards[i].mu.Unlock()
	}
	return records, b.answers.Load()
}

// get returns the record; an entry that is not there is Absent.
func (e *entry) get() State {
	if e == nil {
		return State{}
	}
	return e.state
}

// put writes a record and makes it the newest. It refuses a new key when the
// shard is full. The caller holds the shard's lock.
func (b *Book) put(sh *shard, key string, s State, now time.Time) bool {
	e := sh.records[key]
	if e == nil {
		if len(sh.records) >= b.limits.Records/shards {
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
func (b *Book) expire(sh *shard, now time.Time) {
	limit := now.Sub(b.start) - b.limits.Window
	for e := sh.oldest; e != nil && e.changed < limit; e = sh.oldest {
		if e.state.Phase == Running {
			b.put(sh, e.key, e.state, now)
			continue
		}
		b.drop(sh, e)
	}
}

func (b *Book) drop(sh *shard, e *entry) {
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
