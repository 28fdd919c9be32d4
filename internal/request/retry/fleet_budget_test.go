package retry

import "testing"

// Every request of a service fails and is retried, and each run makes calls to
// a second service where every call fails too. For any fleet size, both
// services' retries must stay within the fleet's allowance.
func TestFleetRetriesStayWithinRatioAndSlackWithNestedCalls(t *testing.T) {
	const (
		ratio, slack = 0.2, 190.0
		callsPerRun  = 1.4
		requests     = 10_000
	)
	for _, nodes := range []int{1, 12, 75, 300} {
		f := FleetBudget{Ratio: ratio, Slack: slack, Size: func() int { return nodes }}
		budgets := make([]*Budget, nodes)
		for i := range budgets {
			budgets[i] = NewBudgetWithBurst(f.NodeBurst)
		}
		node := 0
		tryRetry := func(service string) bool {
			node = (node + 1) % nodes
			budgets[node].Deposit(service, f.NodePercent())
			return budgets[node].TryWithdraw(service, 1)
		}
		var first, second, callsDue float64
		run := func(repeated bool) {
			for callsDue += callsPerRun; callsDue >= 1; callsDue-- {
				if repeated {
					second++
				}
				if tryRetry("second") {
					second++
				}
			}
		}
		for range requests {
			run(false)
			if tryRetry("first") {
				first++
				run(true)
			}
		}
		// A node's burst is at least one whole retry. In a fleet of many nodes
		// this adds up to more than the slack, as far as the ratio leaves room.
		floor := float64(nodes)
		if limit := ratio*requests + max(slack, floor); first > limit {
			t.Errorf("%d nodes: %.0f retries of the first service, want at most %.0f", nodes, first, limit)
		}
		if limit := ratio*callsPerRun*requests + max(slack, floor); second > limit {
			t.Errorf("%d nodes: %.0f retries of the second service, want at most %.0f", nodes, second, limit)
		}
	}
}
