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

// The target gives a node 11 KB a second for control, sent and received.
// Each bound below takes a share of it; together they leave a tenth.
const (
	budget = 11_000
	// linkEnds is the number of times a node's bytes count what crosses all
	// of its links once in both directions.
	linkEnds = 2 * gossip.MaxNeighbours
)

// Digests take an eighth: one a second, both ways over six links.
func TestDigestFitsItsShare(t *testing.T) {
	limit := budget / 8 / linkEnds
	topics := map[string]uint64{membership.TopicName: ^uint64(0), "rollouts": ^uint64(0), "evidence": ^uint64(0), "quarantine": ^uint64(0)}
	if got := frameOf(t, &link.Message{Digest: &link.Digest{ConfigNumber: 400_000, Checksums: topics}}); got > limit {
		t.Errorf("%d bytes, want at most %d", got, limit)
	}
}

// Five changes of upstreams a second may take three quarters, even if each
// link carries each of them both ways.
func TestMemberRecordFitsItsShare(t *testing.T) {
	const changesPerSecond = 5
	limit := budget * 3 / 4 / changesPerSecond / linkEnds
	item, err := wire.Marshal(membership.Record{
		Address: "10.123.145.167:17946", Region: "region-2", DataCentre: "tt-north-2", Rack: "rack-14",
		Incarnation: uint64(time.Now().UnixMilli()), Sequence: 70_000, State: membership.Alive,
		Service: "credit-ledger", Version: "v2.14.3", Upstream: api.UpstreamReady, Slots: 10,
	})
	if err != nil {
		t.Fatal(err)
	}
	facts := &link.Items{Topic: membership.TopicName, Encoded: [][]byte{item}}
	if got := frameOf(t, &link.Message{Items: facts}); got > limit {
		t.Errorf("%d bytes, want at most %d", got, limit)
	}
}

func frameOf(t *testing.T, m *link.Message) int {
	t.Helper()
	b, err := link.Encode(m)
	if err != nil {
		t.Fatal(err)
	}
	return link.FrameSize(len(b), true)
}

// wideText is a document of the target's size with one route's limit changed.
func wideText(t *testing.T, change int) []byte {
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

// A change must be in force within 4 s; an eighth of what a node may send and
// receive in that time is 5,500 bytes. Each link carries at most an
// announcement both ways, and each node pulls one body: with six links a node
// that is eight messages per node.
func TestChangeFitsItsShare(t *testing.T) {
	const nodes, changes, messagesPerNode, shareBytes = 27, 10, 8, budget * 4 / 8
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 1, nodes)
		defer f.end()
		time.Sleep(15 * time.Second)
		apply := func(change int) {
			out := f.node(f.names[change%nodes]).provider.Apply(context.Background(), wideText(t, change), "bound", 0)
			if out.Outcome != api.ApplyAccepted {
				t.Fatalf("apply: %+v", out)
			}
			time.Sleep(4 * time.Second)
		}
		apply(0)
		restMessages, restBytes := f.over(func() { time.Sleep(4 * time.Second * changes) })
		messages, bytes := f.over(func() {
			for change := 1; change <= changes; change++ {
				apply(change)
			}
		})
		f.wantNumber(changes+1, "after the changes")
		if got := (messages - restMessages) / changes; got > messagesPerNode*nodes {
			t.Errorf("%d messages for a change, want at most %d", got, messagesPerNode*nodes)
		}
		// A byte sent is received once too.
		if got := 2 * (bytes - restBytes) / changes / nodes; got > shareBytes {
			t.Errorf("%d bytes per node for a change, want at most %d", got, shareBytes)
		}
	})
}

// over counts what is sent while fn runs.
func (f *testFleet) over(fn func()) (messages, bytes int) {
	m, b := f.net.Counts()
	fn()
	messages, bytes = f.net.Counts()
	return messages - m, bytes - b
}

// Two watchers of each of three data centres hold a watch that the store ends
// every 30 s, and one keeper of each reads the seeds once in 30 s at most and
// writes them when they changed: 6/30 + 2*3/30 calls a second, at any size.
func TestStoreCallsDoNotGrowWithTheFleet(t *testing.T) {
	const quiet = 10 * time.Minute
	limit := uint64((6 + 2*3) * quiet / (30 * time.Second))
	for _, nodes := range []int{9, 18, 36} {
		synctest.Test(t, func(t *testing.T) {
			f := newTestFleet(t, 1, nodes)
			defer f.end()
			time.Sleep(time.Minute)
			before := f.store.Counts().Total()
			time.Sleep(quiet)
			if got := f.store.Counts().Total() - before; got > limit {
				t.Errorf("%d nodes: %d calls, want at most %d", nodes, got, limit)
			}
		})
	}
}

// The aim is 250 ms until a document is in force everywhere. Messages take up
// to 5 ms here; the times are those of the test's own clock.
func TestChangeIsInForceEverywhereInTime(t *testing.T) {
	const aim, changes = 250 * time.Millisecond, 10
	nodes := 120
	if testing.Short() {
		nodes = 36
	}
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 1, nodes)
		defer f.end()
		time.Sleep(20 * time.Second)
		var worst time.Duration
		for change := range uint64(changes) {
			begin := time.Now()
			if out := f.apply(f.names[change], int(change)); out.Outcome != api.ApplyAccepted {
				t.Fatalf("apply: %+v", out)
			}
			for !f.allHold(change + 1) {
				time.Sleep(time.Millisecond)
			}
			worst = max(worst, time.Since(begin))
			time.Sleep(time.Second)
		}
		if worst > aim {
			t.Errorf("a change took %v, want at most %v", worst, aim)
		}
		t.Logf("the slowest of %d changes took %v at %d nodes", changes, worst, nodes)
	})
}

func (f *testFleet) allHold(number uint64) bool {
	for _, a := range f.names {
		if f.node(a).holder.Current().Number() < number {
			return false
		}
	}
	return true
}
