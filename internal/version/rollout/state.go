// Package rollout decides how a service's calls move from one version to
// another. It holds the schedule, the share of each step, and a state that
// nodes merge like a CRDT. It does no I/O and takes the time from the caller.
package rollout

import (
	"cmp"
	"time"
)

// Key identifies a rollout by its service and the number of the configuration
// that started it.
type Key struct {
	Service     string
	StartConfig uint64
}

// Decision records one decision on a rollout.
type Decision struct {
	// AtMillis is the Unix time in milliseconds on the deciding node's clock.
	AtMillis int64  `cbor:"1,keyasint"`
	Reason   string `cbor:"2,keyasint,omitempty"`
	// Operator is the operator who gave the order; empty if daisytide decided.
	Operator string `cbor:"3,keyasint,omitempty"`
}

func (d Decision) Time() time.Time { return time.UnixMilli(d.AtMillis) }

// Step is the latest step of a rollout.
type Step struct {
	// Number is the number of steps taken; 0 means that no calls have moved.
	Number int `cbor:"1,keyasint"`
	// Share is the percentage of calls that the step sends to the new version.
	// It is gossiped with the step, so nodes agree on it without a common
	// schedule.
	Share    float64  `cbor:"2,keyasint"`
	Decision Decision `cbor:"3,keyasint"`
}

// Toggle is an on/off switch. When two are merged, the highest count wins.
type Toggle struct {
	// Count is the number of times it was switched; it is on while the count is
	// odd.
	Count    uint64   `cbor:"1,keyasint"`
	Decision Decision `cbor:"2,keyasint"`
}

// State is the state of one rollout. Merge is independent of order and
// repetition:
//
//   - the step with the highest number wins; if two nodes took the same step
//     concurrently with different shares, the lower share wins;
//   - the end (Withdrawn, Done), once set, stays set under the same key; if two
//     nodes set it, the earlier reason is kept;
//   - the highest count of pause orders wins, and likewise of reductions.
//
// Withdrawn takes precedence over Done and every step: two nodes that were
// partitioned from each other may have decided differently, and the old version
// is the safe one.
type State struct {
	Service     string    `cbor:"1,keyasint"`
	StartConfig uint64    `cbor:"2,keyasint"`
	Step        Step      `cbor:"3,keyasint"`
	Withdrawn   *Decision `cbor:"4,keyasint,omitempty"`
	Done        *Decision `cbor:"5,keyasint,omitempty"`
	Pause       Toggle    `cbor:"6,keyasint"`
	// Reduction lowers the share to reducedShare while its count is odd.
	Reduction Reduction `cbor:"7,keyasint"`
}

// Reduction is the latest switch between a share reduced by a warning and the
// full share of the step.
type Reduction struct {
	Toggle Toggle `cbor:"1,keyasint"`
	// Step is the step at which the share was last reduced.
	Step int `cbor:"2,keyasint,omitempty"`
	// Repeats counts how many times in a row, around the same step, a warning
	// reduced the share and then disappeared without the old version
	// degrading, too.
	Repeats int `cbor:"3,keyasint,omitempty"`
}

// Key returns the key of the rollout.
func (s State) Key() Key { return Key{Service: s.Service, StartConfig: s.StartConfig} }

// Ended reports whether the rollout is done or withdrawn.
func (s State) Ended() bool { return s.Withdrawn != nil || s.Done != nil }

// Paused reports whether an operator has paused the rollout.
func (s State) Paused() bool { return s.Pause.Count%2 == 1 }

// Share returns the percentage of calls to send to the new version.
func (s State) Share() float64 {
	switch {
	case s.Withdrawn != nil:
		return 0
	case s.Done != nil:
		return fullShare
	case s.ShareReduced():
		return min(s.Step.Share, reducedShare)
	default:
		return s.Step.Share
	}
}

// ShareReduced reports whether a warning has reduced the share. The reduction
// gives the old version enough calls to tell a slow new version from a general
// slowdown, and protects callers until that is known.
func (s State) ShareReduced() bool { return s.Reduction.Toggle.Count%2 == 1 }

// Equal reports whether two states are equal.
func (s State) Equal(o State) bool {
	return s.Key() == o.Key() && s.Step == o.Step && s.Pause == o.Pause && s.Reduction == o.Reduction &&
		equalDecisions(s.Withdrawn, o.Withdrawn) && equalDecisions(s.Done, o.Done)
}

// Merge merges two states of the same rollout.
func Merge(a, b State) State {
	return State{
		Service:     a.Service,
		StartConfig: a.StartConfig,
		Step:        laterStep(a.Step, b.Step),
		Withdrawn:   earlierDecision(a.Withdrawn, b.Withdrawn),
		Done:        earlierDecision(a.Done, b.Done),
		Pause:       laterToggle(a.Pause, b.Pause),
		Reduction:   laterReduction(a.Reduction, b.Reduction),
	}
}

func equalDecisions(a, b *Decision) bool {
	if a == nil || b == nil {
		return a == b
	}
	return *a == *b
}

func earlierDecision(a, b *Decision) *Decision {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	case compareDecisions(*a, *b) <= 0:
		return a
	default:
		return b
	}
}

func compareDecisions(a, b Decision) int {
	return cmp.Or(cmp.Compare(a.AtMillis, b.AtMillis), cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.Operator, b.Operator))
}

func laterStep(a, b Step) Step {
	order := cmp.Or(cmp.Compare(b.Number, a.Number), cmp.Compare(a.Share, b.Share), compareDecisions(a.Decision, b.Decision))
	if order <= 0 {
		return a
	}
	return b
}

func laterToggle(a, b Toggle) Toggle {
	if cmp.Or(cmp.Compare(b.Count, a.Count), compareDecisions(a.Decision, b.Decision)) <= 0 {
		return a
	}
	return b
}

func laterReduction(a, b Reduction) Reduction {
	order := cmp.Or(
		cmp.Compare(b.Toggle.Count, a.Toggle.Count),
		compareDecisions(a.Toggle.Decision, b.Toggle.Decision),
		cmp.Compare(b.Step, a.Step),
		cmp.Compare(b.Repeats, a.Repeats),
	)
	if order <= 0 {
		return a
	}
	return b
}
