package registry

import (
	"context"
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/daisytide/daisytide/internal/conn/kvstore"
	"github.com/daisytide/daisytide/internal/conn/wire"
	"github.com/daisytide/daisytide/internal/process/membership"
	"github.com/daisytide/daisytide/internal/standin/store"
)

// goodFields are the fields of a valid record, by their CBOR keys.
func goodFields(address string) map[int]any {
	return map[int]any{1: address, 3: "a", 5: uint64(1), 6: uint64(0), 7: uint64(membership.Alive)}
}

func encodeFields(t *testing.T, fields map[int]any) []byte {
	t.Helper()
	b, err := cbor.Marshal(fields)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// oddValues returns values that another writer may leave under a node's key.
func oddValues(t *testing.T, address string) map[string][]byte {
	with := func(key int, value any) []byte {
		fields := goodFields(address)
		fields[key] = value
		return encodeFields(t, fields)
	}
	out := map[string][]byte{
		"empty":                 {},
		"JSON":                  []byte(`{"address":"10.0.0.9:1"}`),
		"JSON 100,000 deep":     []byte(strings.Repeat("[", 100_000)),
		"CBOR 100,000 deep":     []byte(strings.Repeat("\x81", 100_000)),
		"not UTF-8":             with(3, string([]byte{0xff, 0xfe})),
		"10 MB":                 append(encodeFields(t, goodFields(address)), make([]byte, 10<<20)...),
		"the number 1e400":      []byte("\xa1\x05\xc4\x82\x19\x01\x90\x01"),
		"a bignum":              []byte("\xa1\x05\xc2\x49\x01\x00\x00\x00\x00\x00\x00\x00\x00"),
		"duplicate keys":        []byte("\xa2\x01\x61a\x01\x61b"),
		"negative incarnation":  with(5, -1),
		"incarnation 2^64-1":    with(5, ^uint64(0)),
		"fractional number":     with(5, 1.5),
		"infinite number":       with(11, math.Inf(1)),
		"slots beyond int64":    with(11, ^uint64(0)),
		"negative slots":        with(11, -5),
		"2^40 slots":            with(11, uint64(1)<<40),
		"state 0":               with(7, uint64(0)),
		"state 200":             with(7, uint64(200)),
		"state as text":         with(7, "alive"),
		"address as a number":   with(1, 5),
		"address as a list":     with(1, []string{address}),
		"service as a map":      with(8, map[string]string{"a": "b"}),
		"gate with port 65536":  with(12, "10.0.0.9:65536"),
		"gate without a port":   with(12, "10.0.0.9"),
		"another address":       encodeFields(t, goodFields("10.0.0.1:1")),
		"a data centre of 1 MB": with(3, strings.Repeat("a", 1<<20)),
	}
	for _, odd := range []string{
		"", "10.0.0.9", "10.0.0.9:0", "10.0.0.9:65536", "10.0.0.9:-1", "10.0.0.9:http", "10.0.0.9:1:2", ":1",
		"[fe80::1%eth0]:1", strings.Repeat("a", 1<<20) + ":1",
	} {
		out[fmt.Sprintf("address %.30q", odd)] = with(1, odd)
	}
	return out
}

func putEntry(t *testing.T, s *store.Store, key string, value []byte) {
	t.Helper()
	ctx := context.Background()
	e, err := s.Get(ctx, key)
	if err == nil {
		_, err = s.CompareAndSwap(ctx, key, e.Revision, value, "")
	}
	if err != nil {
		t.Fatal(err)
	}
}

// storeWithEntry lists one entry more than the stand-in holds, of any size.
type storeWithEntry struct {
	*store.Store
	entry kvstore.Entry
}

func (s *storeWithEntry) List(ctx context.Context, prefix string, stale bool) ([]kvstore.Entry, uint64, error) {
	entries, revision, err := s.Store.List(ctx, prefix, stale)
	return append(entries, s.entry), revision, err
}

// Another writer may leave an odd entry among those of the nodes. The others stay in
// use, the odd one is left out and counted, and is used once it is put right.
func TestOddEntryAmongGoodOnesIsLeftOut(t *testing.T) {
	const odd = "10.9.9.9:7600"
	for _, others := range []int{0, 200} {
		for name, value := range oddValues(t, odd) {
			t.Run(fmt.Sprint(name, " among ", others), func(t *testing.T) {
				t.Parallel()
				s := &storeWithEntry{Store: store.New(1), entry: kvstore.Entry{Key: kvstore.PrefixNodes + odd, Value: value}}
				r := newRegistry(s, "10.0.0.1:7600")
				for i := range others {
					address := fmt.Sprintf("10.1.%d.%d:7600", i/100, i%100)
					putEntry(t, s.Store, kvstore.PrefixNodes+address, encodeFields(t, goodFields(address)))
				}
				check := func(members, invalid int) {
					t.Helper()
					r.listEntries(context.Background(), false)
					if got := len(r.Members.All()); got != members || r.InvalidEntries() != int64(invalid) || len(r.Peers()) != members {
						t.Errorf("%d members, %d peers and %d invalid entries, want %d, %d and %d", got, len(r.Peers()), r.InvalidEntries(), members, members, invalid)
					}
				}
				check(others, 1)
				for _, rec := range r.Members.All() {
					item, err := wire.Marshal(rec)
					if err != nil {
						t.Fatal(err)
					}
					if _, err := (membership.Topic{Table: membership.NewTable()}).Merge(item); err != nil {
						t.Errorf("peers refuse the record of %.40q: %v", rec.Address, err)
					}
				}
				s.entry.Value = encodeFields(t, goodFields(odd))
				check(others+1, 0)
			})
		}
	}
}

// An entry of another writer under the prefix, with a key that names no address.
func TestEntryUnderAKeyOfAnotherWriterIsLeftOut(t *testing.T) {
	s := store.New(1)
	r := newRegistry(s, "10.0.0.1:7600")
	putEntry(t, s, kvstore.PrefixNodes+"readme", encodeFields(t, goodFields("10.0.0.2:7600")))
	r.listEntries(context.Background(), false)
	if n := len(r.Members.All()); n != 0 || r.InvalidEntries() != 1 {
		t.Errorf("%d members and %d invalid entries, want 0 and 1", n, r.InvalidEntries())
	}
}

// A damaged count next to the highest value must not end the counting.
func TestDamagedRecoveryCountDoesNotEndTheCounting(t *testing.T) {
	a, b := &StoreRecoveries{}, &StoreRecoveries{}
	damaged := []byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}
	if _, err := a.Merge(damaged); err != nil {
		t.Fatal(err)
	}
	for i := range 3 {
		a.lastIncrease, b.lastIncrease = a.lastIncrease.Add(-recoveryWindow), b.lastIncrease.Add(-recoveryWindow)
		item := a.recordRecovery(a.lastIncrease.Add(2 * recoveryWindow))
		if changed, err := b.Merge(item); err != nil || !changed {
			t.Errorf("recovery %d: changed %v, error %v at the other node", i, changed, err)
		}
	}
}
