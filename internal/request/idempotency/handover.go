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

// pageBytes is the size from which a page of records is complete.
const pageBytes = 256 << 10

// HandOver transfers the records and claims of a stopping gate to the remaining
// gates and removes it from the rosters. If that fails, the gate stays in its
// roster as if it had crashed. The gate must be idle.
func (m *RosterManager) HandOver(ctx context.Context) {
	for _, name := range m.Deduplicator.Services() {
		s := m.Deduplicator.find(name)
		s.mu.Lock()
		s.draining = true
		ready := s.ready
		s.mu.Unlock()
		if !ready {
			continue
		}
		if err := m.leaveRoster(ctx, name, s); err != nil {
			klog.Warningf(logPrefix+"hand over the records of service %q: %v", name, err)
		}
	}
}

func (m *RosterManager) leaveRoster(ctx context.Context, name string, s *serviceState) error {
	roster, err := readRoster(ctx, m.Store, name)
	for err == nil && roster.Has(m.Deduplicator.Self) {
		others := roster.Without(m.Deduplicator.Self)
		if err = m.transferState(ctx, name, s, others); err != nil {
			return err
		}
		roster, err = changeRoster(ctx, m.Store, name, func(r Roster) Roster {
			if !slices.Equal(r.Without(m.Deduplicator.Self).Gates, others.Gates) {
				return r // a gate came or went meanwhile: hand over again
			}
			return others
		})
	}
	return err
}

// transferState sends each gate the claims of the keys that it now owns, and one
// of them the records. All gates must accept their claims, because claims not
// sent would be lost.
func (m *RosterManager) transferState(ctx context.Context, name string, s *serviceState, others Roster) error {
	if len(others.Gates) == 0 {
		return api.Errorf(api.PeerNotKnown, "the roster has no other gate")
	}
	g, sendCtx := errgroup.WithContext(ctx)
	for _, to := range others.Gates {
		g.Go(func() error {
			return m.sendHandover(sendCtx, to, HandoverRequest{Service: name, Incarnation: to.Incarnation, Claims: s.claims.ownedBy(others, to)})
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	pages := s.table.handoverPages(time.Now())
	var err error
	for _, i := range rand.Perm(len(others.Gates)) {
		if err = m.sendPages(ctx, name, others.Gates[i], pages); err == nil {
			return nil
		}
	}
	return err
}

func (m *RosterManager) sendPages(ctx context.Context, name string, to GateID, pages [][]KeyRecord) error {
	for _, page := range pages {
		if err := m.sendHandover(ctx, to, HandoverRequest{Service: name, Incarnation: to.Incarnation, Records: page}); err != nil {
			return err
		}
	}
	return nil
}

func (m *RosterManager) sendHandover(ctx context.Context, to GateID, request HandoverRequest) error {
	ctx, cancel := context.WithTimeout(ctx, gateCallTimeout)
	defer cancel()
	var reply HandoverReply
	return m.RPC.Call(ctx, to.Address, MethodHandover, request, &reply)
}

// handoverPages returns all records, in pages of bounded size. A request that is
// still running has an unknown outcome for the receiver.
func (t *RecordTable) handoverPages(now time.Time) [][]KeyRecord {
	var out [][]KeyRecord
	var page []KeyRecord
	size := 0
	t.Each(now, func(record KeyRecord) {
		if record.State.Phase == PhaseRunning {
			record.State.Phase = PhaseUnknown
		}
		page = append(page, record)
		size += recordOverheadBytes + len(record.Key) + record.Response.Size()
		if size >= pageBytes {
			out, page, size = append(out, page), nil, 0
		}
	})
	return append(out, page)
}

// recordOverheadBytes estimates the encoded size of a record without its key
// and response.
const recordOverheadBytes = 64

// AcceptHandover handles MethodHandover.
func (d *Deduplicator) AcceptHandover(_ context.Context, request HandoverRequest) (HandoverReply, error) {
	s := d.find(request.Service)
	if s == nil || request.Incarnation != d.Self.Incarnation {
		return HandoverReply{}, api.Errorf(api.PeerNotKnown, "no gate of service %q with the requested incarnation", request.Service)
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.draining || !s.ready {
		return HandoverReply{}, api.Errorf(api.CallKeyNotReady, "not ready for %s", request.Service)
	}
	s.claims.add(request.Claims, time.Now())
	for _, record := range request.Records {
		if !s.table.Merge(record, time.Now()) {
			return HandoverReply{}, api.Errorf(api.CallShed, "the record table is full")
		}
	}
	return HandoverReply{}, nil
}
