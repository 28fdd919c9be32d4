package capacity

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"
)

// Options configures a measurement.
type Options struct {
	// Binary is the path of the daisytided executable.
	Binary string
	// Sizes are the numbers of processes, in ascending order.
	Sizes []int
	// Benchmarks also runs the benchmarks of Packages, which keep their whole fleet
	// in one process.
	Benchmarks bool
	Packages   []string
	// Progress receives a line per phase, Tables the result tables.
	Progress, Tables io.Writer
}

// runTimeout limits the whole measurement.
const runTimeout = 10 * time.Minute

// Values of -benchtime of the benchmarks.
const (
	distributionBenchTime = "1x"
	addedLatencyBenchTime = "1x"
)

// Run measures all fleet sizes, fits the cost lines and prints the tables.
func Run(ctx context.Context, o Options) error {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	var all []Measurement
	for _, n := range o.Sizes {
		m, err := inTempDir(func(dir string) (Measurement, error) { return measureFleet(ctx, o.Binary, dir, n, o.Progress) })
		if err != nil {
			return fmt.Errorf("%d nodes: %w", n, err)
		}
		if m.CallsFailed > 0 {
			fmt.Fprintf(o.Progress, "%d nodes: %d of %d calls failed\n", n, m.CallsFailed, m.CallCount)
		}
		all = append(all, m)
	}
	b, err := benchmarks(ctx, o)
	if err != nil {
		return err
	}
	lines := fitCosts(all)
	printPhases(o.Tables, all)
	printFaults(o.Tables, all)
	printLines(o.Tables, lines, b)
	printBench(o.Tables, b.Results)
	printResults(o.Tables, lines.resultRows(b))
	return nil
}

func inTempDir(fn func(dir string) (Measurement, error)) (Measurement, error) {
	dir, err := os.MkdirTemp("", "daisytide-capacity-")
	if err != nil {
		return Measurement{}, fmt.Errorf("create a temporary directory: %w", err)
	}
	defer os.RemoveAll(dir)
	return fn(dir)
}

func benchmarks(ctx context.Context, o Options) (BenchSummary, error) {
	var b BenchSummary
	if !o.Benchmarks {
		return b, nil
	}
	distribution, err := runBench(ctx, distributionBench, distributionBenchTime, o.Packages...)
	if err != nil {
		return b, err
	}
	added, err := runBench(ctx, addedLatencyBench, addedLatencyBenchTime, o.Packages...)
	if err != nil {
		return b, err
	}
	b.Converge = convergeLine(distribution)
	for _, r := range added {
		b.AddedP99 = max(b.AddedP99, r.Metrics[addedLatencyMetric])
	}
	b.Results = append(distribution, added...)
	return b, nil
}
