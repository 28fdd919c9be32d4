// Package membershipship holds what nodes know of each other: one record per node,
// merged by a rule under which order and repetition do not matter.
package membership

import (
	"github.com/daisytide/daisytide/api"
)

// State is what the nodes believe of one of them.
type State uint8

// The states, in merge order: at equal incarnation and sequence the higher wins.
const (
	Alive State = iota + 1
	Suspect
	Leaving
	Gone
)

// String names the state.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Leaving:
		return "leaving"
	case Gone:
		return "gone"
	default:
		return "none"
	}
}

// Record describes one node and the upstream beside it.
type Record struct {
	// Address is the node's peer listener (IP and port); it identifies the node.
	Address    string `cbor:"1,keyasint"`
	Region     string `cbor:"2,keyasint,omitempty"`
	DataCentre string `cbor:"3,keyasint"`
	Rack       string `cbor:"4,keyasint,omitempty"`
	// Incarnation rises with each start of the process, and when it refutes a
	// suspicion.
	Incarnation uint64 `cbor:"5,keyasint"`
	// Sequence counts the record's changes within an incarnation; only the
	// node itself raises it.
	Sequence uint64 `cbor:"6,keyasint"`
	State    State  `cbor:"7,keyasint"`

	Service  string            `cbor:"8,keyasint,omitempty"`
	Version  string            `cbor:"9,keyasint,omitempty"`
	Upstream api.UpstreamState `cbor:"10,keyasint,omitempty"`
	Slots    int               `cbor:"11,keyasint,omitempty"`
	// Gate is where the node takes the requests of other nodes; empty where
	// that is the peer listener.
	Gate string `cbor:"12,keyasint,omitempty"`
}

// Supersedes tells whether r replaces old under the merge rule: the higher
// incarnation, then the higher sequence, then the higher state.
func (r Record) Supersedes(old Record) bool {
	if r.Incarnation != old.Incarnation {
		return r.Incarnation > old.Incarnation
	}
	if r.Sequence != old.Sequence {
		return r.Sequence > old.Sequence
	}
	return r.State > old.State
}

// Serving tells whether the node's upstream may receive new calls.
func (r Record) Serving() bool {
	return r.State <= Suspect && r.Upstream == api.UpstreamReady
}

// samePlace tells whether two records name the same place.
func (r Record) sameLocation(o Record) bool {
	return r.Region == o.Region && r.DataCentre == o.DataCentre && r.Rack == o.Rack
}

// maxTextBytes bounds each text of a record.
const maxFieldBytes = 256

// check refuses a record that no node writes.
func (r Record) validate() error {
	if r.Address == "" || r.State < Alive || r.State > Gone {
		return api.Errorf(api.PeerFrame, "a member record without address or state")
	}
	for _, s := range []string{r.Address, r.Region, r.DataCentre, r.Rack, r.Service, r.Version, string(r.Upstream), r.Gate} {
		if len(s) > maxFieldBytes {
			return api.Errorf(api.PeerFrame, "a member record with a text of %d bytes", len(s))
		}
	}
	return nil
}
