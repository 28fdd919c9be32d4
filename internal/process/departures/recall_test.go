package departures

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisytide/daisytide/internal/standin/store"
)

// Processes that were started together remember nothing from before, however long they
// run: with the store in trouble none of them may vouch for another. One of them did once
// it had run for MaxReportDelay, and a late report was believed.
func TestProcessesStartedTogetherDoNotVouchForEachOther(t *testing.T) {
	for name, trouble := range map[string]store.Faults{
		"away":     {Down: true},
		"too slow": {Delay: promptReadTime + time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t)
				f.store.SetFaults(trouble)
				addresses := []string{"a", "b", "c", "d"}
				began := time.Now()
				for _, address := range addresses {
					f.start(address, false, false)
				}
				time.Sleep(time.Second)
				f.store.SetFaults(store.Faults{})
				for _, address := range addresses {
					n := f.node(address)
					<-n.recalled
					if took := time.Since(began); n.complete || took < MaxReportDelay {
						t.Errorf("%s: reports believed after %v, complete: %v", address, took, n.complete)
					}
					if from := n.receivedFrom.Sub(began); from < confirmedReportDelay {
						t.Errorf("%s: reports received %v after the start may be confirmed", address, from)
					}
				}
				f.stopAll()
			})
		})
	}
}

// With the store at hand and no process that remembers, the upstream is asked at once
// and is not missed for longer.
func TestUpstreamsAreAskedAtOnceWhenTheWholeFleetRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		began := time.Now()
		for _, address := range []string{"a", "b", "c"} {
			f.start(address, false, false)
		}
		a := f.node("a")
		<-a.usable
		if took := time.Since(began); took > peerSearchTime+2*recallInterval || a.receivedFrom.After(began) {
			t.Errorf("asked after %v, about reports received from %v on", took, a.receivedFrom.Sub(began))
		}
		<-a.recalled
		if a.complete {
			t.Error("processes that were started together vouch for each other")
		}
		f.stopAll()
	})
}

// A process that runs on since before the others ended remembers for them, even if it is
// not older than departures are kept.
func TestProcessThatRunsOnVouchesForTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		for _, address := range []string{"a", "b", "c"} {
			f.start(address, false, false)
		}
		time.Sleep(MaxReportDelay)
		f.kill("a", "b")
		f.start("b", false, false)
		began := time.Now()
		a := f.start("a", false, false)
		<-a.recalled
		if took := time.Since(began); !a.complete || took > 2*recallInterval {
			t.Errorf("recalled after %v, complete: %v", took, a.complete)
		}
		f.stopAll()
	})
}

// A departure beside a node that the store refuses was kept in the memory of its peers
// alone, although the store served them, and was lost with them.
func TestHoldingPeerWritesTheDepartureToTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.noGossip = true
		f.start("a", true, true)
		f.start("b", true, false)
		d := New("a", "i-1", 5, time.Now())
		began := time.Now()
		if err := f.node("a").Record(t.Context(), d); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(began); took >= time.Second {
			t.Errorf("acknowledged after %v, when the upstream no longer waits", took)
		}
		f.kill("a", "b")
		a := f.start("a", false, false)
		<-a.usable
		if left := a.learned(); len(left) != 1 || left[0].compare(d) != 0 {
			t.Errorf("learned of %+v", left)
		}
		f.stopAll()
	})
}

// The peer that holds a departure outlives the node and writes it once the store is back.
func TestHoldingPeerWritesAfterTheNodeHasEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.noGossip = true
		f.start("a", true, false)
		b := f.start("b", true, false)
		f.store.SetFaults(store.Faults{Down: true})
		d := New("a", "i-1", 5, time.Now())
		if err := f.node("a").Record(t.Context(), d); err != nil {
			t.Fatal(err)
		}
		f.kill("a")
		f.store.SetFaults(store.Faults{})
		time.Sleep(2 * storeRetryInterval)
		b.Keeper.mu.Lock()
		n := len(b.writes) + len(b.revisions)
		b.Keeper.mu.Unlock()
		if n != 0 {
			t.Errorf("%d writes for other nodes are kept after their end", n)
		}
		f.kill("b")
		a := f.start("a", false, false)
		<-a.usable
		if left := a.learned(); len(left) != 1 || left[0].compare(d) != 0 {
			t.Errorf("learned of %+v", left)
		}
		f.stopAll()
	})
}

// A missing departure must not be ruled out by a source that can't know of it: the store
// while it may have been away, and a peer that is as young as the node.
func TestKnowledgeFollowsFromTheEvidence(t *testing.T) {
	old, young := Reply{RunningMillis: 6000}, Reply{RunningMillis: 5500}
	for _, tc := range []struct {
		name    string
		e       evidence
		elapsed time.Duration
		want    knowledge
	}{
		{"nothing", evidence{storePrompt: true}, MaxReportDelay, unknown},
		{"store at once, peers may still answer", evidence{storeRead: true, storePrompt: true}, peerSearchTime - 1, unknown},
		{"store at once, no peer", evidence{storeRead: true, storePrompt: true}, peerSearchTime, storedOnly},
		{"store after an outage", evidence{storeRead: true}, MaxReportDelay, unknown},
		{"complete peer", evidence{peerComplete: true}, 0, complete},
		{"store, and a peer that has run on", evidence{storeRead: true, peerRemembers: old.remembers(time.Second)}, time.Second, complete},
		{"store, and a peer that is hardly older", evidence{storeRead: true, peerRemembers: young.remembers(time.Second)}, time.Second, unknown},
		{"a peer that has run on, no store", evidence{peerRemembers: old.remembers(time.Second)}, time.Second, unknown},
	} {
		if got := tc.e.assess(tc.elapsed); got != tc.want {
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
	}
}
