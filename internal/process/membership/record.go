// Package membership replicates the member list: one record per node, merged by
// a rule that is commutative and idempotent.
package membership

import (
	"net"
	"strconv"
	"strings"
	"unicode/utf8"

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

// StoreAccess is what a node tells of its access to the platform's store.
type StoreAccess uint8

// Values of StoreAccess.
const (
	// StoreUnknown means that the node does not watch the store.
	StoreUnknown StoreAccess = iota
	// StoreServes means that the node watches the store and had a reply.
	StoreServes
	// StoreLost means that the node's calls fail.
	StoreLost
)

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
	// Store is the node's access to the store. Values that this version does not know
	// count as StoreUnknown.
	Store StoreAccess `cbor:"13,keyasint,omitempty"`
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

// Bounds of a valid record.
const (
	// maxFieldBytes bounds each text field.
	maxFieldBytes = 256
	// maxIncarnation leaves room for refutations, which add one to the incarnation
	// of the record that they refute.
	maxIncarnation = 1 << 62
	maxSlots       = 1 << 20
)

// Validate returns an error for a record that no node produces. Records of peers
// and entries of the store must pass it before they are merged: one that a peer
// refuses would be sent again with every repair, and an address that cannot be
// dialled would take the place of a neighbour.
func (r Record) Validate() error {
	if r.State < Alive || r.State > Gone {
		return api.Errorf(api.PeerFrame, "member record with the state %d", r.State)
	}
	for _, s := range []string{r.Address, r.Region, r.DataCentre, r.Rack, r.Service, r.Version, string(r.Upstream), r.Gate} {
		if len(s) > maxFieldBytes || !utf8.ValidString(s) {
			return api.Errorf(api.PeerFrame, "member record with a text field of %d bytes that is too long or not UTF-8", len(s))
		}
	}
	if err := validateAddress(r.Address); err != nil {
		return err
	}
	if r.Gate != "" {
		if err := validateAddress(r.Gate); err != nil {
			return err
		}
	}
	if r.Incarnation > maxIncarnation || r.Slots < 0 || r.Slots > maxSlots {
		return api.Errorf(api.PeerFrame, "member record of %s with incarnation %d and %d slots", r.Address, r.Incarnation, r.Slots)
	}
	return nil
}

// validateAddress checks that an address has a host without a zone and a port
// between 1 and 65535.
func validateAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	n, portErr := strconv.ParseUint(port, 10, 16)
	if err != nil || portErr != nil || n == 0 || host == "" || strings.Contains(host, "%") {
		return api.Errorf(api.PeerFrame, "member record with the address %q", address)
	}
	return nil
}
