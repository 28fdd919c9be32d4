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

// Backoff of the keeper's tries, with full jitter.
const (
	backoffFirst = 100 * time.Millisecond
	backoffMost  = 10 * time.Second
)

// Times between two looks at the roster, on average; silentEvery where gates
// stand in it that don't know of this one.
const (
	roundEvery  = 10 * time.Minute
	silentEvery = time.Minute
)

// A gate that has not seen itself in the roster for confirmFor lets no keyed
// call through. One that has not answered for abandonAfter, longer by far more
// than a window, is taken out. Both times are measured by one host each.
const (
	confirmFor   = 24 * time.Hour
	abandonAfter = 25 * time.Hour
)

// joinTimeout bounds one question of a joining gate.
const joinTimeout = time.Second

// RosterManager enters a gate in the rosters of its services before it lets keyed
// calls through, and takes what is past the window out of them.
type RosterManager struct {
	Deduplicator *Deduplicator
	Store        kvstore.Store
	RPC          rpc.Invoker

	names chan string
}

// NewRosterManager returns a keeper; Run must be called.
func NewRosterManager(k *Deduplicator, s kvstore.Store, c rpc.Invoker) *RosterManager {
	return &RosterManager{Deduplicator: k, Store: s, RPC: c, names: make(chan string, 16)}
}

// AddService tells the keeper that the gate's upstream serves a service. It never
// blocks; an announcement that finds the queue full comes again.
func (k *RosterManager) AddService(service string) {
	if service == "" || k.Deduplicator.find(service) != nil {
		return
	}
	select {
	case k.names <- service:
	default:
	}
}

// Run enters services as they are announced, until ctx ends.
func (k *RosterManager) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for {
		select {
		case <-ctx.Done():
			return g.Wait()
		case name := <-k.names:
			if k.Deduplicator.find(name) != nil {
				continue
			}
			s := k.Deduplicator.open(name, time.Now())
			g.Go(func() error {
				k.keep(ctx, name, s)
				return nil
			})
		}
	}
}

// keep brings one service from entering the roster to ready, and then keeps
// the gate's view of the roster. A gate that was taken out enters anew.
func (k *RosterManager) keep(ctx context.Context, name string, s *service) {
	for ctx.Err() == nil {
		roster, ok := k.enter(ctx, name)
		if !ok {
			return
		}
		s.enter(roster, time.Now())
		window := time.Now().Add(k.Deduplicator.Limits.RetentionWindow)
		k.prepare(ctx, name, s, roster, window)
		if !ctxtime.Sleep(ctx, time.Until(window)) {
			return
		}
		k.watch(ctx, name, s, roster)
	}
}

// enter begins with a roster that has the gate.
func (s *service) enter(r Roster, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ready = false
	s.confirmed = now
	s.heard = map[GateID]bool{}
	s.adopt(r)
}

// watch reads the roster now and then, until the gate is no longer in it.
func (k *RosterManager) watch(ctx context.Context, name string, s *service, roster Roster) {
	for ctx.Err() == nil {
		k.introduce(ctx, name, s, roster)
		k.greet(ctx, name, s)
		if !k.tidy(ctx, name, s) {
			klog.Warningf(logPrefix+"taken out of the table of gates of %s", name)
			return
		}
		every := roundEvery
		if len(s.silent(k.Deduplicator.Self)) > 0 {
			every = silentEvery
		}
		wait := time.NewTimer(every/2 + rand.N(every))
		select {
		case <-ctx.Done():
		case <-s.stale:
		case <-wait.C:
		}
		wait.Stop()
	}
}

// greet notes which gates of the view answer.
func (k *RosterManager) greet(ctx context.Context, name string, s *service) {
	s.mu.RLock()
	gates := s.view.Without(k.Deduplicator.Self).Gates
	s.mu.RUnlock()
	var greeted sync.WaitGroup
	for _, g := range gates {
		greeted.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, joinTimeout)
			defer cancel()
			var out KeyReply
			err := k.RPC.Call(ctx, g.Address, MethodLookup, KeyRequest{Service: name, Incarnation: g.Incarnation}, &out)
			s.mu.Lock()
			defer s.mu.Unlock()
			if _, ok := s.seen[g]; err == nil || !ok {
				s.seen[g] = time.Now()
			}
		})
	}
	greeted.Wait()
}

// prepare introduces the gate until it is ready and every gate knows of it, or
// the window has passed since it entered the roster, and with it whatever was
// fenced before. The first gate of a roster has nothing to learn.
func (k *RosterManager) prepare(ctx context.Context, name string, s *service, roster Roster, window time.Time) {
	ready := len(roster.Gates) == 1
	backoff := backoffFirst
	for ctx.Err() == nil {
		ready = k.introduce(ctx, name, s, roster) || ready || !time.Now().Before(window)
		if ready {
			s.getReady(name)
		}
		if ready && len(s.silent(k.Deduplicator.Self)) == 0 || !time.Now().Before(window) {
			return
		}
		ctxtime.Sleep(ctx, min(rand.N(backoff), time.Until(window)))
		backoff = min(2*backoff, backoffMost)
	}
}

// getReady lets keyed calls through.
func (s *service) getReady(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ready {
		s.ready = true
		klog.Infof(logPrefix+"ready for keyed calls of %s", name)
	}
}

// silent lists the gates that entered before self and are still to be asked:
// all of them until this gate is ready, then those that don't know of it.
func (s *service) silent(self GateID) []GateID {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var out []GateID
	for _, g := range s.view.Gates {
		if g == self {
			break
		}
		if !s.ready || !s.heard[g] {
			out = append(out, g)
		}
	}
	return out
}

// introduce tells the gates that don't know of this one. It returns true when
// one that is ready has told its fences.
func (k *RosterManager) introduce(ctx context.Context, name string, s *service, roster Roster) bool {
	var told sync.WaitGroup
	var ready atomic.Bool
	for _, g := range s.silent(k.Deduplicator.Self) {
		told.Go(func() {
			if k.join(ctx, name, s, roster, g) {
				ready.Store(true)
			}
		})
	}
	told.Wait()
	return ready.Load()
}

// enter writes the gate into the roster, and returns the one that has it.
func (k *RosterManager) enter(ctx context.Context, name string) (Roster, bool) {
	var out Roster
	ok := retry(ctx, func() error {
		roster, err := changeRoster(ctx, k.Store, name, func(r Roster) Roster {
			if r.Has(k.Deduplicator.Self) {
				return r
			}
			return r.With(k.Deduplicator.Self)
		})
		out = roster
		return err
	})
	return out, ok
}

// join introduces this gate to one other, which is asked again until it is
// ready itself. It returns true when that gate has told all its fences.
func (k *RosterManager) join(ctx context.Context, name string, s *service, roster Roster, g GateID) bool {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	question := JoinRequest{Service: name, Incarnation: g.Incarnation, JoiningGate: k.Deduplicator.Self, Gates: roster.Gates, Revision: roster.Revision}
	for {
		var page JoinReply
		if err := k.RPC.Call(ctx, g.Address, MethodJoin, question, &page); err != nil {
			klog.V(1).Infof(logPrefix+"join %s: %v", name, err)
			return false
		}
		s.claims.add(page.Claims, time.Now())
		for _, known := range page.Records {
			if !s.book.Merge(known, time.Now()) {
				return false
			}
			question.AfterKey = known.Key
		}
		if !page.More {
			s.mu.Lock()
			s.heard[g] = true
			s.mu.Unlock()
			return page.Ready
		}
	}
}

// tidy reads the roster and takes out of it the older incarnations of this
// address, which were dead before this one listened here, and gates that have
// not answered for abandonAfter. It returns false when this gate is not in it.
func (k *RosterManager) tidy(ctx context.Context, name string, s *service) bool {
	roster, err := changeRoster(ctx, k.Store, name, func(r Roster) Roster {
		return r.Without(s.gone(r, k.Deduplicator.Self, time.Now())...)
	})
	if err != nil {
		klog.V(1).Infof(logPrefix+"table of gates: %v", err)
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !roster.Has(k.Deduplicator.Self) {
		s.ready = false
		return false
	}
	s.confirmed = time.Now()
	s.adopt(roster)
	return true
}

// gone lists what may leave a roster.
func (s *service) gone(r Roster, self GateID, now time.Time) []GateID {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var out []GateID
	for _, g := range r.Gates {
		seen, ok := s.seen[g]
		replaced := g.Address == self.Address && g != self
		if replaced || ok && now.Sub(seen) > abandonAfter {
			out = append(out, g)
		}
	}
	return out
}

// retry calls fn until it succeeds; false when ctx ended.
func retry(ctx context.Context, fn func() error) bool {
	backoff := backoffFirst
	for {
		err := fn()
		if err == nil {
			return true
		}
		klog.V(1).Infof(logPrefix+"table of gates: %v", err)
		if !ctxtime.Sleep(ctx, rand.N(backoff)) {
			return false
		}
		backoff = min(2*backoff, backoffMost)
	}
}
