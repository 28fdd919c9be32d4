package idempotency

// RPC methods between nodes.
const (
	MethodFence    = "once-fence"
	MethodLookup   = "once-look"
	MethodJoin     = "once-join"
	MethodHandover = "once-take"
	MethodClaim    = "once-claim"
)

// KeyRequest asks a gate for a fence on a key, or for its record of the key.
type KeyRequest struct {
	Service string `cbor:"1,keyasint"`
	Key     string `cbor:"2,keyasint"`
	// Incarnation is that of the gate asked; 0 accepts any.
	Incarnation uint64 `cbor:"3,keyasint,omitempty"`
	Ballot      Ballot `cbor:"4,keyasint"`
	Fingerprint uint64 `cbor:"5,keyasint,omitempty"`
	// RosterRevision is the revision of the roster that the attempt has read.
	RosterRevision uint64 `cbor:"6,keyasint,omitempty"`
}

// JoinRequest announces a joining gate to a gate that registered before it.
type JoinRequest struct {
	Service     string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	// JoiningGate is the sender. Gates and Revision are the first roster that
	// contains it.
	JoiningGate GateID   `cbor:"3,keyasint"`
	Gates       []GateID `cbor:"4,keyasint"`
	Revision    uint64   `cbor:"5,keyasint"`
	// AfterKey is the last key of the previous page.
	AfterKey string `cbor:"6,keyasint,omitempty"`
}

// JoinReply is the reply to a JoinRequest.
type JoinReply struct {
	// Ready reports whether Records are all the fences that the joining gate
	// needs. It is false if the replying gate is not ready itself.
	Ready bool `cbor:"1,keyasint,omitempty"`
	// Records holds the fenced keys.
	Records []KeyRecord `cbor:"2,keyasint,omitempty"`
	// More reports whether another page follows.
	More bool `cbor:"3,keyasint,omitempty"`
	// Claims holds the claimed keys whose owner is now the joining gate.
	Claims []uint64 `cbor:"4,keyasint,omitempty"`
}

// ClaimRequest asks the owner of a key whether an attempt is the first with it.
type ClaimRequest struct {
	Service string `cbor:"1,keyasint"`
	Key     string `cbor:"2,keyasint"`
	// Incarnation is that of the owner in the sender's roster, 0 if the sender
	// has no roster; Revision is the revision of that roster.
	Incarnation uint64 `cbor:"3,keyasint,omitempty"`
	Revision    uint64 `cbor:"4,keyasint,omitempty"`
	// Release withdraws the claim of a first attempt that was not run and of
	// which nothing is in progress.
	Release bool `cbor:"5,keyasint,omitempty"`
}

// ClaimReply is the reply to a ClaimRequest.
type ClaimReply struct {
	// IsFirst: no other attempt with the key was or will be classified as first.
	// IsRepeat: another one was. If both are false, the gate cannot decide.
	IsFirst  bool `cbor:"1,keyasint,omitempty"`
	IsRepeat bool `cbor:"2,keyasint,omitempty"`
	// Gates and Revision are the replying gate's roster if it is not the owner.
	Gates    []GateID `cbor:"3,keyasint,omitempty"`
	Revision uint64   `cbor:"4,keyasint,omitempty"`
}

// HandoverRequest transfers a stopping gate's state to a remaining gate.
type HandoverRequest struct {
	Service     string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	// Records may be sent to any gate that is ready.
	Records []KeyRecord `cbor:"3,keyasint,omitempty"`
	// Claims holds the claimed keys whose owner is now the receiver.
	Claims []uint64 `cbor:"4,keyasint,omitempty"`
}

// HandoverReply is the reply to a HandoverRequest.
type HandoverReply struct{}
