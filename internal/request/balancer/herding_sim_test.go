package balancer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/daisytide/daisytide/internal/request/gate"
)

// herdDrive plays one data centre in virtual time: entries that hear of each
// upstream a few times a second, by the answers to their own requests, and
// upstreams of three speeds with slots and a queue in order of arrival.
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

func newHerdingSim(use float64) *herdingSim {
	d := &herdingSim{rng: rand.New(rand.NewPCG(1, 9)), now: time.Unix(1000, 0), utilization: use}
	for i := range herdingUpstreams {
		d.upstreams = append(d.upstreams, herdingUpstream{speed: []float64{0.6, 1, 1.4}[i%3], serviceTime: herdingRunTime})
	}
	for range herdingEntries {
		d.stats = append(d.stats, make([]UpstreamStats, herdingUpstreams))
	}
	return d
}

func (d *herdingSim) schedule(after time.Duration, run func(time.Time)) {
	heap.Push(&d.events, event{d.now.Add(after), run})
}

// play returns the share of requests that waited longer than half a usual run.
func (d *herdingSim) run() float64 {
	end := d.now.Add(herdingDuration)
	var arrive func(time.Time)
	rate := d.utilization * herdingUpstreams * herdingSlots / herdingRunTime.Seconds()
	arrive = func(now time.Time) {
		if now.Before(end) {
			d.schedule(time.Duration(d.rng.ExpFloat64()/rate*float64(time.Second)), arrive)
			d.request(now)
		}
	}
	d.schedule(0, arrive)
	for len(d.events) > 0 {
		e := heap.Pop(&d.events).(event)
		d.now = e.at
		e.run(e.at)
	}
	return float64(d.waited) / float64(d.requests)
}

func (d *herdingSim) request(now time.Time) {
	sights := d.stats[d.rng.IntN(herdingEntries)]
	var groups [distanceCount][]Candidate
	for i := range sights {
		groups[SameDataCentre] = append(groups[SameDataCentre], Candidate{Stats: &sights[i], Slots: herdingSlots})
	}
	_, place, _ := fastest(&groups, now, d.rng, Requirements{MeanRunTime: herdingRunTime})
	sights[place].BeginAttempt()
	d.requests++
	u := &d.upstreams[place]
	run := func(begun time.Time) {
		if begun.Sub(now) > herdingRunTime/2 {
			d.waited++
		}
		took := time.Duration(float64(herdingRunTime) / u.speed * (0.5 + 0.5*d.rng.ExpFloat64()))
		d.schedule(took, func(ended time.Time) {
			u.serviceTime += (took - u.serviceTime) / 16
			d.totalLatency += ended.Sub(now)
			u.running--
			if len(u.queue) > 0 {
				next := u.queue[0]
				u.queue = u.queue[1:]
				u.running++
				next(ended)
			}
			sights[place].ReportLoad(ended, gate.Load{Busy: u.running + len(u.queue), Slots: herdingSlots, ServiceTime: u.serviceTime})
			sights[place].EndAttempt(ended, Success)
		})
	}
	if u.running < herdingSlots {
		u.running++
		run(now)
		return
	}
	u.queue = append(u.queue, run)
}

// Entries that hear the same of the same upstreams must not all choose the one
// that looked best: by the time they hear of it again it is full. With half of
// the slots free next to no request should wait.
func TestEntriesThatKnowTheSameDoNotFloodOneUpstream(t *testing.T) {
	for use, most := range map[float64]float64{0.4: 0.001, 0.6: 0.01} {
		t.Run(fmt.Sprint(use), func(t *testing.T) {
			if waited := newHerdingSim(use).run(); waited > most {
				t.Errorf("%.2f%% of the requests waited over half a run, at most %.2f%%", 100*waited, 100*most)
			}
		})
	}
}

// BenchmarkLooks gives the mean time of an answer and the share that waits, at
// several uses of the slots: -bench Looks -benchtime 1x.
func BenchmarkLooks(b *testing.B) {
	for _, use := range []float64{0.3, 0.4, 0.6, 0.8, 0.9} {
		b.Run(fmt.Sprintf("use-%.1f", use), func(b *testing.B) {
			for range b.N {
				d := newHerdingSim(use)
				b.ReportMetric(100*d.run(), "waited-%")
				b.ReportMetric(float64(d.totalLatency.Milliseconds())/float64(d.requests), "mean-ms")
			}
		})
	}
}
