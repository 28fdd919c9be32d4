package idempotency

import (
	"testing"
	"time"
)

// The walk of homes visits every interleaving of four gates that enter the
// roster one after another, introduce themselves to each other or fail to,
// read newer rosters at any time, and are asked to number one key.

const homeGates = 4

type homeState struct {
	entered uint8
	view    [homeGates]uint8 // the gate's roster: that many gates
	heard   [homeGates]uint8 // gates that know of this one
	claimed [homeGates]bool
	firsts  uint8
}

type homeRules struct {
	ignoreSilence, keepClaims, keepView bool
}

func walkHomes(key uint64, rules homeRules) (worst uint8, states int) {
	gates := make([]GateID, homeGates)
	for i := range gates {
		gates[i].Incarnation = uint64(i + 1)
	}
	seen := map[homeState]bool{}
	work := []homeState{{}}
	visit := func(s homeState) {
		if !seen[s] {
			seen[s] = true
			worst = max(worst, s.firsts)
			work = append(work, s)
		}
	}
	for len(work) > 0 {
		s := work[len(work)-1]
		work = work[:len(work)-1]
		if s.entered < homeGates {
			t := s
			t.view[t.entered] = t.entered + 1
			t.entered++
			visit(t)
		}
		for x := range int(s.entered) {
			stepHome(s, x, gates, key, rules, visit)
		}
	}
	return worst, len(seen)
}

// stepHome takes the steps of gate x.
func stepHome(s homeState, x int, gates []GateID, key uint64, rules homeRules, visit func(homeState)) {
	for rev := s.view[x] + 1; rev <= s.entered; rev++ {
		t := s
		t.view[x] = rev
		visit(t)
	}
	joined := Roster{Gates: gates[:x+1]}
	for g := range x {
		t := s
		if !rules.keepView {
			t.view[g] = max(t.view[g], uint8(x+1))
		}
		visit(t) // the answer is lost
		home, _ := joined.Owner(key)
		if home == gates[x] && t.claimed[g] && !rules.keepClaims {
			t.claimed[x] = true
		}
		t.heard[x] |= 1 << g
		visit(t)
	}
	view := Roster{Gates: gates[:s.view[x]]}
	heard := func(g GateID) bool { return rules.ignoreSilence || s.heard[x]&(1<<(g.Incarnation-1)) != 0 }
	if !s.claimed[x] && mayNumber(view, gates[x], heard, key) {
		s.claimed[x] = true
		s.firsts++
		visit(s)
	}
}

func TestAtMostOneAttemptIsTheFirst(t *testing.T) {
	for key := range uint64(100) {
		if worst, states := walkHomes(key, homeRules{}); worst != 1 {
			t.Errorf("key %d: %d firsts in %d states", key, worst, states)
		}
	}
}

func TestTheWalkOfHomesFindsEachBrokenRule(t *testing.T) {
	for name, rules := range map[string]homeRules{
		"a gate that has not heard is not minded": {ignoreSilence: true},
		"claims stay where they are":              {keepClaims: true},
		"a gate does not take the newer roster":   {keepView: true},
	} {
		found := false
		for key := range uint64(100) {
			worst, _ := walkHomes(key, rules)
			found = found || worst > 1
		}
		if !found {
			t.Errorf("%s: no violation found", name)
		}
	}
}

func TestClaimsAreForgottenAfterTheWindowOnly(t *testing.T) {
	c := claims{window: time.Minute}
	at := time.Unix(0, 0).Add(time.Hour)
	if !c.first(1, 10, at) || c.first(1, 10, at.Add(59*time.Second)) || c.first(1, 10, at.Add(118*time.Second)) {
		t.Error("a key within the window was new, or a new one was not")
	}
	if !c.first(1, 10, at.Add(10*time.Minute)) {
		t.Error("a key past the window was not new")
	}
}
