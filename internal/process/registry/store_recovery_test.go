package registry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisytide/daisytide/internal/standin/store"
)

// linked hands what one node publishes to another.
type linked struct{ to *Registry }

func (l linked) Publish(_ string, item []byte) {
	if _, err := l.to.StoreRecoveries().Merge(item); err != nil {
		panic(err)
	}
}

// Leases lapsed while the store was away, between two renewals. One node
// notices its return; the entries of all are back within two seconds of it.
func TestEntriesAreBackSoonAfterAReturnThatOneNodeNotices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(1)
		a, b := newRegistry(s, "10.0.0.1:1"), newRegistry(s, "10.0.0.2:1")
		a.TTL, b.TTL = 20*time.Second, 20*time.Second
		a.Publisher, b.Publisher = linked{b}, linked{a}
		start(t, a)
		start(t, b)
		time.Sleep(100 * time.Millisecond)
		if n := entries(t, s); n != 2 {
			t.Fatalf("%d entries", n)
		}
		s.ExpireLeases()
		a.StoreRecovered(3 * time.Second)
		time.Sleep(2 * time.Second)
		if n := entries(t, s); n != 2 {
			t.Errorf("%d of 2 entries two seconds after the return", n)
		}
	})
}

// Several nodes notice the same return, and lost answers look like short ones:
// the fleet renews once.
func TestReturnNoticedByManyIsToldOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(1)
		a, b := newRegistry(s, "10.0.0.1:1"), newRegistry(s, "10.0.0.2:1")
		a.Publisher, b.Publisher = linked{b}, linked{a}
		a.StoreRecovered(returnLeast / 2)
		if a.StoreRecoveries().Checksum() != 0 {
			t.Error("a blip was told")
		}
		a.StoreRecovered(3 * time.Second)
		b.StoreRecovered(3 * time.Second)
		if a.StoreRecoveries().Checksum() != 1 || b.StoreRecoveries().Checksum() != 1 {
			t.Errorf("told %d and %d times", a.StoreRecoveries().Checksum(), b.StoreRecoveries().Checksum())
		}
		time.Sleep(returnGap)
		b.StoreRecovered(3 * time.Second)
		if a.StoreRecoveries().Checksum() != 2 {
			t.Errorf("the next return: %d", a.StoreRecoveries().Checksum())
		}
	})
}

// A store that is away is asked about once a second by each node.
func TestStoreThatIsAwayIsAskedSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const away = 9 * time.Second
		s := store.New(1)
		r := newRegistry(s, "10.0.0.1:1")
		r.LinkCount = func() int { return 1 }
		r.TTL = 10 * time.Second
		start(t, r)
		time.Sleep(100 * time.Millisecond)
		before := s.Counts()
		s.SetFaults(store.Faults{Down: true})
		time.Sleep(away)
		calls := s.Counts()
		s.SetFaults(store.Faults{})
		s.ExpireLeases()
		if n := calls.Total() - before.Total(); n > uint64(away/time.Second) {
			t.Errorf("%d calls in %v", n, away)
		}
		time.Sleep(2 * time.Second)
		if n := entries(t, s); n != 1 {
			t.Errorf("%d entries two seconds after the return", n)
		}
	})
}
