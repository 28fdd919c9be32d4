package distribution

import (
	"fmt"
	"os"
	"testing"

	"github.com/daisytide/daisytide/internal/standin/capacity"
	"github.com/daisytide/daisytide/internal/standin/quiet"
)

func TestMain(m *testing.M) {
	quiet.DiscardLogs()
	os.Exit(m.Run())
}

// sizes are the fleets that are measured.
var sizes = []int{25, 50, 100, 200}

// herdNodes is the fleet whose half comes back at once.
const herdNodes = 200

// BenchmarkDistribution measures the product and both baselines at each size
// and prints how each figure grows with the number of nodes.
func BenchmarkDistribution(b *testing.B) {
	for _, kind := range []struct {
		name    string
		measure func(int) (Result, error)
	}{
		{"", MeasureProduct},
		{"baseline-watch/", MeasureWatching},
		{"baseline-flood/", MeasureFlooding},
	} {
		var all []Result
		for _, n := range sizes {
			b.Run(fmt.Sprintf("%snodes=%d", kind.name, n), func(b *testing.B) {
				for b.Loop() {
					r, err := kind.measure(n)
					if err != nil {
						b.Fatal(err)
					}
					report(b, r)
					all = append(all, r)
				}
			})
		}
		slopes(kind.name, all)
	}
}

var figures = []struct {
	unit string
	of   func(Result) float64
}{
	{"converge_ms_p50", func(r Result) float64 { return r.ConvergeP50 }},
	{"converge_ms_p99", func(r Result) float64 { return r.ConvergeP99 }},
	{"B/node/s_rest", func(r Result) float64 { return r.BytesRest }},
	{"B/node/s_churn", func(r Result) float64 { return r.BytesChurn }},
	{"B/node/change", func(r Result) float64 { return r.BytesChange }},
	{"cpu_%/node_rest", func(r Result) float64 { return r.CPURest }},
	{"cpu_%/node_churn", func(r Result) float64 { return r.CPUChurn }},
	{"cpu_%/node_change", func(r Result) float64 { return r.CPUChange }},
	{"MB/node", func(r Result) float64 { return r.MemoryMB }},
	{"store_calls/s_rest", func(r Result) float64 { return r.StoreRest }},
	{"store_calls/change", func(r Result) float64 { return r.StoreChange }},
	{"msgs/node/s_rest", func(r Result) float64 { return r.MessagesRest }},
}

func report(b *testing.B, r Result) {
	for _, f := range figures {
		b.ReportMetric(f.of(r), f.unit)
	}
}

func slopes(name string, all []Result) {
	if len(all) < 2 {
		return
	}
	for _, f := range figures {
		var points []capacity.Point
		for _, r := range all {
			points = append(points, capacity.Point{X: float64(r.Nodes), Y: f.of(r)})
		}
		line := capacity.Fit(points)
		fmt.Printf("slope %s%-20s %+.5f per node, %.2f at 1000 nodes\n", name, f.unit, line.Slope, line.At(1000))
	}
}

// BenchmarkHerd brings half of the nodes back at once.
func BenchmarkHerd(b *testing.B) {
	for b.Loop() {
		h, err := MeasureHerd(herdNodes)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(h.Seconds, "in_force_s")
		b.ReportMetric(h.PeakAccepts, "peak_accepts/s")
		b.ReportMetric(h.PeakStoreCalls, "peak_store_calls/s")
		b.ReportMetric(float64(h.Refused), "refused")
	}
}
