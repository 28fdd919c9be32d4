package quota

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
)

var (
	seedsFlag   = flag.Uint64("seeds", 0, "seeds of the model tests; 0 is their default")
	measureFlag = flag.Bool("measure", false, "run the measurements of docs/design/quotas.md")
)

// seedCount returns the number of seeds to play.
func seedCount(usual uint64) uint64 {
	switch {
	case *seedsFlag > 0:
		return *seedsFlag
	case testing.Short():
		return usual / 8
	}
	return usual
}

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
		n, at := a.worst()
		s.fullest = max(s.fullest, float64(n)/a.bound())
		if float64(n) > a.bound() {
			t.Errorf("%s: account %s ran %d requests in the window from %v, bound %.0f", what, a.Name, n, at.Sub(simStart), a.bound())
		}
	}
}

// Prints what the typical load costs by the number of nodes.
func TestCostOfTypicalLoad(t *testing.T) {
	if !*measureFlag {
		t.Skip("a measurement, not a check: run it with -measure")
	}
	for _, nodes := range []int{12, 74, 200} {
		s := newSim(1, nodes)
		typicalLoad(s)
		s.run(10 * time.Second)
		offered := 0
		s.messages, s.waits = 0, 0
		for _, a := range s.accounts {
			a.offered, a.declined = 0, 0
		}
		s.run(10 * time.Second)
		for _, a := range s.accounts {
			offered += a.offered
		}
		t.Logf("%d nodes: %.1f messages per node and second, %.0f%% of the requests wait for an owner",
			nodes, float64(s.messages)/10/float64(nodes), 100*float64(s.waits)/float64(offered))
		checkBounds(t, s, "typical load")
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
		switch s.rng.IntN(10) {
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
		case 9: // a limit is lowered far below what is sent, or raised again
			a := s.accounts[1+2*s.rng.IntN(6)]
			s.limit(a, 1.6*a.usual*[]float64{0.05, 0.3, 1}[s.rng.IntN(3)], a.usual*s.rng.Float64())
		}
	}
}

// heal ends all cuts.
func (s *sim) heal() {
	for _, n := range s.nodes {
		n.group = 0
	}
}

// watchVotes checks at short intervals that each vote counts once: at most one owner
// holds the vote of a node for an account, and none while the node uses its own share.
func watchVotes(t *testing.T, s *sim, what string) {
	if t.Failed() {
		return
	}
	s.after(50*time.Millisecond, func() { watchVotes(t, s, what) })
	for _, a := range s.accounts {
		hash := xxhash.Sum64String(a.Name)
		for _, n := range s.nodes {
			holders := 0
			for _, o := range s.nodes {
				v := o.owner.voters[n.address]
				if o.up && v != nil && v.ballot != nil && v.until.After(s.now) && v.ballot.isFor(o.address, hash) {
					holders++
				}
			}
			if holders > 1 {
				t.Errorf("%s: %d owners hold the vote of %s for %s at %v", what, holders, n.address, a.Name, s.now.Sub(simStart))
			}
			b := n.borrower
			if holders == 0 || !n.up || n.paused() || b.current == nil || b.fleet == 0 {
				continue
			}
			own := account{hash: hash, rate: a.Rate, burst: a.Burst}
			if b.useShare(&own, b.links[b.current.owner(hash)], s.now); !own.shareAt.IsZero() {
				t.Errorf("%s: %s uses its own share of %s at %v while an owner holds its vote", what, n.address, a.Name, s.now.Sub(simStart))
			}
		}
	}
}

// isFor reports whether the votes of a ballot are for a node as the owner of an account.
func (b *ballot) isFor(node string, account uint64) bool {
	return b.lists[0].owner(account) == node && (b.lists[1] == nil || b.lists[1].owner(account) == node)
}

// Guards against more runs than the quota allows, whatever fails: messages lost, late
// and duplicated, owners paused, killed and replaced, nodes cut off and restarted.
func TestBoundHoldsWhateverFails(t *testing.T) {
	seeds := seedCount(60)
	fullest := 0.0
	for seed := range seeds {
		s := newSim(seed, 6+int(seed%3)*7)
		mixedLoad(s)
		watchVotes(t, s, fmt.Sprint("seed ", seed))
		disturb(s, 60*time.Second)
		checkBounds(t, s, fmt.Sprint("seed ", seed))
		fullest = max(fullest, s.fullest)
		if t.Failed() {
			break
		}
	}
	t.Logf("fullest window: %.2f of the bound", fullest)
}

// Guards against tokens that each new owner adds to those of the earlier ones: the
// owner of an account is killed, paused, cut off or told to leave again and again.
func TestBoundHoldsWhileOwnersChange(t *testing.T) {
	seeds := seedCount(24)
	fullest := 0.0
	for seed := range seeds {
		s := newSim(seed, 13)
		mixedLoad(s)
		watchVotes(t, s, fmt.Sprint("seed ", seed))
		s.run(8 * time.Second)
		for i := range 40 {
			a := s.accounts[1+2*(i%6)]
			if seed%2 == 0 {
				a = s.accounts[11]
			}
			s.attackOwner(a, int(seed/2%6))
			s.run(time.Duration((0.2 + 1.3*s.rng.Float64()) * float64(time.Second)))
		}
		checkBounds(t, s, fmt.Sprint("seed ", seed))
		fullest = max(fullest, s.fullest)
		if t.Failed() {
			break
		}
	}
	t.Logf("fullest window: %.2f of the bound", fullest)
}

// attackOwner disturbs the owner that a running node uses for an account.
func (s *sim) attackOwner(a *simAccount, kind int) {
	for _, i := range s.rng.Perm(len(s.nodes)) {
		n := s.nodes[i]
		if !n.up || n.paused() || n.borrower.current == nil {
			continue
		}
		o := s.node(n.borrower.current.owner(n.borrower.account(&a.Account, s.now).hash))
		switch kind {
		case 0:
			o.kill()
			o.boot()
		case 1:
			o.kill()
			s.after(time.Second, func() {
				if !o.up {
					o.boot()
				}
			})
		case 2:
			o.pausedUntil = s.now.Add(time.Duration(s.rng.Float64() * float64(4*time.Second)))
		case 3:
			o.group = 100 + i
			s.after(time.Duration(s.rng.Float64()*float64(4*time.Second)), func() { o.group = 0 })
		case 4:
			o.leaving = true
			s.after(time.Duration(s.rng.Float64()*float64(2*time.Second)), func() {
				o.kill()
				o.boot()
			})
		default:
			s.attackOwner(a, s.rng.IntN(5))
		}
		return
	}
}
