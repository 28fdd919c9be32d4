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

// table has three upstreams in each of two data centres.
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

// share sends n calls that all end with end and counts them per address.
func distribute(x *membership.Index, p *Picker, n int, now time.Time, end func(address string) (Outcome, gate.Load)) map[string]int {
	rng := rand.New(rand.NewPCG(1, 2))
	got := map[string]int{}
	for range n {
		picked, ok := p.PickTwoChoices(x, upstreamKey, nil, now, rng)
		if !ok {
			continue
		}
		got[picked.Record.Address]++
		f, l := end(picked.Record.Address)
		picked.Done(now, f, l, true)
	}
	return got
}

func load(busy int) gate.Load {
	return gate.Load{Busy: busy, Slots: 10, ServiceTime: 10 * time.Millisecond}
}

func TestOwnDataCentreIsPreferredUntilItsLoadSaysOtherwise(t *testing.T) {
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
			t.Errorf("at %d of 10 slots %d of 1000 calls left the data centre", tc.busy, away)
		}
	}
}

func TestFaultsPutOneAsideButNeverEmptyADataCentre(t *testing.T) {
	members, p := newMembers()
	failing := map[string]bool{"n0": true}
	end := func(a string) (Outcome, gate.Load) {
		if failing[a] {
			return Unreachable, load(0)
		}
		return Success, load(0)
	}
	if got := distribute(members.Index(), p, 1000, epoch, end); got["n0"] != 1 {
		t.Errorf("%d calls to a dead host in one moment", got["n0"])
	}
	later := epoch
	dead := 0
	for range 600 {
		later = later.Add(100 * time.Millisecond)
		dead += distribute(members.Index(), p, 10, later, end)["n0"]
	}
	if dead < 1 || dead > 8 {
		t.Errorf("%d of 6000 calls in a minute tried a dead host", dead)
	}
	for i := range 6 {
		failing[fmt.Sprint("n", i)] = true
	}
	distribute(members.Index(), p, 200, later, end)
	if _, ok := p.PickTwoChoices(members.Index(), upstreamKey, nil, later, rand.New(rand.NewPCG(1, 1))); !ok {
		t.Error("faults everywhere left nothing to pick")
	}
}

func TestTriedNodesAreNotPickedAgain(t *testing.T) {
	members, p := newMembers()
	rng := rand.New(rand.NewPCG(1, 1))
	var tried []string
	for range 6 {
		picked, ok := p.PickTwoChoices(members.Index(), upstreamKey, tried, epoch, rng)
		if !ok || contains(tried, picked.Record.Address) {
			t.Fatalf("%v after %v", picked.Record.Address, tried)
		}
		tried = append(tried, picked.Record.Address)
	}
	if _, ok := p.PickTwoChoices(members.Index(), upstreamKey, tried, epoch, rng); ok {
		t.Error("a seventh of six")
	}
}

func TestCallsInProgressOutliveAChangeOfTheRecord(t *testing.T) {
	members, p := newMembers()
	rng := rand.New(rand.NewPCG(1, 1))
	picked, _ := p.PickTwoChoices(members.Index(), upstreamKey, nil, epoch, rng)
	r := picked.Record
	r.Sequence++
	r.Slots = 20
	members.Merge(r)
	p.poolFor(members.Index())
	picked.Done(epoch, Success, load(0), true)
	if own := p.poolFor(members.Index()).upstreams[r.Address].shared.stats.outstanding; own != 0 {
		t.Errorf("%d calls in progress after the last ended", own)
	}
}

func TestUpstreamThatTurnsSlowLosesItsCalls(t *testing.T) {
	random := newChoiceSim(strategy{random: true}, 0.8, 1)
	random.run()
	carried := newChoiceSim(strategy{useReportedLoad: true, policy: DefaultPolicy}, 0.8, 1)
	carried.run()
	if 3*carried.sentToSlow > random.sentToSlow || 10*carried.refused > random.refused || carried.attempts > random.attempts {
		t.Errorf("carried: %d to the slow one, %d refused, %d tries; random: %d, %d, %d",
			carried.sentToSlow, carried.refused, carried.attempts, random.sentToSlow, random.refused, random.attempts)
	}
}
