package orders

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/h1"
	"github.com/daisytide/daisytide/internal/conn/kvstore"
	"github.com/daisytide/daisytide/internal/process/membership"
	"github.com/daisytide/daisytide/internal/request/egress"
	"github.com/daisytide/daisytide/internal/request/hop"
	"github.com/daisytide/daisytide/internal/standin/store"
	"github.com/daisytide/daisytide/internal/version/ramp"
)

// textStatusCodec encodes a status as "target phase".
type textStatusCodec struct{}

func (textStatusCodec) StatusKey(service string) string { return "status/" + service }
func (textStatusCodec) EncodeStatus(o ramp.Order, p ramp.Phase) ([]byte, error) {
	return []byte(o.Target + " " + p.String()), nil
}

func (textStatusCodec) DecodeStatus(_ string, value []byte) (string, ramp.Phase, error) {
	target, name, _ := strings.Cut(string(value), " ")
	for _, p := range []ramp.Phase{ramp.Running, ramp.Completed, ramp.Withdrawn} {
		if p.String() == name {
			return target, p, nil
		}
	}
	return "", 0, fmt.Errorf("unknown phase %q", name)
}

// directPublisher delivers each item to the other managers synchronously.
type directPublisher struct{ others []*Manager }

func (p *directPublisher) Publish(topic string, item []byte) {
	for _, m := range p.others {
		switch topic {
		case StateTopicName:
			_, _ = StateTopic{m}.Merge(item)
		case CountsTopicName:
			_, _ = CountsTopic{m}.Merge(item)
		case SumsTopicName:
			_, _ = SumsTopic{m}.Merge(item)
		}
	}
}

func newTestManager(self string, s kvstore.Store, p *directPublisher) *Manager {
	members := membership.NewTable()
	for i, version := range []string{"v1", "v1", "v2"} {
		members.Merge(membership.Record{
			Address: fmt.Sprint("n", i), DataCentre: "a", Incarnation: 1, State: membership.Alive,
			Service: "s", Version: version, Upstream: api.UpstreamReady, Slots: 10,
		})
	}
	return NewManager(Config{Self: self, Incarnation: 1, DataCentre: "a", Members: members, Store: s, StatusCodec: textStatusCodec{}, Publisher: p})
}

var testOrder = ramp.Order{Service: "s", Target: "v2", Revision: 9, Duration: 10 * time.Second}

func (m *Manager) targetShare(n int) (target float64) {
	x := m.cfg.Members.Index()
	for i := range n {
		if m.ChooseVersion(x, "s", (float64(i)+0.5)/float64(n)) == "v2" {
			target++
		}
	}
	return target / float64(n)
}

// observe counts n runs, the first failed of which fail.
func observe(m *Manager, version string, n, failed int) {
	i := &egress.Instance{Service: "s", Version: version}
	for k := range n {
		res := hop.Result{Code: api.OK, Response: &h1.Response{Status: 200}}
		if k < failed {
			res.Response.Status = 500
		}
		m.ObserveRun(i, &hop.Request{Service: "s", Route: "r"}, res, 100*time.Millisecond)
	}
}

func TestVersionWithoutOrderGetsNoRequestsWhileBaselineServes(t *testing.T) {
	m := newTestManager("n0", store.New(1), &directPublisher{})
	x := m.cfg.Members.Index()
	only := &membership.Index{Serving: map[membership.UpstreamKey][]membership.Record{}}
	for k, v := range x.Serving {
		if k.Version == "v1" {
			only.Serving[k] = v
		}
	}
	m.ChooseVersion(only, "s", 0.5)
	if share := m.targetShare(100); share != 0 {
		t.Errorf("target share %v before any order, want 0", share)
	}
}

func TestShareFollowsScheduleAndWithdrawal(t *testing.T) {
	m := newTestManager("n0", store.New(1), &directPublisher{})
	m.AddOrder(testOrder, time.Now())
	if share := m.targetShare(100); share != 0.04 {
		t.Errorf("target share %v at the start, want 0.04", share)
	}
	m.rollouts["s"].startedAt = time.Now().Add(-8 * time.Second)
	if share := m.targetShare(100); share != 1 {
		t.Errorf("target share %v late in the rollout, want 1", share)
	}
	m.finish(m.rollouts["s"], ramp.Withdrawn, time.Now())
	if share := m.targetShare(100); share != 0 || m.VersionAllowed("s", "v2") || !m.VersionAllowed("s", "v1") {
		t.Errorf("target share %v after the withdrawal, want 0 and only v1 allowed", share)
	}
}

func TestBadVersionIsWithdrawnOnCombinedCounts(t *testing.T) {
	publisher := &directPublisher{}
	a, b := newTestManager("n0", store.New(1), publisher), newTestManager("n1", store.New(1), publisher)
	publisher.others = []*Manager{a, b}
	now := time.Now()
	a.AddOrder(testOrder, now)
	b.AddOrder(testOrder, now)
	observe(a, "v1", 100, 1)
	observe(a, "v2", 8, 4)
	observe(b, "v2", 8, 4)
	for range 100 {
		a.tick(context.Background(), time.Now())
		b.tick(context.Background(), time.Now())
		if !a.VersionAllowed("s", "v2") && !b.VersionAllowed("s", "v2") {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("the bad version is still allowed")
}

func TestStatusIsWrittenOnceAndStoredPhaseWins(t *testing.T) {
	s := store.New(1)
	writes := map[string]int{}
	s.OnPut(func(e kvstore.Entry) { writes[string(e.Value)]++ })
	publisher := &directPublisher{}
	a, b := newTestManager("n0", s, publisher), newTestManager("n1", s, publisher)
	ctx := context.Background()
	now := time.Now().Add(-9 * time.Second)
	for _, m := range []*Manager{a, b} {
		o := testOrder
		o.Revision = 0
		m.AddOrder(ramp.Order{Service: o.Service, Target: o.Target, Revision: 1, Duration: o.Duration}, now)
	}
	// Raise the store's revision above that of the order.
	if _, err := s.CompareAndSwap(ctx, "x", 0, []byte("x"), ""); err != nil {
		t.Fatal(err)
	}
	a.evaluate(a.rollouts["s"], time.Now())
	b.finish(b.rollouts["s"], ramp.Withdrawn, time.Now())
	a.writeStatus(ctx, a.rollouts["s"], time.Now())
	b.writeStatus(ctx, b.rollouts["s"], time.Now())
	if writes["v2 completed"] != 1 || writes["v2 withdrawn"] != 0 {
		t.Errorf("statuses written: %v", writes)
	}
	if b.rollouts["s"].phase != ramp.Completed || !b.VersionAllowed("s", "v2") {
		t.Error("the node that lost the write race did not adopt the stored phase")
	}
}

func TestNodeThatStartsLateContinuesSchedule(t *testing.T) {
	a, b := newTestManager("n0", store.New(1), &directPublisher{}), newTestManager("n1", store.New(1), &directPublisher{})
	a.AddOrder(testOrder, time.Now().Add(-8*time.Second))
	for _, item := range (StateTopic{a}).Items() {
		if changed, err := (StateTopic{b}).Merge(item); err != nil || !changed {
			t.Fatal(changed, err)
		}
	}
	if share := b.targetShare(100); share != 1 {
		t.Errorf("target share %v, want 1", share)
	}
	if (StateTopic{a}).Checksum() != (StateTopic{b}).Checksum() {
		t.Error("equal rollouts have different checksums")
	}
}

func TestNewerOrderReplacesRollout(t *testing.T) {
	m := newTestManager("n0", store.New(1), &directPublisher{})
	m.AddOrder(testOrder, time.Now())
	m.finish(m.rollouts["s"], ramp.Completed, time.Now())
	m.AddOrder(ramp.Order{Service: "s", Target: "v3", Revision: 20, Duration: time.Second}, time.Now())
	m.AddOrder(testOrder, time.Now())
	if m.rollouts["s"].order.Target != "v3" {
		t.Error("an old order replaced a newer one")
	}
	if share := m.targetShare(100); share != 1 {
		t.Errorf("share %v of the first rollout's target, want 1", share)
	}
}

// The running phase in the store must be written once, and only by the first writers:
// every other node learns of it from its peers.
func TestRunningPhaseIsReadByTheFirstWriterOnly(t *testing.T) {
	s := store.New(1)
	if _, err := s.CompareAndSwap(context.Background(), "x", 0, []byte("x"), ""); err != nil {
		t.Fatal(err)
	}
	publisher := &directPublisher{}
	var nodes []*Manager
	for i := range 12 {
		m := newTestManager(fmt.Sprint("n", i), s, publisher)
		for k := range 12 {
			m.cfg.Members.Merge(membership.Record{Address: fmt.Sprint("n", k), DataCentre: "a", Incarnation: 1, State: membership.Alive})
		}
		nodes = append(nodes, m)
	}
	publisher.others = nodes
	now := time.Now()
	o := ramp.Order{Service: "s", Target: "v2", Revision: 1, Duration: time.Minute}
	for _, m := range nodes {
		m.AddOrder(o, now)
	}
	before := s.Counts()
	for step := range 120 {
		for _, m := range nodes {
			m.tick(context.Background(), now.Add(time.Duration(step)*activeTick))
		}
		time.Sleep(time.Millisecond)
	}
	if after := s.Counts(); after.Reads-before.Reads > 1 || after.Writes-before.Writes != 1 {
		t.Errorf("%d reads and %d writes of the status, want one each", after.Reads-before.Reads, after.Writes-before.Writes)
	}
	for i, m := range nodes {
		if !m.StatusKnown(o) {
			t.Errorf("node %d does not know the status in the store", i)
		}
	}
}

// While the store is out of reach of a node, its attempts to write a phase back off.
func TestWritesOfAPhaseBackOff(t *testing.T) {
	s := store.New(1)
	m := newTestManager("n0", s, &directPublisher{})
	now := time.Now()
	m.AddOrder(ramp.Order{Service: "s", Target: "v2", Revision: 1, Duration: time.Minute}, now)
	s.SetFaults(store.Faults{Down: true})
	before := s.Counts().Total()
	for step := range 300 {
		m.tick(context.Background(), now.Add(time.Duration(step)*activeTick))
	}
	// Without a backoff there would be 37 attempts in these 30 s.
	if calls := s.Counts().Total() - before; calls > 9 {
		t.Errorf("%d calls to a store that is out of reach for 30 s, want at most 9", calls)
	}
	s.SetFaults(store.Faults{})
	m.tick(context.Background(), now.Add(37*time.Second))
	if e, err := s.Get(context.Background(), "status/s"); err != nil || string(e.Value) != "v2 running" {
		t.Errorf("the store has %q after its return, error %v", e.Value, err)
	}
}

// Guards against a version without an order that becomes a baseline version because the
// data centre of the baseline version was evacuated for a time.
func TestEvacuationDoesNotExtendTheBaseline(t *testing.T) {
	m := newTestManager("n0", store.New(1), &directPublisher{})
	members := membership.NewTable()
	put := func(dataCentre, version string) {
		members.Merge(membership.Record{
			Address: "10.0.0.1:" + fmt.Sprint(len(members.All())+1), DataCentre: dataCentre, Incarnation: 1, State: membership.Alive,
			Service: "s", Version: version, Upstream: api.UpstreamReady, Slots: 10,
		})
	}
	put("a", "v1")
	if v := m.ChooseVersion(members.Index(), "s", 0.5); v != "v1" {
		t.Fatalf("chose %q", v)
	}
	put("b", "v2")
	members.Exclude(map[string]bool{"a": true})
	if v := m.ChooseVersion(members.Index(), "s", 0.5); v != "v2" {
		t.Errorf("chose %q while the baseline version is evacuated", v)
	}
	members.Exclude(nil)
	for i := range 20 {
		if v := m.ChooseVersion(members.Index(), "s", float64(i)/20); v != "v1" {
			t.Errorf("chose %q after the evacuation", v)
		}
	}
}

// Guards against a node that starts during an evacuation and sends the evacuated version
// nothing after it, because it did not count as a baseline version.
func TestEvacuatedVersionIsABaselineVersionAtANewNode(t *testing.T) {
	m := newTestManager("n0", store.New(1), &directPublisher{})
	members := membership.NewTable()
	for dataCentre, version := range map[string]string{"a": "v1", "b": "v2"} {
		members.Merge(membership.Record{
			Address: "10.0.0.1:" + fmt.Sprint(len(members.All())+1), DataCentre: dataCentre, Incarnation: 1, State: membership.Alive,
			Service: "s", Version: version, Upstream: api.UpstreamReady, Slots: 10,
		})
	}
	members.Exclude(map[string]bool{"a": true})
	m.ChooseVersion(members.Index(), "s", 0.5)
	members.Exclude(nil)
	chosen := map[string]bool{}
	for i := range 20 {
		chosen[m.ChooseVersion(members.Index(), "s", float64(i)/20)] = true
	}
	if !chosen["v1"] || !chosen["v2"] {
		t.Errorf("chose %v after the evacuation", chosen)
	}
}
