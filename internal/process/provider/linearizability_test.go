package provider_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/kvstore"
	"github.com/daisytide/daisytide/internal/process/provider"
	"github.com/daisytide/daisytide/internal/standin/store"
	"github.com/daisytide/daisytide/internal/version/snapshot"
)

// Parameters of the concurrent applies.
const (
	seedCount           = 60
	operatorCount       = 4
	appliesPerOperator  = 4
	storeCallsPerSecond = 1000
)

// applyInput is the base number of one apply.
type applyInput struct {
	base uint64
}

// registerModel models the store as a number that increases by one with each
// accepted document. An apply with an unknown outcome may or may not have
// increased it.
var registerModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{uint64(0)} },
	Step: func(state, input, output any) []any {
		number, in, out := state.(uint64), input.(applyInput), output.(api.ApplyResponse)
		switch out.Outcome {
		case api.ApplyAccepted:
			if out.Number == number+1 && (in.base == 0 || in.base == number) {
				return []any{number + 1}
			}
			return nil
		case api.ApplyConflict:
			if out.Number == number && number != 0 && in.base != number {
				return []any{number}
			}
			return nil
		case api.ApplyUnknown:
			return []any{number, number + 1}
		default:
			return []any{number}
		}
	},
}).ToModel()

func TestConcurrentAppliesAreLinearizable(t *testing.T) {
	for seed := range uint64(seedCount) {
		synctest.Test(t, func(t *testing.T) {
			if !porcupine.CheckOperations(registerModel, runConcurrentApplies(seed)) {
				t.Errorf("seed %d: the responses are not linearizable", seed)
			}
		})
	}
}

func runConcurrentApplies(seed uint64) []porcupine.Operation {
	s := store.New(seed)
	s.SetFaults(store.Faults{LostReplies: 0.5, Delay: 20 * time.Millisecond})
	var mu sync.Mutex
	var history []porcupine.Operation
	var operators sync.WaitGroup
	for client := range operatorCount {
		operators.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(client)))
			p := &provider.Provider{
				Store:        kvstore.NewRateLimitedStore(s, storeCallsPerSecond),
				Holder:       &snapshot.Holder{},
				RolloutEnded: func(string) bool { return false },
			}
			for attempt := range appliesPerOperator {
				time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
				input := applyInput{base: p.Holder.Current().Number() * uint64(rng.IntN(2))}
				begin := time.Now()
				response := p.Apply(context.Background(), documentText(client, attempt), fmt.Sprint(client), input.base)
				end := time.Now().UnixNano()
				if response.Outcome == api.ApplyUnknown {
					end = math.MaxInt64
				}
				mu.Lock()
				history = append(history, porcupine.Operation{
					ClientId: client, Input: input, Call: begin.UnixNano(), Output: response, Return: end,
				})
				mu.Unlock()
			}
		})
	}
	operators.Wait()
	return history
}

func documentText(client, attempt int) []byte {
	return fmt.Appendf(nil, `{"services":[{"name":"roster","versions":["v1"],"current":"v1"}],
"routes":[{"name":"r%d-%d","match":{"prefix":"/"},"service":"roster","time_limit":"1s","caller":"buyer"}]}`, client, attempt)
}

// The reply of a write is lost, and another document replaces the written one
// before it is read back. The apply must still be reported as accepted.
func TestSupersededWriteIsReportedAsAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(1)
		other := &provider.Provider{Store: s, Holder: &snapshot.Holder{}}
		s.SetFaults(store.Faults{LostReplies: 1})
		first := true
		p := &provider.Provider{Holder: &snapshot.Holder{}, Store: afterSwap{Store: s, then: func() {
			if !first {
				return
			}
			first = false
			s.SetFaults(store.Faults{})
			for i := range 3 {
				if response := other.Apply(context.Background(), documentText(9, i), "other", 0); response.Outcome != api.ApplyAccepted {
					t.Fatalf("apply: %+v", response)
				}
			}
		}}}
		out := p.Apply(context.Background(), documentText(1, 0), "first", 0)
		if out.Outcome != api.ApplyAccepted || out.Number != 1 {
			t.Errorf("response %+v, want accepted as 1", out)
		}
		if got := p.Holder.Current().Number(); got != 4 {
			t.Errorf("%d in force, want the stored one, 4", got)
		}
	})
}

func TestNumberingContinuesAfterStoreDataLoss(t *testing.T) {
	p := &provider.Provider{Store: store.New(1), Holder: &snapshot.Holder{}}
	for want := uint64(1); want <= 4; want++ {
		if want == 3 {
			p.Store = store.New(2)
		}
		out := p.Apply(context.Background(), documentText(1, int(want)), "o", 0)
		if out.Outcome != api.ApplyAccepted || out.Number != want || p.Holder.Current().Number() != want {
			t.Errorf("response %+v, in force %d, want %d", out, p.Holder.Current().Number(), want)
		}
	}
}

// afterSwap calls then after each write.
type afterSwap struct {
	kvstore.Store
	then func()
}

func (s afterSwap) CompareAndSwap(ctx context.Context, key string, revision uint64, value []byte, lease string) (kvstore.Entry, error) {
	e, err := s.Store.CompareAndSwap(ctx, key, revision, value, lease)
	s.then()
	return e, err
}
