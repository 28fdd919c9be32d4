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

// placing is a picker in data centre "a" and the nodes that it knows.
type pickerFixture struct {
	picker *Picker
	table  *membership.Table
	now    time.Time
	rng    *rand.Rand
}

func newPickerFixture(places ...string) *pickerFixture {
	p := &pickerFixture{
		picker: &Picker{Self: "self", DataCentre: "a", Region: "r"}, table: membership.NewTable(),
		now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(1, 1)),
	}
	for i, place := range places {
		p.table.Merge(membership.Record{
			Address: fmt.Sprintf("%s%d", place, i), DataCentre: place, Region: "r", Incarnation: 1, State: membership.Alive,
			Service: "s", Version: "v1", Upstream: api.UpstreamReady, Slots: 10,
		})
	}
	return p
}

var placeKey = membership.UpstreamKey{Service: "s", Version: "v1"}

func (p *pickerFixture) pick(t *testing.T, tried []string, w Requirements) (Selection, bool) {
	t.Helper()
	return p.picker.PickByExpectedTime(p.table.Index(), placeKey, tried, p.now, p.rng, w)
}

// load makes the picker know each node's load.
func (p *pickerFixture) reportLoads(t *testing.T, loads map[string]gate.Load) {
	t.Helper()
	var tried []string
	for {
		picked, ok := p.pick(t, tried, Requirements{})
		if !ok {
			return
		}
		tried = append(tried, picked.Record.Address)
		l, known := loads[picked.Record.Address]
		picked.Done(p.now, Success, l, known)
	}
}

func TestOwnDataCentreIsLeftOnlyWhenItHasRefused(t *testing.T) {
	p := newPickerFixture("a", "b", "b")
	p.reportLoads(t, map[string]gate.Load{
		"a0": {Busy: 30, Slots: 10, ServiceTime: time.Second}, "b1": {Slots: 10, ServiceTime: time.Millisecond}, "b2": {Slots: 10, ServiceTime: time.Millisecond},
	})
	for range 50 {
		picked, _ := p.pick(t, nil, Requirements{MeanRunTime: 10 * time.Millisecond})
		if picked.Record.Address != "a0" {
			t.Fatalf("placed at %s", picked.Record.Address)
		}
		picked.Done(p.now, Inconclusive, gate.Load{}, false)
	}
	if picked, ok := p.pick(t, []string{"a0"}, Requirements{}); !ok || picked.Record.DataCentre != "b" {
		t.Errorf("after a refusal: %+v, %v", picked.Record, ok)
	}
}

func TestAfterARefusalOnlyNodesWithRoomAreTried(t *testing.T) {
	p := newPickerFixture("a", "b", "b")
	p.reportLoads(t, map[string]gate.Load{
		"a0": {Busy: 10, Slots: 10, ServiceTime: 100 * time.Millisecond},
		"b1": {Busy: 40, Slots: 10, ServiceTime: 100 * time.Millisecond},
		"b2": {Busy: 2, Slots: 10, ServiceTime: 100 * time.Millisecond},
	})
	w := Requirements{MeanRunTime: 100 * time.Millisecond, MaxExpected: 250 * time.Millisecond}
	for range 50 {
		picked, ok := p.pick(t, []string{"a0"}, w)
		if !ok || picked.Record.Address != "b2" {
			t.Fatalf("placed at %s, %v", picked.Record.Address, ok)
		}
		picked.Done(p.now, Inconclusive, gate.Load{}, false)
	}
	if picked, ok := p.pick(t, []string{"a0", "b2"}, w); ok {
		t.Errorf("placed at the full %s", picked.Record.Address)
	}
}

func TestIdleFastUpstreamIsPreferredToABusyOrSlowOne(t *testing.T) {
	p := newPickerFixture("a", "a", "a")
	p.reportLoads(t, map[string]gate.Load{
		"a0": {Busy: 12, Slots: 10, ServiceTime: 100 * time.Millisecond},
		"a1": {Busy: 1, Slots: 10, ServiceTime: 100 * time.Millisecond},
		"a2": {Busy: 1, Slots: 10, ServiceTime: 300 * time.Millisecond},
	})
	for range 50 {
		picked, _ := p.pick(t, nil, Requirements{MeanRunTime: 100 * time.Millisecond})
		if picked.Record.Address != "a1" {
			t.Fatalf("placed at %s", picked.Record.Address)
		}
		picked.Done(p.now, Inconclusive, gate.Load{}, false)
	}
}

// A data centre whose only upstream is put aside is left for another, and its
// upstream gets one request at a time until it has answered.
func TestOnlyUpstreamOfADataCentreIsLeftWhilePutAside(t *testing.T) {
	p := newPickerFixture("a", "b", "b")
	picked, _ := p.pick(t, nil, Requirements{})
	if picked.Record.Address != "a0" {
		t.Fatalf("placed at %s", picked.Record.Address)
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
		t.Errorf("%d of 20 requests to the one that was not reached", n)
	}
	p.now = p.now.Add(minEjection + time.Millisecond)
	if n := own(); n != 1 {
		t.Errorf("%d of 20 requests when its time aside was over, want 1", n)
	}
}

// Where every upstream is put aside, requests go to one rather than nowhere.
func TestUpstreamsAreUsedWhenAllArePutAside(t *testing.T) {
	p := newPickerFixture("a", "b")
	for range 2 {
		picked, _ := p.pick(t, nil, Requirements{})
		picked.Done(p.now, Unreachable, gate.Load{}, false)
	}
	if _, ok := p.pick(t, nil, Requirements{}); !ok {
		t.Error("no upstream is left")
	}
}

// Whether the only upstream is back is found out by one request at a time; the
// others need not wait for what none of them can get.
func TestOnlyUpstreamThatIsNotReachedGetsOneRequestAtATime(t *testing.T) {
	p := newPickerFixture("a")
	first, _ := p.pick(t, nil, Requirements{})
	first.Done(p.now, Unreachable, gate.Load{}, false)
	for _, end := range []struct {
		fault Outcome
		alive bool
		// open is how many of ten further requests are placed then.
		open int
	}{{Unreachable, false, 1}, {Inconclusive, false, 1}, {Success, true, 10}} {
		probe, ok := p.pick(t, nil, Requirements{})
		if !ok {
			t.Fatalf("%+v: no request finds out", end)
		}
		if _, ok := p.pick(t, nil, Requirements{}); ok {
			t.Errorf("%+v: a second one while the first is on its way", end)
		}
		if end.alive {
			// It runs there, and the others no longer wait for its answer.
			probe.ConfirmReachable()
		} else {
			probe.Done(p.now, end.fault, gate.Load{}, false)
		}
		var placed []Selection
		for range 10 {
			if picked, ok := p.pick(t, nil, Requirements{}); ok {
				placed = append(placed, picked)
			}
		}
		if len(placed) != end.open {
			t.Errorf("%+v: %d placed, want %d", end, len(placed), end.open)
		}
		for _, picked := range placed {
			picked.Done(p.now, end.fault, gate.Load{}, false)
		}
	}
}

// An upstream that answers with failures is not one that can't be reached.
func TestOnlyUpstreamThatFailsIsUsedOn(t *testing.T) {
	p := newPickerFixture("a")
	for range 2 * failuresToEject {
		picked, _ := p.pick(t, nil, Requirements{})
		picked.Done(p.now, Failure, gate.Load{}, false)
	}
	for range 5 {
		if _, ok := p.pick(t, nil, Requirements{}); !ok {
			t.Fatal("refused")
		}
	}
}

// The only upstream of the own data centre can't answer in time: a look-up goes
// to another data centre at once, if it can there. An upload, dear to carry far,
// lets the gate decide.
func TestLookUpLeavesADataCentreThatWouldMissItsObjective(t *testing.T) {
	slow := gate.Load{Busy: 57, Slots: 12, ServiceTime: 124 * time.Millisecond}
	linked := gate.Load{Busy: 2, Slots: 12, ServiceTime: 50 * time.Millisecond, LinkBacklog: 400 * time.Millisecond}
	idle := gate.Load{Busy: 1, Slots: 12, ServiceTime: 50 * time.Millisecond}
	for _, tc := range []struct {
		name     string
		own, far gate.Load
		want     Requirements
		place    string
	}{
		{"slots are taken", slow, idle, Requirements{MeanRunTime: 55 * time.Millisecond, Objective: 200 * time.Millisecond}, "b1"},
		{"the link is taken", linked, idle, Requirements{MeanRunTime: 55 * time.Millisecond, Objective: 200 * time.Millisecond}, "b1"},
		{"there is time", slow, idle, Requirements{MeanRunTime: 55 * time.Millisecond, Objective: 2 * time.Second}, "a0"},
		{"the other is no better", slow, slow, Requirements{MeanRunTime: 55 * time.Millisecond, Objective: 200 * time.Millisecond}, "a0"},
		{"an upload", slow, idle, Requirements{MeanRunTime: 55 * time.Millisecond, Objective: 200 * time.Millisecond, HasBody: true}, "a0"},
		{"no objective", slow, idle, Requirements{MeanRunTime: 55 * time.Millisecond}, "a0"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newPickerFixture("a", "b")
			p.reportLoads(t, map[string]gate.Load{"a0": tc.own, "b1": tc.far})
			for range 20 {
				picked, _ := p.pick(t, nil, tc.want)
				picked.Done(p.now, Inconclusive, gate.Load{}, false)
				if picked.Record.Address != tc.place {
					t.Fatalf("placed at %s, want %s", picked.Record.Address, tc.place)
				}
			}
		})
	}
}

// An upload goes where its body can come; a look-up minds only the bodies that
// are on the link already.
func TestUploadAvoidsAHostWhoseLinkIsBusy(t *testing.T) {
	p := newPickerFixture("a", "a")
	p.reportLoads(t, map[string]gate.Load{
		"a0": {Slots: 10, ServiceTime: 100 * time.Millisecond, LinkBacklog: 2 * time.Second},
		"a1": {Busy: 60, Slots: 10, ServiceTime: 100 * time.Millisecond},
	})
	for _, body := range []bool{true, false} {
		picks := map[string]int{}
		for range 50 {
			picked, _ := p.pick(t, nil, Requirements{MeanRunTime: 100 * time.Millisecond, HasBody: body})
			picks[picked.Record.Address]++
			picked.Done(p.now, Inconclusive, gate.Load{}, false)
		}
		if body != (picks["a0"] == 0) {
			t.Errorf("body %v: %v", body, picks)
		}
	}
}

func TestUpstreamThatIsAnnouncedAnewIsNotPutAsideForItsPast(t *testing.T) {
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
		t.Errorf("%d picks while put aside", n)
	}
	gone.Sequence++
	p.table.Merge(gone)
	if picks() == 0 {
		t.Error("never picked again")
	}
}
