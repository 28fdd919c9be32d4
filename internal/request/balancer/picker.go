// Package balancer selects the node whose upstream gets a request. It combines
// the outcomes of the entry's own requests with the load that gates report in
// responses. Requests stay in the entry's data centre where possible, and each
// entry prefers a small rendezvous-hashed subset of a service's upstreams.
package balancer

import (
	"math/rand/v2"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/daisytide/daisytide/internal/process/membership"
	"github.com/daisytide/daisytide/internal/request/gate"
)

// Picker selects among the nodes that serve one version of a service and keeps
// statistics on each.
type Picker struct {
	// Self is the entry's own address. DataCentre and Region are its location.
	Self, DataCentre, Region string

	pool atomic.Pointer[upstreamPool]
	// mu serializes rebuilds of pool.
	mu sync.Mutex
}

// upstreamPool groups the upstreams of one member index by service and version.
// Statistics of a node that is still a member carry over to the next pool.
type upstreamPool struct {
	index     *membership.Index
	upstreams map[string]*pooledUpstream
	groups    map[membership.UpstreamKey]*[distanceCount][]*pooledUpstream
}

// pooledUpstream is one upstream. Its statistics outlive changes of the member
// record, so that a call in progress during a change is still counted.
type pooledUpstream struct {
	record membership.Record
	// weight is the rendezvous hashing weight, which makes entries prefer
	// different upstreams.
	weight uint64
	shared *sharedStats
}

// sharedStats guards the statistics of one upstream with its own lock.
type sharedStats struct {
	mu    sync.Mutex
	stats UpstreamStats
}

// resetFailures clears the failures of an upstream that its node announced
// again.
func (s *sharedStats) resetFailures() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.failures, s.stats.ejections, s.stats.ejectedUntil = 0, 0, time.Time{}
}

// begin counts an attempt that was decided on a copy of the statistics, and reports
// whether it is the probe of an unreachable node. ok is false, and nothing is counted,
// if another attempt has become the probe since the copy.
func (s *sharedStats) begin(decidedOn *UpstreamStats) (isProbe, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stats.awaitingProbe() && !decidedOn.awaitingProbe() {
		return false, false
	}
	s.stats.BeginAttempt()
	return s.stats.startProbe(), true
}

// Selection is the upstream selected for one attempt. Done must be called when
// the attempt has ended.
type Selection struct {
	Record membership.Record
	shared *sharedStats
	// isProbe is set if this attempt tests whether an unreachable node is
	// reachable again.
	isProbe bool
}

// PickTwoChoices selects among the nodes of key that are not in tried, with
// DefaultPolicy. It returns false if none is left. Package entry uses it.
func (p *Picker) PickTwoChoices(index *membership.Index, key membership.UpstreamKey, tried []string, now time.Time, rng *rand.Rand) (Selection, bool) {
	return p.selectWith(index, key, tried, func(groups *[distanceCount][]Candidate) (Distance, int, bool) {
		return DefaultPolicy.Choose(groups, now, rng)
	})
}

// selectWith applies a selection policy to the nodes of key and counts the
// attempt at the selected one.
//
// The policy reads copies of the statistics, so another caller may have become the
// probe of the selected node meanwhile. The policy is then applied again: of the
// callers that find a node gone, only one may wait for it.
func (p *Picker) selectWith(index *membership.Index, key membership.UpstreamKey, tried []string, policy func(*[distanceCount][]Candidate) (Distance, int, bool)) (Selection, bool) {
	groups := p.poolFor(index).groups[key]
	if groups == nil {
		return Selection{}, false
	}
	buffer := scratchPool.Get().(*scratch)
	defer scratchPool.Put(buffer)
	for {
		buffer.fill(groups, tried, p.Self)
		distance, position, ok := policy(&buffer.groups)
		if !ok {
			return Selection{}, false
		}
		upstream := groups[distance][position]
		if isProbe, ok := upstream.shared.begin(buffer.groups[distance][position].Stats); ok {
			return Selection{Record: upstream.record, shared: upstream.shared, isProbe: isProbe}, true
		}
	}
}

// ConfirmReachable records that the node acknowledged the attempt.
func (s Selection) ConfirmReachable() {
	s.shared.mu.Lock()
	defer s.shared.mu.Unlock()
	s.shared.stats.markReachable()
}

// Ejected reports whether the node is ejected.
func (s Selection) Ejected(now time.Time) bool {
	s.shared.mu.Lock()
	defer s.shared.mu.Unlock()
	return s.shared.stats.Ejected(now)
}

// Done records the outcome of the attempt and the load reported with it, if
// hasLoad is set. If this attempt ejected the node, Done returns the ejection
// time, else 0.
func (s Selection) Done(now time.Time, outcome Outcome, load gate.Load, hasLoad bool) (ejectedFor time.Duration) {
	s.shared.mu.Lock()
	defer s.shared.mu.Unlock()
	if hasLoad {
		s.shared.stats.ReportLoad(now, load)
	}
	if s.isProbe {
		s.shared.stats.probing = false
	}
	before := s.shared.stats.ejectedUntil
	s.shared.stats.EndAttempt(now, outcome)
	if until := s.shared.stats.ejectedUntil; until.After(before) {
		return until.Sub(now)
	}
	return 0
}

// scratch holds copies of the statistics that one selection reads, so that the
// selection itself runs without locks.
type scratch struct {
	groups [distanceCount][]Candidate
	stats  []UpstreamStats
}

var scratchPool = sync.Pool{New: func() any { return &scratch{} }}

func (s *scratch) fill(groups *[distanceCount][]*pooledUpstream, tried []string, self string) {
	total := len(groups[0]) + len(groups[1]) + len(groups[2])
	if cap(s.stats) < total {
		s.stats = make([]UpstreamStats, total)
	}
	s.stats = s.stats[:total]
	i := 0
	for d, group := range groups {
		s.groups[d] = s.groups[d][:0]
		for _, upstream := range group {
			upstream.shared.mu.Lock()
			s.stats[i] = upstream.shared.stats
			upstream.shared.mu.Unlock()
			s.groups[d] = append(s.groups[d], Candidate{
				Stats: &s.stats[i], Slots: upstream.record.Slots, Tried: contains(tried, upstream.record.Address),
				Local: upstream.record.Address == self,
			})
			i++
		}
	}
}

// poolFor returns the pool of a member index and builds it on first use.
func (p *Picker) poolFor(index *membership.Index) *upstreamPool {
	if pool := p.pool.Load(); pool != nil && pool.index == index {
		return pool
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.pool.Load()
	if old != nil && old.index == index {
		return old
	}
	pool := p.buildPool(index, old)
	p.pool.Store(pool)
	return pool
}

func (p *Picker) buildPool(index *membership.Index, old *upstreamPool) *upstreamPool {
	pool := &upstreamPool{index: index, upstreams: map[string]*pooledUpstream{}, groups: map[membership.UpstreamKey]*[distanceCount][]*pooledUpstream{}}
	for key, records := range index.Serving {
		groups := &[distanceCount][]*pooledUpstream{}
		for _, record := range records {
			upstream := p.pooledUpstreamFor(old, record)
			pool.upstreams[record.Address] = upstream
			d := p.distanceTo(record)
			groups[d] = append(groups[d], upstream)
		}
		for d := range groups {
			sort.Slice(groups[d], func(i, j int) bool { return groups[d][i].weight > groups[d][j].weight })
		}
		pool.groups[key] = groups
	}
	return pool
}

// pooledUpstreamFor returns the pooled upstream of a record. It keeps the
// statistics in the old pool unless the node's incarnation or its upstream's
// version changed.
func (p *Picker) pooledUpstreamFor(old *upstreamPool, record membership.Record) *pooledUpstream {
	if old != nil {
		if upstream := old.upstreams[record.Address]; upstream != nil && upstream.record.Incarnation == record.Incarnation && upstream.record.Version == record.Version {
			if upstream.record.Sequence != record.Sequence {
				upstream.shared.resetFailures()
			}
			return &pooledUpstream{record: record, weight: upstream.weight, shared: upstream.shared}
		}
	}
	return &pooledUpstream{record: record, weight: xxhash.Sum64String(p.Self + " " + record.Address), shared: &sharedStats{}}
}

func (p *Picker) distanceTo(record membership.Record) Distance {
	switch {
	case record.DataCentre == p.DataCentre:
		return SameDataCentre
	case record.Region == p.Region:
		return SameRegion
	default:
		return OtherRegion
	}
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}
