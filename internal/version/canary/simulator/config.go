// Package simulator simulates rollouts in virtual time, for tests and
// benchmarks of the canary analysis. The analysis and the counters are the
// production code (canary.Recorder, canary.Analyzer, rollout.Next and
// rollout.Merge); calls, upstreams and the delays of reports and gossip are
// drawn from a seed. It is test support: no production code imports it.
package simulator

import (
	"time"

	"github.com/daisytide/daisytide/internal/version/canary"
	"github.com/daisytide/daisytide/internal/version/document"
	"github.com/daisytide/daisytide/internal/version/rollout"
)

// Fault is the effect of a bad version on a call.
type Fault string

const (
	NoFault      Fault = "none"
	Fails        Fault = "fails"
	Slows        Fault = "slows"
	Hangs        Fault = "hangs"
	ShortAnswers Fault = "answers short"
)

// Faults lists the faults of the test matrix.
var Faults = []Fault{Fails, Slows, Hangs, ShortAnswers}

// Onset is the condition under which a fault shows.
type Onset string

const (
	Immediate  Onset = "at once"
	AfterDelay Onset = "after a time"
	AboveLoad  Onset = "above a load"
	OneRoute   Onset = "on one route"
)

// Onsets lists the onsets of the test matrix.
var Onsets = []Onset{Immediate, AfterDelay, AboveLoad, OneRoute}

// Disturbance is an event during a rollout that is not a fault of the new
// version.
type Disturbance string

const (
	NoDisturbance       Disturbance = "noise only"
	ColdStarts          Disturbance = "cold starts"
	Slowdown            Disturbance = "general slowdown"
	Failures            Disturbance = "general failures"
	LostHost            Disturbance = "lost host of the new version"
	ClockSkew           Disturbance = "clocks 200 ms apart"
	HalfNodesDown       Disturbance = "half of the nodes die"
	ConcurrentAnalyzers Disturbance = "two judges advance at once"
	AllDisturbances     Disturbance = "all of these"
)

// Disturbances lists the disturbances under which a good version must be
// completed.
var Disturbances = []Disturbance{NoDisturbance, ColdStarts, Slowdown, Failures, LostHost, ClockSkew, HalfNodesDown, ConcurrentAnalyzers, AllDisturbances}

const (
	// BusyRate is the number of calls per second for each upstream of one
	// version.
	BusyRate = 150.0
	// QuietRate is the number of calls per second of a whole quiet service.
	QuietRate = 4.0
)

// RolloutDuration is the time from the start to the deadline of a simulated
// rollout.
const RolloutDuration = 10 * time.Minute

// Config configures one simulation.
type Config struct {
	Seed        uint64
	Upstreams   int
	Busy        bool
	Fault       Fault
	Onset       Onset
	Disturbance Disturbance
	Caution     document.Caution
	// Detector creates the detector of one metric; nil means the production
	// one.
	Detector canary.DetectorFactory
	// NoGateChecks disables the gates' own reaction to hard failures, to
	// compare detectors without it.
	NoGateChecks bool
	// Trace, if set, is called for each decision with the time since the start,
	// the deciding host, the new state and the analysis result behind it.
	Trace func(at time.Duration, host string, s rollout.State, v canary.Verdict)
}

// Result is the outcome of one simulation.
type Result struct {
	Done      bool
	Withdrawn bool
	Reason    string
	// End is the time of the end since the start.
	End time.Duration
	// FaultShown reports whether a call hit the fault. LastCall is the time
	// from the first such call to the last call that an upstream of the new
	// version ran.
	FaultShown bool
	LastCall   time.Duration
	// FaultyCalls counts the calls that hit the fault, Calls all calls of the
	// rollout.
	FaultyCalls int
	Calls       float64
	// Unserved counts the calls that found no live upstream in three attempts.
	Unserved int
	// StateChanges counts the states that analyzers published.
	StateChanges int
}

// FaultyShare returns the share of the rollout's calls that hit the fault, from
// 0 to 1.
func (r Result) FaultyShare() float64 { return float64(r.FaultyCalls) / r.Calls }
