package quota

import (
	"fmt"
	"testing"
	"time"
)

// typicalLoad adds the accounts of section 3 of docs/ROADMAP.md: 79, very unequal, the
// largest a fifth of 1,500 requests per second.
func typicalLoad(s *sim) {
	rest := 1200.0
	s.add("a00", 300, 300)
	for i := 1; i < 79; i++ {
		usual := rest * 0.088
		rest -= usual
		s.add(fmt.Sprintf("a%02d", i), usual, usual)
	}
}

func checkBounds(t *testing.T, s *sim, what string) {
	t.Helper()
	for _, a := range s.accounts {
		if n, at := a.worst(); float64(n) > a.bound() {
			t.Errorf("%s: account %s ran %d requests in the window from %v, bound %.0f", what, a.Name, n, at.Sub(simStart), a.bound())
		}
	}
}

// Prints what the typical load costs.
func TestTypicalLoad(t *testing.T) {
	for _, nodes := range []int{12, 74} {
		s := newSim(1, nodes)
		typicalLoad(s)
		s.run(10 * time.Second)
		offered, declined := 0, 0
		before, waits := s.messages, s.waits
		for _, a := range s.accounts {
			a.offered, a.declined = 0, 0
		}
		s.run(20 * time.Second)
		worst := 0.0
		for _, a := range s.accounts {
			offered += a.offered
			declined += a.declined
			worst = max(worst, a.declinedPart())
		}
		t.Logf("%d nodes: %d offered, %d declined (worst account %.3f), %.1f messages per node and second, %.3f of the requests wait",
			nodes, offered, declined, worst, float64(s.messages-before)/20/float64(nodes), float64(s.waits-waits)/float64(offered))
		checkBounds(t, s, "typical")
	}
}

// mixedLoad adds large, small and tiny accounts, of which some send far more than
// their limit and some have no burst.
func mixedLoad(s *sim) (calm []*simAccount) {
	for i, usual := range []float64{0.3, 1, 3, 10, 30, 100} {
		calm = append(calm, s.add(fmt.Sprintf("calm%d", i), usual, usual*float64(i%3)))
		busy := s.add(fmt.Sprintf("busy%d", i), usual, usual*float64(i%2))
		busy.factor = []float64{7, 100, 20, 7, 100, 10}[i]
		if i%2 == 0 {
			busy.sites = 1
		}
	}
	return calm
}

// disturb injects random faults for a time.
func disturb(s *sim, d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.run(time.Duration(s.rng.Float64() * float64(3*time.Second)))
		n := s.nodes[s.rng.IntN(len(s.nodes))]
		switch s.rng.IntN(9) {
		case 0: // killed and started again after a while, with the connection refused
			n.kill()
			s.after(time.Duration(s.rng.Float64()*float64(15*time.Second)), func() {
				if !n.up {
					n.boot()
				}
			})
		case 1: // started again at once
			if n.up {
				n.kill()
				n.boot()
			}
		case 2: // stands still
			n.pausedUntil = s.now.Add(time.Duration(s.rng.Float64() * float64(10*time.Second)))
		case 3: // a third is cut off together
			for i, m := range s.nodes {
				if i%3 == 0 {
					m.group = 1
				}
			}
			s.after(8*time.Second, s.heal)
		case 4: // nodes are cut off from all others
			for i, m := range s.nodes {
				if s.rng.IntN(3) == 0 {
					m.group = 2 + i
				}
			}
			s.after(time.Duration(s.rng.Float64()*float64(20*time.Second)), s.heal)
		case 5: // most are killed at once
			for _, m := range s.nodes {
				if s.rng.IntN(5) < 3 {
					m.kill()
					s.after(time.Duration(s.rng.Float64()*float64(10*time.Second)), func() {
						if !m.up {
							m.boot()
						}
					})
				}
			}
		case 6: // all lose power
			for _, m := range s.nodes {
				m.kill()
				s.after(time.Duration(s.rng.Float64()*float64(2*time.Second)), func() {
					if !m.up {
						m.boot()
					}
				})
			}
		case 7:
			s.faults = simFaults{lost: s.rng.Float64() * 0.3, duplicated: s.rng.Float64() * 0.2, late: s.rng.Float64() * 0.2}
		case 8:
			s.faults = simFaults{}
		}
	}
}

// heal ends all cuts.
func (s *sim) heal() {
	for _, n := range s.nodes {
		n.group = 0
	}
}

// Guards against more runs than the quota allows, whatever fails: messages lost, late
// and duplicated, owners paused, killed and replaced, nodes cut off and restarted.
func TestBoundHoldsWhateverFails(t *testing.T) {
	seeds := uint64(60)
	if testing.Short() {
		seeds = 6
	}
	for seed := range seeds {
		s := newSim(seed, 6+int(seed%3)*7)
		mixedLoad(s)
		disturb(s, 60*time.Second)
		checkBounds(t, s, fmt.Sprint("seed ", seed))
		if t.Failed() {
			break
		}
	}
}
