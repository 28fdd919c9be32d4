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
	Service string
	Since   uint64
}

// Mark is one decision of a move with its time and its reason.
type Mark struct {
	// AtMillis is the deciding node's clock in milliseconds of Unix time.
	AtMillis int64  `cbor:"1,keyasint"`
	Why      string `cbor:"2,keyasint,omitempty"`
	// By names the operator who ordered it; empty where daisytide decided.
	By string `cbor:"3,keyasint,omitempty"`
}

// At returns the time of the decision.
func (m Mark) At() time.Time { return time.UnixMilli(m.AtMillis) }

// Step is how far a move has come.
type Step struct {
	// Number counts the steps taken; 0 means that no call has moved.
	Number int `cbor:"1,keyasint"`
	// Share is the percentage of calls that the step sends to the new version.
	// It travels with the step, so that nodes need no schedule to agree.
	Share float64 `cbor:"2,keyasint"`
	Mark  Mark    `cbor:"3,keyasint"`
}

// Pause is the latest order to halt or to go on.
type Pause struct {
	// Orders counts the orders; the move is paused while it is odd.
	Orders uint64 `cbor:"1,keyasint"`
	Mark   Mark   `cbor:"2,keyasint"`
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
	Service   string `cbor:"1,keyasint"`
	Since     uint64 `cbor:"2,keyasint"`
	Step      Step   `cbor:"3,keyasint"`
	Withdrawn *Mark  `cbor:"4,keyasint,omitempty"`
	Done      *Mark  `cbor:"5,keyasint,omitempty"`
	Pause     Pause  `cbor:"6,keyasint"`
	// Ease lowers the share to easedShare while its count is odd.
	Ease Ease `cbor:"7,keyasint"`
}

// Ease is the latest change between a share lowered by doubt and the step's own.
type Ease struct {
	Pause Pause `cbor:"1,keyasint"`
	// Step is the step at which the share was lowered last.
	Step int `cbor:"2,keyasint,omitempty"`
	// Times counts how often in a row, about the same step, a doubt lowered the
	// share and then went away without the old version showing the same.
	Times int `cbor:"3,keyasint,omitempty"`
}

// Key returns the move that the state belongs to.
func (s State) Key() Key { return Key{Service: s.Service, Since: s.Since} }

// Ended tells whether nothing but the record of the move is left to do.
func (s State) Ended() bool { return s.Withdrawn != nil || s.Done != nil }

// Paused tells whether an operator has halted the move.
func (s State) Paused() bool { return s.Pause.Orders%2 == 1 }

// Share returns the percentage of calls that belong to the new version.
func (s State) Share() float64 {
	switch {
	case s.Withdrawn != nil:
		return 0
	case s.Done != nil:
		return wholeShare
	case s.Eased():
		return min(s.Step.Share, easedShare)
	default:
		return s.Step.Share
	}
}

// Eased tells whether a doubt has lowered the share. It gives the old version
// calls enough to tell a slow new version from a general slowdown, and spares
// callers until that is known.
func (s State) Eased() bool { return s.Ease.Pause.Orders%2 == 1 }

// Equal tells whether two states say the same.
func (s State) Equal(o State) bool {
	return s.Key() == o.Key() && s.Step == o.Step && s.Pause == o.Pause && s.Ease == o.Ease &&
		equalMark(s.Withdrawn, o.Withdrawn) && equalMark(s.Done, o.Done)
}

// Merge joins two states of the same move.
func Merge(a, b State) State {
	return State{
		Service:   a.Service,
		Since:     a.Since,
		Step:      laterStep(a.Step, b.Step),
		Withdrawn: earlierMark(a.Withdrawn, b.Withdrawn),
		Done:      earlierMark(a.Done, b.Done),
		Pause:     laterPause(a.Pause, b.Pause),
		Ease:      laterEase(a.Ease, b.Ease),
	}
}

func equalMark(a, b *Mark) bool {
	if a == nil || b == nil {
		return a == b
	}
	return *a == *b
}

func earlierMark(a, b *Mark) *Mark {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	case compareMarks(*a, *b) <= 0:
		return a
	default:
		return b
	}
}

func compareMarks(a, b Mark) int {
	return cmp.Or(cmp.Compare(a.AtMillis, b.AtMillis), cmp.Compare(a.Why, b.Why), cmp.Compare(a.By, b.By))
}

func laterStep(a, b Step) Step {
	order := cmp.Or(cmp.Compare(b.Number, a.Number), cmp.Compare(a.Share, b.Share), compareMarks(a.Mark, b.Mark))
	if order <= 0 {
		return a
	}
	return b
}

func laterPause(a, b Pause) Pause {
	if cmp.Or(cmp.Compare(b.Orders, a.Orders), compareMarks(a.Mark, b.Mark)) <= 0 {
		return a
	}
	return b
}

func laterEase(a, b Ease) Ease {
	order := cmp.Or(
		cmp.Compare(b.Pause.Orders, a.Pause.Orders),
		compareMarks(a.Pause.Mark, b.Pause.Mark),
		cmp.Compare(b.Step, a.Step),
		cmp.Compare(b.Times, a.Times),
	)
	if order <= 0 {
		return a
	}
	return b
}
