package idempotency

// GateID is one incarnation of a gate in the roster.
type GateID struct {
	// Address is the node's peer listener.
	Address string `cbor:"1,keyasint"`
	// Incarnation is random and differs at each start of the process.
	Incarnation uint64 `cbor:"2,keyasint"`
}

// RoundOutcome is what an attempt may do after what it heard from the gates.
type RoundOutcome uint8

// The verdicts, the strongest last.
const (
	// RoundPending: gates are still to answer.
	RoundPending RoundOutcome = iota
	// RoundFenced: every gate has granted the fence; the attempt may run.
	RoundFenced
	// RoundIncomplete: a gate could not be asked.
	RoundIncomplete
	// RoundStaleRoster: a gate joined meanwhile; read the roster again.
	RoundStaleRoster
	// RoundSuperseded: a later attempt holds a fence.
	RoundSuperseded
	// RoundRecordFound: a record tells what became of the key.
	RoundRecordFound
	// RoundKeyConflict: the key belongs to a different request.
	RoundKeyConflict
)

// FenceRound gathers the answers of the gates to one attempt. Answers may
// come in any order.
type FenceRound struct {
	pending int
	outcome RoundOutcome
	// Record is the furthest record heard of.
	Record KeyReply
}

// KeyReply is a gate's answer to a KeyRequest.
type KeyReply struct {
	Status FenceStatus `cbor:"1,keyasint"`
	// State is the record when Status is FenceRecordFound.
	State KeyState `cbor:"2,keyasint"`
	// Response is the saved answer, nil where none was kept.
	Response *SavedResponse `cbor:"3,keyasint,omitempty"`
}

// NewFenceRound starts a collection over a number of gates. Without any gate
// nothing can run, and the outcome is unknown.
func NewFenceRound(gates int) FenceRound {
	r := FenceRound{pending: gates}
	if gates == 0 {
		r.outcome = RoundIncomplete
	}
	return r
}

// AddReply takes one gate's answer.
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

// AddFailure takes note of a gate that could not be asked, or whose answer was lost.
func (r *FenceRound) AddFailure() {
	r.pending--
	r.raise(RoundIncomplete)
}

func (r *FenceRound) raise(outcome RoundOutcome) { r.outcome = max(r.outcome, outcome) }

// Outcome returns what the attempt may do. Only when every gate has granted
// the fence is it RoundFenced; a record or a clash settles it at once.
func (r *FenceRound) Outcome() RoundOutcome {
	if r.pending > 0 && r.outcome < RoundRecordFound {
		return RoundPending
	}
	return max(r.outcome, RoundFenced)
}
