// Package rollout decides how a service's calls move from one version to
// another: the state that merges, the schedule, and the share. Nothing here
// reads a clock or sends anything.
package rollout

import (
	"cmp"
	"time"
)

// Key names one move: the service and the configuration number that it began
// under.
type Key struct {
	Service     string
	StartConfig uint64
}

// Decision is one decision of a move with its time and its reason.
type Decision struct {
	// AtMillis is the deciding node's clock in milliseconds of Unix time.
	AtMillis int64  `cbor:"1,keyasint"`
	Reason   string `cbor:"2,keyasint,omitempty"`
	// Operator names the operator who ordered it; empty where daisytide decided.
	Operator string `cbor:"3,keyasint,omitempty"`
}

// Time returns the time of the decision.
func (m Decision) Time() time.Time { return time.UnixMilli(m.AtMillis) }

// Step is how far a move has come.
type Step struct {
	// Number counts the steps taken; 0 means that no call has moved.
	Number int `cbor:"1,keyasint"`
	// Share is the percentage of calls that the step sends to the new version.
	// It travels with the step, so that nodes need no schedule to agree.
	Share    float64  `cbor:"2,keyasint"`
	Decision Decision `cbor:"3,keyasint"`
}

// Toggle is the latest order to halt or to go on.
type Toggle struct {
	// Count counts the orders; the move is paused while it is odd.
	Count    uint64   `cbor:"1,keyasint"`
	Decision Decision `cbor:"2,keyasint"`
}

// State is what is known of one move. It merges by a rule under which order
// and repetition do not matter:
//
//   - the step with the highest number wins; of two nodes that took the same
//     step at once with different shares the lower share wins;
//   - the end (Withdrawn, Done), once set, stays set under the same key, and of
//     two nodes that set it the earlier one's reason is kept;
//   - the highest count of pause orders wins, and likewise of ease orders.
//
// Withdrawn beats Done and every step: two nodes that were cut off from each
// other may have decided differently, and the old version is the safe one.
type State struct {
	Service     string    `cbor:"1,keyasint"`
	StartConfig uint64    `cbor:"2,keyasint"`
	Step        Step      `cbor:"3,keyasint"`
	Withdrawn   *Decision `cbor:"4,keyasint,omitempty"`
	Done        *Decision `cbor:"5,keyasint,omitempty"`
	Pause       Toggle    `cbor:"6,keyasint"`
	// Reduction lowers the share to easedShare while its count is odd.
	Reduction Reduction `cbor:"7,keyasint"`
}

// Reduction is the latest change between a share lowered by doubt and the step's own.
type Reduction struct {
	Toggle Toggle `cbor:"1,keyasint"`
	// Step is the step at which the share was lowered last.
	Step int `cbor:"2,keyasint,omitempty"`
	// Repeats counts how often in a row, about the same step, a doubt lowered the
	// share and then went away without the old version showing the same.
	Repeats int `cbor:"3,keyasint,omitempty"`
}

// Key returns the move that the state belongs to.
func (s State) Key() Key { return Key{Service: s.Service, StartConfig: s.StartConfig} }

// Ended tells whether nothing but the record of the move is left to do.
func (s State) Ended() bool { return s.Withdrawn != nil || s.Done != nil }

// Paused tells whether an operator has halted the move.
func (s State) Paused() bool { return s.Pause.Count%2 == 1 }

// Share returns the percentage of calls that belong to the new version.
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

// ShareReduced tells whether a doubt has lowered the share. It gives the old version
// calls enough to tell a slow new version from a general slowdown, and spares
// callers until that is known.
func (s State) ShareReduced() bool { return s.Reduction.Toggle.Count%2 == 1 }

// Equal tells whether two states say the same.
func (s State) Equal(o State) bool {
	return s.Key() == o.Key() && s.Step == o.Step && s.Pause == o.Pause && s.Reduction == o.Reduction &&
		equalDecisions(s.Withdrawn, o.Withdrawn) && equalDecisions(s.Done, o.Done)
}

// Merge joins two states of the same move.
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
