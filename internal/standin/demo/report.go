package demo

import (
	"fmt"
	"io"
	"sort"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/daisytide/daisytide/internal/standin/cluster"
)

// Report is the result of a demo.
type Report struct {
	Hosts               int     `json:"hosts"`
	Seconds             int     `json:"seconds"`
	Seed                uint64  `json:"seed"`
	ConvergeP50         float64 `json:"converge_ms_p50"`
	ConvergeP99         float64 `json:"converge_ms_p99"`
	ControlBytesPerHost float64 `json:"control_bytes_per_host_s"`
	StoreCallsPerSecond float64 `json:"store_calls_per_s"`
	Calls               uint64  `json:"calls"`
	CallsFailed         uint64  `json:"calls_failed"`
	CallsUnknown        uint64  `json:"calls_unknown"`
	CallsWrong          uint64  `json:"calls_wrong"`
	RunTwice            uint64  `json:"run_twice"`
	RolloutsDone        int     `json:"moves_done"`
	RolloutsWithdrawn   int     `json:"moves_taken_back"`
	BadVersionCalls     uint64  `json:"bad_version_calls"`
	// FailedExample describes the latest failed call or wrong response.
	FailedExample string `json:"failed_example,omitempty"`
	// BrokenInvariants lists the invariants that did not hold.
	BrokenInvariants []string `json:"broken"`
}

func newReport(o Options) Report {
	return Report{Hosts: o.Hosts, Seconds: o.Seconds, Seed: o.Seed, BrokenInvariants: []string{}}
}

// checkInvariants adds the invariants that did not hold to the report.
func (r *Report) checkInvariants(convergence *convergenceTracker) {
	for _, c := range []struct {
		broken  bool
		message string
	}{
		{convergence.downgradeCount() > 0, "a node went back to an older configuration"},
		{r.RunTwice > 0, "a non-idempotent request ran twice"},
		{r.CallsWrong > 0, "a caller received a response that was incomplete or belonged to another request"},
		{r.RolloutsDone < 1, "the rollout of the good version was not done by the end"},
		{r.RolloutsWithdrawn < 1, "the bad version was not taken back"},
	} {
		if c.broken {
			r.BrokenInvariants = append(r.BrokenInvariants, c.message)
		}
	}
}

// Print writes the report as a table.
func (r *Report) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "convergence time\t%.1f ms (median)\t%.1f ms (99 in 100)\n", r.ConvergeP50, r.ConvergeP99)
	fmt.Fprintf(t, "control bytes\t%.0f per host and second\n", r.ControlBytesPerHost)
	fmt.Fprintf(t, "calls to the store\t%.1f per second\n", r.StoreCallsPerSecond)
	fmt.Fprintf(t, "moves\t%d done\t%d taken back\n", r.RolloutsDone, r.RolloutsWithdrawn)
	fmt.Fprintf(t, "calls\t%d answered\t%d failed\n", r.Calls-r.CallsFailed, r.CallsFailed)
	fmt.Fprintf(t, "calls to the bad version after its fault\t%d\n", r.BadVersionCalls)
	fmt.Fprintf(t, "calls run twice\t%d\n", r.RunTwice)
	for _, b := range r.BrokenInvariants {
		fmt.Fprintf(t, "BROKEN\t%s\n", b)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("print the table: %w", err)
	}
	return nil
}

// convergenceTracker records when each node put each configuration in force.
type convergenceTracker struct {
	nodes int

	mu sync.Mutex
	// firstSwap and lastSwap are when the first node, and the last so far, had a
	// configuration in force, by its number. The first is the node that received
	// the document: it swaps as soon as the store has accepted it.
	firstSwap  map[uint64]time.Time
	lastSwap   map[uint64]time.Time
	swapCount  map[uint64]int
	inForce    map[int]uint64
	downgrades int
}

func trackConvergence(c *cluster.Cluster) *convergenceTracker {
	s := &convergenceTracker{
		nodes:     len(c.Hosts),
		firstSwap: map[uint64]time.Time{},
		lastSwap:  map[uint64]time.Time{},
		swapCount: map[uint64]int{},
		inForce:   map[int]uint64{},
	}
	for i, h := range c.Hosts {
		h.Node.OnSwap(func(number uint64) { s.recordSwap(i, number) })
	}
	return s
}

func (s *convergenceTracker) recordSwap(node int, number uint64) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if number <= s.inForce[node] {
		s.downgrades++
	}
	s.inForce[node] = number
	if s.firstSwap[number].IsZero() {
		s.firstSwap[number] = now
	}
	s.lastSwap[number] = now
	s.swapCount[number]++
}

func (s *convergenceTracker) downgradeCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.downgrades
}

// quantiles returns the median and the 99th percentile, in milliseconds, of the
// time from a document's acceptance until it is in force on the last node.
func (s *convergenceTracker) quantiles() (p50, p99 float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []float64
	for number, start := range s.firstSwap {
		if s.swapCount[number] == s.nodes {
			all = append(all, float64(s.lastSwap[number].Sub(start).Microseconds())/1000)
		}
	}
	if len(all) == 0 {
		return 0, 0
	}
	sort.Float64s(all)
	return all[len(all)/2], all[(len(all)*99+99)/100-1]
}
