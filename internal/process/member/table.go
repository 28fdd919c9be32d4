package member

import (
	"sort"
	"sync"
	"sync/atomic"
)

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

// Table merges records. Readers of the index take no lock.
type Table struct {
	index atomic.Pointer[Index]

	mu      sync.Mutex
	records map[string]Record
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{records: map[string]Record{}}
	t.index.Store(&Index{Serving: map[UpstreamKey][]Record{}})
	return t
}

// Index returns the current view.
func (t *Table) Index() *Index { return t.index.Load() }

// Merge folds one record in and tells whether it changed the table.
func (t *Table) Merge(r Record) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, ok := t.records[r.Address]
	if ok && !r.Supersedes(old) {
		return false
	}
	t.records[r.Address] = r
	t.rebuild()
	return true
}

// All returns every record, Gone ones too, in address order.
func (t *Table) All() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	return sorted(t.records)
}

// Get returns the record of one node.
func (t *Table) Get(address string) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[address]
	return r, ok
}

// rebuild publishes a new index; the caller holds mu.
func (t *Table) rebuild() {
	x := &Index{Serving: map[UpstreamKey][]Record{}}
	for _, r := range sorted(t.records) {
		if r.State == Gone {
			continue
		}
		x.Members = append(x.Members, r)
		if r.Serving() {
			k := UpstreamKey{Service: r.Service, Version: r.Version}
			x.Serving[k] = append(x.Serving[k], r)
		}
	}
	t.index.Store(x)
}

func sorted(m map[string]Record) []Record {
	out := make([]Record, 0, len(m))
	for _, r := range m {
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Address < out[j].Address })
	return out
}
