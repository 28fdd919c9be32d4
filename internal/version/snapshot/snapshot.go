// Package snapshot builds the immutable, indexed form of a configuration that
// requests use, and holds the current one.
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

// Snapshot is an immutable configuration, indexed for requests.
type Snapshot struct {
	Accepted *document.AcceptedConfig
	Document *document.Document
	// Envelope is the encoded form, as stored and sent to peers.
	Envelope []byte
	Hash     document.Hash
	// Routes looks up a request's route without a lock.
	Routes *route.Table
	// Traffic is set if the operator keeps the configuration in the store; the
	// document is then empty.
	Traffic  *traffic.Table
	services map[string]*document.Service
	rollouts map[string]ActiveRollout
}

// ActiveRollout is a rollout with the number of the configuration that started
// it.
type ActiveRollout struct {
	Rollout     document.Rollout
	StartConfig uint64
}

// ErrInvalid reports that the document in an envelope violates a rule of
// package validate.
var ErrInvalid = errors.New("invalid document")

// Build decodes, validates and indexes an envelope. It refuses the envelope as
// a whole if any part of it is invalid.
func Build(envelope []byte) (*Snapshot, error) { return BuildFrom(nil, envelope) }

// BuildFrom is like Build but shares unchanged parts with an earlier snapshot,
// which may be nil.
func BuildFrom(prev *Snapshot, envelope []byte) (*Snapshot, error) {
	a, doc, err := document.DecodeEnvelope(envelope)
	if err != nil {
		return nil, err
	}
	if len(a.Rollouts) != len(doc.Rollouts) {
		return nil, errors.Join(ErrInvalid, errors.New("the rollouts of the envelope do not match those of the document"))
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

// indexServices reuses unchanged services, or the whole index if none changed,
// from prev. Each service is allocated separately, so a reused one does not
// keep all services of an old document in memory.
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

// indexRoutes reuses the routes of prev if none changed.
func (s *Snapshot) indexRoutes(prev *Snapshot) {
	if prev != nil && slices.Equal(prev.Document.Routes, s.Document.Routes) {
		s.Document.Routes = prev.Document.Routes
		s.Routes = prev.Routes
		return
	}
	s.Routes = route.NewTable(s.Document.Routes)
}

// Number returns the configuration number; 0 for a nil snapshot.
func (s *Snapshot) Number() uint64 {
	if s == nil {
		return 0
	}
	return s.Accepted.Number
}

// Service returns a service by name, or nil if there is none.
func (s *Snapshot) Service(name string) *document.Service { return s.services[name] }

// ActiveRollout returns the rollout of a service.
func (s *Snapshot) ActiveRollout(service string) (ActiveRollout, bool) {
	r, ok := s.rollouts[service]
	return r, ok
}

// Holder holds the snapshot in force. Readers take no lock.
type Holder struct {
	current atomic.Pointer[Snapshot]

	// mu serializes swaps, so the number in force never decreases and the
	// listeners see the swaps in order.
	mu        sync.Mutex
	listeners []func(*Snapshot)
}

// Current returns the snapshot in force, or nil before the first.
func (h *Holder) Current() *Snapshot { return h.current.Load() }

// OnSwap registers fn, which is called with each new snapshot, in order.
func (h *Holder) OnSwap(fn func(*Snapshot)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.listeners = append(h.listeners, fn)
}

// StoreIfNewer puts s in force if its number is higher than the current one,
// and reports whether it did.
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
