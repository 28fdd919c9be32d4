package capacity

import (
	"fmt"
	"io"
	"sort"
	"strings"
)

// printPhases writes the costs of each phase at each fleet size.
func printPhases(w io.Writer, all []Measurement) {
	fmt.Fprintln(w, "\n| nodes | phase | % of a core per node | control B/s per node | resident MB | heap MB | store calls/s of the fleet | links |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|")
	for _, m := range all {
		for _, p := range []struct {
			name string
			r    Rates
		}{{"rest", m.Rest}, {"churn", m.Churn}, {"changes", m.Changes}, {"first calls", m.FirstCalls}, {"calls", m.Calls}} {
			fmt.Fprintf(w, "| %d | %s | %.2f | %.0f | %.1f | %.1f | %.2f | %.1f |\n", m.Nodes, p.name,
				p.r.CPUPercent, p.r.ControlBytesPerSecond, p.r.ResidentMB, p.r.HeapMB, p.r.StoreCallsPerSecond, p.r.Links)
		}
	}
}

// printLines writes the fitted lines.
func printLines(w io.Writer, s CostLines, b BenchSummary) {
	fmt.Fprintln(w, "\n| cost of one node | unit | intercept | slope per node | spread | measured at nodes | at 1,000 | with spread |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|")
	for _, r := range []struct {
		name, unit string
		l          Line
	}{
		{"at rest, processor", "% of a core", s.RestCPU},
		{"at rest, control bytes", "B/s", s.RestBytes},
		{"at rest, store (fleet)", "calls/s", s.RestStore},
		{"a record changed each second, processor", "% of a core", s.ChurnCPU},
		{"a record changed, control bytes", "B", s.ChurnBytes},
		{"a document, processor", "core s", s.ChangeCPU},
		{"a document, control bytes", "B", s.ChangeBytes},
		{"a document, store (fleet)", "calls", s.ChangeStore},
		{"memory at rest", "MB resident", s.RestMemory},
		{"memory that calls with all other nodes add", "MB resident", s.PeerMemory},
		{"a call, entry and gate together", "core µs", s.CallCPU},
		{"in force on the last node, 99 in 100", "ms", b.Converge},
	} {
		l := r.l
		fmt.Fprintf(w, "| %s | %s | %.4g | %.4g | %.3g | %.0f to %.0f | %.4g | %.4g |\n",
			r.name, r.unit, l.Intercept, l.Slope, l.RMSE, l.MinX, l.MaxX, l.At(targetNodes), l.UpperBound(targetNodes))
	}
}

// printFaults writes the costs of hosts that fail and rejoin.
func printFaults(w io.Writer, all []Measurement) {
	fmt.Fprintln(w, "\n| nodes | one killed, dropped by all after s | replaced, in force after s | bytes of the joiner | data centre killed, dropped after s | its return, in force after s | store calls meanwhile |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|")
	for _, m := range all {
		f := m.Faults
		fmt.Fprintf(w, "| %d | %.1f | %.1f | %.0f | %.1f | %.1f | %.0f |\n", m.Nodes,
			f.GoneSeconds, f.JoinSeconds, f.JoinBytes, f.CentreGoneSeconds, f.HerdSeconds, f.HerdStoreCalls)
	}
}

// printResults writes the table of results at the target size.
func printResults(w io.Writer, rows []ResultRow) {
	fmt.Fprintln(w, "\n| target | bound | worked out | with spread | room | measured by |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|")
	for _, r := range rows {
		headroom := fmt.Sprintf("%.0f%%", r.Headroom())
		if r.Headroom() < 0 {
			headroom = "RED " + headroom
		}
		fmt.Fprintf(w, "| %s | %.4g %s | %.4g | %.4g | %s | %s |\n",
			r.Target, r.Bound, r.Unit, r.Estimate, r.UpperEstimate, headroom, r.Source)
	}
}

// printBench writes the metrics of the benchmarks.
func printBench(w io.Writer, results []BenchResult) {
	fmt.Fprintln(w, "\n| benchmark | metrics |")
	fmt.Fprintln(w, "|---|---|")
	for _, r := range results {
		var parts []string
		for k, v := range r.Metrics {
			parts = append(parts, fmt.Sprintf("%s %.4g", k, v))
		}
		sort.Strings(parts)
		fmt.Fprintf(w, "| %s | %s |\n", r.Name, strings.Join(parts, ", "))
	}
}
