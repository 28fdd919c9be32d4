package idempotency

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/daisytide/daisytide/internal/conn/kvstore"
	"github.com/daisytide/daisytide/internal/conn/rpc"
	"github.com/daisytide/daisytide/internal/ctxtime"
)

// Bounds of the exponential backoff, with full jitter.
const (
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 10 * time.Second
)

// Mean intervals between reads of the roster. unacknowledgedInterval applies
// while some gates of the roster have not acknowledged this one.
const (
	refreshInterval        = 10 * time.Minute
	unacknowledgedInterval = time.Minute
)

// A gate that has not seen itself in the roster for confirmationTTL starts no
// keyed calls. A gate that has not replied for evictAfter is removed from the
// roster; the difference is far more than a retention window, and each of the
// two times is measured on one host only.
const (
	confirmationTTL = 24 * time.Hour
	evictAfter      = 25 * time.Hour
)

// gateCallTimeout bounds one RPC to another gate.
const gateCallTimeout = time.Second

// RosterManager registers a gate in the rosters of its services before it starts
// keyed calls, and removes gates that have been gone for longer than the
// retention window.
type RosterManager struct {
	Deduplicator *Deduplicator
	Store        kvstore.Store
	RPC          rpc.Invoker

	services chan string
}

// NewRosterManager returns a roster manager. The caller must call Run.
func NewRosterManager(d *Deduplicator, store kvstore.Store, client rpc.Invoker) *RosterManager {
	return &RosterManager{Deduplicator: d, Store: store, RPC: client, services: make(chan string, 16)}
}

// AddService announces that the gate's upstream serves a service. It never
// blocks: if the queue is full, the service is added at its next announcement.
func (m *RosterManager) AddService(service string) {
	if service == "" || m.Deduplicator.find(service) != nil {
		return
	}
	select {
	case m.services <- service:
	default:
	}
}

// Run registers announced services until ctx ends.
func (m *RosterManager) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for {
		select {
		case <-ctx.Done():
			return g.Wait()
		case name := <-m.services:
			if m.Deduplicator.find(name) != nil {
				continue
			}
			s := m.Deduplicator.getOrCreate(name, time.Now())
			g.Go(func() error {
				m.maintain(ctx, name, s)
				return nil
			})
		}
	}
}

// maintain registers the gate for one service, makes it ready and then keeps its
// roster up to date. If the gate was removed from the roster, it registers again.
func (m *RosterManager) maintain(ctx context.Context, name string, s *serviceState) {
	for ctx.Err() == nil {
		roster, ok := m.register(ctx, name)
		if !ok {
			return
		}
		s.startMembership(roster, time.Now())
		windowEnd := time.Now().Add(m.Deduplicator.Limits.RetentionWindow)
		m.joinGates(ctx, name, s, roster, windowEnd)
		if !ctxtime.Sleep(ctx, time.Until(windowEnd)) {
			return
		}
		m.refreshRoster(ctx, name, s, roster)
	}
}

// startMembership resets the state for a roster that contains the gate.
func (s *serviceState) startMembership(r Roster, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ready = false
	s.confirmedAt = now
	s.knownBy = map[GateID]bool{}
	s.adoptRoster(r)
}

// refreshRoster reads the roster periodically until the gate is no longer in it.
func (m *RosterManager) refreshRoster(ctx context.Context, name string, s *serviceState, roster Roster) {
	for ctx.Err() == nil {
		m.announce(ctx, name, s, roster)
		m.probeGates(ctx, name, s)
		if !m.pruneRoster(ctx, name, s) {
			klog.Warningf(logPrefix+"this gate was removed from the roster of service %q", name)
			return
		}
		interval := refreshInterval
		if len(s.unacknowledged(m.Deduplicator.Self)) > 0 {
			interval = unacknowledgedInterval
		}
		timer := time.NewTimer(interval/2 + rand.N(interval))
		select {
		case <-ctx.Done():
		case <-s.refreshSignal:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// probeGates records when the gates of the roster replied.
func (m *RosterManager) probeGates(ctx context.Context, name string, s *serviceState) {
	s.mu.RLock()
	gates := s.roster.Without(m.Deduplicator.Self).Gates
	s.mu.RUnlock()
	var calls sync.WaitGroup
	for _, g := range gates {
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, gateCallTimeout)
			defer cancel()
			var out KeyReply
			err := m.RPC.Call(ctx, g.Address, MethodLookup, KeyRequest{Service: name, Incarnation: g.Incarnation}, &out)
			s.mu.Lock()
			defer s.mu.Unlock()
			if _, ok := s.lastReply[g]; err == nil || !ok {
				s.lastReply[g] = time.Now()
			}
		})
	}
	calls.Wait()
}

// joinGates announces the gate until it is ready and every gate has acknowledged
// it, or until one retention window after its registration, when all earlier
// fences have expired. The only gate of a roster is ready at once.
func (m *RosterManager) joinGates(ctx context.Context, name string, s *serviceState, roster Roster, windowEnd time.Time) {
	ready := len(roster.Gates) == 1
	backoff := initialBackoff
	for ctx.Err() == nil {
		ready = m.announce(ctx, name, s, roster) || ready || !time.Now().Before(windowEnd)
		if ready {
			s.markReady(name)
		}
		if ready && len(s.unacknowledged(m.Deduplicator.Self)) == 0 || !time.Now().Before(windowEnd) {
			return
		}
		ctxtime.Sleep(ctx, min(rand.N(backoff), time.Until(windowEnd)))
		backoff = min(2*backoff, maxBackoff)
	}
}

// markReady allows the gate to start keyed calls.
func (s *serviceState) markReady(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ready {
		s.ready = true
		klog.Infof(logPrefix+"ready for keyed calls of service %q", name)
	}
}

// unacknowledged returns the gates registered before self that must still be
// called: all of them until this gate is ready, then those that have not
// acknowledged it.
func (s *serviceState) unacknowledged(self GateID) []GateID {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var out []GateID
	for _, g := range s.roster.Gates {
		if g == self {
			break
		}
		if !s.ready || !s.knownBy[g] {
			out = append(out, g)
		}
	}
	return out
}

// announce calls the gates that have not acknowledged this one. It returns true
// if a gate that is ready has sent all its fences.
func (m *RosterManager) announce(ctx context.Context, name string, s *serviceState, roster Roster) bool {
	var calls sync.WaitGroup
	var ready atomic.Bool
	for _, g := range s.unacknowledged(m.Deduplicator.Self) {
		calls.Go(func() {
			if m.joinGate(ctx, name, s, roster, g) {
				ready.Store(true)
			}
		})
	}
	calls.Wait()
	return ready.Load()
}

// register adds the gate to the roster in the store and returns that roster.
func (m *RosterManager) register(ctx context.Context, name string) (Roster, bool) {
	var out Roster
	ok := retryWithBackoff(ctx, func() error {
		roster, err := changeRoster(ctx, m.Store, name, func(r Roster) Roster {
			if r.Has(m.Deduplicator.Self) {
				return r
			}
			return r.With(m.Deduplicator.Self)
		})
		out = roster
		return err
	})
	return out, ok
}

// joinGate announces this gate to one other gate and fetches its fences, page by
// page. It returns true if the other gate was ready and has sent all of them.
func (m *RosterManager) joinGate(ctx context.Context, name string, s *serviceState, roster Roster, g GateID) bool {
	ctx, cancel := context.WithTimeout(ctx, gateCallTimeout)
	defer cancel()
	request := JoinRequest{Service: name, Incarnation: g.Incarnation, JoiningGate: m.Deduplicator.Self, Gates: roster.Gates, Revision: roster.Revision}
	for {
		var page JoinReply
		if err := m.RPC.Call(ctx, g.Address, MethodJoin, request, &page); err != nil {
			klog.V(1).Infof(logPrefix+"announce this gate to a gate of service %q: %v", name, err)
			return false
		}
		s.claims.add(page.Claims, time.Now())
		for _, record := range page.Records {
			if !s.table.Merge(record, time.Now()) {
				return false
			}
			request.AfterKey = record.Key
		}
		if !page.More {
			s.mu.Lock()
			s.knownBy[g] = true
			s.mu.Unlock()
			return page.Ready
		}
	}
}

// pruneRoster reads the roster and removes older incarnations at this gate's
// address, which must have ended before this one could listen there, and gates
// that have not replied for evictAfter. It returns false if this gate is not in
// the roster.
func (m *RosterManager) pruneRoster(ctx context.Context, name string, s *serviceState) bool {
	roster, err := changeRoster(ctx, m.Store, name, func(r Roster) Roster {
		return r.Without(s.evictable(r, m.Deduplicator.Self, time.Now())...)
	})
	if err != nil {
		klog.V(1).Infof(logPrefix+"update roster: %v", err)
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !roster.Has(m.Deduplicator.Self) {
		s.ready = false
		return false
	}
	s.confirmedAt = time.Now()
	s.adoptRoster(roster)
	return true
}

// evictable returns the gates that may be removed from a roster.
func (s *serviceState) evictable(r Roster, self GateID, now time.Time) []GateID {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var out []GateID
	for _, g := range r.Gates {
		lastReply, ok := s.lastReply[g]
		replaced := g.Address == self.Address && g != self
		if replaced || ok && now.Sub(lastReply) > evictAfter {
			out = append(out, g)
		}
	}
	return out
}

// retryWithBackoff calls fn until it succeeds. It returns false if ctx ended.
func retryWithBackoff(ctx context.Context, fn func() error) bool {
	backoff := initialBackoff
	for {
		err := fn()
		if err == nil {
			return true
		}
		klog.V(1).Infof(logPrefix+"update roster: %v", err)
		if !ctxtime.Sleep(ctx, rand.N(backoff)) {
			return false
		}
		backoff = min(2*backoff, maxBackoff)
	}
}
