package capacity

// The target's sizes and rates.
const (
	targetNodes       = 1000
	targetServices    = 36
	targetCalls       = 150_000.0
	targetDataCentres = 9
	targetChanges     = 1000.0 // a day
	targetFailed      = 2.0    // hosts a day
	targetReplaced    = 61.0   // hosts a day
)

// The target's bounds.
const (
	boundProcessorShare = 4.7    // percent of a core, for control
	boundMemoryMB       = 64.0   // per node
	boundBytes          = 11_000 // control bytes per node and second
	boundAddedMS        = 0.85   // milliseconds added to a call for 99 in 100
	boundConvergeMS     = 4000.0 // from accepted to in force everywhere
	boundStoreReads     = 2000.0 // reads per second that the store takes
	boundStoreWrites    = 300.0  // writes per second that the store takes
)

const secondsPerDay = 86_400.0

// churnAtTarget is the rate of changes of member records that is allowed for,
// per second in the whole fleet.
const churnAtTarget = 5.0

// Row is one line of the closing table.
type ResultRow struct {
	Target string
	Bound  float64
	Unit   string
	// WorkedOut is the line's value at the target; WithSpread allows for the
	// spread of the measured points.
	Estimate      float64
	UpperEstimate float64
	Source        string
}

// Room is the part of the bound that is left, in percent; negative is red.
func (r ResultRow) Headroom() float64 { return 100 * (1 - r.UpperEstimate/r.Bound) }

// Slopes are the fitted lines of a node's costs over the number of nodes.
type CostLines struct {
	RestCPU   Line // percent of a core
	RestBytes Line // bytes per second
	RestStore Line // calls per second of the fleet
	// ChurnProcessor and ChurnBytes are what one change of a member record
	// per second in the fleet adds.
	ChurnCPU   Line
	ChurnBytes Line
	// ChangeProcessor (core seconds) and ChangeBytes are of one document.
	ChangeCPU   Line
	ChangeBytes Line
	ChangeStore Line // calls of the whole fleet
	RestMemory  Line // resident megabytes at rest
	PeerMemory  Line // resident megabytes that calls with all other nodes add
	CallCPU     Line // core microseconds of one call, entry and gate together
}

// fullFrom is the smallest fleet that lines are fitted from. Below it nodes
// have fewer links than they want, since a data centre has few nodes to choose
// from, so that costs rise for another reason than the number of nodes.
const fullFrom = 100

// targetPeers is the number of nodes that an entry calls while its own data
// centre takes its calls.
const targetPeers = targetNodes / targetDataCentres

// fitAll fits each cost over the fleet sizes.
func fitAll(all []Measurement) CostLines {
	over := func(y func(Measurement) float64) Line {
		var points []Point
		for _, m := range all {
			if m.Nodes < fullFrom && len(all) > 2 {
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
		ChurnCPU:  over(func(m Measurement) float64 { return (m.Churn.CPUPercent - m.Rest.CPUPercent) / churnEvents }),
		ChurnBytes: over(func(m Measurement) float64 {
			return (m.Churn.ControlBytesPerSecond - m.Rest.ControlBytesPerSecond) / churnEvents
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

// rows works the slopes out at the target.
func (s CostLines) rows(b BenchSummary) []ResultRow {
	changeRate := targetChanges / secondsPerDay
	sum := func(at func(Line) float64, rest, churn, change Line) float64 {
		return at(rest) + churnAtTarget*at(churn) + changeRate*at(change)
	}
	line := func(l Line) float64 { return l.At(targetNodes) }
	wide := func(l Line) float64 { return l.UpperBound(targetNodes) }
	percent := scale(s.ChangeCPU, 100)
	return []ResultRow{
		{"processor time for control", boundProcessorShare, "% of a core",
			sum(line, s.RestCPU, s.ChurnCPU, percent),
			sum(wide, s.RestCPU, s.ChurnCPU, percent), "processes"},
		{"memory of a node", boundMemoryMB, "MB",
			line(s.RestMemory) + s.PeerMemory.At(targetPeers),
			wide(s.RestMemory) + s.PeerMemory.UpperBound(targetPeers), "processes"},
		{"control bytes of a node", boundBytes, "B/s",
			sum(line, s.RestBytes, s.ChurnBytes, s.ChangeBytes),
			sum(wide, s.RestBytes, s.ChurnBytes, s.ChangeBytes), "processes"},
		{"store calls of the fleet", boundStoreReads, "calls/s",
			sum(line, s.RestStore, Line{}, s.ChangeStore),
			sum(wide, s.RestStore, Line{}, s.ChangeStore), "processes"},
		{"time until in force everywhere", boundConvergeMS, "ms",
			b.Converge.At(targetNodes), b.Converge.UpperBound(targetNodes), "one process"},
		{"time added to a call, 99 in 100", boundAddedMS, "ms", b.AddedP99, b.AddedP99, "one process"},
	}
}

func scale(l Line, by float64) Line {
	l.Intercept *= by
	l.Slope *= by
	l.RMSE *= by
	return l
}
