package balancer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/daisytide/daisytide/internal/request/gate"
)

// herdingSim simulates one data centre in virtual time. Entries learn the load
// of each upstream a few times per second from the responses to their own
// requests. Upstreams have three speeds, a fixed number of slots, and a FIFO
// queue.
type herdingSim struct {
	rng         *rand.Rand
	now         time.Time
	events      events
	stats       [][]UpstreamStats
	upstreams   []herdingUpstream
	utilization float64

	requests, waited int
	totalLatency     time.Duration
}

type herdingUpstream struct {
	speed       float64
	running     int
	queue       []func(now time.Time)
	serviceTime time.Duration
}

const (
	herdingEntries   = 25
	herdingUpstreams = 9
	herdingSlots     = 12
	herdingRunTime   = 200 * time.Millisecond
	herdingDuration  = 30 * time.Second
)

func newHerdingSim(utilization float64) *herdingSim {
	sim := &herdingSim{rng: rand.New(rand.NewPCG(1, 9)), now: time.Unix(1000, 0), utilization: utilization}
	for i := range herdingUpstreams {
		sim.upstreams = append(sim.upstreams, herdingUpstream{speed: []float64{0.6, 1, 1.4}[i%3], serviceTime: herdingRunTime})
	}
	for range herdingEntries {
		sim.stats = append(sim.stats, make([]UpstreamStats, herdingUpstreams))
	}
	return sim
}

func (sim *herdingSim) schedule(after time.Duration, run func(time.Time)) {
	heap.Push(&sim.events, event{sim.now.Add(after), run})
}

// run returns the share of requests that waited longer than half a mean run
// time.
func (sim *herdingSim) run() float64 {
	end := sim.now.Add(herdingDuration)
	var arrive func(time.Time)
	rate := sim.utilization * herdingUpstreams * herdingSlots / herdingRunTime.Seconds()
	arrive = func(now time.Time) {
		if now.Before(end) {
			sim.schedule(time.Duration(sim.rng.ExpFloat64()/rate*float64(time.Second)), arrive)
			sim.request(now)
		}
	}
	sim.schedule(0, arrive)
	for len(sim.events) > 0 {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.run(e.at)
	}
	return float64(sim.waited) / float64(sim.requests)
}

func (sim *herdingSim) request(now time.Time) {
	stats := sim.stats[sim.rng.IntN(herdingEntries)]
	var groups [distanceCount][]Candidate
	for i := range stats {
		groups[SameDataCentre] = append(groups[SameDataCentre], Candidate{Stats: &stats[i], Slots: herdingSlots})
	}
	_, index, _ := fastest(&groups, now, sim.rng, Requirements{MeanRunTime: herdingRunTime})
	stats[index].BeginAttempt()
	sim.requests++
	u := &sim.upstreams[index]
	run := func(started time.Time) {
		if started.Sub(now) > herdingRunTime/2 {
			sim.waited++
		}
		took := time.Duration(float64(herdingRunTime) / u.speed * (0.5 + 0.5*sim.rng.ExpFloat64()))
		sim.schedule(took, func(ended time.Time) {
			u.serviceTime += (took - u.serviceTime) / 16
			sim.totalLatency += ended.Sub(now)
			u.running--
			if len(u.queue) > 0 {
				next := u.queue[0]
				u.queue = u.queue[1:]
				u.running++
				next(ended)
			}
			stats[index].ReportLoad(ended, gate.Load{Busy: u.running + len(u.queue), Slots: herdingSlots, ServiceTime: u.serviceTime})
			stats[index].EndAttempt(ended, Success)
		})
	}
	if u.running < herdingSlots {
		u.running++
		run(now)
		return
	}
	u.queue = append(u.queue, run)
}

// Entries that receive the same load reports must not all select the upstream
// that looked best, because it is full before the next report arrives. With
// about half of the slots free, hardly any request should wait.
func TestEntriesWithTheSameInformationDoNotOverloadOneUpstream(t *testing.T) {
	for utilization, limit := range map[float64]float64{0.4: 0.001, 0.6: 0.01} {
		t.Run(fmt.Sprint(utilization), func(t *testing.T) {
			if waited := newHerdingSim(utilization).run(); waited > limit {
				t.Errorf("%.2f%% of the requests waited longer than half a run, want at most %.2f%%", 100*waited, 100*limit)
			}
		})
	}
}

// BenchmarkLooks reports the mean response time and the share of requests that
// wait at several utilizations. Run it with -bench Looks -benchtime 1x.
func BenchmarkLooks(b *testing.B) {
	for _, utilization := range []float64{0.3, 0.4, 0.6, 0.8, 0.9} {
		b.Run(fmt.Sprintf("use-%.1f", utilization), func(b *testing.B) {
			for range b.N {
				sim := newHerdingSim(utilization)
				b.ReportMetric(100*sim.run(), "waited-%")
				b.ReportMetric(float64(sim.totalLatency.Milliseconds())/float64(sim.requests), "mean-ms")
			}
		})
	}
}
