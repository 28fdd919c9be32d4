package retry

// Fractions of the fleet's retry allowance that its nodes use.
const (
	// nodeRatioFraction and nodeSlackFraction leave room for the calls that a
	// repeated run makes: they count as retries at the services called. With
	// one level of nested calls and a retry ratio r at each level, the retries
	// at the called service are r + r + r*r of its requests. 0.45 of a ratio of
	// 0.2 is an r of 0.09, which gives 0.19.
	nodeRatioFraction = 0.45
	nodeSlackFraction = 0.4
	// defaultFleetSize is the assumed size of a fleet whose members are not
	// known yet.
	defaultFleetSize = 12
)

// FleetBudget bounds the retries of a service over all nodes together.
type FleetBudget struct {
	// Ratio is the maximum ratio of retries to requests of a service, and Slack
	// the number of retries allowed beyond it, both over the whole fleet.
	Ratio, Slack float64
	// Size returns the number of known nodes.
	Size func() int
}

// NodePercent is the percentage of a service's requests that one node may
// retry.
func (f FleetBudget) NodePercent() float64 { return 100 * nodeRatioFraction * f.Ratio }

// NodeBurst is the number of retries of a service that one node may accumulate:
// its part of the slack, by fleet size, but at least one.
func (f FleetBudget) NodeBurst() float64 {
	n := f.Size()
	if n <= 1 {
		n = defaultFleetSize
	}
	return max(1, nodeSlackFraction*f.Slack/float64(n))
}
