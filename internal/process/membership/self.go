package membership

import (
	"sync"

	"k8s.io/klog/v2"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/wire"
)

const logPrefix = "member: "

// Publisher spreads a fact; gossip.Manager implements it.
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

// NewSelf enters a node's own record. The incarnation should rise with each
// start; where a clock went back and it does not, the node learns of the
// higher one from its peers and goes above it.
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

// SetUpstream takes what the upstream says of itself.
func (s *Self) SetUpstream(a api.Announcement) {
	s.update(func(r *Record) {
		r.Service, r.Version, r.Upstream, r.Slots = a.Service, a.Version, a.State, a.Slots
	})
}

// SetState spreads a state of the node, such as Leaving.
func (s *Self) SetState(state State) {
	s.update(func(r *Record) { r.State = state })
}

// refute answers a record of this address that others hold above our own:
// suspicion, or an earlier start under a clock that was ahead.
func (s *Self) refute(other Record) {
	s.update(func(r *Record) {
		if other.Supersedes(*r) {
			r.Incarnation = other.Incarnation + 1
		}
	})
}

// change spreads the record if fn changed it.
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
		klog.Errorf(logPrefix+"%v", err)
		return
	}
	if s.Publisher != nil {
		s.Publisher.Publish(TopicName, item)
	}
}
