package capacity

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
)

// Benchmarks that the tables are computed from: distribution without its
// baselines, and calls at up to half of capacity, where none waits for a slot.
const (
	distributionBench = "BenchmarkDistribution/^nodes="
	addedLatencyBench = "BenchmarkAddedTime/use-0"
)

// Metrics read from the benchmarks.
const (
	convergeMetric     = "converge_ms_p99"
	addedLatencyMetric = "added-p99-window-ms"
)

// BenchResult is one line of output of `go test -bench`.
type BenchResult struct {
	Name    string
	Metrics map[string]float64
}

// BenchSummary is the result of the benchmarks that run in one process.
type BenchSummary struct {
	// Converge is the time, in milliseconds, from a document's acceptance until it
	// is in force on the last node, over the number of nodes.
	Converge Line
	// AddedP99 is the time, in milliseconds, added to a call at the 99th
	// percentile: 99 in 100 calls take at most this much longer than 99 in 100
	// direct calls do. It is the largest value over the measured loads. The value of
	// a load is the median over several windows, so that a pause of the machine
	// distorts only one of them.
	AddedP99 float64
	Results  []BenchResult
}

// parseBench parses the output of `go test -bench`.
func parseBench(text []byte) []BenchResult {
	var out []BenchResult
	lines := bufio.NewScanner(bytes.NewReader(text))
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) < 4 || !strings.HasPrefix(fields[0], "Benchmark") {
			continue
		}
		r := BenchResult{Name: fields[0], Metrics: map[string]float64{}}
		for i := 2; i+1 < len(fields); i += 2 {
			v, err := strconv.ParseFloat(fields[i], 64)
			if err == nil {
				r.Metrics[fields[i+1]] = v
			}
		}
		out = append(out, r)
	}
	return out
}

// runBench runs the benchmarks that match pattern in packages.
func runBench(ctx context.Context, pattern string, benchTime string, packages ...string) ([]BenchResult, error) {
	args := append([]string{"test", "-run", "^$", "-bench", pattern, "-benchmem", "-benchtime", benchTime}, packages...)
	cmd := exec.CommandContext(ctx, "go", args...)
	out, err := cmd.CombinedOutput()
	if err != nil {
		return nil, fmt.Errorf("go %s: %w\n%s", strings.Join(args, " "), err, out)
	}
	return parseBench(out), nil
}

var nodesInName = regexp.MustCompile(`(?:nodes|N|n)=(\d+)`)

// convergeLine fits a line through the convergence times of the distribution
// benchmark.
func convergeLine(results []BenchResult) Line {
	var points []Point
	for _, r := range results {
		m := nodesInName.FindStringSubmatch(r.Name)
		y, ok := r.Metrics[convergeMetric]
		if m == nil || !ok || strings.Contains(r.Name, "baseline") {
			continue
		}
		n, err := strconv.ParseFloat(m[1], 64)
		if err == nil && n >= minFittedNodes {
			points = append(points, Point{X: n, Y: y})
		}
	}
	return Fit(points)
}
