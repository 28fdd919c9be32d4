package membership

import (
	"sync"

	"k8s.io/klog/v2"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/wire"
)

const logPrefix = "member: "

// Publisher publishes an item to the other nodes; gossip.Manager implements it.
type Publisher interface {
	Publish(topic string, item []byte)
}

// Self maintains this node's own record.
type Self struct {
	Publisher Publisher
	table     *Table

	mu     sync.Mutex
	record Record
}

// NewSelf adds this node's record to the table. The incarnation should increase
// with each start; if it does not because the clock was set back, the node
// receives its old record from a peer and raises its incarnation above it.
func NewSelf(r Record, t *Table, incarnation uint64) *Self {
	r.Incarnation = incarnation
	r.State = Alive
	s := &Self{table: t, record: r}
	t.mu.Lock()
	t.self = r.Address
	t.onConflict = s.refute
	t.mu.Unlock()
	t.mergeSelf(r)
	return s
}

// Record returns the node's own record.
func (s *Self) Record() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.record
}

// SetUpstream updates the upstream's fields from its announcement.
func (s *Self) SetUpstream(a api.Announcement) {
	s.update(func(r *Record) {
		r.Service, r.Version, r.Upstream, r.Slots = a.Service, a.Version, a.State, a.Slots
	})
}

// SetState publishes a new state of this node, such as Leaving.
func (s *Self) SetState(state State) {
	s.update(func(r *Record) { r.State = state })
}

// SetStoreAccess publishes the node's access to the store.
func (s *Self) SetStoreAccess(a StoreAccess) {
	s.update(func(r *Record) { r.Store = a })
}

// refute raises the incarnation above a record of this address that peers hold
// and that supersedes the node's own: a suspicion, or a record of an earlier start
// whose clock was ahead.
func (s *Self) refute(other Record) {
	s.update(func(r *Record) {
		if other.Supersedes(*r) {
			r.Incarnation = other.Incarnation + 1
		}
	})
}

// update applies fn to the record and publishes it if it changed.
func (s *Self) update(fn func(*Record)) {
	s.mu.Lock()
	old := s.record
	fn(&s.record)
	if s.record == old {
		s.mu.Unlock()
		return
	}
	s.record.Sequence++
	r := s.record
	s.table.mergeSelf(r)
	s.mu.Unlock()
	item, err := wire.Marshal(r)
	if err != nil {
		klog.Errorf(logPrefix+"encode the record of this node: %v", err)
		return
	}
	if s.Publisher != nil {
		s.Publisher.Publish(TopicName, item)
	}
}
