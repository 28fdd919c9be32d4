// Package balancer chooses the node whose upstream gets a call: by what the
// entry's own calls have shown and the load that gates carry back on answers,
// among a few upstreams per service, the own data centre first.
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

// Picker chooses among the nodes of one version of a service and keeps what
// the entry knows of each.
type Picker struct {
	// Self is the entry's own address, DataCentre and Region where it stands.
	Self, DataCentre, Region string

	pool atomic.Pointer[upstreamPool]
	// mu orders rebuilds of views.
	mu sync.Mutex
}

// views are the upstreams of one index of the members, by version. What is
// known of a node that stays is taken over into the next views.
type upstreamPool struct {
	index     *membership.Index
	upstreams map[string]*poolEntry
	groups    map[membership.UpstreamKey]*[distanceCount][]*poolEntry
}

// node is one upstream. Its state outlives changes of its record, so that a
// call in progress across one is still counted.
type poolEntry struct {
	record membership.Record
	// weight is the rendezvous weight: entries prefer different upstreams.
	weight uint64
	shared *sharedStats
}

// state is what is known of one upstream, under its own lock.
type sharedStats struct {
	mu    sync.Mutex
	stats UpstreamStats
}

// forgive forgets the faults of an upstream that its node calls ready anew.
func (s *sharedStats) resetFailures() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.failures, s.stats.ejections, s.stats.ejectedUntil = 0, 0, time.Time{}
}

// Selection is the choice for one attempt; Done must be called when it ended.
type Selection struct {
	Record membership.Record
	shared *sharedStats
	// probe tells that this attempt finds out whether the node can be reached.
	isProbe bool
}

// PickTwoChoices chooses among the nodes of key that are not in tried; false where none
// is left.
func (p *Picker) PickTwoChoices(x *membership.Index, key membership.UpstreamKey, tried []string, now time.Time, rng *rand.Rand) (Selection, bool) {
	return p.selectWith(x, key, tried, func(groups *[distanceCount][]Candidate) (Distance, int, bool) {
		return DefaultPolicy.Choose(groups, now, rng)
	})
}

// choose lets a policy choose among the nodes of key, and notes the call there.
func (p *Picker) selectWith(x *membership.Index, key membership.UpstreamKey, tried []string, policy func(*[distanceCount][]Candidate) (Distance, int, bool)) (Selection, bool) {
	nodes := p.poolFor(x).groups[key]
	if nodes == nil {
		return Selection{}, false
	}
	s := scratchPool.Get().(*scratch)
	defer scratchPool.Put(s)
	s.fill(nodes, tried)
	d, place, ok := policy(&s.groups)
	if !ok {
		return Selection{}, false
	}
	n := nodes[d][place]
	n.shared.mu.Lock()
	defer n.shared.mu.Unlock()
	n.shared.stats.BeginAttempt()
	return Selection{Record: n.record, shared: n.shared, isProbe: n.shared.stats.startProbe()}, true
}

// ConfirmReachable notes that the node has shown that it has the attempt.
func (p Selection) ConfirmReachable() {
	p.shared.mu.Lock()
	defer p.shared.mu.Unlock()
	p.shared.stats.markReachable()
}

// Ejected tells whether the node is put aside.
func (p Selection) Ejected(now time.Time) bool {
	p.shared.mu.Lock()
	defer p.shared.mu.Unlock()
	return p.shared.stats.Ejected(now)
}

// Done notes how the attempt ended, and the load that came back with it where
// there was one. It returns for how long the node is put aside, if the attempt
// was what put it there.
func (p Selection) Done(now time.Time, f Outcome, l gate.Load, carried bool) (aside time.Duration) {
	p.shared.mu.Lock()
	defer p.shared.mu.Unlock()
	if carried {
		p.shared.stats.ReportLoad(now, l)
	}
	if p.isProbe {
		p.shared.stats.probing = false
	}
	before := p.shared.stats.ejectedUntil
	p.shared.stats.EndAttempt(now, f)
	if until := p.shared.stats.ejectedUntil; until.After(before) {
		return until.Sub(now)
	}
	return 0
}

// scratch holds copies of the sights that one choice looks at, so that the
// choice itself runs without locks.
type scratch struct {
	groups [distanceCount][]Candidate
	stats  []UpstreamStats
}

var scratchPool = sync.Pool{New: func() any { return &scratch{} }}

func (s *scratch) fill(nodes *[distanceCount][]*poolEntry, tried []string) {
	total := len(nodes[0]) + len(nodes[1]) + len(nodes[2])
	if cap(s.stats) < total {
		s.stats = make([]UpstreamStats, total)
	}
	s.stats = s.stats[:total]
	i := 0
	for d, group := range nodes {
		s.groups[d] = s.groups[d][:0]
		for _, n := range group {
			n.shared.mu.Lock()
			s.stats[i] = n.shared.stats
			n.shared.mu.Unlock()
			s.groups[d] = append(s.groups[d], Candidate{
				Stats: &s.stats[i], Slots: n.record.Slots, Tried: contains(tried, n.record.Address),
			})
			i++
		}
	}
}

// view returns the views of x, built once per index.
func (p *Picker) poolFor(x *membership.Index) *upstreamPool {
	if v := p.pool.Load(); v != nil && v.index == x {
		return v
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.pool.Load()
	if old != nil && old.index == x {
		return old
	}
	v := p.buildPool(x, old)
	p.pool.Store(v)
	return v
}

func (p *Picker) buildPool(x *membership.Index, old *upstreamPool) *upstreamPool {
	v := &upstreamPool{index: x, upstreams: map[string]*poolEntry{}, groups: map[membership.UpstreamKey]*[distanceCount][]*poolEntry{}}
	for key, records := range x.Serving {
		groups := &[distanceCount][]*poolEntry{}
		for _, r := range records {
			n := p.entryFor(old, r)
			v.upstreams[r.Address] = n
			d := p.distanceTo(r)
			groups[d] = append(groups[d], n)
		}
		for d := range groups {
			sort.Slice(groups[d], func(i, j int) bool { return groups[d][i].weight > groups[d][j].weight })
		}
		v.groups[key] = groups
	}
	return v
}

// node returns the node of a record with what was known of it, unless the
// process or its upstream is another one now.
func (p *Picker) entryFor(old *upstreamPool, r membership.Record) *poolEntry {
	if old != nil {
		if n := old.upstreams[r.Address]; n != nil && n.record.Incarnation == r.Incarnation && n.record.Version == r.Version {
			if n.record.Sequence != r.Sequence {
				n.shared.resetFailures()
			}
			return &poolEntry{record: r, weight: n.weight, shared: n.shared}
		}
	}
	return &poolEntry{record: r, weight: xxhash.Sum64String(p.Self + " " + r.Address), shared: &sharedStats{}}
}

func (p *Picker) distanceTo(r membership.Record) Distance {
	switch {
	case r.DataCentre == p.DataCentre:
		return SameDataCentre
	case r.Region == p.Region:
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
