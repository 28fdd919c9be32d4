package once

// Methods of the questions between nodes.
const (
	MethodFence = "once-fence"
	MethodLook  = "once-look"
	MethodJoin  = "once-join"
	MethodTake  = "once-take"
	MethodClaim = "once-claim"
)

// Question asks a gate for its record of a key, or for a fence.
type Question struct {
	Service string `cbor:"1,keyasint"`
	Key     string `cbor:"2,keyasint"`
	// Gate is the incarnation that is asked; 0 asks whichever runs.
	Gate   uint64 `cbor:"3,keyasint,omitempty"`
	Ballot Ballot `cbor:"4,keyasint"`
	Print  uint64 `cbor:"5,keyasint,omitempty"`
	// Revision is that of the roster by which the attempt goes.
	Revision uint64 `cbor:"6,keyasint,omitempty"`
}

// Join is what a joining gate tells each gate that entered before it.
type Join struct {
	Service string `cbor:"1,keyasint"`
	Gate    uint64 `cbor:"2,keyasint"`
	// Joining is the asker; Gates and Revision are the first roster with it.
	Joining  Gate   `cbor:"3,keyasint"`
	Gates    []Gate `cbor:"4,keyasint"`
	Revision uint64 `cbor:"5,keyasint"`
	// After is the last key that earlier pages brought.
	After string `cbor:"6,keyasint,omitempty"`
}

// Joined answers a Join.
type Joined struct {
	// Ready tells that Known is all that a joining gate must know of fences. A
	// gate that is not ready itself can't tell.
	Ready bool `cbor:"1,keyasint,omitempty"`
	// Known are the keys that were fenced.
	Known []Known `cbor:"2,keyasint,omitempty"`
	// More tells that there are keys after the last.
	More bool `cbor:"3,keyasint,omitempty"`
	// Claims are the keys that move to the joining gate.
	Claims []uint64 `cbor:"4,keyasint,omitempty"`
}

// Claim asks a key's home for the number of an attempt.
type Claim struct {
	Service string `cbor:"1,keyasint"`
	Key     string `cbor:"2,keyasint"`
	// Gate is the home by the asker's roster, 0 where it has none; Revision is
	// that roster's.
	Gate     uint64 `cbor:"3,keyasint,omitempty"`
	Revision uint64 `cbor:"4,keyasint,omitempty"`
	// Back gives the place of the first attempt back: it was not run, and
	// nothing of it is under way.
	Back bool `cbor:"5,keyasint,omitempty"`
}

// Claimed answers a Claim.
type Claimed struct {
	// First: no other attempt with the key is or will be told so. Later: one
	// was. With neither the gate can't be sure.
	First bool `cbor:"1,keyasint,omitempty"`
	Later bool `cbor:"2,keyasint,omitempty"`
	// Gates and Revision are the gate's roster where it is not the home.
	Gates    []Gate `cbor:"3,keyasint,omitempty"`
	Revision uint64 `cbor:"4,keyasint,omitempty"`
}

// Take hands a leaving gate's records to one that stays.
type Take struct {
	Service string `cbor:"1,keyasint"`
	Gate    uint64 `cbor:"2,keyasint"`
	// Known are records, for any gate that is ready.
	Known []Known `cbor:"3,keyasint,omitempty"`
	// Claims are the keys whose home the asked gate becomes.
	Claims []uint64 `cbor:"4,keyasint,omitempty"`
}

// Taken answers a Take.
type Taken struct{}
