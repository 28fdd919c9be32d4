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

// Timeouts of records that are no longer updated.
const (
	// TombstoneTTL is how long a Gone record is kept, so that outdated records
	// of the node do not bring it back.
	TombstoneTTL = 10 * time.Minute
	// LeavingTimeout is how long a node may stay Leaving; it is longer than
	// the longest grace period of a planned stop.
	LeavingTimeout = 2 * time.Minute
	// SuspectTimeout limits a suspicion whose originator has failed as well.
	SuspectTimeout = 30 * time.Second
)

// BucketCount is the number of buckets that checksums are kept for.
const BucketCount = 64

// UpstreamKey identifies the upstreams of one version of a service.
type UpstreamKey struct {
	Service string
	Version string
}

// Index is an immutable view of the members for the request path.
type Index struct {
	// Serving lists, per service and version, the nodes whose upstream may
	// receive new calls, ordered by address.
	Serving map[UpstreamKey][]Record
	// ExcludedServing counts, per service and version, the upstreams that may receive
	// new calls but are left out of Serving because their data centre is excluded; nil
	// if no data centre is excluded.
	ExcludedServing map[UpstreamKey]int
	// Members lists every record that is not Gone, ordered by address.
	Members []Record
}

// entry is a record with derived data.
type entry struct {
	record Record
	// item is the record's canonical encoding and hash is its hash.
	item []byte
	hash uint64
	// stateSince is when this node learned of the record's state.
	stateSince time.Time
}

// Table merges records. Reading the index takes no lock unless records changed
// since the last read; the first reader after a change rebuilds it, so a burst
// of changes costs one rebuild.
type Table struct {
	// OnStoreLost, if set, is called when the record of another node says that it has
	// lost the store. It must not block and must not call the table.
	OnStoreLost func()

	index atomic.Pointer[Index]
	stale atomic.Bool
	// generation increases when the set of members, their locations or their
	// states change, but not when an upstream changes.
	generation atomic.Uint64

	mu      sync.Mutex
	records map[string]entry
	// checksums holds, per bucket, the XOR of the record hashes. Gone records
	// are not included because each node expires them at its own time.
	checksums [BucketCount]uint64
	// staleKeys holds the keys of Serving to rebuild.
	staleKeys map[UpstreamKey]bool
	// staleAddresses holds the addresses to update in Members.
	staleAddresses map[string]bool
	// excluded holds the data centres left out of Serving. It is replaced, never
	// changed.
	excluded map[string]bool
	// self is this node's address; onConflict is called with records of this
	// address that peers hold and that supersede the node's own.
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

// ServesOnlyExcluded reports whether a service has upstreams that may receive new
// calls, but only in excluded data centres.
func (x *Index) ServesOnlyExcluded(service string) bool {
	for key, records := range x.Serving {
		if key.Service == service && len(records) > 0 {
			return false
		}
	}
	return len(x.ExcludedVersions(service)) > 0
}

// ExcludedVersions returns the versions of a service that serve in excluded data
// centres.
func (x *Index) ExcludedVersions(service string) []string {
	var out []string
	for key := range x.ExcludedServing {
		if key.Service == service {
			out = append(out, key.Version)
		}
	}
	return out
}

// ServingWithout returns an index of the upstreams of one service that leaves out some
// data centres in addition to those already excluded.
func (x *Index) ServingWithout(service string, dataCentres map[string]bool) *Index {
	out := &Index{Serving: map[UpstreamKey][]Record{}, ExcludedServing: map[UpstreamKey]int{}, Members: x.Members}
	maps.Copy(out.ExcludedServing, x.ExcludedServing)
	for key, records := range x.Serving {
		if key.Service != service {
			continue
		}
		for _, r := range records {
			if dataCentres[r.DataCentre] {
				out.ExcludedServing[key]++
			} else {
				out.Serving[key] = append(out.Serving[key], r)
			}
		}
	}
	return out
}

// Exclude leaves the upstreams of the given data centres, and only these, out of
// Index.Serving. The set must not be changed afterwards.
func (t *Table) Exclude(dataCentres map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.excluded
	t.excluded = dataCentres
	for _, e := range t.records {
		if old[e.record.DataCentre] != dataCentres[e.record.DataCentre] && e.record.Serving() {
			t.staleKeys[UpstreamKey{Service: e.record.Service, Version: e.record.Version}] = true
		}
	}
	t.stale.Store(true)
}

// Generation returns a number that increases when the set of members, their
// locations or their states change.
func (t *Table) Generation() uint64 { return t.generation.Load() }

// Merge merges a record and reports whether it changed the table. It does not merge
// a record of this node's own address: if that record supersedes the node's own, it
// calls onConflict.
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

// mergeSelf merges this node's own record.
func (t *Table) mergeSelf(r Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mergeLocked(r)
}

// mergeLocked implements Merge; the caller holds mu.
func (t *Table) mergeLocked(r Record) bool {
	old, ok := t.records[r.Address]
	if ok && !r.Supersedes(old.record) {
		return false
	}
	item, err := wire.Marshal(r)
	if err != nil {
		klog.Errorf(logPrefix+"encode the record of a member: %v", err)
		return false
	}
	e := entry{record: r, item: item, hash: xxhash.Sum64(item), stateSince: time.Now()}
	if ok && old.record.State == r.State && r.State != Alive && old.record.Incarnation == r.Incarnation {
		e.stateSince = old.stateSince
	}
	t.putLocked(old, e)
	return true
}

// putLocked replaces old, which may be empty, with e; the caller holds mu.
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
	if e.record.Store == StoreLost && old.record.Store != StoreLost && e.record.Address != t.self && t.OnStoreLost != nil {
		t.OnStoreLost()
	}
}

// checksumPart returns the entry's contribution to its bucket's checksum.
func (e entry) checksumPart() uint64 {
	if e.record.State == Gone {
		return 0
	}
	return e.hash
}

// markStaleLocked marks the parts of the index that contain r as stale; the
// caller holds mu.
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

// All returns every record, including Gone ones, ordered by address.
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

// Expire removes old tombstones and marks members Gone that stayed Suspect or
// Leaving for too long.
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

// rebuild publishes a new index and recomputes only the stale parts.
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
	if len(t.excluded) > 0 {
		x.ExcludedServing = map[UpstreamKey]int{}
	}
	for _, r := range x.Members {
		k := UpstreamKey{Service: r.Service, Version: r.Version}
		switch {
		case !r.Serving():
		case t.excluded[r.DataCentre]:
			x.ExcludedServing[k]++
		case t.staleKeys[k]:
			x.Serving[k] = append(x.Serving[k], r)
		}
	}
	clear(t.staleKeys)
	clear(t.staleAddresses)
	t.index.Store(x)
	t.stale.Store(false)
}

// mergeMembersLocked merges the records of the stale addresses into the sorted
// old list; the caller holds mu.
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
