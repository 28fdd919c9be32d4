package registry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisytide/daisytide/internal/standin/store"
)

// directPublisher delivers what one node publishes to another.
type directPublisher struct{ to *Registry }

func (p directPublisher) Publish(_ string, item []byte) {
	if _, err := p.to.StoreRecoveries().Merge(item); err != nil {
		panic(err)
	}
}

// Leases lapse during an outage, between two renewals. Only one node detects
// the recovery; the entries of all nodes must be back within two seconds.
func TestEntriesReturnAfterARecoveryDetectedByOneNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(1)
		a, b := newRegistry(s, "10.0.0.1:1"), newRegistry(s, "10.0.0.2:1")
		a.TTL, b.TTL = 20*time.Second, 20*time.Second
		a.Publisher, b.Publisher = directPublisher{b}, directPublisher{a}
		startRegistry(t, a)
		startRegistry(t, b)
		time.Sleep(100 * time.Millisecond)
		if n := countEntries(t, s); n != 2 {
			t.Fatalf("%d entries", n)
		}
		s.ExpireLeases()
		a.StoreRecovered(3 * time.Second)
		time.Sleep(2 * time.Second)
		if n := countEntries(t, s); n != 2 {
			t.Errorf("%d of 2 entries two seconds after the recovery", n)
		}
	})
}

// Several nodes detect the same recovery, and a lost reply looks like a short
// outage: the fleet must renew once.
func TestRecoveryDetectedByManyIsPublishedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(1)
		a, b := newRegistry(s, "10.0.0.1:1"), newRegistry(s, "10.0.0.2:1")
		a.Publisher, b.Publisher = directPublisher{b}, directPublisher{a}
		a.StoreRecovered(minOutage / 2)
		if a.StoreRecoveries().Checksum() != 0 {
			t.Error("an outage below the minimum was published")
		}
		a.StoreRecovered(3 * time.Second)
		b.StoreRecovered(3 * time.Second)
		if a.StoreRecoveries().Checksum() != 1 || b.StoreRecoveries().Checksum() != 1 {
			t.Errorf("counts are %d and %d, want 1", a.StoreRecoveries().Checksum(), b.StoreRecoveries().Checksum())
		}
		time.Sleep(recoveryWindow)
		b.StoreRecovered(3 * time.Second)
		if a.StoreRecoveries().Checksum() != 2 {
			t.Errorf("count after the next recovery: %d", a.StoreRecoveries().Checksum())
		}
	})
}

// During an outage each node calls the store about once a second.
func TestCallRateDuringOutageIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const outage = 9 * time.Second
		s := store.New(1)
		r := newRegistry(s, "10.0.0.1:1")
		r.LinkCount = func() int { return 1 }
		r.TTL = 10 * time.Second
		startRegistry(t, r)
		time.Sleep(100 * time.Millisecond)
		before := s.Counts()
		s.SetFaults(store.Faults{Down: true})
		time.Sleep(outage)
		calls := s.Counts()
		s.SetFaults(store.Faults{})
		s.ExpireLeases()
		if n := calls.Total() - before.Total(); n > uint64(outage/time.Second) {
			t.Errorf("%d calls in %v", n, outage)
		}
		time.Sleep(2 * time.Second)
		if n := countEntries(t, s); n != 1 {
			t.Errorf("%d entries two seconds after the recovery", n)
		}
	})
}
