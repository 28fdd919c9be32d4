package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store with its value, or a watch event for its deletion.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"mod_revision"`
	CreateRev uint64 `json:"create_rev,omitempty"`
	Lease     uint64 `json:"lease,omitempty"`
	Deleted   bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// store is the platform's metadata store as PROTOCOL.md describes it. It loses no
// write and keeps the whole history.
type store struct {
	mu        sync.Mutex
	items     map[string]item
	leases    map[uint64]*lease
	history   []item
	revision  uint64
	lastLease uint64
	changed   chan struct{}
}

func newStore() *store {
	s := &store{items: map[string]item{}, leases: map[uint64]*lease{}, changed: make(chan struct{})}
	go func() {
		for range time.Tick(100 * time.Millisecond) {
			s.expireLeases()
		}
	}()
	return s
}

// put writes a key; the caller holds mu.
func (s *store) put(key string, value []byte, leaseID, revision uint64) {
	i := item{Key: key, Value: value, Revision: revision, CreateRev: revision, Lease: leaseID}
	if old, ok := s.items[key]; ok {
		i.CreateRev = old.CreateRev
	}
	s.items[key] = i
	s.history = append(s.history, i)
}

// remove deletes a key; the caller holds mu.
func (s *store) remove(key string, revision uint64) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, item{Key: key, Revision: revision, Deleted: true})
	}
}

// notify wakes the waiting watches; the caller holds mu.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// write is a write of the operator.
func (s *store) write(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, value, 0, s.revision)
	s.notify()
}

func (s *store) expireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if time.Now().After(l.expires) {
			s.endLease(id)
		}
	}
}

// endLease removes a lease and its keys; the caller holds mu.
func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.revision++
			s.remove(key, s.revision)
		}
	}
	s.notify()
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

type problem struct {
	Error string `json:"error"`
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/kv-key":
		s.serveKey(w, r)
	case r.Method == http.MethodGet && r.URL.Path == "/kv-range":
		s.serveRange(w, r)
	case r.Method == http.MethodGet && r.URL.Path == "/kv-watch":
		s.serveWatch(w, r)
	case r.Method == http.MethodPost && r.URL.Path == "/kv-txn":
		s.serveTxn(w, r)
	case r.Method == http.MethodPost && r.URL.Path == "/kv-lease":
		s.serveGrant(w, r)
	case r.Method == http.MethodPost && strings.HasPrefix(r.URL.Path, "/kv-keep/"):
		s.serveKeep(w, strings.TrimPrefix(r.URL.Path, "/kv-keep/"))
	case r.Method == http.MethodDelete && strings.HasPrefix(r.URL.Path, "/kv-lease-end/"):
		s.serveLeaseEnd(w, strings.TrimPrefix(r.URL.Path, "/kv-lease-end/"))
	default:
		reply(w, http.StatusBadRequest, problem{"no such call"})
	}
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.FormValue("key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, problem{"no such key"})
		return
	}
	reply(w, http.StatusOK, struct {
		item
		StoreRevision uint64 `json:"store_revision"`
	}{i, revision})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, r.FormValue("path_prefix")) && key > r.FormValue("after") {
			items = append(items, i)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > 500
	if more {
		items = items[:500]
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "store_revision": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, err2 := strconv.Atoi(r.FormValue("wait_ms"))
	if err != nil || err2 != nil || wait > 30000 {
		reply(w, http.StatusBadRequest, problem{"invalid watch"})
		return
	}
	end := time.After(time.Duration(wait) * time.Millisecond)
	for done := false; ; {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, r.FormValue("path_prefix")) {
				events = append(events, i)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || done {
			reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			done = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Expected []item   `json:"expected"`
		Writes   []item   `json:"writes"`
		Deletes  []string `json:"delete_keys"`
	}
	body, _ := io.ReadAll(r.Body)
	if err := json.Unmarshal(body, &in); err != nil {
		reply(w, http.StatusBadRequest, problem{err.Error()})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	failed, current := false, []item{}
	for _, e := range in.Expected {
		i, ok := s.items[e.Key]
		if ok {
			current = append(current, i)
		}
		failed = failed || i.Revision != e.Revision
	}
	if failed {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range in.Writes {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			reply(w, http.StatusForbidden, problem{"reserved key"})
			return
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			reply(w, http.StatusNotFound, problem{"no such lease"})
			return
		}
	}
	s.revision++
	for _, p := range in.Writes {
		s.put(p.Key, p.Value, p.Lease, s.revision)
	}
	for _, key := range in.Deletes {
		s.remove(key, s.revision)
	}
	s.notify()
	reply(w, http.StatusOK, map[string]any{"mod_revision": s.revision})
}

func (s *store) serveGrant(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL float64 `json:"ttl_s_time"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		reply(w, http.StatusBadRequest, problem{"invalid lease"})
		return
	}
	seconds := min(max(in.TTL, 1), 600)
	ttl := time.Duration(seconds * float64(time.Second))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	s.leases[s.lastLease] = &lease{ttl, time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": s.lastLease, "ttl_s_time": seconds})
}

func (s *store) serveKeep(w http.ResponseWriter, id string) {
	n, _ := strconv.ParseUint(id, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[n]
	if l == nil {
		reply(w, http.StatusNotFound, problem{"the lease has ended"})
		return
	}
	l.expires = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]any{"lease": n, "ttl_s_time": l.ttl.Seconds()})
}

func (s *store) serveLeaseEnd(w http.ResponseWriter, id string) {
	n, _ := strconv.ParseUint(id, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[n] != nil {
		s.endLease(n)
	}
	reply(w, http.StatusOK, map[string]any{})
}
