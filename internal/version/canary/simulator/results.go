package simulator

import (
	"fmt"
	"runtime"
	"sync"
	"time"
)

// Row summarizes the simulations of one configuration over many seeds.
type Row struct {
	Name      string
	Runs      int
	Done      int
	Withdrawn int
	Late      int
	// FaultNotShown counts simulations in which no call hit the fault.
	FaultNotShown int
	LastCall      time.Duration
	// LateLastCalls counts simulations of busy services whose last call came
	// more than LastCallTarget after the fault first showed.
	LateLastCalls int
	// MaxFaultyShare and FaultyShareSum are the largest value and the sum of
	// the shares of calls that hit the fault. MaxFaultySeed is the seed of the
	// largest share, LastCallSeed that of LastCall.
	MaxFaultyShare float64
	FaultyShareSum float64
	MaxFaultySeed  uint64
	LastCallSeed   uint64
	Unserved       int
	StateChanges   int
	// WrongOutcomes lists seeds with a wrong outcome, each with its reason.
	WrongOutcomes []string
}

// maxListedOutcomes is the length limit of Row.WrongOutcomes.
const maxListedOutcomes = 3

// serviceMix lists the services that a configuration without a number of
// upstreams is simulated with, in turn.
var serviceMix = []struct {
	upstreams int
	busy      bool
}{
	{3, true}, {3, false}, {5, true}, {5, false}, {28, false},
	{3, true}, {3, false}, {5, true}, {5, false}, {5, false},
}

// RunAll simulates a configuration with the seeds 1 to seeds, several in
// parallel.
func RunAll(name string, cfg Config, seeds int) Row {
	results := make([]Result, seeds)
	slots := make(chan struct{}, max(runtime.GOMAXPROCS(0), 1))
	var all sync.WaitGroup
	for i := range results {
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			c := cfg
			c.Seed = uint64(i + 1)
			if c.Upstreams == 0 {
				service := serviceMix[i%len(serviceMix)]
				c.Upstreams, c.Busy = service.upstreams, service.busy
			}
			results[i] = Run(c)
		})
	}
	all.Wait()
	row := Row{Name: name, Runs: seeds}
	for i, r := range results {
		row.add(uint64(i+1), r, cfg)
	}
	return row
}

// Targets: the time from the first showing of a fault on a busy route to the
// last call, and the share of the rollout's calls that hit the fault.
const (
	LastCallTarget    = 2 * time.Second
	FaultyShareTarget = 0.005
)

func (row *Row) add(seed uint64, r Result, cfg Config) {
	good := cfg.Fault == NoFault || cfg.Fault == ""
	if cfg.Busy && !good && r.LastCall > LastCallTarget {
		row.LateLastCalls++
	}
	if r.Done {
		row.Done++
	}
	if r.Withdrawn {
		row.Withdrawn++
	}
	if r.Done && r.End > RolloutDuration {
		row.Late++
	}
	if !good && !r.FaultShown {
		row.FaultNotShown++
	}
	if r.LastCall > row.LastCall && !good {
		row.LastCall, row.LastCallSeed = r.LastCall, seed
	}
	if r.FaultyShare() > row.MaxFaultyShare {
		row.MaxFaultyShare, row.MaxFaultySeed = r.FaultyShare(), seed
	}
	row.FaultyShareSum += r.FaultyShare()
	row.Unserved += r.Unserved
	row.StateChanges += r.StateChanges
	if r.Done != good && len(row.WrongOutcomes) < maxListedOutcomes {
		row.WrongOutcomes = append(row.WrongOutcomes, fmt.Sprintf("seed %d: %s", seed, r.Reason))
	}
}

// BadVersionHeader is the header of BadVersionRow.
const BadVersionHeader = "fault, onset, upstreams, traffic             | plays | taken back | worst last call | mean met | worst met | seeds"

// BadVersionRow formats the row of a bad version.
func (row Row) BadVersionRow() string {
	return fmt.Sprintf("%-44s | %5d | %10d | %15s | %7.3f%% | %8.3f%% | %d/%d",
		row.Name, row.Runs, row.Withdrawn, row.LastCall.Round(10*time.Millisecond),
		100*row.FaultyShareSum/float64(row.Runs), 100*row.MaxFaultyShare, row.LastCallSeed, row.MaxFaultySeed)
}

// GoodVersionHeader is the header of GoodVersionRow.
const GoodVersionHeader = "trouble                                      | plays | done by deadline | wrongly taken back | calls unserved | facts per move"

// GoodVersionRow formats the row of a good version.
func (row Row) GoodVersionRow() string {
	return fmt.Sprintf("%-44s | %5d | %16d | %18d | %14d | %.1f",
		row.Name, row.Runs, row.Done-row.Late, row.Withdrawn, row.Unserved, float64(row.StateChanges)/float64(row.Runs))
}

// TrafficName returns the name of a call rate.
func TrafficName(busy bool) string {
	if busy {
		return "busy"
	}
	return "quiet"
}

// DetectorHeader is the header of DetectorRow.
const DetectorHeader = "rule                            | bad plays | missed | mean met | worst met | over 2 s (busy) | good plays | wrongly taken back"

// DetectorRow summarizes the results of one detector on bad and good versions.
func DetectorRow(name string, bad, good []Row) string {
	var badRuns, missed, lateLastCalls, goodRuns, wronglyWithdrawn int
	faultyShareSum, maxFaultyShare := 0.0, 0.0
	for _, r := range bad {
		badRuns += r.Runs
		missed += r.Runs - r.Withdrawn
		lateLastCalls += r.LateLastCalls
		faultyShareSum += r.FaultyShareSum
		maxFaultyShare = max(maxFaultyShare, r.MaxFaultyShare)
	}
	for _, r := range good {
		goodRuns += r.Runs
		wronglyWithdrawn += r.Withdrawn
	}
	return fmt.Sprintf("%-31s | %9d | %6d | %7.3f%% | %8.2f%% | %15d | %10d | %d",
		name, badRuns, missed, 100*faultyShareSum/float64(max(badRuns, 1)), 100*maxFaultyShare, lateLastCalls, goodRuns, wronglyWithdrawn)
}
