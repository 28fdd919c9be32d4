package idempotency

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/daisytide/daisytide/internal/conn/platform"
	"github.com/daisytide/daisytide/internal/conn/rpc"
	"github.com/daisytide/daisytide/internal/pause"
)

// Backoff of the keeper's tries, with full jitter.
const (
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 10 * time.Second
)

// Times between two looks at the roster, on average; silentEvery where gates
// stand in it that don't know of this one.
const (
	refreshInterval        = 10 * time.Minute
	unacknowledgedInterval = time.Minute
)

// A gate that has not seen itself in the roster for confirmFor lets no keyed
// call through. One that has not answered for abandonAfter, longer by far more
// than a window, is taken out. Both times are measured by one host each.
const (
	confirmationTTL = 24 * time.Hour
	evictAfter      = 25 * time.Hour
)

// joinTimeout bounds one question of a joining gate.
const gateCallTimeout = time.Second

// RosterManager enters a gate in the rosters of its services before it lets keyed
// calls through, and takes what is past the window out of them.
type RosterManager struct {
	Deduplicator *Deduplicator
	Store        platform.Store
	RPC          rpc.Caller

	services chan string
}

// NewRosterManager returns a keeper; Run must be called.
func NewRosterManager(d *Deduplicator, store platform.Store, client rpc.Caller) *RosterManager {
	return &RosterManager{Deduplicator: d, Store: store, RPC: client, services: make(chan string, 16)}
}

// AddService tells the keeper that the gate's upstream serves a service. It never
// blocks; an announcement that finds the queue full comes again.
func (m *RosterManager) AddService(service string) {
	if service == "" || m.Deduplicator.find(service) != nil {
		return
	}
	select {
	case m.services <- service:
	default:
	}
}

// Run enters services as they are announced, until ctx ends.
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

// keep brings one service from entering the roster to ready, and then keeps
// the gate's view of the roster. A gate that was taken out enters anew.
func (m *RosterManager) maintain(ctx context.Context, name string, s *serviceState) {
	for ctx.Err() == nil {
		roster, ok := m.register(ctx, name)
		if !ok {
			return
		}
		s.startMembership(roster, time.Now())
		windowEnd := time.Now().Add(m.Deduplicator.Limits.RetentionWindow)
		m.joinGates(ctx, name, s, roster, windowEnd)
		if !pause.For(ctx, time.Until(windowEnd)) {
			return
		}
		m.refreshRoster(ctx, name, s, roster)
	}
}

// enter begins with a roster that has the gate.
func (s *serviceState) startMembership(r Roster, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ready = false
	s.confirmedAt = now
	s.knownBy = map[GateID]bool{}
	s.adoptRoster(r)
}

// watch reads the roster now and then, until the gate is no longer in it.
func (m *RosterManager) refreshRoster(ctx context.Context, name string, s *serviceState, roster Roster) {
	for ctx.Err() == nil {
		m.announce(ctx, name, s, roster)
		m.probeGates(ctx, name, s)
		if !m.pruneRoster(ctx, name, s) {
			klog.Warningf(logPrefix+"taken out of the table of gates of %s", name)
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

// greet notes which gates of the view answer.
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

// prepare introduces the gate until it is ready and every gate knows of it, or
// the window has passed since it entered the roster, and with it whatever was
// fenced before. The first gate of a roster has nothing to learn.
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
		pause.For(ctx, min(rand.N(backoff), time.Until(windowEnd)))
		backoff = min(2*backoff, maxBackoff)
	}
}

// getReady lets keyed calls through.
func (s *serviceState) markReady(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ready {
		s.ready = true
		klog.Infof(logPrefix+"ready for keyed calls of %s", name)
	}
}

// silent lists the gates that entered before self and are still to be asked:
// all of them until this gate is ready, then those that don't know of it.
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

// introduce tells the gates that don't know of this one. It returns true when
// one that is ready has told its fences.
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

// enter writes the gate into the roster, and returns the one that has it.
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

// join introduces this gate to one other, which is asked again until it is
// ready itself. It returns true when that gate has told all its fences.
func (m *RosterManager) joinGate(ctx context.Context, name string, s *serviceState, roster Roster, g GateID) bool {
	ctx, cancel := context.WithTimeout(ctx, gateCallTimeout)
	defer cancel()
	request := JoinRequest{Service: name, Incarnation: g.Incarnation, JoiningGate: m.Deduplicator.Self, Gates: roster.Gates, Revision: roster.Revision}
	for {
		var page JoinReply
		if err := m.RPC.Call(ctx, g.Address, MethodJoin, request, &page); err != nil {
			klog.V(1).Infof(logPrefix+"join %s: %v", name, err)
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

// tidy reads the roster and takes out of it the older incarnations of this
// address, which were dead before this one listened here, and gates that have
// not answered for abandonAfter. It returns false when this gate is not in it.
func (m *RosterManager) pruneRoster(ctx context.Context, name string, s *serviceState) bool {
	roster, err := changeRoster(ctx, m.Store, name, func(r Roster) Roster {
		return r.Without(s.evictable(r, m.Deduplicator.Self, time.Now())...)
	})
	if err != nil {
		klog.V(1).Infof(logPrefix+"table of gates: %v", err)
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

// gone lists what may leave a roster.
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

// retry calls fn until it succeeds; false when ctx ended.
func retryWithBackoff(ctx context.Context, fn func() error) bool {
	backoff := initialBackoff
	for {
		err := fn()
		if err == nil {
			return true
		}
		klog.V(1).Infof(logPrefix+"table of gates: %v", err)
		if !pause.For(ctx, rand.N(backoff)) {
			return false
		}
		backoff = min(2*backoff, maxBackoff)
	}
}
