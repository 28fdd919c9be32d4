package quota

import (
	"testing"
	"time"
)

// Events that must not get accounts within their quota refused.
var disturbances = map[string]func(s *sim){
	"nothing": func(*sim) {},
	"one account sends 7 times its rate for 6 s": func(s *sim) {
		s.accounts[3].factor = 7
		s.after(6*time.Second, func() { s.accounts[3].factor = 1 })
	},
	"an account sends 100 times its rate at one node": func(s *sim) {
		s.accounts[30].factor, s.accounts[30].sites = 100, 1
	},
	"waves of planned restarts": func(s *sim) {
		for i := range s.nodes {
			n := s.nodes[i]
			s.after(time.Duration(i)*200*time.Millisecond, func() {
				n.leaving = true
				s.after(2*time.Second, func() {
					n.kill()
					s.after(time.Second, n.boot)
				})
			})
		}
	},
	"a fifth killed, started again after 2 s": func(s *sim) {
		for i, n := range s.nodes {
			if i%5 == 0 {
				n.kill()
				s.after(2*time.Second, n.boot)
			}
		}
	},
	"more than half killed at once for good": func(s *sim) {
		for i, n := range s.nodes {
			if i%9 < 5 {
				n.kill()
			}
		}
	},
	"all lose power": func(s *sim) {
		for _, n := range s.nodes {
			n.kill()
			s.after(time.Second+time.Duration(s.rng.Float64()*float64(500*time.Millisecond)), n.boot)
		}
	},
	"a third cut off together for 8 s": func(s *sim) {
		for i, n := range s.nodes {
			if i%3 == 0 {
				n.group = 1
			}
		}
		s.after(8*time.Second, s.heal)
	},
	"a third cut off from all for 8 s": func(s *sim) {
		for i, n := range s.nodes {
			if i%3 == 0 {
				n.group = 1 + i
			}
		}
		s.after(8*time.Second, s.heal)
	},
	"one message in 50 lost":                           func(s *sim) { s.faults.lost = 0.02 },
	"an account sends 100 times its rate at all nodes": func(s *sim) { s.accounts[30].factor = 100 },
	"configuration changes": func(s *sim) {
		for i := range 20 {
			s.after(time.Duration(i)*500*time.Millisecond, func() { s.limit(s.accounts[40], 5+float64(i%2), 5) })
		}
	},
}

// declinedAtMost gives the highest part of the requests within the quota that may be
// refused: one in 500 as a rule, and one in 70 while many nodes come and go. With nodes
// that are cut off or all without state, the quota takes precedence.
var declinedAtMost = map[string]float64{
	"nothing": 0.002, "one account sends 7 times its rate for 6 s": 0.002,
	"an account sends 100 times its rate at one node": 0.002, "configuration changes": 0.002,
	"waves of planned restarts": 0.015, "a fifth killed, started again after 2 s": 0.015,
	"more than half killed at once for good": 0.015,
}

// play plays a disturbance on 74 nodes under the typical load and returns the part of
// the requests within their quota that was refused in 15 s, and the fullest window.
func play(s *sim, disturb func(*sim)) (declined, fullest float64) {
	typicalLoad(s)
	s.run(10 * time.Second)
	for _, a := range s.accounts {
		a.offered, a.declined, a.checkFrom = 0, 0, s.now
	}
	s.messages, s.waits = 0, 0
	clear(s.reasons)
	disturb(s)
	s.run(15 * time.Second)
	calm := simAccount{}
	for _, a := range s.accounts {
		n, _ := a.worst()
		fullest = max(fullest, float64(n)/a.bound())
		if a.factor == 1 && a != s.accounts[3] {
			calm.offered += a.offered
			calm.declined += a.declined
		}
	}
	return calm.declinedPart(), fullest
}

// Guards against refusals of accounts that stay within their quota, and against more
// messages than the nodes have processor time for.
func TestAccountsWithinTheirQuotaAreServed(t *testing.T) {
	for name, most := range declinedAtMost {
		if testing.Short() && name != "nothing" {
			continue
		}
		s := newSim(1, 74)
		declined, _ := play(s, disturbances[name])
		messages := float64(s.messages) / 15 / 74
		t.Logf("%s: %.2f%% declined %v, %.1f messages per node and second", name, 100*declined, s.reasons, messages)
		if declined > most {
			t.Errorf("%s: %.2f%% of the requests within the quota were refused, want at most %.2f%%", name, 100*declined, 100*most)
		}
		if messages > 20 {
			t.Errorf("%s: %.1f messages per node and second", name, messages)
		}
		checkBounds(t, s, name)
	}
}
