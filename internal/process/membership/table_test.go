package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/daisytide/daisytide/api"
)

// fleetNodes and fleetServices are the design size of a fleet.
const (
	fleetNodes    = 1000
	fleetServices = 36
)

func fullTable(b testing.TB) *Table {
	b.Helper()
	t := NewTable()
	for i := range fleetNodes {
		t.Merge(Record{
			Address: fmt.Sprintf("10.0.%d.%d:7946", i/250, i%250), DataCentre: fmt.Sprint(i % 9), Incarnation: 1, State: Alive,
			Service: fmt.Sprint("service-", i%fleetServices), Version: "v1", Upstream: api.UpstreamReady, Slots: 10,
		})
	}
	return t
}

func TestChecksumExcludesGoneRecords(t *testing.T) {
	table := NewTable()
	topic := Topic{Table: table}
	empty := topic.Checksum()
	r := Record{Address: "10.0.0.1:1", Incarnation: 1, State: Alive}
	table.Merge(r)
	alive := topic.Checksum()
	r.Sequence++
	table.Merge(r)
	r.State = Gone
	table.Merge(r)
	if alive == empty || topic.Checksum() != empty {
		t.Errorf("checksums: empty %x, alive %x, gone %x", empty, alive, topic.Checksum())
	}
}

func TestMergeIsCommutativeAndIdempotent(t *testing.T) {
	records := []Record{
		{Address: "a", Incarnation: 1, State: Alive},
		{Address: "a", Incarnation: 1, State: Suspect},
		{Address: "a", Incarnation: 1, Sequence: 1, State: Alive},
		{Address: "a", Incarnation: 2, State: Alive},
		{Address: "a", Incarnation: 2, State: Gone},
	}
	// The last record wins; it is Gone and so does not count in the checksum.
	var want uint64
	permute(len(records), func(order []int) {
		table := NewTable()
		for _, i := range append(order, order...) {
			table.Merge(records[i])
		}
		got, _ := table.Get("a")
		if got != records[len(records)-1] {
			t.Errorf("order %v ends with %+v", order, got)
		}
		if sum := (Topic{Table: table}).Checksum(); sum != want {
			t.Errorf("order %v ends with checksum %x", order, sum)
		}
	})
}

// permute calls fn with each permutation of 0 to n-1.
func permute(n int, fn func([]int)) {
	var walk func(order []int, left []int)
	walk = func(order, left []int) {
		if len(left) == 0 {
			fn(append([]int(nil), order...))
			return
		}
		for i := range left {
			rest := append(append([]int(nil), left[:i]...), left[i+1:]...)
			walk(append(order, left[i]), rest)
		}
	}
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	walk(nil, all)
}

func TestIndexReflectsEachChange(t *testing.T) {
	table := fullTable(t)
	key := UpstreamKey{Service: "service-0", Version: "v1"}
	before := table.Index()
	r := before.Serving[key][0]
	r.Sequence++
	r.Upstream = api.UpstreamDraining
	table.Merge(r)
	after := table.Index()
	if len(after.Serving[key]) != len(before.Serving[key])-1 || len(after.Members) != fleetNodes {
		t.Errorf("%d serving and %d members after one drains", len(after.Serving[key]), len(after.Members))
	}
	if table.Index() != after {
		t.Error("the index was rebuilt without a change")
	}
	r.State = Gone
	table.Merge(r)
	if got := len(table.Index().Members); got != fleetNodes-1 {
		t.Errorf("%d members after one is gone", got)
	}
	for i := 1; i < len(after.Members); i++ {
		if after.Members[i-1].Address >= after.Members[i].Address {
			t.Fatal("the members are out of order")
		}
	}
}

func TestExpireRemovesStaleRecords(t *testing.T) {
	table := NewTable()
	table.Merge(Record{Address: "leaving", Incarnation: 1, State: Leaving})
	table.Merge(Record{Address: "suspect", Incarnation: 1, State: Suspect})
	now := time.Now().Add(LeavingTimeout + time.Second)
	table.Expire(now)
	for _, a := range []string{"leaving", "suspect"} {
		if r, _ := table.Get(a); r.State != Gone {
			t.Errorf("%s is %v", a, r.State)
		}
	}
	table.Expire(now.Add(TombstoneTTL))
	if all := table.All(); len(all) != 0 {
		t.Errorf("%d tombstones are left", len(all))
	}
}

func TestMalformedRecordsAreRejected(t *testing.T) {
	topic := Topic{Table: NewTable()}
	for _, item := range [][]byte{nil, {0xff}, {0xa0}, {0xa1, 0x01, 0x61, 'a'}} {
		if _, err := topic.Merge(item); api.CodeOf(err, 0) != api.PeerFrame {
			t.Errorf("%x: %v, want %v", item, err, api.PeerFrame)
		}
	}
}

// BenchmarkTableChurn changes one of 1,000 records and reads the index, as a
// node does at each change of an upstream.
func BenchmarkTableChurn(b *testing.B) {
	t := fullTable(b)
	members := t.Index().Members
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		r, _ := t.Get(members[i%fleetNodes].Address)
		r.Sequence++
		r.Slots = 1 + i%20
		t.Merge(r)
		t.Index()
		i++
	}
}

// Guards against upstreams of excluded data centres that stay in the index or do not
// return to it, whether their records change before, during or after the exclusion.
func TestIndexLeavesOutExcludedDataCentres(t *testing.T) {
	key := UpstreamKey{Service: "s", Version: "v1"}
	table := NewTable()
	put := func(address, dataCentre string, sequence uint64, state api.UpstreamState) {
		table.Merge(Record{Address: address, DataCentre: dataCentre, Incarnation: 1, Sequence: sequence, State: Alive, Service: "s", Version: "v1", Upstream: state, Slots: 1})
	}
	expect := func(when string, want, excluded int) {
		t.Helper()
		x := table.Index()
		if len(x.Serving[key]) != want || x.ExcludedServing[key] != excluded || x.ServesOnlyExcluded("s") != (want == 0 && excluded > 0) {
			t.Errorf("%s: %d serving, %d excluded", when, len(x.Serving[key]), x.ExcludedServing[key])
		}
	}
	put("a1", "a", 0, api.UpstreamReady)
	put("b1", "b", 0, api.UpstreamReady)
	expect("at first", 2, 0)
	table.Exclude(map[string]bool{"a": true})
	expect("with a excluded", 1, 1)
	put("a2", "a", 0, api.UpstreamReady)
	put("a1", "a", 1, api.UpstreamReady)
	expect("after changes in a", 1, 2)
	table.Exclude(map[string]bool{"a": true, "b": true})
	expect("with both excluded", 0, 3)
	put("a2", "a", 1, api.UpstreamDraining)
	table.Exclude(map[string]bool{"b": true})
	expect("with b excluded", 1, 1)
	table.Exclude(nil)
	expect("with none excluded", 2, 0)
	if got := len(table.Index().Members); got != 3 {
		t.Errorf("%d members", got)
	}
}
