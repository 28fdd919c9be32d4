package capacity

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"
)

// Options of a measurement.
type Options struct {
	// Binary is the daisytided to start.
	Binary string
	// Sizes are the numbers of processes, in rising order.
	Sizes []int
	// Benchmarks tells whether to run the benchmarks in one process too.
	Benchmarks bool
	// Packages hold the benchmarks.
	Packages []string
	// Progress receives a line per phase, Tables the page's tables.
	Progress, Tables io.Writer
}

// runLimit bounds the whole measurement.
const runLimit = 10 * time.Minute

// distributionRuns and addedRuns are the -benchtime of the benchmarks.
const (
	distributionRuns = "1x"
	addedRuns        = "1x"
)

// Run measures, fits and prints.
func Run(ctx context.Context, o Options) error {
	ctx, cancel := context.WithTimeout(ctx, runLimit)
	defer cancel()
	var all []Measurement
	for _, n := range o.Sizes {
		m, err := inTempDir(func(dir string) (Measurement, error) { return measure(ctx, o.Binary, dir, n, o.Progress) })
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
	slopes := fitAll(all)
	printMeasured(o.Tables, all)
	printFaults(o.Tables, all)
	printSlopes(o.Tables, slopes, b)
	printBench(o.Tables, b.Results)
	printRows(o.Tables, slopes.rows(b))
	return nil
}

func inTempDir(fn func(dir string) (Measurement, error)) (Measurement, error) {
	dir, err := os.MkdirTemp("", "daisytide-capacity-")
	if err != nil {
		return Measurement{}, fmt.Errorf("make a folder: %w", err)
	}
	defer os.RemoveAll(dir)
	return fn(dir)
}

func benchmarks(ctx context.Context, o Options) (BenchSummary, error) {
	var b BenchSummary
	if !o.Benchmarks {
		return b, nil
	}
	spread, err := runBench(ctx, distributionBench, distributionRuns, o.Packages...)
	if err != nil {
		return b, err
	}
	added, err := runBench(ctx, addedBench, addedRuns, o.Packages...)
	if err != nil {
		return b, err
	}
	b.Converge = convergeLine(spread)
	for _, r := range added {
		b.AddedP99 = max(b.AddedP99, r.Metrics[addedMetric])
	}
	b.Results = append(spread, added...)
	return b, nil
}
