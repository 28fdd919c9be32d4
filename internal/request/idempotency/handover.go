package idempotency

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/daisytide/daisytide/api"
)

// pageBytes bounds the records of one HandoverRequest.
const pageBytes = 256 << 10

// HandOver hands the records and claims of a gate that stops to the gates that
// stay, and takes it out of the rosters. What can't be handed over in time
// leaves the gate in its roster, as if it had died. The gate must be idle.
func (k *RosterManager) HandOver(ctx context.Context) {
	for _, name := range k.Deduplicator.Services() {
		s := k.Deduplicator.find(name)
		s.mu.Lock()
		s.leaving = true
		ready := s.ready
		s.mu.Unlock()
		if !ready {
			continue
		}
		if err := k.leave(ctx, name, s); err != nil {
			klog.Warningf(logPrefix+"the records of %s are not handed over: %v", name, err)
		}
	}
}

func (k *RosterManager) leave(ctx context.Context, name string, s *service) error {
	roster, err := readRoster(ctx, k.Store, name)
	for err == nil && roster.Has(k.Deduplicator.Self) {
		others := roster.Without(k.Deduplicator.Self)
		if err = k.handOver(ctx, name, s, others); err != nil {
			return err
		}
		roster, err = changeRoster(ctx, k.Store, name, func(r Roster) Roster {
			if !slices.Equal(r.Without(k.Deduplicator.Self).Gates, others.Gates) {
				return r // a gate came or went meanwhile: hand over again
			}
			return others
		})
	}
	return err
}

// handOver gives each gate the claims of the keys that move to it, and one of
// them the records. All must take theirs: the claims of a gate that can't be
// asked would be lost with it.
func (k *RosterManager) handOver(ctx context.Context, name string, s *service, others Roster) error {
	if len(others.Gates) == 0 {
		return api.Errorf(api.PeerNotKnown, "no other gate")
	}
	g, askCtx := errgroup.WithContext(ctx)
	for _, to := range others.Gates {
		g.Go(func() error {
			return k.take(askCtx, to, HandoverRequest{Service: name, Incarnation: to.Incarnation, Claims: s.claims.of(others, to)})
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	pages := s.book.pages(time.Now())
	var err error
	for _, i := range rand.Perm(len(others.Gates)) {
		if err = k.takeAll(ctx, name, others.Gates[i], pages); err == nil {
			return nil
		}
	}
	return err
}

func (k *RosterManager) takeAll(ctx context.Context, name string, to GateID, pages [][]KeyRecord) error {
	for _, page := range pages {
		if err := k.take(ctx, to, HandoverRequest{Service: name, Incarnation: to.Incarnation, Records: page}); err != nil {
			return err
		}
	}
	return nil
}

func (k *RosterManager) take(ctx context.Context, to GateID, t HandoverRequest) error {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	var taken HandoverReply
	return k.RPC.Call(ctx, to.Address, MethodHandover, t, &taken)
}

// pages lists all records, in pages of bounded size. A request that still
// runs has an unknown outcome for those who take over.
func (b *RecordTable) pages(now time.Time) [][]KeyRecord {
	var out [][]KeyRecord
	var page []KeyRecord
	size := 0
	b.Each(now, func(known KeyRecord) {
		if known.State.Phase == PhaseRunning {
			known.State.Phase = PhaseUnknown
		}
		page = append(page, known)
		size += recordBytes + len(known.Key) + known.Response.Size()
		if size >= pageBytes {
			out, page, size = append(out, page), nil, 0
		}
	})
	return append(out, page)
}

// recordBytes is the encoded size of a record without key and answer.
const recordBytes = 64

// AcceptHandover answers MethodHandover: claims and records of a gate that leaves.
func (k *Deduplicator) AcceptHandover(_ context.Context, t HandoverRequest) (HandoverReply, error) {
	s := k.find(t.Service)
	if s == nil || t.Incarnation != k.Self.Incarnation {
		return HandoverReply{}, api.Errorf(api.PeerNotKnown, "no such gate of %s", t.Service)
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.leaving || !s.ready {
		return HandoverReply{}, api.Errorf(api.CallKeyNotReady, "not ready for %s", t.Service)
	}
	s.claims.add(t.Claims, time.Now())
	for _, known := range t.Records {
		if !s.book.Merge(known, time.Now()) {
			return HandoverReply{}, api.Errorf(api.CallShed, "no room for more records")
		}
	}
	return HandoverReply{}, nil
}
