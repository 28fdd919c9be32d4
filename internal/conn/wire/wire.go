// Package wire encodes messages between nodes as deterministic CBOR and decodes
// them within fixed limits.
package wire

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/daisytide/daisytide/api"
)

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

func mustEncMode() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func mustDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxArrayElements: 1 << 16,
		MaxMapPairs:      1 << 12,
		MaxNestedLevels:  16,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Marshal encodes v in CBOR's core deterministic encoding.
func Marshal(v any) ([]byte, error) { return encMode.Marshal(v) }

// Unmarshal decodes b into v. Nesting and the sizes of arrays and maps are
// limited; duplicate keys, indefinite lengths and tags are rejected.
func Unmarshal(b []byte, v any) error {
	if err := decMode.Unmarshal(b, v); err != nil {
		return api.Errorf(api.PeerFrame, "decode a peer message: %w", err)
	}
	return nil
}
