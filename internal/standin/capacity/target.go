package capacity

// Sizes and rates of the target fleet.
const (
	targetNodes         = 1000
	targetServices      = 36
	targetCalls         = 150_000.0
	targetDataCentres   = 9
	targetChanges       = 1000.0 // a day
	targetFailedHosts   = 2.0    // hosts a day
	targetReplacedHosts = 61.0   // hosts a day
)

// Limits that must hold at the target size.
const (
	maxCPUPercent     = 4.7    // percent of a core, for control
	maxMemoryMB       = 64.0   // per node
	maxControlBytes   = 11_000 // control bytes per node and second
	maxAddedLatencyMS = 0.85   // milliseconds added to a call for 99 in 100
	maxConvergeMS     = 4000.0 // from accepted to in force everywhere
	maxStoreReads     = 2000.0 // reads per second that the store takes
	maxStoreWrites    = 300.0  // writes per second that the store takes
)

const secondsPerDay = 86_400.0

// targetChurn is the assumed rate of member record changes in the whole fleet, per
// second.
const targetChurn = 5.0

// ResultRow is one line of the table of results.
type ResultRow struct {
	Target string
	Bound  float64
	Unit   string
	// Estimate is the fitted value at the target size; UpperEstimate allows for the
	// scatter of the measured points.
	Estimate      float64
	UpperEstimate float64
	Source        string
}

// Headroom returns the unused part of the bound in percent. It is negative when the
// bound is exceeded.
func (r ResultRow) Headroom() float64 { return 100 * (1 - r.UpperEstimate/r.Bound) }

// CostLines holds the fitted lines of a node's costs over the number of nodes.
type CostLines struct {
	RestCPU   Line // percent of a core
	RestBytes Line // bytes per second
	RestStore Line // calls per second of the fleet
	// ChurnCPU and ChurnBytes are the costs that one member record change per
	// second in the fleet adds.
	ChurnCPU   Line
	ChurnBytes Line
	// ChangeCPU (core seconds) and ChangeBytes are the costs of one document.
	ChangeCPU   Line
	ChangeBytes Line
	ChangeStore Line // calls of the whole fleet
	RestMemory  Line // resident megabytes at rest
	PeerMemory  Line // resident megabytes that calls with all other nodes add
	CallCPU     Line // core microseconds of one call, entry and gate together
}

// minFittedNodes is the smallest fleet that lines are fitted to. In smaller ones
// nodes have fewer links than configured, since a data centre has few nodes to
// choose from, so that costs rise for another reason than the number of nodes.
const minFittedNodes = 100

// targetPeers is the number of nodes that an entry calls while its own data centre
// serves its calls.
const targetPeers = targetNodes / targetDataCentres

// fitCosts fits a line to each cost over the fleet sizes.
func fitCosts(all []Measurement) CostLines {
	over := func(y func(Measurement) float64) Line {
		var points []Point
		for _, m := range all {
			if m.Nodes < minFittedNodes && len(all) > 2 {
				continue
			}
			points = append(points, Point{X: float64(m.Nodes), Y: y(m)})
		}
		return Fit(points)
	}
	return CostLines{
		RestCPU:   over(func(m Measurement) float64 { return m.Rest.CPUPercent }),
		RestBytes: over(func(m Measurement) float64 { return m.Rest.ControlBytesPerSecond }),
		RestStore: over(func(m Measurement) float64 { return m.Rest.StoreCallsPerSecond }),
		ChurnCPU:  over(func(m Measurement) float64 { return (m.Churn.CPUPercent - m.Rest.CPUPercent) / churnPerSecond }),
		ChurnBytes: over(func(m Measurement) float64 {
			return (m.Churn.ControlBytesPerSecond - m.Rest.ControlBytesPerSecond) / churnPerSecond
		}),
		ChangeCPU: over(func(m Measurement) float64 {
			return (m.Changes.CPUPercent - m.Rest.CPUPercent) / 100 * m.Changes.Seconds / changeCount
		}),
		ChangeBytes: over(func(m Measurement) float64 {
			return (m.Changes.ControlBytesPerSecond - m.Rest.ControlBytesPerSecond) * m.Changes.Seconds / changeCount
		}),
		ChangeStore: over(func(m Measurement) float64 {
			return (m.Changes.StoreCallsPerSecond - m.Rest.StoreCallsPerSecond) * m.Changes.Seconds / changeCount
		}),
		RestMemory: over(func(m Measurement) float64 { return m.Rest.ResidentMB }),
		PeerMemory: over(func(m Measurement) float64 { return m.Calls.ResidentMB - m.Rest.ResidentMB }),
		CallCPU: over(func(m Measurement) float64 {
			cores := (m.Calls.CPUPercent - m.Rest.CPUPercent) / 100 * float64(m.Nodes)
			return 1e6 * cores * m.Calls.Seconds / float64(max(m.CallCount, 1))
		}),
	}
}

// resultRows evaluates the lines at the target size.
func (s CostLines) resultRows(b BenchSummary) []ResultRow {
	changeRate := targetChanges / secondsPerDay
	total := func(at func(Line) float64, rest, churn, change Line) float64 {
		return at(rest) + targetChurn*at(churn) + changeRate*at(change)
	}
	estimate := func(l Line) float64 { return l.At(targetNodes) }
	upper := func(l Line) float64 { return l.UpperBound(targetNodes) }
	changePercent := scale(s.ChangeCPU, 100)
	return []ResultRow{
		{"processor time for control", maxCPUPercent, "% of a core",
			total(estimate, s.RestCPU, s.ChurnCPU, changePercent),
			total(upper, s.RestCPU, s.ChurnCPU, changePercent), "processes"},
		{"memory of a node", maxMemoryMB, "MB",
			estimate(s.RestMemory) + s.PeerMemory.At(targetPeers),
			upper(s.RestMemory) + s.PeerMemory.UpperBound(targetPeers), "processes"},
		{"control bytes of a node", maxControlBytes, "B/s",
			total(estimate, s.RestBytes, s.ChurnBytes, s.ChangeBytes),
			total(upper, s.RestBytes, s.ChurnBytes, s.ChangeBytes), "processes"},
		{"store calls of the fleet", maxStoreReads, "calls/s",
			total(estimate, s.RestStore, Line{}, s.ChangeStore),
			total(upper, s.RestStore, Line{}, s.ChangeStore), "processes"},
		{"time until in force everywhere", maxConvergeMS, "ms",
			b.Converge.At(targetNodes), b.Converge.UpperBound(targetNodes), "one process"},
		{"time added to a call, 99 in 100", maxAddedLatencyMS, "ms", b.AddedP99, b.AddedP99, "one process"},
	}
}

func scale(l Line, by float64) Line {
	l.Intercept *= by
	l.Slope *= by
	l.RMSE *= by
	return l
}
