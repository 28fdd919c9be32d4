// Package evacuation keeps the set of data centres that an operator has evacuated.
// An order is a key in the store; its removal ends it. Nodes that watch the store
// gossip what they read, so nodes that the store refuses know the same set. Gates
// of an evacuated data centre refuse requests, and entries send none there.
package evacuation

import (
	"fmt"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	"github.com/daisytide/daisytide/api"
)

// Bounds of a valid order.
const (
	maxNameBytes = 256
	// maxRevision keeps a damaged item from taking precedence over all later ones.
	maxRevision = 1 << 62
)

// Order says whether a data centre was evacuated at a revision of the store.
type Order struct {
	DataCentre string `cbor:"1,keyasint"`
	// Revision is that of the key's write or deletion. For a key that was missing
	// from a list it is the revision of the list's first page.
	Revision uint64 `cbor:"2,keyasint"`
	InForce  bool   `cbor:"3,keyasint,omitempty"`
}

// supersedes reports whether o replaces old: the higher revision wins. With equal
// revisions the removal wins, because a list that began at the revision of the write
// can miss the key only if it was deleted since.
func (o Order) supersedes(old Order) bool {
	if o.Revision != old.Revision {
		return o.Revision > old.Revision
	}
	return old.InForce && !o.InForce
}

func (o Order) hash() uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s\n%d\n%t", o.DataCentre, o.Revision, o.InForce))
}

// validate returns an error for an order that no node records.
func (o Order) validate() error {
	if o.DataCentre == "" || len(o.DataCentre) > maxNameBytes || !utf8.ValidString(o.DataCentre) {
		return api.Errorf(api.PeerFrame, "evacuation of a data centre with the name %.40q", o.DataCentre)
	}
	if o.Revision == 0 || o.Revision > maxRevision {
		return api.Errorf(api.PeerFrame, "evacuation of %.40q at revision %d", o.DataCentre, o.Revision)
	}
	return nil
}
