package driver

import (
	"fmt"
	"runtime"
	"sync"
	"time"
)

// Row sums up the plays of one configuration over many seeds.
type Row struct {
	Name      string
	Plays     int
	Done      int
	TakenBack int
	Late      int
	// Unshown counts plays in which no call met the fault.
	Unshown int
	Last    time.Duration
	// Over counts plays on busy routes whose last call was later than
	// LastTarget after the fault first showed.
	Over int
	Met  float64
	// MetSum and Met are the mean and the largest share of calls that met the
	// fault; WorstSeed is that of the largest, WorstLast that of Last.
	MetSum    float64
	WorstSeed uint64
	WorstLast uint64
	Unserved  int
	Facts     int
	// Wrong lists seeds whose end was not the right one, with why.
	Wrong []string
}

// maxWrong bounds the seeds that a row lists.
const maxWrong = 3

// mixed are the services that a configuration without a number of upstreams
// is played in, in turn.
var mixed = []struct {
	upstreams int
	busy      bool
}{
	{3, true}, {3, false}, {5, true}, {5, false}, {28, false},
	{3, true}, {3, false}, {5, true}, {5, false}, {5, false},
}

// PlayAll plays a configuration with the seeds 1 to seeds, several at once.
func PlayAll(name string, cfg Config, seeds int) Row {
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
				size := mixed[i%len(mixed)]
				c.Upstreams, c.Busy = size.upstreams, size.busy
			}
			results[i] = Play(c)
		})
	}
	all.Wait()
	row := Row{Name: name, Plays: seeds}
	for i, r := range results {
		row.add(uint64(i+1), r, cfg)
	}
	return row
}

// The targets: the time from the first showing of a fault on a busy route to
// the last call, and the share of the move's calls that meet the fault.
const (
	LastTarget = 2 * time.Second
	MetTarget  = 0.005
)

func (row *Row) add(seed uint64, r Result, cfg Config) {
	good := cfg.Fault == NoFault || cfg.Fault == ""
	if cfg.Busy && !good && r.Last > LastTarget {
		row.Over++
	}
	if r.Done {
		row.Done++
	}
	if r.TakenBack {
		row.TakenBack++
	}
	if r.Done && r.End > Length {
		row.Late++
	}
	if !good && !r.Showed {
		row.Unshown++
	}
	if r.Last > row.Last && !good {
		row.Last, row.WorstLast = r.Last, seed
	}
	if r.MetShare() > row.Met {
		row.Met, row.WorstSeed = r.MetShare(), seed
	}
	row.MetSum += r.MetShare()
	row.Unserved += r.Unserved
	row.Facts += r.Facts
	if r.Done != good && len(row.Wrong) < maxWrong {
		row.Wrong = append(row.Wrong, fmt.Sprintf("seed %d: %s", seed, r.Why))
	}
}

// BadHead is the heading of Bad.
const BadHead = "fault, onset, upstreams, traffic             | plays | taken back | worst last call | mean met | worst met | seeds"

// Bad prints the row of a bad version.
func (row Row) Bad() string {
	return fmt.Sprintf("%-44s | %5d | %10d | %15s | %7.3f%% | %8.3f%% | %d/%d",
		row.Name, row.Plays, row.TakenBack, row.Last.Round(10*time.Millisecond),
		100*row.MetSum/float64(row.Plays), 100*row.Met, row.WorstLast, row.WorstSeed)
}

// GoodHead is the heading of Good.
const GoodHead = "trouble                                      | plays | done by deadline | wrongly taken back | calls unserved | facts per move"

// Good prints the row of a good version.
func (row Row) Good() string {
	return fmt.Sprintf("%-44s | %5d | %16d | %18d | %14d | %.1f",
		row.Name, row.Plays, row.Done-row.Late, row.TakenBack, row.Unserved, float64(row.Facts)/float64(row.Plays))
}

// Traffic names a rate of calls.
func Traffic(busy bool) string {
	if busy {
		return "busy"
	}
	return "quiet"
}

// RuleHead is the heading of Rules.
const RuleHead = "rule                            | bad plays | missed | mean met | worst met | over 2 s (busy) | good plays | wrongly taken back"

// Rules sums up what one rule makes of bad and good versions.
func Rules(name string, bad, good []Row) string {
	var plays, missed, slow, goodPlays, wrong int
	met, worst := 0.0, 0.0
	for _, r := range bad {
		plays += r.Plays
		missed += r.Plays - r.TakenBack
		slow += r.Over
		met += r.MetSum
		worst = max(worst, r.Met)
	}
	for _, r := range good {
		goodPlays += r.Plays
		wrong += r.TakenBack
	}
	return fmt.Sprintf("%-31s | %9d | %6d | %7.3f%% | %8.2f%% | %15d | %10d | %d",
		name, plays, missed, 100*met/float64(max(plays, 1)), 100*worst, slow, goodPlays, wrong)
}
