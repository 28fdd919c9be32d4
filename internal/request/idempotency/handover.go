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
const maxPageBytes = 256 << 10

// HandOver hands the records and claims of a gate that stops to the gates that
// stay, and takes it out of the rosters. What can't be handed over in time
// leaves the gate in its roster, as if it had died. The gate must be idle.
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
			klog.Warningf(logPrefix+"the records of %s are not handed over: %v", name, err)
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

// handOver gives each gate the claims of the keys that move to it, and one of
// them the records. All must take theirs: the claims of a gate that can't be
// asked would be lost with it.
func (m *RosterManager) transferState(ctx context.Context, name string, s *serviceState, others Roster) error {
	if len(others.Gates) == 0 {
		return api.Errorf(api.PeerNotKnown, "no other gate")
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

// pages lists all records, in pages of bounded size. A request that still
// runs has an unknown outcome for those who take over.
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
		if size >= maxPageBytes {
			out, page, size = append(out, page), nil, 0
		}
	})
	return append(out, page)
}

// recordBytes is the encoded size of a record without key and answer.
const recordOverheadBytes = 64

// AcceptHandover answers MethodHandover: claims and records of a gate that leaves.
func (d *Deduplicator) AcceptHandover(_ context.Context, request HandoverRequest) (HandoverReply, error) {
	s := d.find(request.Service)
	if s == nil || request.Incarnation != d.Self.Incarnation {
		return HandoverReply{}, api.Errorf(api.PeerNotKnown, "no such gate of %s", request.Service)
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.draining || !s.ready {
		return HandoverReply{}, api.Errorf(api.CallKeyNotReady, "not ready for %s", request.Service)
	}
	s.claims.add(request.Claims, time.Now())
	for _, record := range request.Records {
		if !s.table.Merge(record, time.Now()) {
			return HandoverReply{}, api.Errorf(api.CallShed, "no room for more records")
		}
	}
	return HandoverReply{}, nil
}
