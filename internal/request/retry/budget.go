// Package retry decides whether a call is retried, and bounds the retries per
// service. Package ingress has rules of its own and uses only the budgets.
package retry

import (
	"hash/maphash"
	"sync"
)

// Parameters of the budget.
const (
	// DefaultRetryPercent is the percentage of calls that may be retries if the
	// document sets none.
	DefaultRetryPercent = 10.0
	// defaultBurst is the number of retries that a service may accumulate.
	defaultBurst = 20.0
	// shardCount is the number of locks that services are distributed over.
	shardCount = 16
)

// Budget is a token bucket per service: each call deposits a fraction of a
// retry, each retry withdraws one.
type Budget struct {
	seed maphash.Seed
	// burst returns the number of retries that a service may accumulate.
	burst  func() float64
	shards [shardCount]shard
}

type shard struct {
	mu     sync.Mutex
	tokens map[string]float64
}

// NewBudget returns a budget in which each service starts with a full bucket.
func NewBudget() *Budget { return NewBudgetWithBurst(func() float64 { return defaultBurst }) }

// NewBudgetWithBurst is NewBudget with another burst, which may change over
// time.
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

// Deposit counts one call of a service. percent is the percentage of its calls
// that may be retries; 0 means DefaultRetryPercent.
func (b *Budget) Deposit(service string, percent float64) {
	if percent <= 0 {
		percent = DefaultRetryPercent
	}
	s := b.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokens[service] = min(b.burst(), s.tokensLeft(service, b.burst)+percent/100)
}

// TryWithdraw withdraws cost retries of a service; false means that too few are
// left.
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

// tokensLeft returns a service's tokens; the caller holds mu.
func (s *shard) tokensLeft(service string, burst func() float64) float64 {
	if v, ok := s.tokens[service]; ok {
		return v
	}
	return burst()
}
