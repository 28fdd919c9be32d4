package member

import (
	"sync"

	"k8s.io/klog/v2"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/wire"
)

const logPrefix = "member: "

// Publisher spreads a fact; spread.Manager implements it.
type Publisher interface {
	Publish(topic string, item []byte)
}

// Self keeps this node's own record.
type Self struct {
	Publisher Publisher
	table     *Table

	mu     sync.Mutex
	record Record
}

// NewSelf enters a node's own record; incarnation must rise with each start.
func NewSelf(r Record, t *Table, incarnation uint64) *Self {
	r.Incarnation = incarnation
	r.State = Alive
	t.Merge(r)
	return &Self{table: t, record: r}
}

// Record returns the node's own record.
func (s *Self) Record() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.record
}

// Announce takes what the upstream says of itself.
func (s *Self) Announce(a api.Announcement) {
	s.change(func(r *Record) {
		r.Service, r.Version, r.Upstream, r.Slots = a.Service, a.Version, a.State, a.Slots
	})
}

// SetState spreads a state of the node, such as Leaving.
func (s *Self) SetState(state State) {
	s.change(func(r *Record) { r.State = state })
}

// change spreads the record if fn changed it.
func (s *Self) change(fn func(*Record)) {
	s.mu.Lock()
	old := s.record
	fn(&s.record)
	if s.record == old {
		s.mu.Unlock()
		return
	}
	s.record.Sequence++
	r := s.record
	s.mu.Unlock()
	s.table.Merge(r)
	item, err := wire.Marshal(r)
	if err != nil {
		klog.Errorf(logPrefix+"%v", err)
		return
	}
	s.Publisher.Publish(TopicName, item)
}
