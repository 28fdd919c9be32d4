package gossip_test

import (
	"testing"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/process/provider"
)

// Guards against a node that reaches the store, but waits for peers that have all fallen
// silent, as its links still count as established.
func TestNodeWhosePeersAreAllSilentHasAChangeInTimeFromTheStore(t *testing.T) {
	const applyLimit = 2 * time.Second
	runWithFleet(t, func(f *testFleet) {
		alone := ""
		for _, a := range f.addresses {
			n := f.node(a)
			if provider.WatcherRank(n.members.Index().Members, n.self.Record()) >= provider.WatchersPerDataCentre {
				alone = a
			}
		}
		if alone == "" {
			t.Fatal("every node watches the store")
		}
		f.net.Partition(1, alone)
		if out := f.apply(f.addresses[0], 2); out.Outcome != api.ApplyAccepted {
			t.Fatalf("apply: %+v", out)
		}
		written := time.Now()
		n := f.node(alone)
		for n.holder.Current().Number() < 2 && time.Since(written) < time.Minute {
			time.Sleep(10 * time.Millisecond)
		}
		took := time.Since(written)
		t.Logf("in force after %v", took.Round(10*time.Millisecond))
		if took > applyLimit {
			t.Errorf("the change is in force after %v, want at most %v", took, applyLimit)
		}
		f.net.Partition(0, alone)
		time.Sleep(20 * time.Second)
	})
}
