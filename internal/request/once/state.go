package once

import "github.com/daisytide/daisytide/api"

// Phase is how far a key has come at one gate.
type Phase uint8

// The phases, in the order in which one replaces another when two records of
// a key are merged.
const (
	// Absent: the gate knows nothing of the key.
	Absent Phase = iota
	// Fenced: only the attempt with the record's ballot may start.
	Fenced
	// Running: the attempt with the record's ballot was let through.
	Running
	// Unknown: an attempt was let through, and it can't be told whether the
	// upstream ran it.
	Unknown
	// Ran: the upstream ran the request.
	Ran
)

// State is one gate's record of one key, without the saved answer.
type State struct {
	Phase Phase `cbor:"1,keyasint"`
	// Ballot is the highest one fenced, or the one that was let through.
	Ballot Ballot `cbor:"2,keyasint"`
	// Print is the fingerprint of the request; 0 where it is not known.
	Print uint64 `cbor:"3,keyasint,omitempty"`
}

// Start lets an attempt through or says why not. api.OK means that the record
// is Running now and the caller must call End. A record that is Ran gives
// CallAnswerNotKept; a saved answer goes in its place.
func (s State) Start(b Ballot, print uint64) (State, api.Code) {
	if s.clashes(print) {
		return s, api.CallKeyClash
	}
	if s.Phase > Fenced {
		return s, s.Code()
	}
	if s.Ballot != b {
		return s, api.CallFenced
	}
	return State{Phase: Running, Ballot: b, Print: print}, api.OK
}

// Code is what a caller is told of an attempt that was let through before.
func (s State) Code() api.Code {
	switch s.Phase {
	case Running:
		return api.CallStillRunning
	case Ran:
		return api.CallAnswerNotKept
	default:
		return api.CallOutcomeUnknown
	}
}

// End records how the attempt that was let through came out. One that did not
// run leaves what was there before it: nothing, or its own fence.
func (s State) End(ran api.Ran) State {
	switch ran {
	case api.RanYes:
		s.Phase = Ran
	case api.RanNo:
		if s.Ballot.IsFirst() {
			return State{}
		}
		s.Phase = Fenced
	default:
		s.Phase = Unknown
	}
	return s
}

// Grant is a gate's answer to an attempt that asks for a fence.
type Grant uint8

// The answers.
const (
	// Granted: no attempt with a lower ballot will start here.
	Granted Grant = iota + 1
	// Outbid: an attempt with a higher ballot holds the fence.
	Outbid
	// Found: the gate has a record of an attempt that was let through.
	Found
	// Clash: the key belongs to a different request.
	Clash
	// Stale: a gate has joined since the attempt read the roster.
	Stale
)

// Fence sets a fence for b or says what stands against it.
func (s State) Fence(b Ballot, print uint64) (State, Grant) {
	if s.clashes(print) {
		return s, Clash
	}
	if s.Phase > Fenced {
		return s, Found
	}
	if s.Ballot.Compare(b) > 0 {
		return s, Outbid
	}
	return State{Phase: Fenced, Ballot: b, Print: print}, Granted
}

// Merge folds another gate's record in. The further phase wins, so that what
// ran stays known; the higher ballot wins, so that no fence is lowered.
func (s State) Merge(o State) State {
	if o.Phase > s.Phase {
		s.Phase, s.Print = o.Phase, o.Print
	}
	if o.Ballot.Compare(s.Ballot) > 0 {
		s.Ballot = o.Ballot
	}
	return s
}

// Joiner returns what a gate that joins must know of the key: that late first
// attempts, and lower ballots, may not start there. Records of first attempts
// stay where they are, since every later attempt asks there.
func (s State) Joiner() State {
	if s.Ballot.IsFirst() {
		return State{}
	}
	return State{Phase: Fenced, Ballot: s.Ballot, Print: s.Print}
}

func (s State) clashes(print uint64) bool {
	return s.Phase != Absent && s.Print != 0 && print != 0 && s.Print != print
}
