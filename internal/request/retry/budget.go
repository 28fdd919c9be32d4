// Package retry decides whether a call is tried again, and bounds how many
// are, per service.
package retry

import (
	"hash/maphash"
	"sync"
)

// Parameters of the budget.
const (
	// DefaultRetryPercent is the percentage of calls that may be retries where the
	// document sets none.
	DefaultRetryPercent = 10.0
	// burst is how many retries a service may save up, unless told otherwise.
	defaultBurst = 20.0
	// shardCount spreads services over locks.
	shardCount = 16
)

// Budget holds the retries that each service has earned by its calls.
type Budget struct {
	seed maphash.Seed
	// burst returns how many retries a service may save up.
	burst  func() float64
	shards [shardCount]shard
}

type shard struct {
	mu     sync.Mutex
	tokens map[string]float64
}

// NewBudget returns a budget in which each service starts with a full burst.
func NewBudget() *Budget { return NewBudgetWithBurst(func() float64 { return defaultBurst }) }

// NewBudgetWithBurst is NewBudget with another burst, which may change.
func NewBudgetWithBurst(burst func() float64) *Budget {
	b := &Budget{seed: maphash.MakeSeed(), burst: burst}
	for i := range b.shards {
		b.shards[i].tokens = map[string]float64{}
	}
	return b
}

func (b *Budget) shard(service string) *shard {
	return &b.shards[maphash.String(b.seed, service)%shardCount]
}

// Deposit counts one call of a service. share is the percentage of its calls
// that may be retries; 0 takes DefaultRetryPercent.
func (b *Budget) Deposit(service string, share float64) {
	if share <= 0 {
		share = DefaultRetryPercent
	}
	s := b.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokens[service] = min(b.burst(), s.tokensLeft(service, b.burst)+share/100)
}

// TryWithdraw spends cost retries of a service; false when it has not enough left.
func (b *Budget) TryWithdraw(service string, cost float64) bool {
	s := b.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	left := s.tokensLeft(service, b.burst)
	if left < cost {
		return false
	}
	s.tokens[service] = left - cost
	return true
}

// left returns a service's tokens; the caller holds mu.
func (s *shard) tokensLeft(service string, burst func() float64) float64 {
	if v, ok := s.tokens[service]; ok {
		return v
	}
	return burst()
}
