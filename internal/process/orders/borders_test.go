package orders

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/wire"
	"github.com/daisytide/daisytide/internal/process/membership"
	"github.com/daisytide/daisytide/internal/standin/store"
	"github.com/daisytide/daisytide/internal/version/ramp"
)

// borderPublisher delivers the items of one node as the gossip does: those of a
// DataCentreTopic within the data centre, all others to the fleet. It counts the bytes
// that leave the data centre once, however many links they cross.
type borderPublisher struct {
	fleet      *countingFleet
	dataCentre string
}

type countingFleet struct {
	managers []*Manager

	mu    sync.Mutex
	queue []func()
	// items and bytes count what left a data centre.
	items, bytes int
}

func (p *borderPublisher) Publish(topic string, item []byte) {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	p.fleet.queue = append(p.fleet.queue, func() {
		if topic == SumsTopicName {
			p.fleet.items++
			p.fleet.bytes += len(item)
		}
		for _, m := range p.fleet.managers {
			switch {
			case topic == StateTopicName:
				_, _ = StateTopic{m}.Merge(item)
			case topic == SumsTopicName:
				_, _ = SumsTopic{m}.Merge(item)
			case topic == CountsTopicName && m.cfg.DataCentre == p.dataCentre:
				_, _ = CountsTopic{m}.Merge(item)
			}
		}
	})
}

// newCountingFleet returns n nodes in five data centres; every sixth has an upstream of
// the target version, the others of the old one.
func newCountingFleet(n int) *countingFleet {
	f := &countingFleet{}
	records := make([]membership.Record, n)
	for i := range records {
		records[i] = membership.Record{
			Address: fmt.Sprintf("10.%d.0.%d:7600", i%5, i), DataCentre: fmt.Sprint("dc-", i%5), Incarnation: 1, State: membership.Alive,
			Service: "s", Version: map[bool]string{true: "v2", false: "v1"}[i%6 == 0], Upstream: api.UpstreamReady, Slots: 8,
		}
	}
	s := store.New(1)
	for _, r := range records {
		members := membership.NewTable()
		for _, other := range records {
			members.Merge(other)
		}
		f.managers = append(f.managers, NewManager(Config{
			Self: r.Address, Incarnation: 1, DataCentre: r.DataCentre, Members: members, Store: s,
			StatusCodec: textStatusCodec{}, Publisher: &borderPublisher{fleet: f, dataCentre: r.DataCentre},
		}))
	}
	return f
}

// deliver delivers what the managers published; they publish in goroutines of their own.
func (f *countingFleet) deliver() {
	for range 3 {
		time.Sleep(2 * time.Millisecond)
		f.mu.Lock()
		queue := f.queue
		f.queue = nil
		f.mu.Unlock()
		for _, fn := range queue {
			fn()
		}
	}
}

func (f *countingFleet) tick(now time.Time) {
	for _, m := range f.managers {
		m.mu.Lock()
		for _, ro := range m.rollouts {
			if ro.phase == ramp.Running {
				m.publishCounts(ro, now)
				m.publishSums(ro, now)
				m.evaluate(ro, now)
			}
		}
		m.mu.Unlock()
	}
	f.deliver()
}

// In a rollout every node counts runs all the time. What leaves the data centres must
// not grow with the number of nodes, and a bad version must be found by all nodes within
// two seconds of its first runs: rollbacks are due within five.
func TestRunCountsLeaveADataCentreAsSums(t *testing.T) {
	sent := map[int]int{}
	for _, n := range []int{30, 195} {
		f := newCountingFleet(n)
		start := time.Now()
		for _, m := range f.managers {
			m.AddOrder(ramp.Order{Service: "s", Target: "v2", Revision: 9, Duration: 20 * time.Second}, start)
		}
		f.deliver()
		now := start
		step := func() {
			now = now.Add(activeTick)
			for _, m := range f.managers {
				observe(m, "v1", 1, 0)
			}
			f.tick(now)
		}
		for range 40 {
			step()
		}
		sent[n] = f.bytes
		// Two collectors in each of five data centres, at most.
		if limit := 2 * 5 * 4 * int(time.Second/sumsInterval+1); f.items > limit {
			t.Errorf("%d nodes: %d items left the data centres in 4 s, want at most %d", n, f.items, limit)
		}
		bad := now
		for withdrawn := 0; withdrawn < n; {
			// Each data centre alone has too few bad runs for a verdict.
			for i := range 5 {
				observe(f.managers[i*6], "v2", 1, 1)
			}
			step()
			withdrawn = 0
			for _, m := range f.managers {
				if !m.VersionAllowed("s", "v2") {
					withdrawn++
				}
			}
			if took := now.Sub(bad); took > 2*time.Second {
				t.Fatalf("%d nodes: %d of them have withdrawn the bad version after %v", n, withdrawn, took)
			}
		}
	}
	if sent[195] > sent[30]*3/2 {
		t.Errorf("%d bytes left the data centres at 195 nodes, %d at 30", sent[195], sent[30])
	}
}

// The second collector of a data centre takes over from a first one that is silent.
func TestSecondCollectorTakesOver(t *testing.T) {
	f := newCountingFleet(30)
	now := time.Now()
	for _, m := range f.managers {
		m.AddOrder(ramp.Order{Service: "s", Target: "v2", Revision: 9, Duration: 20 * time.Second}, now)
	}
	f.deliver()
	m := f.managers[0]
	ro := m.rollouts["s"]
	var first, second *Manager
	for _, other := range f.managers {
		if other.cfg.DataCentre != m.cfg.DataCentre {
			continue
		}
		switch h := rendezvousHash(ro, other.cfg.Self); {
		case first == nil || h < rendezvousHash(ro, first.cfg.Self):
			first, second = other, first
		case second == nil || h < rendezvousHash(ro, second.cfg.Self):
			second = other
		}
	}
	collects := func(m *Manager, at time.Time) bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.isCollector(m.rollouts["s"], at)
	}
	observe(first, "v1", 1, 0)
	f.tick(now.Add(time.Second))
	f.tick(now.Add(2 * time.Second))
	if !collects(first, time.Now()) || collects(second, time.Now()) {
		t.Error("the first node does not collect, or the second does beside it")
	}
	if !collects(second, time.Now().Add(collectorTimeout+time.Second)) {
		t.Error("the second node does not take over")
	}
}

// While two collectors of a data centre publish, around a hand-over, its runs must be
// counted once.
func TestSumsOfTwoCollectorsCountOnce(t *testing.T) {
	f := newCountingFleet(30)
	m := f.managers[0]
	m.AddOrder(ramp.Order{Service: "s", Target: "v2", Revision: 9, Duration: 20 * time.Second}, time.Now())
	f.deliver()
	for i, collector := range []string{"10.1.0.1:7600", "10.1.0.6:7600"} {
		var counts ramp.Tally
		counts.Failed = uint32(5 + i)
		counts.Latencies[3] = uint32(10 + i)
		item, err := wire.Marshal(dataCentreSums{
			Collector: collector, Incarnation: 1, Sequence: 1, DataCentre: "dc-1", Service: "s", Revision: 9,
			Versions: map[string]map[string]ramp.Tally{"v2": {"r": counts}},
		})
		if err != nil {
			t.Fatal(err)
		}
		if changed, err := (SumsTopic{m}).Merge(item); err != nil || !changed {
			t.Fatal(changed, err)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, newer := m.rollouts["s"].totals(); newer["r"].Failed != 6 || newer["r"].Runs() != 11 {
		t.Errorf("%d of %d runs failed, want 6 of 11, those of the collector that counted most", newer["r"].Failed, newer["r"].Runs())
	}
}
