package idempotency

import (
	"testing"
	"time"
)

// The ownership model explores every interleaving of four gates that join the
// roster one after another, announce themselves to each other or fail to, read
// newer rosters at any time, and classify attempts with one key.

const ownershipGates = 4

type ownershipState struct {
	entered uint8
	roster  [ownershipGates]uint8 // number of gates in the roster that the gate knows
	knownBy [ownershipGates]uint8 // bit set of the gates that have acknowledged the gate
	claimed [ownershipGates]bool
	firsts  uint8
}

type ownershipRules struct {
	ignoreUnacknowledged, keepClaims, ignoreNewerRoster bool
}

func exploreOwnership(key uint64, rules ownershipRules) (maxFirsts uint8, states int) {
	gates := make([]GateID, ownershipGates)
	for i := range gates {
		gates[i].Incarnation = uint64(i + 1)
	}
	seen := map[ownershipState]bool{}
	pending := []ownershipState{{}}
	visit := func(s ownershipState) {
		if !seen[s] {
			seen[s] = true
			maxFirsts = max(maxFirsts, s.firsts)
			pending = append(pending, s)
		}
	}
	for len(pending) > 0 {
		s := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		if s.entered < ownershipGates {
			t := s
			t.roster[t.entered] = t.entered + 1
			t.entered++
			visit(t)
		}
		for gate := range int(s.entered) {
			stepGate(s, gate, gates, key, rules, visit)
		}
	}
	return maxFirsts, len(seen)
}

// stepGate explores the next steps of one gate.
func stepGate(s ownershipState, gate int, gates []GateID, key uint64, rules ownershipRules, visit func(ownershipState)) {
	for rev := s.roster[gate] + 1; rev <= s.entered; rev++ {
		t := s
		t.roster[gate] = rev
		visit(t)
	}
	joined := Roster{Gates: gates[:gate+1]}
	for g := range gate {
		t := s
		if !rules.ignoreNewerRoster {
			t.roster[g] = max(t.roster[g], uint8(gate+1))
		}
		visit(t) // the reply is lost
		owner, _ := joined.Owner(key)
		if owner == gates[gate] && t.claimed[g] && !rules.keepClaims {
			t.claimed[gate] = true
		}
		t.knownBy[gate] |= 1 << g
		visit(t)
	}
	roster := Roster{Gates: gates[:s.roster[gate]]}
	knows := func(g GateID) bool { return rules.ignoreUnacknowledged || s.knownBy[gate]&(1<<(g.Incarnation-1)) != 0 }
	if !s.claimed[gate] && isSoleOwner(roster, gates[gate], knows, key) {
		s.claimed[gate] = true
		s.firsts++
		visit(s)
	}
}

func TestAtMostOneAttemptIsClassifiedAsFirst(t *testing.T) {
	for key := range uint64(100) {
		if maxFirsts, states := exploreOwnership(key, ownershipRules{}); maxFirsts != 1 {
			t.Errorf("key %d: %d firsts in %d states", key, maxFirsts, states)
		}
	}
}

func TestOwnershipModelDetectsBrokenRules(t *testing.T) {
	for name, rules := range map[string]ownershipRules{
		"unacknowledged gates are ignored": {ignoreUnacknowledged: true},
		"claims are not transferred":       {keepClaims: true},
		"a gate ignores the newer roster":  {ignoreNewerRoster: true},
	} {
		found := false
		for key := range uint64(100) {
			maxFirsts, _ := exploreOwnership(key, rules)
			found = found || maxFirsts > 1
		}
		if !found {
			t.Errorf("%s: no violation found", name)
		}
	}
}

func TestClaimsExpireOnlyAfterRetentionWindow(t *testing.T) {
	c := claimSet{window: time.Minute}
	at := time.Unix(0, 0).Add(time.Hour)
	if !c.claim(1, 10, at) || c.claim(1, 10, at.Add(59*time.Second)) || c.claim(1, 10, at.Add(118*time.Second)) {
		t.Error("a key was claimed twice within the window, or a new key was not claimed")
	}
	if !c.claim(1, 10, at.Add(10*time.Minute)) {
		t.Error("an expired key was not claimed again")
	}
}
