package retry

import "testing"

// Every request of a service fails and asks for a repeat, each run makes calls
// to a second service where every call fails too. Whatever the fleet's size,
// both services' repeats must stay within what the fleet may repeat.
func TestRepeatsOfAFleetStayWithinItsRatioAndSlackWithCallsOfRepeatedRuns(t *testing.T) {
	const (
		ratio, slack = 0.2, 190.0
		callsOfARun  = 1.4
		requests     = 10_000
	)
	for _, nodes := range []int{1, 12, 75, 300} {
		f := FleetBudget{Ratio: ratio, Slack: slack, Size: func() int { return nodes }}
		budgets := make([]*Budget, nodes)
		for i := range budgets {
			budgets[i] = NewBudgetWithBurst(f.NodeBurst)
		}
		node := 0
		repeat := func(service string) bool {
			node = (node + 1) % nodes
			budgets[node].Deposit(service, f.NodePercent())
			return budgets[node].TryWithdraw(service, 1)
		}
		var first, second, callsDue float64
		run := func(repeated bool) {
			for callsDue += callsOfARun; callsDue >= 1; callsDue-- {
				if repeated {
					second++
				}
				if repeat("second") {
					second++
				}
			}
		}
		for range requests {
			run(false)
			if repeat("first") {
				first++
				run(true)
			}
		}
		// A node needs one whole repeat to save up: above the slack that adds up
		// to more in a fleet of more nodes, as far as the ratio leaves room.
		floor := float64(nodes)
		if most := ratio*requests + max(slack, floor); first > most {
			t.Errorf("%d nodes: %.0f repeats of the first service, at most %.0f", nodes, first, most)
		}
		if most := ratio*callsOfARun*requests + max(slack, floor); second > most {
			t.Errorf("%d nodes: %.0f repeats of the second service, at most %.0f", nodes, second, most)
		}
	}
}
