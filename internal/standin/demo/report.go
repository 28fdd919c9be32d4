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

// Report is the closing table.
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
	// FailedExample is one of the failed calls.
	FailedExample string `json:"failed_example,omitempty"`
	// Broken lists the invariants that did not hold.
	BrokenInvariants []string `json:"broken"`
}

func newReport(o Options) Report {
	return Report{Hosts: o.Hosts, Seconds: o.Seconds, Seed: o.Seed, BrokenInvariants: []string{}}
}

// check enters the invariants that did not hold.
func (r *Report) check(swaps *swapTimes) {
	for _, c := range []struct {
		broken bool
		what   string
	}{
		{swaps.fell() > 0, "a node went back to an older configuration"},
		{r.RunTwice > 0, "a non-idempotent request ran twice"},
		{r.CallsWrong > 0, "a caller got an answer that was not its own or not whole"},
		{r.RolloutsDone < 1, "the good version was not done by the end"},
		{r.RolloutsWithdrawn < 1, "the bad version was not taken back"},
	} {
		if c.broken {
			r.BrokenInvariants = append(r.BrokenInvariants, c.what)
		}
	}
}

// Print writes the table for people.
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

// swapTimes notes when each node put each configuration in force.
type swapTimes struct {
	nodes int

	mu sync.Mutex
	// first and last are when the first and the last node so far had a number
	// in force. The first is the node that took the document: it swaps as
	// soon as the store has accepted.
	first    map[uint64]time.Time
	last     map[uint64]time.Time
	count    map[uint64]int
	inForce  map[int]uint64
	fellBack int
}

func watchSwaps(c *cluster.Cluster) *swapTimes {
	s := &swapTimes{
		nodes:   len(c.Hosts),
		first:   map[uint64]time.Time{},
		last:    map[uint64]time.Time{},
		count:   map[uint64]int{},
		inForce: map[int]uint64{},
	}
	for i, h := range c.Hosts {
		h.Node.OnSwap(func(number uint64) { s.swapped(i, number) })
	}
	return s
}

func (s *swapTimes) swapped(node int, number uint64) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if number <= s.inForce[node] {
		s.fellBack++
	}
	s.inForce[node] = number
	if s.first[number].IsZero() {
		s.first[number] = now
	}
	s.last[number] = now
	s.count[number]++
}

func (s *swapTimes) fell() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fellBack
}

// quantiles returns the median and the 99th percentile, in milliseconds, of
// the time from a document's acceptance to its being in force on the last node.
func (s *swapTimes) quantiles() (p50, p99 float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []float64
	for number, start := range s.first {
		if s.count[number] == s.nodes {
			all = append(all, float64(s.last[number].Sub(start).Microseconds())/1000)
		}
	}
	if len(all) == 0 {
		return 0, 0
	}
	sort.Float64s(all)
	return all[len(all)/2], all[(len(all)*99+99)/100-1]
}
