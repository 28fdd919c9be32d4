package orders

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/daisytide/daisytide/internal/conn/kvstore"
	"github.com/daisytide/daisytide/internal/standin/store"
	"github.com/daisytide/daisytide/internal/version/ramp"
)

// lossyPublisher delivers items to all managers, or drops them while cut is set.
type lossyPublisher struct {
	others []*Manager
	cut    atomic.Bool
}

func (p *lossyPublisher) Publish(topic string, item []byte) {
	if p.cut.Load() {
		return
	}
	(&directPublisher{p.others}).Publish(topic, item)
}

// Three nodes end a rollout while their links are cut and restored at random. The
// store must receive exactly one final phase, which is never replaced, and all
// nodes must agree with it.
func TestFinalPhaseIsWrittenOnceAndAdoptedByAllNodes(t *testing.T) {
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 3))
		s := store.New(seed)
		var finalPhases []string
		s.OnPut(func(e kvstore.Entry) {
			if v := string(e.Value); v != "v2 running" {
				finalPhases = append(finalPhases, v)
			}
		})
		publisher := &lossyPublisher{}
		var nodes []*Manager
		for _, name := range []string{"n0", "n1", "n2"} {
			m := newTestManager(name, s, &directPublisher{})
			m.cfg.Publisher = publisher
			nodes = append(nodes, m)
		}
		publisher.others = nodes
		now := time.Now()
		for _, m := range nodes {
			m.AddOrder(ramp.Order{Service: "s", Target: "v2", Revision: 1, Duration: 10 * time.Second}, now)
		}
		for step := range 40 {
			now = now.Add(time.Duration(rng.IntN(600)) * time.Millisecond)
			m := nodes[rng.IntN(len(nodes))]
			switch rng.IntN(8) {
			case 0:
				m.mu.Lock()
				if ro := m.rollouts["s"]; ro.phase == ramp.Running && step > 10 {
					m.finish(ro, []ramp.Phase{ramp.Completed, ramp.Withdrawn}[rng.IntN(2)], now)
				}
				m.mu.Unlock()
			case 1:
				publisher.cut.Store(!publisher.cut.Load())
			default:
				m.tick(context.Background(), now)
			}
		}
		publisher.cut.Store(false)
		for range 6 {
			now = now.Add(10 * time.Second)
			for _, m := range nodes {
				m.tick(context.Background(), now)
				for _, item := range (StateTopic{m}).Items() {
					for _, other := range nodes {
						_, _ = StateTopic{other}.Merge(item)
					}
				}
			}
		}
		if len(finalPhases) != 1 {
			t.Fatalf("seed %d: final phases written to the store: %v, want one", seed, finalPhases)
		}
		for i, m := range nodes {
			if got := m.Rollouts()[0].Phase; "v2 "+got.String() != finalPhases[0] {
				t.Errorf("seed %d: node %d has %s, the store has %s", seed, i, got, finalPhases[0])
			}
		}
	}
}
