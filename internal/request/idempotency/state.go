package idempotency

import "github.com/daisytide/daisytide/api"

// Phase is the progress of a key at one gate.
type Phase uint8

// Phases in order of precedence: merging two records of a key keeps the higher.
const (
	// PhaseAbsent: the gate has no record of the key.
	PhaseAbsent Phase = iota
	// PhaseFenced: only the attempt with the recorded ballot may start.
	PhaseFenced
	// PhaseRunning: the attempt with the recorded ballot has been started.
	PhaseRunning
	// PhaseUnknown: an attempt was started, and it is not known whether the
	// upstream ran it.
	PhaseUnknown
	// PhaseRan: the upstream has run the request.
	PhaseRan
)

// KeyState is a gate's record of one key, without the saved response.
type KeyState struct {
	Phase Phase `cbor:"1,keyasint"`
	// Ballot is the highest fenced ballot, or that of the started attempt.
	Ballot Ballot `cbor:"2,keyasint"`
	// Fingerprint identifies the request; 0 if it is not known.
	Fingerprint uint64 `cbor:"3,keyasint,omitempty"`
}

// Begin starts an attempt or returns the code that prevents it. After api.OK the
// state is PhaseRunning and the caller must call Finish. PhaseRan gives
// CallAnswerNotKept; a caller that has the saved response sends it instead.
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

// Code returns the result code of an attempt whose key has been started before.
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

// Finish records the outcome of the started attempt. If it did not run, the state
// before it is restored: no record, or the attempt's own fence.
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

// FenceStatus is a gate's reply to a fence request.
type FenceStatus uint8

// Fence statuses.
const (
	// FenceGranted: this gate will start no attempt with a lower ballot.
	FenceGranted FenceStatus = iota + 1
	// FenceSuperseded: an attempt with a higher ballot holds the fence.
	FenceSuperseded
	// FenceRecordFound: this gate has a record of a started attempt.
	FenceRecordFound
	// FenceKeyConflict: the key was used for a different request.
	FenceKeyConflict
	// FenceStaleRoster: a gate has joined since the roster was read.
	FenceStaleRoster
)

// Fence sets a fence for ballot b or returns the status that prevents it.
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

// Merge merges another gate's record. The higher phase wins, so that a run is
// never forgotten; the higher ballot wins, so that no fence is lowered.
func (s KeyState) Merge(o KeyState) KeyState {
	if o.Phase > s.Phase {
		s.Phase, s.Fingerprint = o.Phase, o.Fingerprint
	}
	if o.Ballot.Compare(s.Ballot) > 0 {
		s.Ballot = o.Ballot
	}
	return s
}

// FenceForJoiner returns the fence that a joining gate must respect: delayed
// first attempts and lower ballots may not start there. Records of first
// attempts are not copied, since every repeated attempt asks this gate too.
func (s KeyState) FenceForJoiner() KeyState {
	if s.Ballot.IsFirst() {
		return KeyState{}
	}
	return KeyState{Phase: PhaseFenced, Ballot: s.Ballot, Fingerprint: s.Fingerprint}
}

func (s KeyState) conflictsWith(fingerprint uint64) bool {
	return s.Phase != PhaseAbsent && s.Fingerprint != 0 && fingerprint != 0 && s.Fingerprint != fingerprint
}
