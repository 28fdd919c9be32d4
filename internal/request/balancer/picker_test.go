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
	epoch = time.Unix(1000, 0)
	key   = membership.UpstreamKey{Service: "s", Version: "v1"}
)

// table has three upstreams in each of two data centres.
func table() (*membership.Table, *Picker) {
	t := membership.NewTable()
	for i := range 6 {
		t.Merge(membership.Record{
			Address: fmt.Sprint("n", i), DataCentre: fmt.Sprint("dc", i/3), Region: "r", Incarnation: 1, State: membership.Alive,
			Service: key.Service, Version: key.Version, Upstream: api.UpstreamReady, Slots: 10,
		})
	}
	return t, &Picker{Self: "entry", DataCentre: "dc0", Region: "r"}
}

// share sends n calls that all end with end and counts them per address.
func share(x *membership.Index, p *Picker, n int, now time.Time, end func(address string) (Outcome, gate.Load)) map[string]int {
	rng := rand.New(rand.NewPCG(1, 2))
	got := map[string]int{}
	for range n {
		picked, ok := p.PickTwoChoices(x, key, nil, now, rng)
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
		members, p := table()
		got := share(members.Index(), p, 1000, epoch, func(a string) (Outcome, gate.Load) {
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
	members, p := table()
	failing := map[string]bool{"n0": true}
	end := func(a string) (Outcome, gate.Load) {
		if failing[a] {
			return Unreachable, load(0)
		}
		return Success, load(0)
	}
	if got := share(members.Index(), p, 1000, epoch, end); got["n0"] != 1 {
		t.Errorf("%d calls to a dead host in one moment", got["n0"])
	}
	later := epoch
	dead := 0
	for range 600 {
		later = later.Add(100 * time.Millisecond)
		dead += share(members.Index(), p, 10, later, end)["n0"]
	}
	if dead < 1 || dead > 8 {
		t.Errorf("%d of 6000 calls in a minute tried a dead host", dead)
	}
	for i := range 6 {
		failing[fmt.Sprint("n", i)] = true
	}
	share(members.Index(), p, 200, later, end)
	if _, ok := p.PickTwoChoices(members.Index(), key, nil, later, rand.New(rand.NewPCG(1, 1))); !ok {
		t.Error("faults everywhere left nothing to pick")
	}
}

func TestTriedNodesAreNotPickedAgain(t *testing.T) {
	members, p := table()
	rng := rand.New(rand.NewPCG(1, 1))
	var tried []string
	for range 6 {
		picked, ok := p.PickTwoChoices(members.Index(), key, tried, epoch, rng)
		if !ok || contains(tried, picked.Record.Address) {
			t.Fatalf("%v after %v", picked.Record.Address, tried)
		}
		tried = append(tried, picked.Record.Address)
	}
	if _, ok := p.PickTwoChoices(members.Index(), key, tried, epoch, rng); ok {
		t.Error("a seventh of six")
	}
}

func TestCallsInProgressOutliveAChangeOfTheRecord(t *testing.T) {
	members, p := table()
	rng := rand.New(rand.NewPCG(1, 1))
	picked, _ := p.PickTwoChoices(members.Index(), key, nil, epoch, rng)
	r := picked.Record
	r.Sequence++
	r.Slots = 20
	members.Merge(r)
	p.view(members.Index())
	picked.Done(epoch, Success, load(0), true)
	if own := p.view(members.Index()).nodes[r.Address].state.sight.own; own != 0 {
		t.Errorf("%d calls in progress after the last ended", own)
	}
}

func TestUpstreamThatTurnsSlowLosesItsCalls(t *testing.T) {
	random := newDriver(way{random: true}, 0.8, 1)
	random.run()
	carried := newDriver(way{carry: true, policy: DefaultPolicy}, 0.8, 1)
	carried.run()
	if 3*carried.toSlow > random.toSlow || 10*carried.refused > random.refused || carried.tries > random.tries {
		t.Errorf("carried: %d to the slow one, %d refused, %d tries; random: %d, %d, %d",
			carried.toSlow, carried.refused, carried.tries, random.toSlow, random.refused, random.tries)
	}
}
