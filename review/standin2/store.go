package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store as the platform's pages spell it.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"mod_revision"`
	Created  uint64 `json:"create_rev,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a linearizable stand-in for the platform's store. Its leases pause while it
// is down.
type store struct {
	mu       sync.Mutex
	revision uint64
	nextID   uint64
	items    map[string]item
	history  []item
	leases   map[uint64]*storeLease
	changed  chan struct{}
	down     bool
	calls    map[string]int
}

type storeLease struct {
	ttl  time.Duration
	ends time.Time
	// left is what remained when the store went down.
	left time.Duration
}

func newStore() *store {
	return &store{revision: 1, items: map[string]item{}, leases: map[uint64]*storeLease{}, changed: make(chan struct{}), calls: map[string]int{}}
}

// put writes a key as the operator does.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeLocked(key, value, 0)
	s.wakeLocked()
}

func (s *store) writeLocked(key string, value []byte, lease uint64) {
	s.revision++
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.history = append(s.history, i)
}

func (s *store) deleteLocked(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) wakeLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// setDown makes the store refuse all calls with 503, or serve again. Leases go on with
// the time that they had left.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, l := range s.leases {
		if down && !s.down {
			l.left = l.ends.Sub(now)
		} else if !down && s.down {
			l.ends = now.Add(l.left)
		}
	}
	s.down = down
	s.wakeLocked()
}

func (s *store) expireLocked(now time.Time) {
	for id, l := range s.leases {
		if now.After(l.ends) {
			s.endLeaseLocked(id)
		}
	}
}

func (s *store) endLeaseLocked(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.deleteLocked(key)
		}
	}
	s.wakeLocked()
}

func (s *store) get(key string) (item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[key]
	return i, ok
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

type object = map[string]any

// ServeHTTP implements the calls of the platform's store.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[r.URL.Path]++
	if s.down {
		reply(w, http.StatusServiceUnavailable, object{"error": "down"})
		return
	}
	s.expireLocked(time.Now())
	q := r.URL.Query()
	switch path := r.URL.Path; {
	case path == "/kv-key":
		i, ok := s.items[q.Get("key")]
		if !ok {
			reply(w, http.StatusNotFound, object{"error": "no such key"})
			return
		}
		reply(w, http.StatusOK, struct {
			item
			StoreRevision uint64 `json:"store_revision"`
		}{i, s.revision})
	case path == "/kv-range":
		out := []item{}
		for key, i := range s.items {
			if strings.HasPrefix(key, q.Get("path_prefix")) && key > q.Get("after") {
				out = append(out, i)
			}
		}
		sort.Slice(out, func(a, b int) bool { return out[a].Key < out[b].Key })
		reply(w, http.StatusOK, object{"items": out, "has_more": false, "store_revision": s.revision})
	case path == "/kv-watch":
		s.watchLocked(w, r)
	case path == "/kv-txn":
		s.txnLocked(w, r)
	case path == "/kv-lease":
		var in struct {
			TTL float64 `json:"ttl_s_time"`
		}
		if json.NewDecoder(r.Body).Decode(&in) != nil {
			reply(w, http.StatusBadRequest, object{})
			return
		}
		s.nextID++
		ttl := time.Duration(in.TTL * float64(time.Second))
		s.leases[s.nextID] = &storeLease{ttl: ttl, ends: time.Now().Add(ttl)}
		reply(w, http.StatusOK, object{"lease": s.nextID, "ttl_s_time": in.TTL})
	case strings.HasPrefix(path, "/kv-keep/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(path, "/kv-keep/"), 10, 64)
		l := s.leases[id]
		if l == nil {
			reply(w, http.StatusNotFound, object{"error": "ended"})
			return
		}
		l.ends = time.Now().Add(l.ttl)
		reply(w, http.StatusOK, object{"ttl_s_time": l.ttl.Seconds()})
	case strings.HasPrefix(path, "/kv-lease-end/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(path, "/kv-lease-end/"), 10, 64)
		s.endLeaseLocked(id)
		reply(w, http.StatusOK, object{})
	default:
		reply(w, http.StatusNotFound, object{})
	}
}

func (s *store) watchLocked(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for {
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("path_prefix")) {
				events = append(events, i)
			}
		}
		if len(events) > 0 {
			reply(w, http.StatusOK, object{"events": events, "store_revision": s.revision})
			return
		}
		changed, ended := s.changed, false
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout.C:
			ended = true
		case <-r.Context().Done():
			ended = true
		}
		s.mu.Lock()
		if s.down {
			reply(w, http.StatusServiceUnavailable, object{"error": "down"})
			return
		}
		if ended {
			reply(w, http.StatusOK, object{"events": events, "store_revision": s.revision})
			return
		}
	}
}

func (s *store) txnLocked(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Expected []item   `json:"expected"`
		Writes   []item   `json:"writes"`
		Deletes  []string `json:"delete_keys"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		reply(w, http.StatusBadRequest, object{})
		return
	}
	conflict, current := false, []item{}
	for _, e := range in.Expected {
		i, ok := s.items[e.Key]
		conflict = conflict || i.Revision != e.Revision
		if ok {
			current = append(current, i)
		}
	}
	if conflict {
		reply(w, http.StatusPreconditionFailed, object{"items": current})
		return
	}
	for _, i := range in.Writes {
		if strings.HasPrefix(i.Key, "op/") || strings.HasPrefix(i.Key, "servers/") {
			reply(w, http.StatusForbidden, object{"error": "reserved"})
			return
		}
		if i.Lease != 0 && s.leases[i.Lease] == nil {
			reply(w, http.StatusNotFound, object{"error": "no such lease"})
			return
		}
	}
	for _, i := range in.Writes {
		s.writeLocked(i.Key, i.Value, i.Lease)
	}
	for _, key := range in.Deletes {
		s.deleteLocked(key)
	}
	s.wakeLocked()
	reply(w, http.StatusOK, object{"mod_revision": s.revision})
}
