package once

// Methods of the questions between nodes.
const (
	MethodFence = "once-fence"
	MethodLook  = "once-look"
	MethodJoin  = "once-join"
	MethodTake  = "once-take"
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

// Join is what a joining gate asks one that is ready.
type Join struct {
	Service string `cbor:"1,keyasint"`
	Gate    uint64 `cbor:"2,keyasint"`
	// Revision is that of the roster in which the joining gate stands first.
	Revision uint64 `cbor:"3,keyasint"`
	// After is the last key that earlier pages brought.
	After string `cbor:"4,keyasint,omitempty"`
}

// Joined answers a Join with the keys that were fenced.
type Joined struct {
	Known []Known `cbor:"1,keyasint"`
	// More tells that there are keys after the last.
	More bool `cbor:"2,keyasint,omitempty"`
}

// Take hands a leaving gate's records to one that stays.
type Take struct {
	Service string  `cbor:"1,keyasint"`
	Gate    uint64  `cbor:"2,keyasint"`
	Known   []Known `cbor:"3,keyasint"`
}

// Taken answers a Take.
type Taken struct{}
