package idempotency

import (
	"context"
	"slices"
	"sync"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/kvstore"
	"github.com/daisytide/daisytide/internal/conn/wire"
)

// Roster is the store's table of the gates of one service: each incarnation
// that may have run a keyed call within the window.
type Roster struct {
	Gates []GateID `cbor:"1,keyasint"`
	// Revision is the store's; it rises with each change.
	Revision uint64 `cbor:"-"`
}

// Has tells whether a gate is in the roster.
func (r Roster) Has(g GateID) bool { return slices.Contains(r.Gates, g) }

// With returns the roster with one more gate.
func (r Roster) With(g GateID) Roster {
	return Roster{Gates: append(slices.Clone(r.Gates), g), Revision: r.Revision}
}

// Without returns the roster without some gates.
func (r Roster) Without(gone ...GateID) Roster {
	keep := slices.DeleteFunc(slices.Clone(r.Gates), func(g GateID) bool { return slices.Contains(gone, g) })
	return Roster{Gates: keep, Revision: r.Revision}
}

// decodeRoster decodes a store entry; an absent one is an empty roster.
func decodeRoster(e kvstore.Entry) (Roster, error) {
	r := Roster{Revision: e.Revision}
	if len(e.Value) == 0 {
		return r, nil
	}
	if err := wire.Unmarshal(e.Value, &r); err != nil {
		return r, api.Errorf(api.StoreCorrupt, "table of gates: %w", err)
	}
	r.Revision = e.Revision
	return r, nil
}

// readRoster reads the roster of a service.
func readRoster(ctx context.Context, s kvstore.Store, service string) (Roster, error) {
	e, err := s.Get(ctx, kvstore.PrefixGates+service)
	if err != nil {
		return Roster{}, err
	}
	return decodeRoster(e)
}

// changeRoster applies fn to the roster once. It returns the roster in force
// after it; a lost race or an unknown outcome is an error to try again after.
func changeRoster(ctx context.Context, s kvstore.Store, service string, fn func(Roster) Roster) (Roster, error) {
	old, err := readRoster(ctx, s, service)
	if err != nil {
		return old, err
	}
	next := fn(old)
	if slices.Equal(next.Gates, old.Gates) {
		return old, nil
	}
	value, err := wire.Marshal(next)
	if err != nil {
		return old, err
	}
	e, err := s.CompareAndSwap(ctx, kvstore.PrefixGates+service, old.Revision, value, "")
	if err != nil {
		return old, err
	}
	next.Revision = e.Revision
	return next, nil
}

// rosters reads rosters for many attempts with few calls: attempts that come
// while a read is under way share the next one, since a read must begin after
// the attempt did.
type rosters struct {
	store kvstore.Store

	mu      sync.Mutex
	flights map[string]*flight
}

// flight is one read; next is the one that begins when it ends.
type flight struct {
	next   *flight
	done   chan struct{}
	roster Roster
	err    error
}

// read returns a roster whose read began after the call did.
func (r *rosters) read(ctx context.Context, service string) (Roster, error) {
	f := r.join(ctx, service)
	select {
	case <-f.done:
		return f.roster, f.err
	case <-ctx.Done():
		return Roster{}, ctx.Err()
	}
}

func (r *rosters) join(ctx context.Context, service string) *flight {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.flights[service]
	if current == nil {
		f := &flight{done: make(chan struct{})}
		r.flights[service] = f
		go r.fly(context.WithoutCancel(ctx), service, f)
		return f
	}
	if current.next == nil {
		current.next = &flight{done: make(chan struct{})}
	}
	return current.next
}

// fly reads until nobody waits for another read.
func (r *rosters) fly(ctx context.Context, service string, f *flight) {
	for f != nil {
		f.roster, f.err = readRoster(ctx, r.store, service)
		close(f.done)
		f = r.land(service, f)
	}
}

func (r *rosters) land(service string, f *flight) *flight {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f.next == nil {
		delete(r.flights, service)
		return nil
	}
	r.flights[service] = f.next
	return f.next
}
