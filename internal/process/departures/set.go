package departures

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/daisytide/daisytide/internal/conn/wire"
)

// TopicName is the gossip topic of departures.
const TopicName = "departures"

// maxDepartures bounds a set. It is above the number of upstreams that leave within
// TTL when a fleet of 1,000 replaces all of its upstreams.
const maxDepartures = 4096

// Set holds the latest departure beside each node. Of two departures beside a node
// the one of the later start is kept, so neither the order nor duplicates matter. It
// implements gossip.Topic.
type Set struct {
	now func() time.Time

	mu     sync.Mutex
	byNode map[string]Departure
	// checksum is the XOR of the hashes of byNode, and nextExpiry when the first of
	// them expires, in Unix seconds.
	checksum   uint64
	nextExpiry int64
	// node is this node's address; onOwn is called, without the lock, with each
	// departure beside it that others told of.
	node  string
	onOwn func(Departure)
}

// NewSet returns an empty set.
func NewSet(now func() time.Time) *Set { return &Set{now: now, byNode: map[string]Departure{}} }

// NotifyOwn makes the set call fn with each new departure beside the given node that
// it receives from others.
func (s *Set) NotifyOwn(node string, fn func(Departure)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.node, s.onOwn = node, fn
}

// Get returns the latest departure beside a node.
func (s *Set) Get(node string) (Departure, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d, ok := s.byNode[node]
	if !ok || d.ExpiresUnix <= s.now().Unix() {
		return Departure{}, false
	}
	return d, true
}

// add adds a departure and reports whether it changed the set.
func (s *Set) add(d Departure) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if d.ExpiresUnix <= now.Unix() {
		return false
	}
	s.expireLocked(now)
	old, ok := s.byNode[d.Node]
	if ok && d.compare(old) <= 0 || !ok && len(s.byNode) >= maxDepartures {
		return false
	}
	// The clock of the node that recorded it may be ahead.
	d.ExpiresUnix = min(d.ExpiresUnix, now.Add(TTL).Unix())
	if ok {
		s.checksum ^= old.hash()
	}
	if len(s.byNode) == 0 || d.ExpiresUnix < s.nextExpiry {
		s.nextExpiry = d.ExpiresUnix
	}
	s.checksum ^= d.hash()
	s.byNode[d.Node] = d
	return true
}

// receive adds a departure that another node or the store told of.
func (s *Set) receive(d Departure) (bool, error) {
	if err := d.validate(s.now()); err != nil {
		return false, err
	}
	changed := s.add(d)
	s.mu.Lock()
	onOwn := s.onOwn
	if d.Node != s.node {
		onOwn = nil
	}
	s.mu.Unlock()
	if changed && onOwn != nil {
		onOwn(d)
	}
	return changed, nil
}

// expireLocked drops expired departures; the caller holds mu.
func (s *Set) expireLocked(now time.Time) {
	if now.Unix() < s.nextExpiry {
		return
	}
	s.nextExpiry = math.MaxInt64
	for node, d := range s.byNode {
		if d.ExpiresUnix <= now.Unix() {
			s.checksum ^= d.hash()
			delete(s.byNode, node)
			continue
		}
		s.nextExpiry = min(s.nextExpiry, d.ExpiresUnix)
	}
}

// Name implements gossip.Topic.
func (s *Set) Name() string { return TopicName }

// Merge implements gossip.Topic.
func (s *Set) Merge(item []byte) (bool, error) {
	var d Departure
	if err := wire.Unmarshal(item, &d); err != nil {
		return false, err
	}
	return s.receive(d)
}

// Checksum implements gossip.Topic.
func (s *Set) Checksum() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked(s.now())
	return s.checksum
}

// all returns all departures.
func (s *Set) all() []Departure {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked(s.now())
	return slices.Collect(maps.Values(s.byNode))
}

// Items implements gossip.Topic.
func (s *Set) Items() [][]byte {
	var out [][]byte
	for _, d := range s.all() {
		if b, err := wire.Marshal(d); err == nil {
			out = append(out, b)
		}
	}
	return out
}
