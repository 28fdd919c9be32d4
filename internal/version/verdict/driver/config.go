// Package driver plays moves between versions in virtual time, for tests and
// benchmarks of the verdict. The decisions and counters are the real ones
// (verdict.Recorder, verdict.Judge, rollout.Next and Merge); calls, upstreams
// and the delays of reports and facts are drawn from a seed. It is test
// support: no part of the product imports it.
package driver

import (
	"time"

	"github.com/daisytide/daisytide/internal/version/document"
	"github.com/daisytide/daisytide/internal/version/rollout"
	"github.com/daisytide/daisytide/internal/version/verdict"
)

// Fault is what a bad version does to a call.
type Fault string

// The faults.
const (
	NoFault Fault = "none"
	Fails   Fault = "fails"
	Slows   Fault = "slows"
	Hangs   Fault = "hangs"
	Short   Fault = "answers short"
)

// Faults lists the faults of the matrix.
var Faults = []Fault{Fails, Slows, Hangs, Short}

// Onset is when or where a fault shows.
type Onset string

// The onsets.
const (
	AtOnce    Onset = "at once"
	AfterTime Onset = "after a time"
	AboveLoad Onset = "above a load"
	OneRoute  Onset = "on one route"
)

// Onsets lists the onsets of the matrix.
var Onsets = []Onset{AtOnce, AfterTime, AboveLoad, OneRoute}

// Trouble is what happens around a move without any fault of the new version.
type Trouble string

// The troubles.
const (
	NoTrouble   Trouble = "noise only"
	ColdStarts  Trouble = "cold starts"
	Slowdown    Trouble = "general slowdown"
	Failures    Trouble = "general failures"
	LostHost    Trouble = "lost host of the new version"
	ClocksApart Trouble = "clocks 200 ms apart"
	HalfDies    Trouble = "half of the nodes die"
	BothAdvance Trouble = "two judges advance at once"
	AllTogether Trouble = "all of these"
)

// Troubles lists those that a good version must come through.
var Troubles = []Trouble{NoTrouble, ColdStarts, Slowdown, Failures, LostHost, ClocksApart, HalfDies, BothAdvance, AllTogether}

// Rates of calls.
const (
	// BusyRate is the calls per second for each upstream of one version.
	BusyRate = 150.0
	// QuietRate is the calls per second of a whole quiet service.
	QuietRate = 4.0
)

// Length is the time from start to deadline of a played move.
const Length = 10 * time.Minute

// Config is one play.
type Config struct {
	Seed      uint64
	Upstreams int
	Busy      bool
	Fault     Fault
	Onset     Onset
	Trouble   Trouble
	Caution   document.Caution
	// Rule makes the rule of one test; nil means the product's.
	Rule verdict.NewRule
	// NoGate leaves out what a gate does by itself on a plain failure, for
	// the baselines.
	NoGate bool
	// Trace, if set, is told of each decision: the time since the start, the
	// deciding host, the state and the verdict behind it.
	Trace func(at time.Duration, host string, s rollout.State, v verdict.Verdict)
}

// Result is how a play ended.
type Result struct {
	Done      bool
	TakenBack bool
	Why       string
	// End is the time since the start.
	End time.Duration
	// Showed tells that a call met the fault; Last is the time from the first
	// such call to the last call that an upstream of the new version ran.
	Showed bool
	Last   time.Duration
	// Met counts the calls that met the fault, Calls the move's calls.
	Met   int
	Calls float64
	// Unserved counts the calls that found no live upstream in three tries.
	Unserved int
	// Facts counts the states that judges spread.
	Facts int
}

// MetShare is the share of the move's calls that met the fault, from 0 to 1.
func (r Result) MetShare() float64 { return float64(r.Met) / r.Calls }
