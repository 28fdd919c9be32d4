// Package rollout decides how a service's calls move from one version to
// another: the state that merges, the schedule, and the share.
package rollout

// State is what is known of one move. It merges by a rule under which order
// and repetition do not matter: the highest step wins, and Withdrawn, once
// set, stays set under the same configuration number.
type State struct {
	Service string `cbor:"1,keyasint"`
	// Since is the configuration number that the move began under.
	Since     uint64 `cbor:"2,keyasint"`
	Step      int    `cbor:"3,keyasint,omitempty"`
	Withdrawn bool   `cbor:"4,keyasint,omitempty"`
	Done      bool   `cbor:"5,keyasint,omitempty"`
	// Why is the reason of the withdrawal or the latest step.
	Why string `cbor:"6,keyasint,omitempty"`
}
