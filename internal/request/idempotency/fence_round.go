package idempotency

// GateID identifies one incarnation of a gate in a roster.
type GateID struct {
	// Address is that of the node's peer listener.
	Address string `cbor:"1,keyasint"`
	// Incarnation is random and differs after each restart of the process.
	Incarnation uint64 `cbor:"2,keyasint"`
}

// RoundOutcome is the result of requesting fences from all gates.
type RoundOutcome uint8

// Outcomes, ordered by precedence: a higher one replaces a lower one.
const (
	// RoundPending: not all gates have replied.
	RoundPending RoundOutcome = iota
	// RoundFenced: every gate has granted the fence, so the attempt may run.
	RoundFenced
	// RoundIncomplete: a gate could not be asked.
	RoundIncomplete
	// RoundStaleRoster: a gate has joined since; the roster must be read again.
	RoundStaleRoster
	// RoundSuperseded: an attempt with a higher ballot holds a fence.
	RoundSuperseded
	// RoundRecordFound: a gate has a record of a started attempt.
	RoundRecordFound
	// RoundKeyConflict: the key was used for a different request.
	RoundKeyConflict
)

// FenceRound collects the gates' replies to one attempt, in any order.
type FenceRound struct {
	pending int
	outcome RoundOutcome
	// Record is the reply with the most advanced phase.
	Record KeyReply
}

// KeyReply is a gate's reply to a KeyRequest.
type KeyReply struct {
	Status FenceStatus `cbor:"1,keyasint"`
	// State is set if Status is FenceRecordFound.
	State KeyState `cbor:"2,keyasint"`
	// Response is the saved response, nil if none was kept.
	Response *SavedResponse `cbor:"3,keyasint,omitempty"`
}

// NewFenceRound starts a round over the given number of gates. Without gates
// no attempt can run, and the outcome is RoundIncomplete.
func NewFenceRound(gates int) FenceRound {
	r := FenceRound{pending: gates}
	if gates == 0 {
		r.outcome = RoundIncomplete
	}
	return r
}

// AddReply adds one gate's reply.
func (r *FenceRound) AddReply(reply KeyReply) {
	r.pending--
	switch reply.Status {
	case FenceGranted:
	case FenceRecordFound:
		r.raise(RoundRecordFound)
		if reply.State.Phase > r.Record.State.Phase {
			r.Record = reply
		}
	case FenceSuperseded:
		r.raise(RoundSuperseded)
	case FenceStaleRoster:
		r.raise(RoundStaleRoster)
	case FenceKeyConflict:
		r.raise(RoundKeyConflict)
	default:
		r.raise(RoundIncomplete)
	}
}

// AddFailure adds a gate that could not be asked or whose reply was lost.
func (r *FenceRound) AddFailure() {
	r.pending--
	r.raise(RoundIncomplete)
}

func (r *FenceRound) raise(outcome RoundOutcome) { r.outcome = max(r.outcome, outcome) }

// Outcome returns the outcome so far. It is RoundFenced only once every gate has
// granted the fence; a record or a key conflict ends the round at once.
func (r *FenceRound) Outcome() RoundOutcome {
	if r.pending > 0 && r.outcome < RoundRecordFound {
		return RoundPending
	}
	return max(r.outcome, RoundFenced)
}
