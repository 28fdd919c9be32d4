package membership

import (
	"testing"

	"github.com/daisytide/daisytide/internal/conn/wire"
)

// recordBeforeStore is Record as builds before StoreAccess decode and encode it.
type recordBeforeStore struct {
	Address     string `cbor:"1,keyasint"`
	DataCentre  string `cbor:"3,keyasint"`
	Incarnation uint64 `cbor:"5,keyasint"`
	Sequence    uint64 `cbor:"6,keyasint"`
	State       State  `cbor:"7,keyasint"`
}

// Guards against a node that never learns that another one has lost the store because a
// peer of an earlier build, which keeps no Store, sent the record first.
func TestRecordThatAnEarlierBuildPassedOnIsCompletedLater(t *testing.T) {
	full, err := wire.Marshal(Record{Address: "10.0.0.1:1", DataCentre: "a", Incarnation: 1, Sequence: 2, State: Alive, Store: StoreLost})
	if err != nil {
		t.Fatal(err)
	}
	var old recordBeforeStore
	if err := wire.Unmarshal(full, &old); err != nil {
		t.Fatal(err)
	}
	stripped, err := wire.Marshal(old)
	if err != nil {
		t.Fatal(err)
	}
	a, b := Topic{NewTable()}, Topic{NewTable()}
	for _, item := range [][]byte{stripped, full} {
		if _, err := a.Merge(item); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := b.Merge(full); err != nil {
		t.Fatal(err)
	}
	if r, _ := a.Table.Get("10.0.0.1:1"); r.Store != StoreLost {
		t.Errorf("store access %d after the record came through an earlier build and then in full, want %d", r.Store, StoreLost)
	}
	if a.Checksum() != b.Checksum() {
		t.Error("two tables that have the same record differ, so that each repair sends it again")
	}
}
