package gossip

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/daisytide/daisytide/internal/conn/link"
	"github.com/daisytide/daisytide/internal/process/membership"
	"github.com/daisytide/daisytide/internal/version/document"
	"github.com/daisytide/daisytide/internal/version/snapshot"
)

// scriptedConn delivers given messages and then ends. It discards what is sent.
type scriptedConn struct{ messages []*link.Message }

func (c *scriptedConn) Send(context.Context, *link.Message) error { return nil }

func (c *scriptedConn) Receive(context.Context) (*link.Message, error) {
	if len(c.messages) == 0 {
		return nil, io.EOF
	}
	m := c.messages[0]
	c.messages = c.messages[1:]
	return m, nil
}

func (c *scriptedConn) Close() error { return nil }

func scriptedLink(messages ...*link.Message) *scriptedConn {
	hello := &link.Message{Hello: &link.Hello{
		Protocol: link.ProtocolVersion, Self: membership.Record{Address: "10.0.0.2:1", Incarnation: 1, State: membership.Alive},
	}}
	return &scriptedConn{messages: append([]*link.Message{hello}, messages...)}
}

// topicFunc is a Topic whose Merge is a function.
type topicFunc func(item []byte) (bool, error)

func (topicFunc) Name() string                      { return "test" }
func (f topicFunc) Merge(item []byte) (bool, error) { return f(item) }
func (topicFunc) Checksum() uint64                  { return 0 }
func (topicFunc) Items() [][]byte                   { return nil }
func testItems(items ...[]byte) *link.Message {
	return &link.Message{Items: &link.Items{Topic: "test", Encoded: items}}
}
func newStartedManager(h *snapshot.Holder) *Manager {
	return NewManager(Config{
		Self:    func() membership.Record { return membership.Record{Address: "10.0.0.1:1"} },
		Members: membership.NewTable(), Holder: h, ConfigStore: holderStore{h}, RandomSeed: 1,
	})
}

// holderStore is a ConfigStore that puts what peers offer in force.
type holderStore struct{ *snapshot.Holder }

func (s holderStore) HighestNumber() uint64      { return s.Current().Number() }
func (s holderStore) Offer(o *snapshot.Snapshot) { s.StoreIfNewer(o) }

// A request that was damaged on the way may ask for configuration 0, also at a
// node that has just started and holds none.
func TestRequestForConfigurationZeroAtNodeWithoutOneIsIgnored(t *testing.T) {
	m := newStartedManager(&snapshot.Holder{})
	m.Accept(scriptedLink(&link.Message{ConfigRequest: &link.ConfigRequest{}}))
	if n := m.Counters().HandlerPanics; n != 0 {
		t.Errorf("%d handlers panicked", n)
	}
}

func TestPanicOfAHandlerCostsItsLink(t *testing.T) {
	m := newStartedManager(&snapshot.Holder{})
	merged := 0
	m.RegisterTopic(topicFunc(func(item []byte) (bool, error) {
		if len(item) == 0 {
			panic("a fault of the topic")
		}
		merged++
		return false, nil
	}))
	m.Accept(scriptedLink(testItems(nil), testItems([]byte("a"))))
	if c := m.Counters(); c.HandlerPanics != 1 || merged != 0 || m.LinkCount() != 0 {
		t.Errorf("%d panics counted, %d items merged after it, %d links left; want 1, 0, 0", c.HandlerPanics, merged, m.LinkCount())
	}
	m.Accept(scriptedLink(testItems([]byte("b"))))
	if merged != 1 {
		t.Errorf("%d items merged over the next link, want 1", merged)
	}
}

// An item that is invalid at this node, for example one of a later release, must
// not cut off the peer that holds it.
func TestInvalidItemIsLeftOutAndTheLinkKept(t *testing.T) {
	m := newStartedManager(&snapshot.Holder{})
	merged := 0
	m.RegisterTopic(topicFunc(func(item []byte) (bool, error) {
		if string(item) == "invalid" {
			return false, errors.New("invalid")
		}
		merged++
		return false, nil
	}))
	m.Accept(scriptedLink(testItems([]byte("a"), []byte("invalid"), []byte("b")), testItems([]byte("c"))))
	if c := m.Counters(); merged != 3 || c.InvalidItems != 1 {
		t.Errorf("%d items merged and %d counted as invalid, want 3 and 1", merged, c.InvalidItems)
	}
}

// A digest with a damaged number must not keep a node from pulling the number that
// its peers hold.
func TestDamagedNumberOfAPeerIsReplacedByItsNextOne(t *testing.T) {
	transfer := newConfigTransfer()
	now := time.Unix(1000, 0)
	transfer.recordOffer("10.0.0.2:1", 1<<60, 6, false, 0, now)
	transfer.recordOffer("10.0.0.2:1", 7, 6, false, 0, now)
	if peer, number, ok := transfer.startPull(6, now); !ok || number != 7 {
		t.Errorf("pulls %d from %q, want 7", number, peer)
	}
}

// A record with an address that cannot be dialled would take the place of a
// neighbour, and one that peers refuse would be sent again with every repair.
func TestLinkOfAnInvalidRecordIsRefused(t *testing.T) {
	for _, address := range []string{"", "10.0.0.2", "10.0.0.2:0", "10.0.0.2:65536", "10.0.0.2:-1", "10.0.0.2:http", ":7600", "[fe80::1%eth0]:7600"} {
		m := newStartedManager(&snapshot.Holder{})
		conn := scriptedLink()
		conn.messages[0].Hello.Self.Address = address
		m.Accept(conn)
		if len(m.cfg.Members.All()) != 0 {
			t.Errorf("address %q: a member was merged", address)
		}
	}
}

// The watchers of each data centre read a new configuration from the store, so that a
// node must not fetch it across a border while its own data centre is about to have it.
func TestConfigurationIsPulledWithinTheDataCentre(t *testing.T) {
	const inside, outside, wait = "10.0.0.2:1", "10.1.0.2:1", 200 * time.Millisecond
	now := time.Unix(1000, 0)
	transfer := newConfigTransfer()
	transfer.recordOffer(inside, 6, 6, false, 0, now)
	transfer.recordOffer(outside, 7, 6, true, wait, now)
	if peer, _, ok := transfer.startPull(6, now); ok {
		t.Errorf("pulls from %s at once, want a wait for the own data centre", peer)
	}
	transfer.recordOffer(outside, 7, 6, true, wait, now.Add(wait/2))
	if peer, number, ok := transfer.startPull(6, now.Add(wait)); !ok || peer != outside || number != 7 {
		t.Errorf("pulls %d from %q after the wait, want 7 from the other data centre", number, peer)
	}

	transfer = newConfigTransfer()
	transfer.recordOffer(outside, 7, 0, true, wait, now)
	if peer, _, ok := transfer.startPull(0, now); !ok || peer != outside {
		t.Errorf("pulls from %q, want the other data centre at once: nobody in the own one holds a configuration", peer)
	}

	transfer = newConfigTransfer()
	transfer.recordOffer(outside, 7, 6, true, 0, now)
	transfer.recordOffer(inside, 7, 6, false, 0, now)
	if peer, _, _ := transfer.startPull(6, now.Add(wait)); peer != inside {
		t.Errorf("pulls from %q, want the own data centre when both hold the number", peer)
	}
}

// Changes that follow each other within the wait must not put the pull from another
// data centre off: a data centre whose watchers the store refuses would stay on one
// configuration for as long as they last.
func TestPullFromAnotherDataCentreIsNotPutOffByFurtherChanges(t *testing.T) {
	const inside, outside, wait, interval = "10.0.0.2:1", "10.1.0.2:1", 500 * time.Millisecond, 200 * time.Millisecond
	start := time.Unix(1000, 0)
	transfer := newConfigTransfer()
	transfer.recordOffer(inside, 6, 6, false, 0, start)
	for i := range uint64(20) {
		now := start.Add(time.Duration(i) * interval)
		transfer.recordOffer(outside, 7+i, 6, true, wait, now)
		if _, _, ok := transfer.startPull(6, now); ok {
			if waited := now.Sub(start); waited < wait {
				t.Errorf("pulls after %v, want a wait of %v for the own data centre", waited, wait)
			}
			return
		}
	}
	t.Errorf("no pull in %v with a change each %v, want one after %v", 20*interval, interval, wait)
}

// A data centre that has each change soon must not pull across a border later on, however
// long the changes go on.
func TestPullFromAnotherDataCentreWaitsAnewForEachChange(t *testing.T) {
	const inside, outside, wait, interval = "10.0.0.2:1", "10.1.0.2:1", 500 * time.Millisecond, 200 * time.Millisecond
	now := time.Unix(1000, 0)
	transfer := newConfigTransfer()
	transfer.recordOffer(inside, 6, 6, false, 0, now)
	for number := uint64(7); number < 27; number++ {
		now = now.Add(interval)
		transfer.recordOffer(outside, number, number-1, true, wait, now)
		if _, _, ok := transfer.startPull(number-1, now); ok {
			t.Fatalf("pulls %d at once, want a wait for the own data centre", number)
		}
	}
}

// A joiner receives the whole member table over its first link; that must not cross a
// border if a member of the own data centre is known.
func TestJoinerDialsItsOwnDataCentreFirst(t *testing.T) {
	for seed := range uint64(20) {
		members := membership.NewTable()
		for i, dc := range []string{"a", "b", "b", "b", "b", "c", "c"} {
			members.Merge(membership.Record{Address: fmt.Sprintf("10.0.0.%d:1", i+1), DataCentre: dc, Incarnation: 1, State: membership.Alive})
		}
		m := NewManager(Config{
			Self:    func() membership.Record { return membership.Record{Address: "10.0.0.99:1", DataCentre: "a"} },
			Members: members, SeedAddresses: func() []string { return []string{"10.0.0.2:1", "10.0.0.6:1"} }, RandomSeed: seed + 1,
		})
		now := time.Unix(1000, 0)
		if a := m.extraDialLocked(now); a != "10.0.0.1:1" {
			t.Errorf("seed %d: dials %s first, want the member of its data centre", seed, a)
		}
		m.dials.recordFailure("10.0.0.1:1", 1, 0, now)
		if a := m.extraDialLocked(now.Add(bootstrapInterval)); a == "" {
			t.Errorf("seed %d: dials nobody after the member of its data centre failed", seed)
		}
	}
}

// recordingObserver is a ConfigObserver that keeps the numbers it is told of.
type recordingObserver struct{ heard, refused []uint64 }

func (o *recordingObserver) HeardFromPeer(_ string, number uint64, _ time.Time) {
	o.heard = append(o.heard, number)
}

func (o *recordingObserver) RefusedFromPeer(_ string, number uint64, _ error, _ time.Time) {
	o.refused = append(o.refused, number)
}

// Without these reports an operator cannot tell a refused configuration from one that
// no peer offers.
func TestOffersAndRefusedBodiesOfPeersAreReported(t *testing.T) {
	o := &recordingObserver{}
	m := newStartedManager(&snapshot.Holder{})
	m.cfg.ConfigObserver = o
	notUsable := []byte("no configuration")
	m.Accept(scriptedLink(
		&link.Message{ConfigAnnouncement: &link.ConfigAnnouncement{Number: 7}},
		&link.Message{ConfigBody: &link.ConfigBody{Number: 8, Full: notUsable, Hash: document.HashOf(nil)}},
		&link.Message{ConfigBody: &link.ConfigBody{Number: 9, Full: notUsable, Hash: document.HashOf(notUsable)}},
	))
	if !slices.Equal(o.heard, []uint64{7}) || !slices.Equal(o.refused, []uint64{8, 9}) {
		t.Errorf("heard %d and refused %d, want 7 and 8, 9", o.heard, o.refused)
	}
}
