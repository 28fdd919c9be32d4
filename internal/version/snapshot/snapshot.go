// Package snapshot turns an accepted document into the immutable form that
// requests use, and holds the one in force.
package snapshot

import (
	"errors"
	"reflect"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/daisytide/daisytide/internal/request/route"
	"github.com/daisytide/daisytide/internal/version/document"
	"github.com/daisytide/daisytide/internal/version/traffic"
	"github.com/daisytide/daisytide/internal/version/validate"
)

// Snapshot is one configuration, indexed for requests. It never changes.
type Snapshot struct {
	Accepted *document.AcceptedConfig
	Document *document.Document
	// Envelope is the stored form; peers receive these bytes.
	Envelope []byte
	Hash     document.Hash
	// Routes finds a request's route without a lock.
	Routes *route.Table
	// Traffic is set where the operator keeps the configuration in the store;
	// the document is then empty.
	Traffic  *traffic.Table
	services map[string]*document.Service
	rollouts map[string]ActiveRollout
}

// ActiveRollout is a rollout of the snapshot with the configuration it began under.
type ActiveRollout struct {
	Rollout     document.Rollout
	StartConfig uint64
}

// ErrInvalid tells that an envelope's document breaks a rule of validation.
var ErrInvalid = errors.New("the document is not valid")

// Build decodes, checks and indexes an envelope. The whole is refused when any
// part of it is wrong.
func Build(envelope []byte) (*Snapshot, error) { return BuildFrom(nil, envelope) }

// BuildFrom is Build with an earlier snapshot, which may be nil: what did not
// change is shared with it.
func BuildFrom(prev *Snapshot, envelope []byte) (*Snapshot, error) {
	a, doc, err := document.DecodeEnvelope(envelope)
	if err != nil {
		return nil, err
	}
	if len(a.Rollouts) != len(doc.Rollouts) {
		return nil, errors.Join(ErrInvalid, errors.New("the envelope's moves do not match the document's rollouts"))
	}
	if a.Traffic != nil {
		return &Snapshot{
			Accepted: a, Document: doc, Envelope: envelope, Hash: document.HashOf(envelope),
			Routes: route.NewTable(nil), Traffic: traffic.NewTable(*a.Traffic),
		}, nil
	}
	if faults := validate.Document(doc); len(faults) > 0 {
		return nil, errors.Join(ErrInvalid, errors.New(faults[0].String()))
	}
	s := &Snapshot{
		Accepted: a,
		Document: doc,
		Envelope: envelope,
		Hash:     document.HashOf(envelope),
		rollouts: make(map[string]ActiveRollout, len(doc.Rollouts)),
	}
	s.indexServices(prev)
	s.indexRoutes(prev)
	for i, r := range doc.Rollouts {
		s.rollouts[r.Service] = ActiveRollout{Rollout: r, StartConfig: a.Rollouts[i].StartConfig}
	}
	return s, nil
}

// indexServices takes each unchanged service, and the whole index where none
// changed, from prev. Each service stands in its own memory, so that one of
// them does not keep all those of an old document.
func (s *Snapshot) indexServices(prev *Snapshot) {
	if prev != nil && reflect.DeepEqual(prev.Document.Services, s.Document.Services) {
		s.Document.Services = prev.Document.Services
		s.services = prev.services
		return
	}
	s.services = make(map[string]*document.Service, len(s.Document.Services))
	for _, service := range s.Document.Services {
		if prev != nil && prev.services[service.Name] != nil && reflect.DeepEqual(*prev.services[service.Name], service) {
			s.services[service.Name] = prev.services[service.Name]
			continue
		}
		s.services[service.Name] = &service
	}
}

// indexRoutes takes the routes from prev where none changed.
func (s *Snapshot) indexRoutes(prev *Snapshot) {
	if prev != nil && slices.Equal(prev.Document.Routes, s.Document.Routes) {
		s.Document.Routes = prev.Document.Routes
		s.Routes = prev.Routes
		return
	}
	s.Routes = route.NewTable(s.Document.Routes)
}

// Number is the configuration number.
func (s *Snapshot) Number() uint64 {
	if s == nil {
		return 0
	}
	return s.Accepted.Number
}

// Service finds a service by name; nil where there is none.
func (s *Snapshot) Service(name string) *document.Service { return s.services[name] }

// ActiveRollout finds the rollout of a service.
func (s *Snapshot) ActiveRollout(service string) (ActiveRollout, bool) {
	m, ok := s.rollouts[service]
	return m, ok
}

// Holder keeps the snapshot in force. Readers take no lock.
type Holder struct {
	current atomic.Pointer[Snapshot]

	// mu orders swaps, so that the number in force never falls and the
	// listeners see each swap in order.
	mu        sync.Mutex
	listeners []func(*Snapshot)
}

// Current returns the snapshot in force; nil before the first.
func (h *Holder) Current() *Snapshot { return h.current.Load() }

// OnSwap registers fn, called with each new snapshot, in order.
func (h *Holder) OnSwap(fn func(*Snapshot)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.listeners = append(h.listeners, fn)
}

// StoreIfNewer puts s in force when its number is higher than the one in force, and
// tells whether it did.
func (h *Holder) StoreIfNewer(s *Snapshot) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.Number() <= h.current.Load().Number() {
		return false
	}
	h.current.Store(s)
	for _, fn := range h.listeners {
		fn(s)
	}
	return true
}
