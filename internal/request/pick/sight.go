package pick

import (
	"math"
	"time"

	"github.com/daisytide/daisytide/internal/request/gate"
)

// Parameters of an entry's view of one upstream.
const (
	// staleAfter is the time in which a load carried back loses all but 1/e
	// of its weight against usualUse.
	staleAfter = 2 * time.Second
	// usualUse is the share of slots assumed in use where nothing is known.
	usualUse = 0.5
	// faultsToEject is how many faults in a row put an upstream aside; one
	// suffices when it was not reached at all.
	faultsToEject = 3
	// ejectFor is the first time aside; it doubles up to ejectMax.
	ejectFor = time.Second
	ejectMax = 32 * time.Second
)

// Fault is what a call has shown of an upstream.
type Fault uint8

// The faults. Neutral ends, such as a refusal for lack of slots or a caller
// that went away, are no evidence either way.
const (
	NoFault Fault = iota
	Neutral
	Failed
	NotReached
	Leaving
)

// Sight is what one entry knows of one upstream: what its own calls have
// shown and what the gate carried back on answers. Probes play no part, so an
// upstream that lies about its health or load changes nothing here.
type Sight struct {
	// own counts this entry's calls in progress there.
	own  int
	load gate.Load
	// loadAt is when load arrived; zero before the first.
	loadAt time.Time
	// faults counts faults in a row, ejections those that put it aside since
	// its last good answer.
	faults    int
	ejections int
	// until is when it may be picked again.
	until time.Time
}

// Begin notes a call sent there.
func (s *Sight) Begin() { s.own++ }

// End notes how a call sent there ended.
func (s *Sight) End(now time.Time, f Fault) {
	s.own--
	switch f {
	case NoFault:
		s.faults = 0
		s.ejections = 0
		s.until = time.Time{}
		return
	case NotReached, Leaving:
		s.faults += faultsToEject
	case Failed:
		s.faults++
	}
	if s.faults >= faultsToEject {
		s.eject(now)
	}
}

// eject puts the upstream aside. Calls that were under way together count as
// one piece of evidence. One fault after the return ejects again.
func (s *Sight) eject(now time.Time) {
	s.faults = faultsToEject - 1
	if now.Before(s.until) {
		return
	}
	s.until = now.Add(min(ejectMax, ejectFor<<min(s.ejections, 10)))
	s.ejections++
}

// Carry takes a load that came back with an answer.
func (s *Sight) Carry(now time.Time, l gate.Load) {
	s.load = l
	s.loadAt = now
}

// Ejected tells that the upstream is put aside.
func (s *Sight) Ejected(now time.Time) bool { return now.Before(s.until) }

// use estimates the share of slots in use, the new call among them. announced
// is the slots of the member record, for a gate that has not answered yet.
func (s *Sight) use(now time.Time, announced int) float64 {
	slots := float64(s.load.Slots)
	if slots < 1 {
		slots = float64(max(1, announced))
	}
	weight := 0.0
	if !s.loadAt.IsZero() {
		weight = math.Exp(-float64(now.Sub(s.loadAt)) / float64(staleAfter))
	}
	busy := weight*float64(s.load.Busy) + (1-weight)*usualUse*slots
	return (max(busy, float64(s.own)) + 1) / slots
}

// cost estimates the time until an answer, in seconds, without the network.
// A gate that has not answered yet is taken to be as quick as any.
func (s *Sight) cost(now time.Time, announced int) float64 {
	use := s.use(now, announced)
	return max(s.load.Held, heldFloor).Seconds() * (1 + use*use) * float64(1+s.faults)
}
