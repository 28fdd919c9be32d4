package gossip_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/link"
	"github.com/daisytide/daisytide/internal/conn/wire"
	"github.com/daisytide/daisytide/internal/process/membership"
	"github.com/daisytide/daisytide/internal/process/provider"
	"github.com/daisytide/daisytide/internal/standin/links"
	"github.com/daisytide/daisytide/internal/standin/store"
)

// inFleet runs a test on nine nodes that have met and hold configuration 1.
func inFleet(t *testing.T, test func(f *testFleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 1, 9)
		defer f.end()
		time.Sleep(8 * time.Second)
		f.wantMembers("at the start")
		if out := f.apply(f.names[4], 1); out.Outcome != api.ApplyAccepted || out.Number != 1 {
			t.Fatalf("apply: %+v %v", out, out.Error)
		}
		time.Sleep(2 * time.Second)
		f.wantNumber(1, "at the start")
		test(f)
	})
}

func TestStoreOutageAcrossAnAcceptedChange(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		if out := f.apply(f.names[0], 2); out.Outcome != api.ApplyAccepted {
			t.Fatalf("apply: %+v", out)
		}
		f.store.SetFaults(store.Faults{Down: true})
		time.Sleep(2 * time.Second)
		f.wantNumber(2, "with the store down")
		if out := f.apply(f.names[1], 3); out.Outcome != api.ApplyRefused || out.Error.Code != api.StoreNotReached {
			t.Errorf("apply with the store down: %+v", out)
		}
		before := f.store.Counts().Total()
		outage := 2 * time.Hour
		if testing.Short() {
			outage = 10 * time.Minute
		}
		time.Sleep(outage)
		// Six watchers, each with a wait drawn below 30 s: one call in 15 s
		// on average, and half as many again at most.
		if calls, limit := f.store.Counts().Total()-before, uint64(6*outage/(10*time.Second)); calls > limit {
			t.Errorf("%d calls in an outage of %v, want at most %d", calls, outage, limit)
		}
		f.store.SetFaults(store.Faults{})
		time.Sleep(time.Minute)
		if out := f.apply(f.names[1], 3); out.Outcome != api.ApplyAccepted || out.Number != 3 {
			t.Errorf("apply after the outage: %+v", out)
		}
		time.Sleep(2 * time.Second)
		f.wantNumber(3, "after the outage")
	})
}

func TestReplyLostAfterTheWriteTookEffect(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		f.store.SetFaults(store.Faults{LostReplies: 1})
		out := f.apply(f.names[0], 2)
		if out.Outcome != api.ApplyAccepted || out.Number != 2 {
			t.Errorf("apply: %+v", out)
		}
		time.Sleep(2 * time.Second)
		f.wantNumber(2, "after the lost reply")
	})
}

func TestPausedNodeWakesWithOldNews(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		paused := f.names[4]
		f.net.Pause(paused)
		time.Sleep(30 * time.Second)
		if r, _ := f.node(f.names[0]).members.Get(paused); r.State != membership.Gone {
			t.Errorf("the paused node is %v", r.State)
		}
		if out := f.apply(f.names[0], 2); out.Outcome != api.ApplyAccepted {
			t.Fatalf("apply: %+v", out)
		}
		f.net.Resume(paused)
		time.Sleep(20 * time.Second)
		f.wantNumber(2, "after the pause")
		f.wantMembers("after the pause")
	})
}

func TestRegionCutAndHealed(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		f.net.Partition(1, f.names[1], f.names[4], f.names[7])
		time.Sleep(40 * time.Second)
		if out := f.apply(f.names[0], 2); out.Outcome != api.ApplyAccepted {
			t.Fatalf("apply: %+v", out)
		}
		time.Sleep(2 * time.Second)
		// The store is reached from both sides, so the watch brings it over.
		f.wantNumber(2, "while cut")
		f.store.SetFaults(store.Faults{Down: true})
		f.net.Partition(0, f.names...)
		time.Sleep(40 * time.Second)
		f.wantMembers("after the cut")
	})
}

func TestRestartWithTheStoreDown(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		f.store.SetFaults(store.Faults{Down: true})
		f.crash(f.names[4])
		time.Sleep(time.Second)
		f.start(f.names[4])
		time.Sleep(10 * time.Second)
		f.wantNumber(1, "after the restart")
		if s := f.node(f.names[4]).provider.Source(); s != provider.SourcePeers {
			t.Errorf("began from the %s", s)
		}
	})
}

func TestRestartWithoutStoreAndPeersServesNothing(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		f.store.SetFaults(store.Faults{Down: true})
		f.crash(f.names[4])
		f.net.Partition(1, f.names[4])
		f.start(f.names[4])
		time.Sleep(time.Minute)
		if n := f.node(f.names[4]).holder.Current().Number(); n != 0 {
			t.Errorf("began with %d", n)
		}
	})
}

func TestRestartedNodeGoesAboveItsOldIncarnation(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		f.crash(f.names[5])
		time.Sleep(30 * time.Second)
		f.wantMembers("after the crash")
		f.start(f.names[5])
		time.Sleep(10 * time.Second)
		f.wantMembers("after the restart")
	})
}

func TestLeavingNodeIsGoneSoon(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		f.leave(f.names[5])
		time.Sleep(5 * time.Second)
		f.wantMembers("after the stop")
	})
}

func TestHerdOfADataCentre(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		herd := []string{f.names[1], f.names[4], f.names[7]}
		for _, a := range herd {
			f.crash(a)
		}
		time.Sleep(time.Second)
		for _, a := range herd {
			f.start(a)
		}
		time.Sleep(15 * time.Second)
		f.wantNumber(1, "after the herd")
		f.wantMembers("after the herd")
	})
}

func TestDamagedMessagesDoNoHarm(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		f.net.SetFaults(links.Faults{Corrupt: 0.1, Duplicate: 0.2, Reorder: 0.2, Loss: 0.05, Delay: 50 * time.Millisecond})
		for i := 2; i < 6; i++ {
			if out := f.apply(f.names[i], i); out.Outcome != api.ApplyAccepted {
				t.Fatalf("apply %d: %+v", i, out)
			}
			time.Sleep(3 * time.Second)
		}
		f.net.SetFaults(links.Faults{Delay: 5 * time.Millisecond})
		time.Sleep(30 * time.Second)
		f.wantNumber(5, "after the damage")
		f.wantMembers("after the damage")
	})
}

func TestStoreIsCalledByTheWatchersOnly(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		time.Sleep(time.Minute)
		before := map[string]uint64{}
		for _, a := range f.names {
			before[a] = f.node(a).guard.Calls()
		}
		time.Sleep(10 * time.Minute)
		calling := 0
		for _, a := range f.names {
			if f.node(a).guard.Calls() > before[a] {
				calling++
			}
		}
		if want := 3 * provider.WatchersPerDataCentre; calling != want {
			t.Errorf("%d nodes call the store, want %d", calling, want)
		}
	})
}

func TestColdStartOfAllByThreeSeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := 60
		if testing.Short() {
			nodes = 24
		}
		f := newTestFleet(t, 1, nodes)
		defer f.end()
		time.Sleep(20 * time.Second)
		f.wantMembers("after a cold start of all")
	})
}

// fillRounds bounds how often the records are published to fill a queue.
const fillRounds = 200

// A peer that does not read for a while loses what its queue cannot hold, and
// the digest brings it all the same.
func TestFullQueueIsRepairedByTheDigest(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		const records = 2000
		n := f.node(f.names[0])
		var items [][]byte
		for i := range records {
			r := membership.Record{Address: fmt.Sprintf("10.9.%d.%d:1", i/250, i%250), Incarnation: 1, State: membership.Leaving}
			n.members.Merge(r)
			item, err := wire.Marshal(r)
			if err != nil {
				t.Fatal(err)
			}
			items = append(items, item)
		}
		// The links send meanwhile, so how much fills a queue depends on the
		// machine; what is sent again changes nothing.
		for round := 0; round < fillRounds && n.spread.Counters().Overflows == 0; round++ {
			for _, item := range items {
				n.spread.Publish(membership.TopicName, item)
			}
		}
		if n.spread.Counters().Overflows == 0 {
			t.Fatal("no queue was full")
		}
		time.Sleep(10 * time.Second)
		for _, a := range f.names {
			if got := len(f.node(a).members.Index().Members); got != records+len(f.names) {
				t.Errorf("%s holds %d records, want %d", a, got, records+len(f.names))
			}
		}
	})
}

// A node takes twenty links at once and names others to the rest.
func TestLinksAboveTheRateAreRefusedWithOthersToTry(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		before := f.node(f.names[0]).spread.Counters()
		refused := 0
		for i := range 100 {
			conn, err := f.net.Dialer(fmt.Sprint("10.8.0.", i, ":1")).Dial(context.Background(), f.names[0])
			if err != nil {
				t.Fatal(err)
			}
			self := membership.Record{Address: fmt.Sprint("10.8.0.", i, ":1"), State: membership.Alive, Incarnation: 1}
			if err := conn.Send(context.Background(), &link.Message{Hello: &link.Hello{Protocol: link.ProtocolVersion, Self: self}}); err != nil {
				t.Fatal(err)
			}
			first, err := conn.Receive(context.Background())
			if err != nil {
				t.Fatal(err)
			}
			if first.Refusal != nil {
				refused++
				if first.Refusal.Code != api.PeerBusy || len(first.Refusal.Alternatives) == 0 {
					t.Errorf("refused with %v and %v", first.Refusal.Code, first.Refusal.Alternatives)
				}
			}
			_ = conn.Close()
		}
		// A hundred links came within a second: at most the burst of twenty
		// and as many more as the rate lets in.
		if after := f.node(f.names[0]).spread.Counters(); after.Accepted-before.Accepted > 40 || refused < 60 {
			t.Errorf("%d taken and %d refused", after.Accepted-before.Accepted, refused)
		}
	})
}
