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

	views atomic.Pointer[views]
	// mu orders rebuilds of views.
	mu sync.Mutex
}

// views are the upstreams of one index of the members, by version. What is
// known of a node that stays is taken over into the next views.
type views struct {
	index  *membership.Index
	nodes  map[string]*node
	groups map[membership.UpstreamKey]*[distances][]*node
}

// node is one upstream. Its state outlives changes of its record, so that a
// call in progress across one is still counted.
type node struct {
	record membership.Record
	// weight is the rendezvous weight: entries prefer different upstreams.
	weight uint64
	state  *state
}

// state is what is known of one upstream, under its own lock.
type state struct {
	mu    sync.Mutex
	sight UpstreamStats
}

// forgive forgets the faults of an upstream that its node calls ready anew.
func (s *state) forgive() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sight.faults, s.sight.ejections, s.sight.until = 0, 0, time.Time{}
}

// Selection is the choice for one attempt; Done must be called when it ended.
type Selection struct {
	Record membership.Record
	state  *state
	// probe tells that this attempt finds out whether the node can be reached.
	probe bool
}

// PickTwoChoices chooses among the nodes of key that are not in tried; false where none
// is left.
func (p *Picker) PickTwoChoices(x *membership.Index, key membership.UpstreamKey, tried []string, now time.Time, rng *rand.Rand) (Selection, bool) {
	return p.choose(x, key, tried, func(groups *[distances][]Candidate) (Distance, int, bool) {
		return DefaultPolicy.Choose(groups, now, rng)
	})
}

// choose lets a policy choose among the nodes of key, and notes the call there.
func (p *Picker) choose(x *membership.Index, key membership.UpstreamKey, tried []string, policy func(*[distances][]Candidate) (Distance, int, bool)) (Selection, bool) {
	nodes := p.view(x).groups[key]
	if nodes == nil {
		return Selection{}, false
	}
	s := scratches.Get().(*scratch)
	defer scratches.Put(s)
	s.fill(nodes, tried)
	d, place, ok := policy(&s.groups)
	if !ok {
		return Selection{}, false
	}
	n := nodes[d][place]
	n.state.mu.Lock()
	defer n.state.mu.Unlock()
	n.state.sight.BeginAttempt()
	return Selection{Record: n.record, state: n.state, probe: n.state.sight.probe()}, true
}

// ConfirmReachable notes that the node has shown that it has the attempt.
func (p Selection) ConfirmReachable() {
	p.state.mu.Lock()
	defer p.state.mu.Unlock()
	p.state.sight.alive()
}

// Ejected tells whether the node is put aside.
func (p Selection) Ejected(now time.Time) bool {
	p.state.mu.Lock()
	defer p.state.mu.Unlock()
	return p.state.sight.Ejected(now)
}

// Done notes how the attempt ended, and the load that came back with it where
// there was one. It returns for how long the node is put aside, if the attempt
// was what put it there.
func (p Selection) Done(now time.Time, f Outcome, l gate.Load, carried bool) (aside time.Duration) {
	p.state.mu.Lock()
	defer p.state.mu.Unlock()
	if carried {
		p.state.sight.ReportLoad(now, l)
	}
	if p.probe {
		p.state.sight.probed = false
	}
	before := p.state.sight.until
	p.state.sight.EndAttempt(now, f)
	if until := p.state.sight.until; until.After(before) {
		return until.Sub(now)
	}
	return 0
}

// scratch holds copies of the sights that one choice looks at, so that the
// choice itself runs without locks.
type scratch struct {
	groups [distances][]Candidate
	sights []UpstreamStats
}

var scratches = sync.Pool{New: func() any { return &scratch{} }}

func (s *scratch) fill(nodes *[distances][]*node, tried []string) {
	total := len(nodes[0]) + len(nodes[1]) + len(nodes[2])
	if cap(s.sights) < total {
		s.sights = make([]UpstreamStats, total)
	}
	s.sights = s.sights[:total]
	i := 0
	for d, group := range nodes {
		s.groups[d] = s.groups[d][:0]
		for _, n := range group {
			n.state.mu.Lock()
			s.sights[i] = n.state.sight
			n.state.mu.Unlock()
			s.groups[d] = append(s.groups[d], Candidate{
				Stats: &s.sights[i], Slots: n.record.Slots, Tried: contains(tried, n.record.Address),
			})
			i++
		}
	}
}

// view returns the views of x, built once per index.
func (p *Picker) view(x *membership.Index) *views {
	if v := p.views.Load(); v != nil && v.index == x {
		return v
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.views.Load()
	if old != nil && old.index == x {
		return old
	}
	v := p.build(x, old)
	p.views.Store(v)
	return v
}

func (p *Picker) build(x *membership.Index, old *views) *views {
	v := &views{index: x, nodes: map[string]*node{}, groups: map[membership.UpstreamKey]*[distances][]*node{}}
	for key, records := range x.Serving {
		groups := &[distances][]*node{}
		for _, r := range records {
			n := p.node(old, r)
			v.nodes[r.Address] = n
			d := p.distance(r)
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
func (p *Picker) node(old *views, r membership.Record) *node {
	if old != nil {
		if n := old.nodes[r.Address]; n != nil && n.record.Incarnation == r.Incarnation && n.record.Version == r.Version {
			if n.record.Sequence != r.Sequence {
				n.state.forgive()
			}
			return &node{record: r, weight: n.weight, state: n.state}
		}
	}
	return &node{record: r, weight: xxhash.Sum64String(p.Self + " " + r.Address), state: &state{}}
}

func (p *Picker) distance(r membership.Record) Distance {
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
