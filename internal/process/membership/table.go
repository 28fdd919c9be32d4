package membership

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/daisytide/daisytide/internal/conn/wire"
)

// Lives of records that nobody speaks for any more.
const (
	// TombstoneTTL is how long a Gone record is kept, so that old news of
	// the node does not bring it back.
	TombstoneTTL = 10 * time.Minute
	// LeavingTimeout is how long a node may stay Leaving; it is above the
	// longest grace of a planned stop.
	LeavingTimeout = 2 * time.Minute
	// SuspectTimeout bounds a suspicion whose author has failed too.
	SuspectTimeout = 30 * time.Second
)

// BucketCount is the number of parts that the records' sums are kept in.
const BucketCount = 64

// UpstreamKey names the upstreams of one version of a service.
type UpstreamKey struct {
	Service string
	Version string
}

// Index is an immutable view of the members for requests.
type Index struct {
	// Serving lists, per service and version, the nodes whose upstream may
	// receive new calls, in address order.
	Serving map[UpstreamKey][]Record
	// Members lists every record that is not Gone, in address order.
	Members []Record
}

// entry is one record with what is derived from it.
type entry struct {
	record Record
	// item is the record's canonical encoding and hash its sum.
	item []byte
	hash uint64
	// since is when this node learned of the record's state.
	stateSince time.Time
}

// Table merges records. Readers of the index take no lock unless records
// changed since the last read; the first reader after that builds it anew, so
// that a burst of changes costs one build.
type Table struct {
	index atomic.Pointer[Index]
	stale atomic.Bool
	// generation rises with each change of who is a member, where and in
	// which state; an upstream's change leaves it.
	generation atomic.Uint64

	mu      sync.Mutex
	records map[string]entry
	// sums holds, per bucket, the exclusive or of the hashes of its records
	// but the Gone ones: those expire at each node's own time.
	checksums [BucketCount]uint64
	// changed names the keys of the index to rebuild.
	staleKeys map[UpstreamKey]bool
	// moved names the addresses whose place in Members is to be rebuilt.
	staleAddresses map[string]bool
	// self is this node's address; contradict is told of records of that
	// address which this node did not write.
	self       string
	onConflict func(Record)
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{records: map[string]entry{}, staleKeys: map[UpstreamKey]bool{}, staleAddresses: map[string]bool{}}
	t.index.Store(&Index{Serving: map[UpstreamKey][]Record{}})
	return t
}

// Index returns the current view.
func (t *Table) Index() *Index {
	if t.stale.Load() {
		t.rebuild()
	}
	return t.index.Load()
}

// Generation rises when the set of members, their places or states change.
func (t *Table) Generation() uint64 { return t.generation.Load() }

// Merge folds one record in and tells whether it changed the table.
func (t *Table) Merge(r Record) bool {
	t.mu.Lock()
	if r.Address == t.self && t.onConflict != nil {
		old := t.records[r.Address].record
		t.mu.Unlock()
		if r.Supersedes(old) {
			t.onConflict(r)
		}
		return false
	}
	defer t.mu.Unlock()
	return t.mergeLocked(r)
}

// mergeOwn folds in this node's own record.
func (t *Table) mergeSelf(r Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mergeLocked(r)
}

// merge does Merge's work; the caller holds mu.
func (t *Table) mergeLocked(r Record) bool {
	old, ok := t.records[r.Address]
	if ok && !r.Supersedes(old.record) {
		return false
	}
	item, err := wire.Marshal(r)
	if err != nil {
		klog.Errorf(logPrefix+"encode a record: %v", err)
		return false
	}
	e := entry{record: r, item: item, hash: xxhash.Sum64(item), stateSince: time.Now()}
	if ok && old.record.State == r.State && r.State != Alive && old.record.Incarnation == r.Incarnation {
		e.stateSince = old.stateSince
	}
	t.putLocked(old, e)
	return true
}

// put replaces old, which may be empty, by e; the caller holds mu.
func (t *Table) putLocked(old, e entry) {
	bucket := BucketOf(e.record.Address)
	t.checksums[bucket] ^= old.checksumPart() ^ e.checksumPart()
	t.records[e.record.Address] = e
	t.markStaleLocked(old.record)
	t.markStaleLocked(e.record)
	if old.record.State != e.record.State || !old.record.sameLocation(e.record) {
		t.generation.Add(1)
	}
	t.stale.Store(true)
}

// counted returns what the entry adds to its bucket's sum.
func (e entry) checksumPart() uint64 {
	if e.record.State == Gone {
		return 0
	}
	return e.hash
}

// mark notes what a record's change makes stale; the caller holds mu.
func (t *Table) markStaleLocked(r Record) {
	if r.Address == "" {
		return
	}
	t.staleAddresses[r.Address] = true
	if r.Serving() {
		t.staleKeys[UpstreamKey{Service: r.Service, Version: r.Version}] = true
	}
}

// BucketOf returns the bucket of an address.
func BucketOf(address string) int { return int(xxhash.Sum64String(address) % BucketCount) }

// All returns every record, Gone ones too, in address order.
func (t *Table) All() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Record, 0, len(t.records))
	for _, e := range t.records {
		out = append(out, e.record)
	}
	slices.SortFunc(out, byAddress)
	return out
}

// Get returns the record of one node.
func (t *Table) Get(address string) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.records[address]
	return e.record, ok
}

// Expire ends records that outlived their state: tombstones are dropped, and
// a Suspect or Leaving that nobody settled becomes Gone here.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for address, e := range t.records {
		age := now.Sub(e.stateSince)
		r := e.record
		switch {
		case address == t.self:
		case r.State == Gone && age > TombstoneTTL:
			delete(t.records, address)
		case r.State == Leaving && age > LeavingTimeout, r.State == Suspect && age > SuspectTimeout:
			r.State = Gone
			t.mergeLocked(r)
		}
	}
}

// rebuild publishes a new index in which only what changed is built anew.
func (t *Table) rebuild() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.stale.Load() {
		return
	}
	old := t.index.Load()
	x := &Index{Serving: maps.Clone(old.Serving), Members: t.mergeMembersLocked(old.Members)}
	for k := range t.staleKeys {
		delete(x.Serving, k)
	}
	for _, r := range x.Members {
		k := UpstreamKey{Service: r.Service, Version: r.Version}
		if r.Serving() && t.staleKeys[k] {
			x.Serving[k] = append(x.Serving[k], r)
		}
	}
	clear(t.staleKeys)
	clear(t.staleAddresses)
	t.index.Store(x)
	t.stale.Store(false)
}

// members merges the moved addresses into the sorted old list; the caller
// holds mu.
func (t *Table) mergeMembersLocked(old []Record) []Record {
	updated := make([]Record, 0, len(t.staleAddresses))
	for address := range t.staleAddresses {
		if e, ok := t.records[address]; ok && e.record.State != Gone {
			updated = append(updated, e.record)
		}
	}
	slices.SortFunc(updated, byAddress)
	out := make([]Record, 0, len(old)+len(updated))
	for _, r := range old {
		if t.staleAddresses[r.Address] {
			continue
		}
		for len(updated) > 0 && updated[0].Address < r.Address {
			out = append(out, updated[0])
			updated = updated[1:]
		}
		out = append(out, r)
	}
	return append(out, updated...)
}

func byAddress(a, b Record) int { return strings.Compare(a.Address, b.Address) }
