package evacuation

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"k8s.io/klog/v2"

	"github.com/daisytide/daisytide/internal/conn/wire"
)

// TopicName is the gossip topic of evacuations.
const TopicName = "evacuations"

// maxRemoved bounds the orders that are kept after they have ended. A fleet has tens of
// data centres; only orders for names that do not exist come near the bound. Orders in
// force are not bounded, since leaving one out would not evacuate its data centre.
const maxRemoved = 1024

const logPrefix = "evacuation: "

// View is an immutable set of evacuated data centres. Nil is the empty set.
type View struct{ names map[string]bool }

// Contains reports whether a data centre is evacuated.
func (v *View) Contains(dataCentre string) bool { return v != nil && v.names[dataCentre] }

// Set returns the evacuated data centres as a set that must not be changed.
func (v *View) Set() map[string]bool {
	if v == nil {
		return nil
	}
	return v.names
}

// Names returns the evacuated data centres in order.
func (v *View) Names() []string {
	if v == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(v.names))
}

// Set holds the latest order for each data centre. It implements gossip.Topic.
type Set struct {
	// OnChange, if set, is called with each order that begins or ends and with the
	// view that results. Of the set it may call View only. source says where the
	// order was learnt.
	OnChange func(o Order, v *View, source Source)
	// Publish, if set, sends an item to the other nodes.
	Publish func(item []byte)

	view atomic.Pointer[View]

	mu     sync.Mutex
	orders map[string]Order
	// removed is the number of orders that are not in force, and checksum the XOR of
	// the hashes of all.
	removed  int
	checksum uint64
	// listRevision is the revision of the latest list. An order up to it that the
	// list did not contain has ended.
	listRevision uint64
}

// Source is where a node learnt of an order.
type Source string

// Values of Source.
const (
	SourceStore Source = "the store"
	SourcePeer  Source = "a peer"
)

// View returns the data centres that are evacuated now, nil if there are none. It
// takes no lock.
func (s *Set) View() *View { return s.view.Load() }

// Apply adds an order that was read from the store.
func (s *Set) Apply(o Order) error {
	if err := o.validate(); err != nil {
		return err
	}
	s.mu.Lock()
	changed := s.mergeLocked(o, SourceStore)
	s.mu.Unlock()
	if changed {
		s.publish(o)
	}
	return nil
}

// ApplyList adds the orders of a complete list of the store's keys, which began at the
// given revision. All other orders up to that revision have ended: an order that was
// written while later pages were read has a higher revision and stays.
func (s *Set) ApplyList(listed []Order, revision uint64) error {
	var changed []Order
	var firstErr error
	present := map[string]bool{}
	s.mu.Lock()
	for _, o := range listed {
		present[o.DataCentre] = true
		if err := o.validate(); err != nil {
			if firstErr == nil {
				firstErr = err
			}
			continue
		}
		if s.mergeLocked(o, SourceStore) {
			changed = append(changed, o)
		}
	}
	for _, held := range s.orders {
		ended := Order{DataCentre: held.DataCentre, Revision: revision}
		if held.InForce && !present[held.DataCentre] && ended.supersedes(held) {
			changed = append(changed, ended)
		}
	}
	for _, o := range changed {
		if !o.InForce {
			s.mergeLocked(o, SourceStore)
		}
	}
	s.listRevision = max(s.listRevision, revision)
	s.mu.Unlock()
	for _, o := range changed {
		s.publish(o)
	}
	return firstErr
}

// mergeLocked merges an order and reports whether it changed the set; the caller
// holds mu.
func (s *Set) mergeLocked(o Order, source Source) bool {
	old, known := s.orders[o.DataCentre]
	if known && !o.supersedes(old) {
		return false
	}
	if s.orders == nil {
		s.orders = map[string]Order{}
	}
	if known {
		s.dropLocked(old)
	}
	s.orders[o.DataCentre] = o
	s.checksum ^= o.hash()
	if !o.InForce {
		s.removed++
	}
	kept := s.limitRemovedLocked(o)
	if o.InForce != old.InForce {
		s.updateViewLocked(o, source)
	}
	return kept || old.InForce
}

func (s *Set) dropLocked(o Order) {
	delete(s.orders, o.DataCentre)
	s.checksum ^= o.hash()
	if !o.InForce {
		s.removed--
	}
}

// limitRemovedLocked drops the oldest removal if there are too many, which is the same
// one on all nodes. It reports whether added is still held.
func (s *Set) limitRemovedLocked(added Order) bool {
	if s.removed <= maxRemoved {
		return true
	}
	var oldest Order
	for _, o := range s.orders {
		if !o.InForce && (oldest.Revision == 0 || o.Revision < oldest.Revision || o.Revision == oldest.Revision && o.DataCentre < oldest.DataCentre) {
			oldest = o
		}
	}
	s.dropLocked(oldest)
	return oldest != added
}

// updateViewLocked publishes the view after an order began or ended.
func (s *Set) updateViewLocked(o Order, source Source) {
	names := map[string]bool{}
	for _, held := range s.orders {
		if held.InForce {
			names[held.DataCentre] = true
		}
	}
	var v *View
	if len(names) > 0 {
		v = &View{names: names}
	}
	s.view.Store(v)
	if s.OnChange != nil {
		s.OnChange(o, v, source)
	}
}

func (s *Set) publish(o Order) {
	if s.Publish == nil {
		return
	}
	item, err := wire.Marshal(o)
	if err != nil {
		klog.Errorf(logPrefix+"encode the order for %q: %v", o.DataCentre, err)
		return
	}
	s.Publish(item)
}

// Name implements gossip.Topic.
func (s *Set) Name() string { return TopicName }

// Merge implements gossip.Topic. An order that this node's list of the store has shown
// to be over is not merged; its removal is sent to the peers instead.
func (s *Set) Merge(item []byte) (bool, error) {
	var o Order
	if err := wire.Unmarshal(item, &o); err != nil {
		return false, err
	}
	return s.receive(o)
}

// receive merges an order that a peer told of.
func (s *Set) receive(o Order) (bool, error) {
	if err := o.validate(); err != nil {
		return false, err
	}
	s.mu.Lock()
	held, known := s.orders[o.DataCentre]
	if known && !o.supersedes(held) {
		s.mu.Unlock()
		return false, nil
	}
	ended := Order{DataCentre: o.DataCentre, Revision: s.listRevision}
	isOver := o.InForce && ended.supersedes(o)
	if isOver {
		o = ended
	}
	changed := s.mergeLocked(o, SourcePeer)
	s.mu.Unlock()
	if isOver {
		if changed {
			s.publish(o)
		}
		return false, nil
	}
	return changed, nil
}

// Checksum implements gossip.Topic.
func (s *Set) Checksum() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.checksum
}

// hasList reports whether the set has had a list of the store.
func (s *Set) hasList() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listRevision > 0
}

// all returns the latest order for each data centre, also those that have ended.
func (s *Set) all() []Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Values(s.orders))
}

// Items implements gossip.Topic.
func (s *Set) Items() [][]byte {
	var out [][]byte
	for _, o := range s.all() {
		if b, err := wire.Marshal(o); err == nil {
			out = append(out, b)
		}
	}
	return out
}
