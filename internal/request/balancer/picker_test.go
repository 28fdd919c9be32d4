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

var (
	epoch       = time.Unix(1000, 0)
	upstreamKey = membership.UpstreamKey{Service: "s", Version: "v1"}
)

// newMembers returns a member table with three upstreams in each of two data
// centres, and a picker in the first one.
func newMembers() (*membership.Table, *Picker) {
	t := membership.NewTable()
	for i := range 6 {
		t.Merge(membership.Record{
			Address: fmt.Sprint("n", i), DataCentre: fmt.Sprint("dc", i/3), Region: "r", Incarnation: 1, State: membership.Alive,
			Service: upstreamKey.Service, Version: upstreamKey.Version, Upstream: api.UpstreamReady, Slots: 10,
		})
	}
	return t, &Picker{Self: "entry", DataCentre: "dc0", Region: "r"}
}

// distribute sends n calls, each with the outcome and load that end returns for
// its address, and counts the calls by address.
func distribute(index *membership.Index, p *Picker, n int, now time.Time, end func(address string) (Outcome, gate.Load)) map[string]int {
	rng := rand.New(rand.NewPCG(1, 2))
	counts := map[string]int{}
	for range n {
		selection, ok := p.PickTwoChoices(index, upstreamKey, nil, now, rng)
		if !ok {
			continue
		}
		counts[selection.Record.Address]++
		outcome, load := end(selection.Record.Address)
		selection.Done(now, outcome, load, true)
	}
	return counts
}

func load(busy int) gate.Load {
	return gate.Load{Busy: busy, Slots: 10, ServiceTime: 10 * time.Millisecond}
}

func TestOwnDataCentreIsPreferredUntilItIsBusy(t *testing.T) {
	for _, tc := range []struct {
		busy      int
		low, high int
	}{{0, 0, 0}, {6, 0, 0}, {20, 500, 1000}} {
		members, p := newMembers()
		got := distribute(members.Index(), p, 1000, epoch, func(a string) (Outcome, gate.Load) {
			if a < "n3" {
				return Success, load(tc.busy)
			}
			return Success, load(0)
		})
		if away := got["n3"] + got["n4"] + got["n5"]; away < tc.low || away > tc.high {
			t.Errorf("with %d of 10 slots busy, %d of 1000 calls left the data centre", tc.busy, away)
		}
	}
}

func TestFailuresEjectAnUpstreamButNeverAllOfADataCentre(t *testing.T) {
	members, p := newMembers()
	failing := map[string]bool{"n0": true}
	end := func(a string) (Outcome, gate.Load) {
		if failing[a] {
			return Unreachable, load(0)
		}
		return Success, load(0)
	}
	if got := distribute(members.Index(), p, 1000, epoch, end); got["n0"] != 1 {
		t.Errorf("%d calls to an unreachable host without time passing, want 1", got["n0"])
	}
	later := epoch
	unreachable := 0
	for range 600 {
		later = later.Add(100 * time.Millisecond)
		unreachable += distribute(members.Index(), p, 10, later, end)["n0"]
	}
	if unreachable < 1 || unreachable > 8 {
		t.Errorf("%d of 6000 calls in a minute went to an unreachable host, want 1 to 8", unreachable)
	}
	for i := range 6 {
		failing[fmt.Sprint("n", i)] = true
	}
	distribute(members.Index(), p, 200, later, end)
	if _, ok := p.PickTwoChoices(members.Index(), upstreamKey, nil, later, rand.New(rand.NewPCG(1, 1))); !ok {
		t.Error("no upstream is selectable after failures at all of them")
	}
}

func TestTriedNodesAreNotSelectedAgain(t *testing.T) {
	members, p := newMembers()
	rng := rand.New(rand.NewPCG(1, 1))
	var tried []string
	for range 6 {
		picked, ok := p.PickTwoChoices(members.Index(), upstreamKey, tried, epoch, rng)
		if !ok || contains(tried, picked.Record.Address) {
			t.Fatalf("selected %v after %v", picked.Record.Address, tried)
		}
		tried = append(tried, picked.Record.Address)
	}
	if _, ok := p.PickTwoChoices(members.Index(), upstreamKey, tried, epoch, rng); ok {
		t.Error("a seventh upstream was selected from six")
	}
}

func TestOutstandingCallsSurviveAMemberRecordUpdate(t *testing.T) {
	members, p := newMembers()
	rng := rand.New(rand.NewPCG(1, 1))
	picked, _ := p.PickTwoChoices(members.Index(), upstreamKey, nil, epoch, rng)
	record := picked.Record
	record.Sequence++
	record.Slots = 20
	members.Merge(record)
	p.poolFor(members.Index())
	picked.Done(epoch, Success, load(0), true)
	if own := p.poolFor(members.Index()).upstreams[record.Address].shared.stats.outstanding; own != 0 {
		t.Errorf("%d calls outstanding after the last one ended", own)
	}
}

func TestSlowUpstreamGetsFewerCalls(t *testing.T) {
	random := newChoiceSim(strategy{random: true}, 0.8, 1)
	random.run()
	byLoad := newChoiceSim(strategy{useReportedLoad: true, policy: DefaultPolicy}, 0.8, 1)
	byLoad.run()
	if 3*byLoad.sentToSlow > random.sentToSlow || 10*byLoad.refused > random.refused || byLoad.attempts > random.attempts {
		t.Errorf("with reported load: %d to the slow upstream, %d refused, %d attempts; random: %d, %d, %d",
			byLoad.sentToSlow, byLoad.refused, byLoad.attempts, random.sentToSlow, random.refused, random.attempts)
	}
}
