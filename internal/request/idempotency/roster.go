package idempotency

import (
	"context"
	"slices"
	"sync"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/kvstore"
	"github.com/daisytide/daisytide/internal/conn/wire"
)

// Roster is the list of the gates of one service, kept in the store. It contains
// each incarnation that may have run a keyed call within the retention window.
type Roster struct {
	Gates []GateID `cbor:"1,keyasint"`
	// Revision is the store's revision; it rises with each change.
	Revision uint64 `cbor:"-"`
}

// Has reports whether the roster contains a gate.
func (r Roster) Has(g GateID) bool { return slices.Contains(r.Gates, g) }

// With returns the roster with g added.
func (r Roster) With(g GateID) Roster {
	return Roster{Gates: append(slices.Clone(r.Gates), g), Revision: r.Revision}
}

// Without returns the roster without the removed gates.
func (r Roster) Without(removed ...GateID) Roster {
	kept := slices.DeleteFunc(slices.Clone(r.Gates), func(g GateID) bool { return slices.Contains(removed, g) })
	return Roster{Gates: kept, Revision: r.Revision}
}

// decodeRoster decodes a store entry. A missing entry is an empty roster.
func decodeRoster(e kvstore.Entry) (Roster, error) {
	r := Roster{Revision: e.Revision}
	if len(e.Value) == 0 {
		return r, nil
	}
	if err := wire.Unmarshal(e.Value, &r); err != nil {
		return r, api.Errorf(api.StoreCorrupt, "decode roster: %w", err)
	}
	r.Revision = e.Revision
	return r, nil
}

// readRoster reads a service's roster from the store.
func readRoster(ctx context.Context, s kvstore.Store, service string) (Roster, error) {
	e, err := s.Get(ctx, kvstore.PrefixGates+service)
	if err != nil {
		return Roster{}, err
	}
	return decodeRoster(e)
}

// changeRoster applies fn to the roster in one compare-and-swap and returns the
// resulting roster. After a conflict or an unknown outcome it returns an error,
// and the caller may try again.
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

// rosterReader shares store reads between attempts. An attempt that arrives
// during a read waits for the next one, because its read must begin after the
// attempt did.
type rosterReader struct {
	store kvstore.Store

	mu    sync.Mutex
	reads map[string]*sharedRead
}

// sharedRead is one store read; next is the read that starts when it ends.
type sharedRead struct {
	next   *sharedRead
	done   chan struct{}
	roster Roster
	err    error
}

// read returns a roster from a store read that began after this call.
func (r *rosterReader) read(ctx context.Context, service string) (Roster, error) {
	read := r.enqueue(ctx, service)
	select {
	case <-read.done:
		return read.roster, read.err
	case <-ctx.Done():
		return Roster{}, ctx.Err()
	}
}

func (r *rosterReader) enqueue(ctx context.Context, service string) *sharedRead {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.reads[service]
	if current == nil {
		read := &sharedRead{done: make(chan struct{})}
		r.reads[service] = read
		go r.runReads(context.WithoutCancel(ctx), service, read)
		return read
	}
	if current.next == nil {
		current.next = &sharedRead{done: make(chan struct{})}
	}
	return current.next
}

// runReads reads until no caller waits for another read.
func (r *rosterReader) runReads(ctx context.Context, service string, read *sharedRead) {
	for read != nil {
		read.roster, read.err = readRoster(ctx, r.store, service)
		close(read.done)
		read = r.next(service, read)
	}
}

func (r *rosterReader) next(service string, read *sharedRead) *sharedRead {
	r.mu.Lock()
	defer r.mu.Unlock()
	if read.next == nil {
		delete(r.reads, service)
		return nil
	}
	r.reads[service] = read.next
	return read.next
}
