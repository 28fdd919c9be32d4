package gossip_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/link"
	"github.com/daisytide/daisytide/internal/conn/wire"
	"github.com/daisytide/daisytide/internal/process/gossip"
	"github.com/daisytide/daisytide/internal/process/membership"
	"github.com/daisytide/daisytide/internal/version/document"
)

// The target limits a node's control traffic to 11 KB per second, sent and
// received. Each test below checks one share of it; a tenth stays unassigned.
const (
	controlBudget = 11_000
	// linkEnds is how often a message that crosses each of a node's links once
	// in both directions counts towards the node's traffic.
	linkEnds = 2 * gossip.MaxNeighbours
)

// Digests may use an eighth of the budget: one per second, both ways over six
// links.
func TestDigestFitsTrafficBudget(t *testing.T) {
	limit := controlBudget / 8 / linkEnds
	topics := map[string]uint64{membership.TopicName: ^uint64(0), "rollouts": ^uint64(0), "evidence": ^uint64(0), "quarantine": ^uint64(0)}
	if got := frameBytes(t, &link.Message{Digest: &link.Digest{ConfigNumber: 400_000, Checksums: topics}}); got > limit {
		t.Errorf("%d bytes, want at most %d", got, limit)
	}
}

// Five upstream changes per second may use three quarters of the budget, even
// if each link carries each of them both ways.
func TestMemberRecordFitsTrafficBudget(t *testing.T) {
	const changesPerSecond = 5
	limit := controlBudget * 3 / 4 / changesPerSecond / linkEnds
	item, err := wire.Marshal(membership.Record{
		Address: "10.123.145.167:17946", Region: "region-2", DataCentre: "tt-north-2", Rack: "rack-14",
		Incarnation: uint64(time.Now().UnixMilli()), Sequence: 70_000, State: membership.Alive,
		Service: "credit-ledger", Version: "v2.14.3", Upstream: api.UpstreamReady, Slots: 10,
	})
	if err != nil {
		t.Fatal(err)
	}
	facts := &link.Items{Topic: membership.TopicName, Encoded: [][]byte{item}}
	if got := frameBytes(t, &link.Message{Items: facts}); got > limit {
		t.Errorf("%d bytes, want at most %d", got, limit)
	}
}

func frameBytes(t *testing.T, m *link.Message) int {
	t.Helper()
	b, err := link.Encode(m)
	if err != nil {
		t.Fatal(err)
	}
	return link.FrameSize(len(b), true)
}

// largeDocument returns a document of the target's size with one route's limit
// changed.
func largeDocument(t *testing.T, change int) []byte {
	t.Helper()
	var doc document.Document
	for i := range 36 {
		name := fmt.Sprint("service-", i)
		doc.Services = append(doc.Services, document.Service{Name: name, Versions: []string{"v1"}, Current: "v1"})
		doc.Routes = append(doc.Routes, document.Route{
			Name: name, Match: document.Match{Prefix: "/" + name}, Service: name,
			TimeLimit: document.Duration(time.Second), Caller: document.Buyer,
		})
	}
	doc.Routes[change%len(doc.Routes)].TimeLimit += document.Duration(time.Duration(change+1) * time.Millisecond)
	text, err := json.Marshal(doc)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// A change must be in force within 4 s and may use an eighth of the budget for
// that time, 5,500 bytes per node. Each link carries at most an announcement
// both ways, and each node pulls one body: with six links per node that is eight
// messages per node.
func TestConfigChangeFitsTrafficBudget(t *testing.T) {
	const nodes, changes, maxMessagesPerNode, maxBytesPerNode = 27, 10, 8, controlBudget * 4 / 8
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 1, nodes)
		defer f.shutdown()
		time.Sleep(15 * time.Second)
		apply := func(change int) {
			out := f.node(f.addresses[change%nodes]).provider.Apply(context.Background(), largeDocument(t, change), "bound", 0)
			if out.Outcome != api.ApplyAccepted {
				t.Fatalf("apply: %+v", out)
			}
			time.Sleep(4 * time.Second)
		}
		apply(0)
		idleMessages, idleBytes := f.countTraffic(func() { time.Sleep(4 * time.Second * changes) })
		messages, bytes := f.countTraffic(func() {
			for change := 1; change <= changes; change++ {
				apply(change)
			}
		})
		f.wantNumber(changes+1, "after the changes")
		if got := (messages - idleMessages) / changes; got > maxMessagesPerNode*nodes {
			t.Errorf("%d messages for a change, want at most %d", got, maxMessagesPerNode*nodes)
		}
		// Each byte sent is also received once.
		if got := 2 * (bytes - idleBytes) / changes / nodes; got > maxBytesPerNode {
			t.Errorf("%d bytes per node for a change, want at most %d", got, maxBytesPerNode)
		}
	})
}

// countTraffic returns the messages and bytes sent while fn runs.
func (f *testFleet) countTraffic(fn func()) (messages, bytes int) {
	m, b := f.net.Counts()
	fn()
	messages, bytes = f.net.Counts()
	return messages - m, bytes - b
}

// In each of three data centres two watchers hold a watch that the store ends
// every 30 s, and one seed keeper reads the seeds at most once in 30 s and
// writes them when they changed: 6/30 + 2*3/30 calls per second at any size.
func TestStoreCallRateIsIndependentOfFleetSize(t *testing.T) {
	const idleTime = 10 * time.Minute
	limit := uint64((6 + 2*3) * idleTime / (30 * time.Second))
	for _, nodes := range []int{9, 18, 36} {
		synctest.Test(t, func(t *testing.T) {
			f := newTestFleet(t, 1, nodes)
			defer f.shutdown()
			time.Sleep(time.Minute)
			before := f.store.Counts().Total()
			time.Sleep(idleTime)
			if got := f.store.Counts().Total() - before; got > limit {
				t.Errorf("%d nodes: %d calls, want at most %d", nodes, got, limit)
			}
		})
	}
}

// The target is 250 ms until a document is in force on every node. Messages are
// delayed by up to 5 ms; times are those of the synctest clock.
func TestConfigChangePropagatesWithinTarget(t *testing.T) {
	const target, changes = 250 * time.Millisecond, 10
	nodes := 120
	if testing.Short() {
		nodes = 36
	}
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 1, nodes)
		defer f.shutdown()
		time.Sleep(20 * time.Second)
		var slowest time.Duration
		for change := range uint64(changes) {
			begin := time.Now()
			if out := f.apply(f.addresses[change], int(change)); out.Outcome != api.ApplyAccepted {
				t.Fatalf("apply: %+v", out)
			}
			for !f.allHaveNumber(change + 1) {
				time.Sleep(time.Millisecond)
			}
			slowest = max(slowest, time.Since(begin))
			time.Sleep(time.Second)
		}
		if slowest > target {
			t.Errorf("a change took %v to reach all nodes, want at most %v", slowest, target)
		}
		t.Logf("the slowest of %d changes took %v at %d nodes", changes, slowest, nodes)
	})
}

func (f *testFleet) allHaveNumber(number uint64) bool {
	for _, a := range f.addresses {
		if f.node(a).holder.Current().Number() < number {
			return false
		}
	}
	return true
}
