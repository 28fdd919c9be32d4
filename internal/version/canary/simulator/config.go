// Package simulator plays moves between versions in virtual time, for tests and
// benchmarks of the verdict. The decisions and counters are the real ones
// (canary.Recorder, canary.Analyzer, rollout.Next and Merge); calls, upstreams
// and the delays of reports and facts are drawn from a seed. It is test
// support: no part of the product imports it.
package simulator

import (
	"time"

	"github.com/daisytide/daisytide/internal/version/canary"
	"github.com/daisytide/daisytide/internal/version/document"
	"github.com/daisytide/daisytide/internal/version/rollout"
)

// Fault is what a bad version does to a call.
type Fault string

// The faults.
const (
	NoFault      Fault = "none"
	Fails        Fault = "fails"
	Slows        Fault = "slows"
	Hangs        Fault = "hangs"
	ShortAnswers Fault = "answers short"
)

// Faults lists the faults of the matrix.
var Faults = []Fault{Fails, Slows, Hangs, ShortAnswers}

// Onset is when or where a fault shows.
type Onset string

// The onsets.
const (
	Immediate  Onset = "at once"
	AfterDelay Onset = "after a time"
	AboveLoad  Onset = "above a load"
	OneRoute   Onset = "on one route"
)

// Onsets lists the onsets of the matrix.
var Onsets = []Onset{Immediate, AfterDelay, AboveLoad, OneRoute}

// Disturbance is what happens around a move without any fault of the new version.
type Disturbance string

// The troubles.
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

// Disturbances lists those that a good version must come through.
var Disturbances = []Disturbance{NoDisturbance, ColdStarts, Slowdown, Failures, LostHost, ClockSkew, HalfNodesDown, ConcurrentAnalyzers, AllDisturbances}

// Rates of calls.
const (
	// BusyRate is the calls per second for each upstream of one version.
	BusyRate = 150.0
	// QuietRate is the calls per second of a whole quiet service.
	QuietRate = 4.0
)

// RolloutDuration is the time from start to deadline of a played move.
const RolloutDuration = 10 * time.Minute

// Config is one play.
type Config struct {
	Seed        uint64
	Upstreams   int
	Busy        bool
	Fault       Fault
	Onset       Onset
	Disturbance Disturbance
	Caution     document.Caution
	// Detector makes the rule of one test; nil means the product's.
	Detector canary.DetectorFactory
	// NoGateChecks leaves out what a gate does by itself on a plain failure, for
	// the baselines.
	NoGateChecks bool
	// Trace, if set, is told of each decision: the time since the start, the
	// deciding host, the state and the verdict behind it.
	Trace func(at time.Duration, host string, s rollout.State, v canary.Verdict)
}

// Result is how a play ended.
type Result struct {
	Done      bool
	Withdrawn bool
	Reason    string
	// End is the time since the start.
	End time.Duration
	// FaultShown tells that a call met the fault; LastCall is the time from the first
	// such call to the last call that an upstream of the new version ran.
	FaultShown bool
	LastCall   time.Duration
	// FaultyCalls counts the calls that met the fault, Calls the move's calls.
	FaultyCalls int
	Calls       float64
	// Unserved counts the calls that found no live upstream in three tries.
	Unserved int
	// StateChanges counts the states that judges spread.
	StateChanges int
}

// FaultyShare is the share of the move's calls that met the fault, from 0 to 1.
func (r Result) FaultyShare() float64 { return float64(r.FaultyCalls) / r.Calls }
