package departures

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/daisytide/daisytide/internal/conn/wire"
)

// Sets that got the same departures in any order, some of them twice, are equal, and
// keep the departure of the latest start beside each node.
func TestMergeIsCommutativeAndIdempotent(t *testing.T) {
	now := time.Unix(1000, 0)
	departures := []Departure{
		New("a", "i-1", 5, now), New("a", "i-1", 6, now), New("a", "i-2", 6, now), New("a", "i-3", 0, now),
		New("b", "i-1", 7, now.Add(time.Second)), New("b", "i-1", 7, now),
	}
	var want uint64
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		set := NewSet(func() time.Time { return now })
		for _, i := range append(rng.Perm(len(departures)), rng.Perm(len(departures))...) {
			item, err := wire.Marshal(departures[i])
			if err != nil {
				t.Fatal(err)
			}
			if _, err := set.Merge(item); err != nil {
				t.Fatal(err)
			}
		}
		if seed == 0 {
			want = set.Checksum()
		}
		if d, _ := set.Get("a"); d.Instance != "i-3" || set.Checksum() != want || len(set.Items()) != 2 {
			t.Fatalf("seed %d: %+v, checksum %x, want %x", seed, set.all(), set.Checksum(), want)
		}
	}
}

func TestDeparturesExpire(t *testing.T) {
	now := time.Unix(1000, 0)
	set := NewSet(func() time.Time { return now })
	empty := set.Checksum()
	set.add(New("a", "i-1", 5, now))
	// The clock of the node that sent this one is an hour ahead.
	set.add(New("b", "i-2", 5, now.Add(time.Hour)))
	now = now.Add(TTL - time.Second)
	if _, ok := set.Get("a"); !ok || len(set.all()) != 2 {
		t.Error("a departure expired too soon")
	}
	now = now.Add(time.Second)
	if len(set.all()) != 0 || set.Checksum() != empty {
		t.Errorf("%+v, checksum %x, want %x", set.all(), set.Checksum(), empty)
	}
}

func TestInvalidDeparturesAreRejected(t *testing.T) {
	now := time.Unix(1000, 0)
	long := string(make([]byte, 1000))
	for _, d := range []Departure{{}, New("", "i", 5, now), New("a", "", 5, now), New("a", "i", -5, now), New(long, "i", 5, now), New("a", long, 5, now), New("a", "i", now.UnixMicro(), now), New("a", "i", 5, now.Add(time.Hour))} {
		set := NewSet(func() time.Time { return now })
		if changed, err := set.receive(d); err == nil || changed {
			t.Errorf("%+v: %v, %v", d, changed, err)
		}
	}
}
