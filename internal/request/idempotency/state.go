package idempotency

import "github.com/daisytide/daisytide/api"

// Phase is how far a key has come at one gate.
type Phase uint8

// The phases, in the order in which one replaces another when two records of
// a key are merged.
const (
	// PhaseAbsent: the gate knows nothing of the key.
	PhaseAbsent Phase = iota
	// PhaseFenced: only the attempt with the record's ballot may start.
	PhaseFenced
	// PhaseRunning: the attempt with the record's ballot was let through.
	PhaseRunning
	// PhaseUnknown: an attempt was let through, and it can't be told whether the
	// upstream ran it.
	PhaseUnknown
	// PhaseRan: the upstream ran the request.
	PhaseRan
)

// KeyState is one gate's record of one key, without the saved answer.
type KeyState struct {
	Phase Phase `cbor:"1,keyasint"`
	// Ballot is the highest one fenced, or the one that was let through.
	Ballot Ballot `cbor:"2,keyasint"`
	// Fingerprint is the fingerprint of the request; 0 where it is not known.
	Fingerprint uint64 `cbor:"3,keyasint,omitempty"`
}

// Begin lets an attempt through or says why not. api.OK means that the record
// is PhaseRunning now and the caller must call Finish. A record that is PhaseRan gives
// CallAnswerNotKept; a saved answer goes in its place.
func (s KeyState) Begin(b Ballot, fingerprint uint64) (KeyState, api.Code) {
	if s.conflictsWith(fingerprint) {
		return s, api.CallKeyClash
	}
	if s.Phase > PhaseFenced {
		return s, s.Code()
	}
	if s.Ballot != b {
		return s, api.CallFenced
	}
	return KeyState{Phase: PhaseRunning, Ballot: b, Fingerprint: fingerprint}, api.OK
}

// Code is what a caller is told of an attempt that was let through before.
func (s KeyState) Code() api.Code {
	switch s.Phase {
	case PhaseRunning:
		return api.CallStillRunning
	case PhaseRan:
		return api.CallAnswerNotKept
	default:
		return api.CallOutcomeUnknown
	}
}

// Finish records how the attempt that was let through came out. One that did not
// run leaves what was there before it: nothing, or its own fence.
func (s KeyState) Finish(ran api.Ran) KeyState {
	switch ran {
	case api.RanYes:
		s.Phase = PhaseRan
	case api.RanNo:
		if s.Ballot.IsFirst() {
			return KeyState{}
		}
		s.Phase = PhaseFenced
	default:
		s.Phase = PhaseUnknown
	}
	return s
}

// FenceStatus is a gate's answer to an attempt that asks for a fence.
type FenceStatus uint8

// The answers.
const (
	// FenceGranted: no attempt with a lower ballot will start here.
	FenceGranted FenceStatus = iota + 1
	// FenceSuperseded: an attempt with a higher ballot holds the fence.
	FenceSuperseded
	// FenceRecordFound: the gate has a record of an attempt that was let through.
	FenceRecordFound
	// FenceKeyConflict: the key belongs to a different request.
	FenceKeyConflict
	// FenceStaleRoster: a gate has joined since the attempt read the roster.
	FenceStaleRoster
)

// Fence sets a fence for b or says what stands against it.
func (s KeyState) Fence(b Ballot, fingerprint uint64) (KeyState, FenceStatus) {
	if s.conflictsWith(fingerprint) {
		return s, FenceKeyConflict
	}
	if s.Phase > PhaseFenced {
		return s, FenceRecordFound
	}
	if s.Ballot.Compare(b) > 0 {
		return s, FenceSuperseded
	}
	return KeyState{Phase: PhaseFenced, Ballot: b, Fingerprint: fingerprint}, FenceGranted
}

// Merge folds another gate's record in. The further phase wins, so that what
// ran stays known; the higher ballot wins, so that no fence is lowered.
func (s KeyState) Merge(o KeyState) KeyState {
	if o.Phase > s.Phase {
		s.Phase, s.Fingerprint = o.Phase, o.Fingerprint
	}
	if o.Ballot.Compare(s.Ballot) > 0 {
		s.Ballot = o.Ballot
	}
	return s
}

// FenceForJoiner returns what a gate that joins must know of the key: that late first
// attempts, and lower ballots, may not start there. Records of first attempts
// stay where they are, since every later attempt asks there.
func (s KeyState) FenceForJoiner() KeyState {
	if s.Ballot.IsFirst() {
		return KeyState{}
	}
	return KeyState{Phase: PhaseFenced, Ballot: s.Ballot, Fingerprint: s.Fingerprint}
}

func (s KeyState) conflictsWith(print uint64) bool {
	return s.Phase != PhaseAbsent && s.Fingerprint != 0 && print != 0 && s.Fingerprint != print
}
