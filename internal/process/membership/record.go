// Package membership replicates the member list: one record per node, merged by
// a rule that is commutative and idempotent.
package membership

import (
	"github.com/daisytide/daisytide/api"
)

// State is the state of a member as seen by the other nodes.
type State uint8

// The states, in merge order: of two records with equal incarnation and
// sequence the higher state wins.
const (
	Alive State = iota + 1
	Suspect
	Leaving
	Gone
)

// String returns the name of the state.
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

// Record describes one node and its upstream.
type Record struct {
	// Address is the node's peer listener (IP and port); it identifies the node.
	Address    string `cbor:"1,keyasint"`
	Region     string `cbor:"2,keyasint,omitempty"`
	DataCentre string `cbor:"3,keyasint"`
	Rack       string `cbor:"4,keyasint,omitempty"`
	// Incarnation increases with each start of the process and each refuted
	// suspicion.
	Incarnation uint64 `cbor:"5,keyasint"`
	// Sequence counts the record's changes within an incarnation; only the
	// node itself increments it.
	Sequence uint64 `cbor:"6,keyasint"`
	State    State  `cbor:"7,keyasint"`

	Service  string            `cbor:"8,keyasint,omitempty"`
	Version  string            `cbor:"9,keyasint,omitempty"`
	Upstream api.UpstreamState `cbor:"10,keyasint,omitempty"`
	Slots    int               `cbor:"11,keyasint,omitempty"`
	// Gate is the address that receives other nodes' requests; empty means
	// the peer listener.
	Gate string `cbor:"12,keyasint,omitempty"`
}

// Supersedes reports whether r replaces old: the higher incarnation wins, then
// the higher sequence, then the higher state.
func (r Record) Supersedes(old Record) bool {
	if r.Incarnation != old.Incarnation {
		return r.Incarnation > old.Incarnation
	}
	if r.Sequence != old.Sequence {
		return r.Sequence > old.Sequence
	}
	return r.State > old.State
}

// Serving reports whether the node's upstream may receive new calls.
func (r Record) Serving() bool {
	return r.State <= Suspect && r.Upstream == api.UpstreamReady
}

// sameLocation reports whether both records have the same region, data centre
// and rack.
func (r Record) sameLocation(o Record) bool {
	return r.Region == o.Region && r.DataCentre == o.DataCentre && r.Rack == o.Rack
}

// maxFieldBytes bounds each text field of a record.
const maxFieldBytes = 256

// validate rejects records that no node produces.
func (r Record) validate() error {
	if r.Address == "" || r.State < Alive || r.State > Gone {
		return api.Errorf(api.PeerFrame, "member record without address or valid state")
	}
	for _, s := range []string{r.Address, r.Region, r.DataCentre, r.Rack, r.Service, r.Version, string(r.Upstream), r.Gate} {
		if len(s) > maxFieldBytes {
			return api.Errorf(api.PeerFrame, "member record with a text field of %d bytes", len(s))
		}
	}
	return nil
}
