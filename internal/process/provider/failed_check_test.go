package provider

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/daisytide/daisytide/internal/standin/store"
)

// Guards against a node that does not watch and calls the store without end after one
// failed read.
func TestNodeThatDoesNotWatchCallsTheStoreSeldomAfterAFailedRead(t *testing.T) {
	var watches atomic.Bool
	withStoreReaders(t, &watches, func(t *testing.T, s *store.Store, r storeReader, _ *accessLog, _ time.Duration) {
		s.SetFaults(store.Faults{Down: true})
		r.StoreLostElsewhere()
		time.Sleep(300 * time.Millisecond)
		s.SetFaults(store.Faults{})
		before := s.Counts().Total()
		time.Sleep(time.Minute)
		if calls := s.Counts().Total() - before; calls > 5 {
			t.Errorf("%d calls in the minute after a failed read, want a few", calls)
		}
	})
}
