package simulator

import (
	"flag"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/daisytide/daisytide/internal/version/canary"
)

var (
	badSeeds      = flag.Int("bad-seeds", 20, "simulations of each bad version")
	onlyRows      = flag.String("only", "", "run only the rows whose name contains this")
	detectorSeeds = flag.Int("rule-seeds", 5, "simulations of each row that detectors are compared by")
	goodSeeds     = flag.Int("good-seeds", 200, "simulations of each good version")
)

func BenchmarkBad(b *testing.B) {
	fmt.Println(BadVersionHeader)
	for _, fault := range Faults {
		for _, onset := range Onsets {
			for _, n := range []int{3, 5, 28} {
				for _, busy := range []bool{true, false} {
					name := fmt.Sprintf("%s, %s, %d, %s", fault, onset, n, TrafficName(busy))
					if !strings.Contains(name, *onlyRows) {
						continue
					}
					row := RunAll(name, Config{Fault: fault, Onset: onset, Upstreams: n, Busy: busy}, *badSeeds)
					fmt.Println(row.BadVersionRow(), row.WrongOutcomes)
				}
			}
		}
	}
}

func BenchmarkGood(b *testing.B) {
	fmt.Println(GoodVersionHeader)
	for _, disturbance := range Disturbances {
		if !strings.Contains(string(disturbance), *onlyRows) {
			continue
		}
		row := RunAll(string(disturbance), Config{Disturbance: disturbance}, *goodSeeds)
		fmt.Println(row.GoodVersionRow(), row.WrongOutcomes)
	}
}

// comparedDetectors lists the detectors that BenchmarkRules compares.
var comparedDetectors = []struct {
	name         string
	newDetector  canary.DetectorFactory
	noGateChecks bool
}{
	{"timed steps, no analysis", func() canary.Detector { return canary.NeverDetect{} }, true},
	{"fixed threshold, 5% of 20 runs", func() canary.Detector { return &canary.FixedThreshold{MaxRate: 0.05, MinRuns: 20} }, true},
	{"proportions, 3 errors in 10 s", func() canary.Detector { return &canary.ProportionTest{MaxStdErrors: 3, WindowSlots: 20} }, true},
	{"proportions, 5 errors in 10 s", func() canary.Detector { return &canary.ProportionTest{MaxStdErrors: 5, WindowSlots: 20} }, true},
	{"CUSUM without gate checks", nil, true},
	{"CUSUM with control", nil, false},
}

func BenchmarkRules(b *testing.B) {
	fmt.Println(DetectorHeader)
	for _, r := range comparedDetectors {
		if !strings.Contains(r.name, *onlyRows) {
			continue
		}
		var bad, good []Row
		for _, fault := range Faults {
			for _, onset := range Onsets {
				for _, busy := range []bool{true, false} {
					c := Config{Fault: fault, Onset: onset, Upstreams: 3, Busy: busy, Detector: r.newDetector, NoGateChecks: r.noGateChecks}
					bad = append(bad, RunAll("", c, *detectorSeeds))
				}
			}
		}
		for _, disturbance := range Disturbances {
			good = append(good, RunAll("", Config{Disturbance: disturbance, Detector: r.newDetector, NoGateChecks: r.noGateChecks}, *detectorSeeds))
		}
		fmt.Println(DetectorRow(r.name, bad, good))
	}
}

// Numbers of seeds of the matrices that run as tests.
const (
	badVersionSeeds  = 2
	goodVersionSeeds = 5
)

// testRow is a row of the bad versions' test matrix.
type testRow struct {
	Row
	busy bool
}

// badVersionRows simulates the matrix of bad versions once for all tests that
// use it.
var badVersionRows = sync.OnceValue(func() []testRow {
	var out []testRow
	for _, fault := range Faults {
		for _, onset := range Onsets {
			for _, busy := range []bool{true, false} {
				name := strings.ReplaceAll(fmt.Sprintf("%s_%s_%s", fault, onset, TrafficName(busy)), " ", "_")
				c := Config{Fault: fault, Onset: onset, Upstreams: 5, Busy: busy}
				out = append(out, testRow{RunAll(name, c, badVersionSeeds), busy})
			}
		}
	}
	return out
})

// skipShort skips a test in short mode, which is used under the race detector.
// Each simulation runs in a single goroutine and would take minutes there.
func skipShort(t *testing.T) {
	if testing.Short() {
		t.Skip("long simulations that run in one goroutine each")
	}
}

func TestEveryBadVersionIsWithdrawn(t *testing.T) {
	skipShort(t)
	for _, row := range badVersionRows() {
		if row.Withdrawn != row.Runs || row.FaultNotShown > 0 {
			t.Errorf("%s: %d of %d withdrawn, fault not shown in %d: %v", row.Name, row.Withdrawn, row.Runs, row.FaultNotShown, row.WrongOutcomes)
		}
	}
}

func TestBusyRouteGetsNoCallsTwoSecondsAfterFault(t *testing.T) {
	skipShort(t)
	for _, row := range badVersionRows() {
		t.Run(row.Name, func(t *testing.T) {
			if row.LateLastCalls > 0 {
				t.Errorf("last call %s after the fault first showed, seed %d", row.LastCall, row.LastCallSeed)
			}
		})
	}
}

func TestFewCallsOfBusyServiceHitFault(t *testing.T) { checkFaultyShare(t, true) }

func TestFewCallsOfQuietServiceHitFault(t *testing.T) { checkFaultyShare(t, false) }

func checkFaultyShare(t *testing.T, busy bool) {
	skipShort(t)
	for _, row := range badVersionRows() {
		if row.busy != busy {
			continue
		}
		t.Run(row.Name, func(t *testing.T) {
			if row.MaxFaultyShare > FaultyShareTarget {
				t.Errorf("%.3f%% of the rollout's calls hit the fault, seed %d", 100*row.MaxFaultyShare, row.MaxFaultySeed)
			}
		})
	}
}

func TestGoodVersionIsDoneInTimeUnderEachDisturbance(t *testing.T) {
	for _, disturbance := range Disturbances {
		if disturbance != AllDisturbances {
			checkDoneInTime(t, disturbance)
		}
	}
}

func TestGoodVersionIsDoneInTimeUnderAllDisturbances(t *testing.T) {
	checkDoneInTime(t, AllDisturbances)
}

func checkDoneInTime(t *testing.T, disturbance Disturbance) {
	t.Helper()
	skipShort(t)
	row := RunAll(string(disturbance), Config{Disturbance: disturbance}, goodVersionSeeds)
	if row.Done-row.Late != row.Runs || row.Withdrawn > 0 {
		t.Errorf("%s: %d of %d done in time, %d withdrawn: %v", disturbance, row.Done-row.Late, row.Runs, row.Withdrawn, row.WrongOutcomes)
	}
}

func TestRunIsDeterministicForSeed(t *testing.T) {
	c := Config{Fault: Slows, Onset: Immediate, Upstreams: 3, Seed: 7, Disturbance: ClockSkew}
	if a, b := Run(c), Run(c); a != b {
		t.Errorf("two runs with the same seed: %+v and %+v", a, b)
	}
}
