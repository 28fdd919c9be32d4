package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/process/membership"
	"github.com/daisytide/daisytide/internal/request/gate"
)

// pickerFixture is a picker in data centre "a" with a member table.
type pickerFixture struct {
	picker *Picker
	table  *membership.Table
	now    time.Time
	rng    *rand.Rand
}

func newPickerFixture(dataCentres ...string) *pickerFixture {
	p := &pickerFixture{
		picker: &Picker{Self: "self", DataCentre: "a", Region: "r"}, table: membership.NewTable(),
		now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(1, 1)),
	}
	for i, dataCentre := range dataCentres {
		p.table.Merge(membership.Record{
			Address: fmt.Sprintf("%s%d", dataCentre, i), DataCentre: dataCentre, Region: "r", Incarnation: 1, State: membership.Alive,
			Service: "s", Version: "v1", Upstream: api.UpstreamReady, Slots: 10,
		})
	}
	return p
}

var fixtureKey = membership.UpstreamKey{Service: "s", Version: "v1"}

func (p *pickerFixture) pick(t *testing.T, tried []string, req Requirements) (Selection, bool) {
	t.Helper()
	return p.picker.PickByExpectedTime(p.table.Index(), fixtureKey, tried, p.now, p.rng, req)
}

// reportLoads reports each node's load to the picker.
func (p *pickerFixture) reportLoads(t *testing.T, loads map[string]gate.Load) {
	t.Helper()
	var tried []string
	for {
		selection, ok := p.pick(t, tried, Requirements{})
		if !ok {
			return
		}
		tried = append(tried, selection.Record.Address)
		load, hasLoad := loads[selection.Record.Address]
		selection.Done(p.now, Success, load, hasLoad)
	}
}

func TestOwnDataCentreIsLeftOnlyAfterARefusal(t *testing.T) {
	p := newPickerFixture("a", "b", "b")
	p.reportLoads(t, map[string]gate.Load{
		"a0": {Busy: 30, Slots: 10, ServiceTime: time.Second}, "b1": {Slots: 10, ServiceTime: time.Millisecond}, "b2": {Slots: 10, ServiceTime: time.Millisecond},
	})
	for range 50 {
		picked, _ := p.pick(t, nil, Requirements{MeanRunTime: 10 * time.Millisecond})
		if picked.Record.Address != "a0" {
			t.Fatalf("selected %s", picked.Record.Address)
		}
		picked.Done(p.now, Inconclusive, gate.Load{}, false)
	}
	if picked, ok := p.pick(t, []string{"a0"}, Requirements{}); !ok || picked.Record.DataCentre != "b" {
		t.Errorf("after a refusal: %+v, %v", picked.Record, ok)
	}
}

func TestMaxExpectedExcludesFullNodes(t *testing.T) {
	p := newPickerFixture("a", "b", "b")
	p.reportLoads(t, map[string]gate.Load{
		"a0": {Busy: 10, Slots: 10, ServiceTime: 100 * time.Millisecond},
		"b1": {Busy: 40, Slots: 10, ServiceTime: 100 * time.Millisecond},
		"b2": {Busy: 2, Slots: 10, ServiceTime: 100 * time.Millisecond},
	})
	req := Requirements{MeanRunTime: 100 * time.Millisecond, MaxExpected: 250 * time.Millisecond}
	for range 50 {
		picked, ok := p.pick(t, []string{"a0"}, req)
		if !ok || picked.Record.Address != "b2" {
			t.Fatalf("selected %s, %v", picked.Record.Address, ok)
		}
		picked.Done(p.now, Inconclusive, gate.Load{}, false)
	}
	if picked, ok := p.pick(t, []string{"a0", "b2"}, req); ok {
		t.Errorf("selected the full %s", picked.Record.Address)
	}
}

func TestIdleFastUpstreamIsPreferredToBusyOrSlowOnes(t *testing.T) {
	p := newPickerFixture("a", "a", "a")
	p.reportLoads(t, map[string]gate.Load{
		"a0": {Busy: 12, Slots: 10, ServiceTime: 100 * time.Millisecond},
		"a1": {Busy: 1, Slots: 10, ServiceTime: 100 * time.Millisecond},
		"a2": {Busy: 1, Slots: 10, ServiceTime: 300 * time.Millisecond},
	})
	for range 50 {
		picked, _ := p.pick(t, nil, Requirements{MeanRunTime: 100 * time.Millisecond})
		if picked.Record.Address != "a1" {
			t.Fatalf("selected %s", picked.Record.Address)
		}
		picked.Done(p.now, Inconclusive, gate.Load{}, false)
	}
}

// While the only upstream of a data centre is ejected, requests go to another
// data centre. After the ejection it gets one request at a time until it has
// answered.
func TestEjectedOnlyUpstreamOfADataCentreGetsOneProbe(t *testing.T) {
	p := newPickerFixture("a", "b", "b")
	picked, _ := p.pick(t, nil, Requirements{})
	if picked.Record.Address != "a0" {
		t.Fatalf("selected %s", picked.Record.Address)
	}
	picked.Done(p.now, Unreachable, gate.Load{}, false)
	own := func() int {
		n := 0
		for range 20 {
			if picked, _ := p.pick(t, nil, Requirements{}); picked.Record.Address == "a0" {
				n++
			}
		}
		return n
	}
	if n := own(); n != 0 {
		t.Errorf("%d of 20 requests to the unreachable upstream", n)
	}
	p.now = p.now.Add(minEjection + time.Millisecond)
	if n := own(); n != 1 {
		t.Errorf("%d of 20 requests after the ejection, want 1", n)
	}
}

// If every upstream is ejected, requests go to one of them instead of failing.
func TestUpstreamsAreSelectedWhenAllAreEjected(t *testing.T) {
	p := newPickerFixture("a", "b")
	for range 2 {
		picked, _ := p.pick(t, nil, Requirements{})
		picked.Done(p.now, Unreachable, gate.Load{}, false)
	}
	if _, ok := p.pick(t, nil, Requirements{}); !ok {
		t.Error("no upstream was selected")
	}
}

// A single request at a time probes whether the only upstream is reachable
// again. The other requests must not wait for a timeout.
func TestUnreachableOnlyUpstreamGetsOneProbeAtATime(t *testing.T) {
	p := newPickerFixture("a")
	first, _ := p.pick(t, nil, Requirements{})
	first.Done(p.now, Unreachable, gate.Load{}, false)
	for _, attempt := range []struct {
		outcome      Outcome
		acknowledged bool
		// selectable is the number of ten further requests that get an upstream
		// then.
		selectable int
	}{{Unreachable, false, 1}, {Inconclusive, false, 1}, {Success, true, 10}} {
		probe, ok := p.pick(t, nil, Requirements{})
		if !ok {
			t.Fatalf("%+v: no probe was selected", attempt)
		}
		if _, ok := p.pick(t, nil, Requirements{}); ok {
			t.Errorf("%+v: a second probe while the first is in progress", attempt)
		}
		if attempt.acknowledged {
			// The node has acknowledged the probe, so others need not wait for its answer.
			probe.ConfirmReachable()
		} else {
			probe.Done(p.now, attempt.outcome, gate.Load{}, false)
		}
		var selected []Selection
		for range 10 {
			if picked, ok := p.pick(t, nil, Requirements{}); ok {
				selected = append(selected, picked)
			}
		}
		if len(selected) != attempt.selectable {
			t.Errorf("%+v: %d selected, want %d", attempt, len(selected), attempt.selectable)
		}
		for _, picked := range selected {
			picked.Done(p.now, attempt.outcome, gate.Load{}, false)
		}
	}
}

// An upstream that answers with failures is still reachable.
func TestFailingOnlyUpstreamStaysSelectable(t *testing.T) {
	p := newPickerFixture("a")
	for range 2 * failuresToEject {
		picked, _ := p.pick(t, nil, Requirements{})
		picked.Done(p.now, Failure, gate.Load{}, false)
	}
	for range 5 {
		if _, ok := p.pick(t, nil, Requirements{}); !ok {
			t.Fatal("the failing upstream was not selected")
		}
	}
}

// If the only upstream of the own data centre cannot answer within the
// objective, a look-up goes straight to another data centre that can. An upload
// stays, because it is expensive to transfer, and leaves the decision to the
// gate.
func TestLookUpLeavesADataCentreThatWouldMissTheObjective(t *testing.T) {
	slow := gate.Load{Busy: 57, Slots: 12, ServiceTime: 124 * time.Millisecond}
	busyLink := gate.Load{Busy: 2, Slots: 12, ServiceTime: 50 * time.Millisecond, LinkBacklog: 400 * time.Millisecond, ResponseBacklog: 400 * time.Millisecond}
	idle := gate.Load{Busy: 1, Slots: 12, ServiceTime: 50 * time.Millisecond}
	for _, tc := range []struct {
		name     string
		own, far gate.Load
		req      Requirements
		address  string
	}{
		{"slots are busy", slow, idle, Requirements{MeanRunTime: 55 * time.Millisecond, Objective: 200 * time.Millisecond}, "b1"},
		{"the link is busy", busyLink, idle, Requirements{MeanRunTime: 55 * time.Millisecond, Objective: 200 * time.Millisecond, LargeResponse: true}, "b1"},
		{"small messages pass on a busy link", busyLink, idle, Requirements{MeanRunTime: 55 * time.Millisecond, Objective: 200 * time.Millisecond}, "a0"},
		{"the objective is far", slow, idle, Requirements{MeanRunTime: 55 * time.Millisecond, Objective: 2 * time.Second}, "a0"},
		{"the other data centre is no better", slow, slow, Requirements{MeanRunTime: 55 * time.Millisecond, Objective: 200 * time.Millisecond}, "a0"},
		{"an upload", slow, idle, Requirements{MeanRunTime: 55 * time.Millisecond, Objective: 200 * time.Millisecond, HasBody: true}, "a0"},
		{"no objective", slow, idle, Requirements{MeanRunTime: 55 * time.Millisecond}, "a0"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newPickerFixture("a", "b")
			p.reportLoads(t, map[string]gate.Load{"a0": tc.own, "b1": tc.far})
			for range 20 {
				picked, _ := p.pick(t, nil, tc.req)
				picked.Done(p.now, Inconclusive, gate.Load{}, false)
				if picked.Record.Address != tc.address {
					t.Fatalf("selected %s, want %s", picked.Record.Address, tc.address)
				}
			}
		})
	}
}

// An upload goes to a host that has room for it on its link, and a request with a
// large response to one that has room for that. A small one passes beside them, and
// what the entry's own host serves does not cross the link.
func TestLargeTransfersAvoidAHostWithABusyLink(t *testing.T) {
	for _, tc := range []struct {
		name    string
		load    gate.Load
		req     Requirements
		local   bool
		avoided bool
	}{
		{"upload, bodies queued", gate.Load{LinkBacklog: 2 * time.Second}, Requirements{HasBody: true, LargeBody: true}, false, true},
		{"small body, bodies queued", gate.Load{LinkBacklog: 2 * time.Second}, Requirements{HasBody: true}, false, false},
		{"upload, responses queued", gate.Load{ResponseBacklog: 2 * time.Second}, Requirements{HasBody: true, LargeBody: true}, false, false},
		{"download, responses queued", gate.Load{ResponseBacklog: 2 * time.Second}, Requirements{LargeResponse: true}, false, true},
		{"download, bodies queued", gate.Load{LinkBacklog: 2 * time.Second}, Requirements{LargeResponse: true}, false, false},
		{"look-up", gate.Load{LinkBacklog: 2 * time.Second, ResponseBacklog: 2 * time.Second}, Requirements{}, false, false},
		{"upload to the own upstream", gate.Load{LinkBacklog: 2 * time.Second}, Requirements{HasBody: true, LargeBody: true}, true, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newPickerFixture("a", "a")
			if tc.local {
				p.picker.Self = "a0"
			}
			tc.load.Slots, tc.load.ServiceTime = 10, 100*time.Millisecond
			p.reportLoads(t, map[string]gate.Load{"a0": tc.load, "a1": {Busy: 60, Slots: 10, ServiceTime: 100 * time.Millisecond}})
			tc.req.MeanRunTime = 100 * time.Millisecond
			picks := map[string]int{}
			for range 50 {
				picked, _ := p.pick(t, nil, tc.req)
				picks[picked.Record.Address]++
				picked.Done(p.now, Inconclusive, gate.Load{}, false)
			}
			if tc.avoided != (picks["a0"] == 0) {
				t.Errorf("%v", picks)
			}
		})
	}
}

func TestUpstreamAnnouncedAgainIsNoLongerEjected(t *testing.T) {
	p := newPickerFixture("a", "a", "a")
	picked, _ := p.pick(t, nil, Requirements{})
	picked.Done(p.now, Draining, gate.Load{}, false)
	gone := picked.Record
	picks := func() int {
		n := 0
		for range 60 {
			picked, _ := p.pick(t, nil, Requirements{})
			if picked.Record.Address == gone.Address {
				n++
			}
			picked.Done(p.now, Inconclusive, gate.Load{}, false)
		}
		return n
	}
	if n := picks(); n != 0 {
		t.Errorf("selected %d times while ejected", n)
	}
	gone.Sequence++
	p.table.Merge(gone)
	if picks() == 0 {
		t.Error("never selected again")
	}
}

// Callers between the copy of the statistics and the mark of the probe all became
// probes of a node that is gone, and each waited for it in vain.
func TestOnlyOneOfConcurrentCallersProbesAnUnreachableNode(t *testing.T) {
	p := newPickerFixture("a")
	first, ok := p.pick(t, nil, Requirements{})
	if !ok {
		t.Fatal("no node selected")
	}
	first.Done(p.now, Unreachable, gate.Load{}, false)
	index, decisions, probes := p.table.Index(), 0, 0
	choose := func(groups *[distanceCount][]Candidate) (Distance, int, bool) {
		return fastest(groups, p.now, p.rng, Requirements{})
	}
	_, ok = p.picker.selectWith(index, fixtureKey, nil, func(groups *[distanceCount][]Candidate) (Distance, int, bool) {
		decisions++
		distance, position, found := choose(groups)
		if decisions == 1 {
			// Another caller decides on the same statistics, and is first to begin.
			if other, ok := p.picker.selectWith(index, fixtureKey, nil, choose); ok && other.isProbe {
				probes++
			}
		}
		return distance, position, found
	})
	if ok || probes != 1 || decisions != 2 {
		t.Errorf("the second caller selects the node: %v, %d probes, %d decisions", ok, probes, decisions)
	}
}

// An upstream that once reported a long service time, as its host was busy, must get a
// request again while another one is idle: without one it cannot report that it is fast.
func TestUpstreamThatWasSlowOnceIsTriedAgain(t *testing.T) {
	fast := gate.Load{Slots: 10, ServiceTime: time.Millisecond}
	p := newPickerFixture("a", "a")
	p.reportLoads(t, map[string]gate.Load{"a0": {Slots: 10, ServiceTime: 50 * time.Millisecond}, "a1": fast})
	for range 2000 {
		p.now = p.now.Add(10 * time.Millisecond)
		picked, _ := p.pick(t, nil, Requirements{MeanRunTime: time.Millisecond})
		if picked.Record.Address == "a0" {
			return
		}
		picked.Done(p.now, Success, fast, true)
	}
	t.Error("no request of 2,000 in 20 s reached it")
}
