package operated

import (
	"context"
	"fmt"
	"io"
	"os"
	"testing"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/link"
	"github.com/daisytide/daisytide/internal/conn/wire"
	"github.com/daisytide/daisytide/internal/process/departures"
	"github.com/daisytide/daisytide/internal/process/evacuation"
	"github.com/daisytide/daisytide/internal/process/membership"
	"github.com/daisytide/daisytide/internal/process/orders"
	"github.com/daisytide/daisytide/internal/process/registry"
	"github.com/daisytide/daisytide/internal/process/settings"
	"github.com/daisytide/daisytide/internal/request/quarantine"
	"github.com/daisytide/daisytide/internal/standin/store"
	"github.com/daisytide/daisytide/internal/version/delta"
	"github.com/daisytide/daisytide/internal/version/document"
	"github.com/daisytide/daisytide/internal/version/ramp"
	"github.com/daisytide/daisytide/internal/version/snapshot"
	"github.com/daisytide/daisytide/internal/version/traffic"
	"github.com/daisytide/daisytide/platform"
)

// fuzzLink is a link that a fuzz target drives: each message is handled before the
// next one is sent.
type fuzzLink struct {
	hello    *link.Message
	messages chan *link.Message
	// ready receives a value whenever the node asks for the next message.
	ready chan struct{}
}

func (l *fuzzLink) Send(context.Context, *link.Message) error { return nil }

func (l *fuzzLink) Receive(context.Context) (*link.Message, error) {
	if m := l.hello; m != nil {
		l.hello = nil
		return m, nil
	}
	l.ready <- struct{}{}
	m, ok := <-l.messages
	if !ok {
		return nil, io.EOF
	}
	return m, nil
}

func (l *fuzzLink) Close() error { return nil }

// fuzzNode is a node with one link.
type fuzzNode struct {
	*Node
	link *fuzzLink
}

func newFuzzNode(f *testing.F, index int) *fuzzNode {
	f.Helper()
	pid := os.Getpid()
	address := func(port int) string {
		return fmt.Sprintf("127.%d.%d.%d:%d", 201+(pid>>8)%50, pid%250, index, 7700+port)
	}
	cfg, faults := settings.Parse(fmt.Sprintf("[node]\nregion = r\ndata-centre = a\n[callers]\nlisten = %s\n[peers]\nlisten = %s\nsecret = nodes-share-this-key\n"+
		"[operators]\nlisten = %s\ntoken = operators-have-this-token\n[store]\naddress = http://127.0.0.1:1\n"+
		"[operated]\nenabled = true\ngate = %s\nready = %s\nservice = s\nupstream = %s\n",
		address(0), address(1), address(2), address(3), address(4), address(5)))
	if len(faults) > 0 {
		f.Fatal(faults)
	}
	n, err := New(cfg, store.New(1), platform.Adapter{}, nil)
	if err != nil {
		f.Fatal(err)
	}
	hello := &link.Message{Hello: &link.Hello{Protocol: link.ProtocolVersion, Self: membership.Record{
		Address: "10.0.0.2:7600", DataCentre: "b", Incarnation: 1, State: membership.Alive,
	}}}
	l := &fuzzLink{hello: hello, messages: make(chan *link.Message), ready: make(chan struct{})}
	go n.gossip.Accept(l)
	<-l.ready
	f.Cleanup(func() {
		close(l.messages)
		n.gossip.Abort()
		for _, listener := range n.listeners {
			_ = listener.Close()
		}
	})
	return &fuzzNode{Node: n, link: l}
}

// handle has the node handle one message; false means that the link has ended.
func (n *fuzzNode) handle(m *link.Message) bool {
	n.link.messages <- m
	select {
	case <-n.link.ready:
		return true
	case <-time.After(10 * time.Second):
		return false
	}
}

func fuzzSnapshot(f *testing.F, number uint64) *snapshot.Snapshot {
	f.Helper()
	c := traffic.Config{
		Services: []traffic.Service{{Name: "s"}},
		Routes: []traffic.Route{{
			Name: "r", Host: "a", Prefix: "/", Kind: traffic.Idempotent, TimeLimit: time.Second, Attempts: 2,
			Shares: []traffic.WeightedService{{Service: "s", Weight: 1}},
		}},
	}
	a := document.AcceptedConfig{Number: number, Operator: "the operator", Traffic: &c}
	envelope, err := a.Encode()
	if err != nil {
		f.Fatal(err)
	}
	s, err := snapshot.Build(envelope)
	if err != nil {
		f.Fatal(err)
	}
	return s
}

// fuzzItems returns a valid item of each topic.
func fuzzItems(f *testing.F) map[string][]byte {
	f.Helper()
	// The types of the items of a rollout are private to package orders; the fields
	// have the same keys and types.
	type rolloutState struct {
		Service  string        `cbor:"1,keyasint"`
		Target   string        `cbor:"2,keyasint"`
		Revision uint64        `cbor:"3,keyasint"`
		Duration time.Duration `cbor:"4,keyasint"`
		Age      time.Duration `cbor:"5,keyasint"`
		Phase    ramp.Phase    `cbor:"6,keyasint"`
		Recorded bool          `cbor:"7,keyasint"`
	}
	type runCounts struct {
		Node        string                `cbor:"1,keyasint"`
		Incarnation uint64                `cbor:"2,keyasint"`
		Sequence    uint64                `cbor:"3,keyasint"`
		Service     string                `cbor:"4,keyasint"`
		Revision    uint64                `cbor:"5,keyasint"`
		Version     string                `cbor:"6,keyasint"`
		Routes      map[string]ramp.Tally `cbor:"7,keyasint"`
	}
	out := map[string][]byte{}
	for name, v := range map[string]any{
		membership.TopicName: membership.Record{
			Address: "10.0.0.3:7600", DataCentre: "b", Incarnation: 1, State: membership.Alive, Service: "s", Version: "v1", Upstream: api.UpstreamReady, Slots: 8,
		},
		orders.StateTopicName:  rolloutState{Service: "s", Target: "v2", Revision: 5, Duration: time.Minute, Age: time.Second},
		orders.CountsTopicName: runCounts{Node: "10.0.0.3:7600", Incarnation: 1, Sequence: 1, Service: "s", Revision: 5, Version: "v2", Routes: map[string]ramp.Tally{"r": {Failed: 1}}},
		departures.TopicName:   departures.New("10.0.0.3:7600", "i-1", 5, time.Now()),
		evacuation.TopicName:   evacuation.Order{DataCentre: "b", Revision: 5, InForce: true},
		quarantine.TopicName:   quarantine.Event{ID: 7, Service: "s", ExpiresUnix: time.Now().Add(time.Minute).Unix()},
	} {
		item, err := wire.Marshal(v)
		if err != nil {
			f.Fatal(err)
		}
		out[name] = item
	}
	out[registry.TopicStoreRecoveries] = []byte{0, 0, 0, 0, 0, 0, 0, 1}
	return out
}

// FuzzPeerMessages has the handlers of a node that has just started and of one in
// service handle mutated messages of all kinds. No message may make a handler
// panic, end a link or take the node's own record out of use.
func FuzzPeerMessages(f *testing.F) {
	started, serving := newFuzzNode(f, 1), newFuzzNode(f, 2)
	first, second := fuzzSnapshot(f, 7), fuzzSnapshot(f, 8)
	serving.holder.StoreIfNewer(first)
	serving.holder.StoreIfNewer(second)
	compressed, err := delta.Compress(second.Envelope)
	if err != nil {
		f.Fatal(err)
	}
	messages := []*link.Message{
		{Hello: &link.Hello{Protocol: link.ProtocolVersion, Self: membership.Record{Address: "10.0.0.4:7600", State: membership.Alive}}},
		{Digest: &link.Digest{ConfigNumber: 9, Checksums: map[string]uint64{membership.TopicName: 1, orders.CountsTopicName: 2, orders.StateTopicName: 3}}},
		{ConfigAnnouncement: &link.ConfigAnnouncement{Number: 9, Hash: second.Hash, Size: len(second.Envelope)}},
		{ConfigRequest: &link.ConfigRequest{}},
		{ConfigRequest: &link.ConfigRequest{Number: 8, Base: 7}},
		{ConfigRequest: &link.ConfigRequest{Number: 8, Compressed: true}},
		{ConfigBody: &link.ConfigBody{Number: 8, Hash: second.Hash, Full: second.Envelope}},
		{ConfigBody: &link.ConfigBody{Number: 9, Hash: second.Hash, Compressed: compressed}},
		{ConfigBody: &link.ConfigBody{Number: 9, Hash: second.Hash, Base: 8, Delta: []byte{1, 'a', 0, 5}}},
		{Refusal: &link.Refusal{Code: api.PeerBusy, Alternatives: []string{"10.0.0.5:7600"}}},
		{BucketChecksums: &link.BucketChecksums{Topic: membership.TopicName, Checksums: []uint64{1, 2, 3}}},
	}
	for topic, item := range fuzzItems(f) {
		messages = append(messages,
			&link.Message{Items: &link.Items{Topic: topic, Encoded: [][]byte{item, item[:len(item)/2], nil}, Repair: true}},
			&link.Message{ItemRequest: &link.ItemRequest{Topic: topic, Buckets: []int{-1, 0, 63, 64}}},
		)
		f.Add(topic, item)
	}
	for _, m := range messages {
		b, err := link.Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add("", b)
	}
	f.Fuzz(func(t *testing.T, topic string, b []byte) {
		m := &link.Message{Items: &link.Items{Topic: topic, Encoded: [][]byte{b}, Repair: true}}
		if topic == "" {
			decoded, err := link.Decode(b)
			if err != nil {
				return
			}
			m = decoded
		}
		for name, n := range map[string]*fuzzNode{"started": started, "serving": serving} {
			if !n.handle(m) {
				t.Fatalf("the node that is %s ended the link: %+v", name, n.gossip.Counters())
			}
			if self := n.self.Record(); self.Validate() != nil || self.State != membership.Alive {
				t.Fatalf("the node that is %s has the record %+v", name, self)
			}
			n.orders.Rollouts()
			n.members.Index()
		}
	})
}
