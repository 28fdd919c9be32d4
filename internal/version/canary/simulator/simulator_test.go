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
	badSeeds  = flag.Int("bad-seeds", 20, "plays of each bad version")
	onlyRows  = flag.String("only", "", "play only the rows whose name holds this")
	ruleSeeds = flag.Int("rule-seeds", 5, "plays of each row that rules are compared by")
	goodSeeds = flag.Int("good-seeds", 200, "plays of each good version")
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
	for _, trouble := range Disturbances {
		if !strings.Contains(string(trouble), *onlyRows) {
			continue
		}
		row := RunAll(string(trouble), Config{Disturbance: trouble}, *goodSeeds)
		fmt.Println(row.GoodVersionRow(), row.WrongOutcomes)
	}
}

// rules are the ways weighed.
var comparedDetectors = []struct {
	name   string
	rule   canary.DetectorFactory
	noGate bool
}{
	{"timed steps, no verdict", func() canary.Detector { return canary.NeverDetect{} }, true},
	{"fixed threshold, 5% of 20 runs", func() canary.Detector { return &canary.FixedThreshold{MaxRate: 0.05, MinRuns: 20} }, true},
	{"proportions, 3 errors in 10 s", func() canary.Detector { return &canary.ProportionTest{MaxStdErrors: 3, WindowSlots: 20} }, true},
	{"proportions, 5 errors in 10 s", func() canary.Detector { return &canary.ProportionTest{MaxStdErrors: 5, WindowSlots: 20} }, true},
	{"CUSUM without the gate's part", nil, true},
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
					c := Config{Fault: fault, Onset: onset, Upstreams: 3, Busy: busy, Detector: r.rule, NoGateChecks: r.noGate}
					bad = append(bad, RunAll("", c, *ruleSeeds))
				}
			}
		}
		for _, trouble := range Disturbances {
			good = append(good, RunAll("", Config{Disturbance: trouble, Detector: r.rule, NoGateChecks: r.noGate}, *ruleSeeds))
		}
		fmt.Println(DetectorRow(r.name, bad, good))
	}
}

// The seeds of the matrices that run as tests.
const (
	badVersionSeeds  = 2
	goodVersionSeeds = 5
)

// badRow is a row of the matrix that runs as a test.
type testRow struct {
	Row
	busy bool
}

// badRows plays that matrix once for all tests that read it.
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

// skipShort keeps plays from the race detector, under which they take minutes;
// each runs in one goroutine.
func skipShort(t *testing.T) {
	if testing.Short() {
		t.Skip("plays run in one goroutine each and are long")
	}
}

func TestEveryBadVersionIsTakenBack(t *testing.T) {
	skipShort(t)
	for _, row := range badVersionRows() {
		if row.Withdrawn != row.Runs || row.FaultNotShown > 0 {
			t.Errorf("%s: %d of %d taken back, %d never showed: %v", row.Name, row.Withdrawn, row.Runs, row.FaultNotShown, row.WrongOutcomes)
		}
	}
}

func TestNoCallGoesToABadVersionTwoSecondsAfterItShowsOnABusyRoute(t *testing.T) {
	skipShort(t)
	for _, row := range badVersionRows() {
		t.Run(row.Name, func(t *testing.T) {
			if row.LateLastCalls > 0 {
				t.Errorf("last call %s after the first showing, seed %d", row.LastCall, row.LastCallSeed)
			}
		})
	}
}

func TestFewCallsOfABusyServiceMeetAFault(t *testing.T) { checkFaultyShare(t, true) }

func TestFewCallsOfAQuietServiceMeetAFault(t *testing.T) { checkFaultyShare(t, false) }

func checkFaultyShare(t *testing.T, busy bool) {
	skipShort(t)
	for _, row := range badVersionRows() {
		if row.busy != busy {
			continue
		}
		t.Run(row.Name, func(t *testing.T) {
			if row.MaxFaultyShare > FaultyShareTarget {
				t.Errorf("%.3f%% of the move's calls met the fault, seed %d", 100*row.MaxFaultyShare, row.MaxFaultySeed)
			}
		})
	}
}

func TestGoodVersionsAreDoneInTimeWhateverHappensAround(t *testing.T) {
	for _, trouble := range Disturbances {
		if trouble != AllDisturbances {
			checkDoneInTime(t, trouble)
		}
	}
}

func TestGoodVersionsAreDoneInTimeWhenAllHappensAtOnce(t *testing.T) {
	checkDoneInTime(t, AllDisturbances)
}

func checkDoneInTime(t *testing.T, trouble Disturbance) {
	t.Helper()
	skipShort(t)
	row := RunAll(string(trouble), Config{Disturbance: trouble}, goodVersionSeeds)
	if row.Done-row.Late != row.Runs || row.Withdrawn > 0 {
		t.Errorf("%s: %d of %d done in time, %d taken back: %v", trouble, row.Done-row.Late, row.Runs, row.Withdrawn, row.WrongOutcomes)
	}
}

func TestAPlayGivesTheSameEndForTheSameSeed(t *testing.T) {
	c := Config{Fault: Slows, Onset: Immediate, Upstreams: 3, Seed: 7, Disturbance: ClockSkew}
	if a, b := Run(c), Run(c); a != b {
		t.Errorf("%+v and %+v", a, b)
	}
}
