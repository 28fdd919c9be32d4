package idempotency

// Methods of the questions between nodes.
const (
	MethodFence    = "once-fence"
	MethodLookup   = "once-look"
	MethodJoin     = "once-join"
	MethodHandover = "once-take"
	MethodClaim    = "once-claim"
)

// KeyRequest asks a gate for its record of a key, or for a fence.
type KeyRequest struct {
	Service string `cbor:"1,keyasint"`
	Key     string `cbor:"2,keyasint"`
	// Incarnation is the incarnation that is asked; 0 asks whichever runs.
	Incarnation uint64 `cbor:"3,keyasint,omitempty"`
	Ballot      Ballot `cbor:"4,keyasint"`
	Fingerprint uint64 `cbor:"5,keyasint,omitempty"`
	// RosterRevision is that of the roster by which the attempt goes.
	RosterRevision uint64 `cbor:"6,keyasint,omitempty"`
}

// JoinRequest is what a joining gate tells each gate that entered before it.
type JoinRequest struct {
	Service     string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	// JoiningGate is the asker; Gates and Revision are the first roster with it.
	JoiningGate GateID   `cbor:"3,keyasint"`
	Gates       []GateID `cbor:"4,keyasint"`
	Revision    uint64   `cbor:"5,keyasint"`
	// AfterKey is the last key that earlier pages brought.
	AfterKey string `cbor:"6,keyasint,omitempty"`
}

// JoinReply answers a JoinRequest.
type JoinReply struct {
	// Ready tells that Records is all that a joining gate must know of fences. A
	// gate that is not ready itself can't tell.
	Ready bool `cbor:"1,keyasint,omitempty"`
	// Records are the keys that were fenced.
	Records []KeyRecord `cbor:"2,keyasint,omitempty"`
	// More tells that there are keys after the last.
	More bool `cbor:"3,keyasint,omitempty"`
	// Claims are the keys that move to the joining gate.
	Claims []uint64 `cbor:"4,keyasint,omitempty"`
}

// ClaimRequest asks a key's home for the number of an attempt.
type ClaimRequest struct {
	Service string `cbor:"1,keyasint"`
	Key     string `cbor:"2,keyasint"`
	// Incarnation is the home by the asker's roster, 0 where it has none; Revision is
	// that roster's.
	Incarnation uint64 `cbor:"3,keyasint,omitempty"`
	Revision    uint64 `cbor:"4,keyasint,omitempty"`
	// Release gives the place of the first attempt back: it was not run, and
	// nothing of it is under way.
	Release bool `cbor:"5,keyasint,omitempty"`
}

// ClaimReply answers a ClaimRequest.
type ClaimReply struct {
	// IsFirst: no other attempt with the key is or will be told so. Later: one
	// was. With neither the gate can't be sure.
	IsFirst  bool `cbor:"1,keyasint,omitempty"`
	IsRepeat bool `cbor:"2,keyasint,omitempty"`
	// Gates and Revision are the gate's roster where it is not the home.
	Gates    []GateID `cbor:"3,keyasint,omitempty"`
	Revision uint64   `cbor:"4,keyasint,omitempty"`
}

// HandoverRequest hands a leaving gate's records to one that stays.
type HandoverRequest struct {
	Service     string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	// Records are records, for any gate that is ready.
	Records []KeyRecord `cbor:"3,keyasint,omitempty"`
	// Claims are the keys whose home the asked gate becomes.
	Claims []uint64 `cbor:"4,keyasint,omitempty"`
}

// HandoverReply answers a HandoverRequest.
type HandoverReply struct{}
