package retry

// Parts of what a fleet may repeat that its nodes use.
const (
	// ratioPart and slackPart leave room for what a repeated run brings with
	// it: the calls that it makes count as repeats at the services called. At
	// one level of calls the repeats there are r + r + r*r of the requests, for
	// a part r of each level; 0.45 of a ratio of 0.2 gives 0.19.
	nodeRatioFraction = 0.45
	nodeSlackFraction = 0.4
	// sizeUnknown is the size of a fleet whose members are not known yet.
	defaultFleetSize = 12
)

// FleetBudget bounds the repeats of a service over all nodes together.
type FleetBudget struct {
	// Ratio is the part of a service's requests that may be repeats, and Slack
	// how many may come beyond it, both over the whole fleet.
	Ratio, Slack float64
	// Size returns the number of nodes that are known.
	Size func() int
}

// NodePercent is the percentage of a service's requests that one node may repeat.
func (f FleetBudget) NodePercent() float64 { return 100 * nodeRatioFraction * f.Ratio }

// NodeBurst is how many repeats of a service one node may save up: its part of the
// slack, by the size of the fleet, and one at least.
func (f FleetBudget) NodeBurst() float64 {
	n := f.Size()
	if n <= 1 {
		n = defaultFleetSize
	}
	return max(1, nodeSlackFraction*f.Slack/float64(n))
}
