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

// runWithFleet runs a test on nine nodes that are linked and hold configuration
// 1.
func runWithFleet(t *testing.T, test func(f *testFleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 1, 9)
		defer f.shutdown()
		time.Sleep(8 * time.Second)
		f.wantMembers("at the start")
		if out := f.apply(f.addresses[4], 1); out.Outcome != api.ApplyAccepted || out.Number != 1 {
			t.Fatalf("apply: %+v %v", out, out.Error)
		}
		time.Sleep(2 * time.Second)
		f.wantNumber(1, "at the start")
		test(f)
	})
}

func TestStoreOutageAfterAcceptedChange(t *testing.T) {
	runWithFleet(t, func(f *testFleet) {
		if out := f.apply(f.addresses[0], 2); out.Outcome != api.ApplyAccepted {
			t.Fatalf("apply: %+v", out)
		}
		f.store.SetFaults(store.Faults{Down: true})
		time.Sleep(2 * time.Second)
		f.wantNumber(2, "during the outage")
		if out := f.apply(f.addresses[1], 3); out.Outcome != api.ApplyRefused || out.Error.Code != api.StoreNotReached {
			t.Errorf("apply during the outage: %+v", out)
		}
		before := f.store.Counts().Total()
		outage := 2 * time.Hour
		if testing.Short() {
			outage = 10 * time.Minute
		}
		time.Sleep(outage)
		// Six watchers wait at random below 30 s: one call per 15 s on average;
		// the limit allows half as many again.
		if calls, limit := f.store.Counts().Total()-before, uint64(6*outage/(10*time.Second)); calls > limit {
			t.Errorf("%d calls in an outage of %v, want at most %d", calls, outage, limit)
		}
		f.store.SetFaults(store.Faults{})
		time.Sleep(time.Minute)
		if out := f.apply(f.addresses[1], 3); out.Outcome != api.ApplyAccepted || out.Number != 3 {
			t.Errorf("apply after the outage: %+v", out)
		}
		time.Sleep(2 * time.Second)
		f.wantNumber(3, "after the outage")
	})
}

func TestLostStoreReplyAfterSuccessfulWrite(t *testing.T) {
	runWithFleet(t, func(f *testFleet) {
		f.store.SetFaults(store.Faults{LostReplies: 1})
		out := f.apply(f.addresses[0], 2)
		if out.Outcome != api.ApplyAccepted || out.Number != 2 {
			t.Errorf("apply: %+v", out)
		}
		time.Sleep(2 * time.Second)
		f.wantNumber(2, "after the lost reply")
	})
}

func TestPausedNodeResumesWithStaleState(t *testing.T) {
	runWithFleet(t, func(f *testFleet) {
		paused := f.addresses[4]
		f.net.Pause(paused)
		time.Sleep(30 * time.Second)
		if r, _ := f.node(f.addresses[0]).members.Get(paused); r.State != membership.Gone {
			t.Errorf("the paused node is %v", r.State)
		}
		if out := f.apply(f.addresses[0], 2); out.Outcome != api.ApplyAccepted {
			t.Fatalf("apply: %+v", out)
		}
		f.net.Wake(paused)
		time.Sleep(20 * time.Second)
		f.wantNumber(2, "after the pause")
		f.wantMembers("after the pause")
	})
}

func TestPartitionedRegionRejoins(t *testing.T) {
	runWithFleet(t, func(f *testFleet) {
		f.net.Part(1, f.addresses[1], f.addresses[4], f.addresses[7])
		time.Sleep(40 * time.Second)
		if out := f.apply(f.addresses[0], 2); out.Outcome != api.ApplyAccepted {
			t.Fatalf("apply: %+v", out)
		}
		time.Sleep(2 * time.Second)
		// The store is reachable from both sides, so the watch delivers the
		// change across the partition.
		f.wantNumber(2, "during the partition")
		f.store.SetFaults(store.Faults{Down: true})
		f.net.Part(0, f.addresses...)
		time.Sleep(40 * time.Second)
		f.wantMembers("after the partition")
	})
}

func TestRestartDuringStoreOutage(t *testing.T) {
	runWithFleet(t, func(f *testFleet) {
		f.store.SetFaults(store.Faults{Down: true})
		f.crash(f.addresses[4])
		time.Sleep(time.Second)
		f.start(f.addresses[4])
		time.Sleep(10 * time.Second)
		f.wantNumber(1, "after the restart")
		if s := f.node(f.addresses[4]).provider.Source(); s != provider.SourcePeers {
			t.Errorf("started with a configuration from the %s", s)
		}
	})
}

func TestRestartWithoutStoreAndPeersHasNoConfiguration(t *testing.T) {
	runWithFleet(t, func(f *testFleet) {
		f.store.SetFaults(store.Faults{Down: true})
		f.crash(f.addresses[4])
		f.net.Part(1, f.addresses[4])
		f.start(f.addresses[4])
		time.Sleep(time.Minute)
		if n := f.node(f.addresses[4]).holder.Current().Number(); n != 0 {
			t.Errorf("started with configuration %d", n)
		}
	})
}

func TestRestartedNodeExceedsItsOldIncarnation(t *testing.T) {
	runWithFleet(t, func(f *testFleet) {
		f.crash(f.addresses[5])
		time.Sleep(30 * time.Second)
		f.wantMembers("after the crash")
		f.start(f.addresses[5])
		time.Sleep(10 * time.Second)
		f.wantMembers("after the restart")
	})
}

func TestLeavingNodeIsGoneWithinSeconds(t *testing.T) {
	runWithFleet(t, func(f *testFleet) {
		f.leave(f.addresses[5])
		time.Sleep(5 * time.Second)
		f.wantMembers("after the stop")
	})
}

func TestDataCentreRestart(t *testing.T) {
	runWithFleet(t, func(f *testFleet) {
		dataCentre := []string{f.addresses[1], f.addresses[4], f.addresses[7]}
		for _, a := range dataCentre {
			f.crash(a)
		}
		time.Sleep(time.Second)
		for _, a := range dataCentre {
			f.start(a)
		}
		time.Sleep(15 * time.Second)
		f.wantNumber(1, "after the data centre restart")
		f.wantMembers("after the data centre restart")
	})
}

func TestConvergenceDespiteCorruptAndLostMessages(t *testing.T) {
	runWithFleet(t, func(f *testFleet) {
		f.net.SetFaults(links.Faults{Corrupt: 0.1, Double: 0.2, Reorder: 0.2, Loss: 0.05, Delay: 50 * time.Millisecond})
		for i := 2; i < 6; i++ {
			if out := f.apply(f.addresses[i], i); out.Outcome != api.ApplyAccepted {
				t.Fatalf("apply %d: %+v", i, out)
			}
			time.Sleep(3 * time.Second)
		}
		f.net.SetFaults(links.Faults{Delay: 5 * time.Millisecond})
		time.Sleep(30 * time.Second)
		f.wantNumber(5, "after the message faults")
		f.wantMembers("after the message faults")
	})
}

func TestOnlyWatchersCallTheStore(t *testing.T) {
	runWithFleet(t, func(f *testFleet) {
		time.Sleep(time.Minute)
		before := map[string]uint64{}
		for _, a := range f.addresses {
			before[a] = f.node(a).guard.Calls()
		}
		time.Sleep(10 * time.Minute)
		calling := 0
		for _, a := range f.addresses {
			if f.node(a).guard.Calls() > before[a] {
				calling++
			}
		}
		if want := 3 * provider.WatchersPerDataCentre; calling != want {
			t.Errorf("%d nodes called the store, want %d", calling, want)
		}
	})
}

func TestFleetColdStartWithThreeSeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := 60
		if testing.Short() {
			nodes = 24
		}
		f := newTestFleet(t, 1, nodes)
		defer f.shutdown()
		time.Sleep(20 * time.Second)
		f.wantMembers("after a cold start of the fleet")
	})
}

// fillRounds bounds how often the records are published to fill a queue.
const fillRounds = 200

// A peer that does not read for a while loses messages that do not fit into its
// queue; anti-entropy must deliver their items.
func TestAntiEntropyRepairsQueueOverflow(t *testing.T) {
	runWithFleet(t, func(f *testFleet) {
		const records = 2000
		n := f.node(f.addresses[0])
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
		// The links send concurrently, so the number of messages that fills a queue
		// depends on the machine; publishing an item again changes nothing.
		for round := 0; round < fillRounds && n.gossip.Counters().Overflows == 0; round++ {
			for _, item := range items {
				n.gossip.Publish(membership.TopicName, item)
			}
		}
		if n.gossip.Counters().Overflows == 0 {
			t.Fatal("no queue was full")
		}
		time.Sleep(10 * time.Second)
		for _, a := range f.addresses {
			if got := len(f.node(a).members.Index().Members); got != records+len(f.addresses) {
				t.Errorf("%s holds %d records, want %d", a, got, records+len(f.addresses))
			}
		}
	})
}

// A node accepts a burst of twenty links and suggests other peers to the rest.
func TestLinksAboveAcceptRateAreRefusedWithAlternatives(t *testing.T) {
	runWithFleet(t, func(f *testFleet) {
		before := f.node(f.addresses[0]).gossip.Counters()
		refused := 0
		for i := range 100 {
			conn, err := f.net.Dialer(fmt.Sprint("10.8.0.", i, ":1")).Dial(context.Background(), f.addresses[0])
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
					t.Errorf("refused with code %v and alternatives %v", first.Refusal.Code, first.Refusal.Alternatives)
				}
			}
			_ = conn.Close()
		}
		// A hundred links arrived within a second: at most the burst of twenty and
		// as many again at the accept rate.
		if after := f.node(f.addresses[0]).gossip.Counters(); after.Accepted-before.Accepted > 40 || refused < 60 {
			t.Errorf("%d links accepted and %d refused", after.Accepted-before.Accepted, refused)
		}
	})
}
