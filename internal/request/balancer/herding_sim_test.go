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
type herdDrive struct {
	rng       *rand.Rand
	now       time.Time
	events    events
	sights    [][]UpstreamStats
	upstreams []herdUpstream
	use       float64

	requests, waited int
	took             time.Duration
}

type herdUpstream struct {
	speed   float64
	running int
	queue   []func(now time.Time)
	held    time.Duration
}

const (
	herdEntries   = 25
	herdUpstreams = 9
	herdSlots     = 12
	herdRun       = 200 * time.Millisecond
	herdSpan      = 30 * time.Second
)

func newHerdDrive(use float64) *herdDrive {
	d := &herdDrive{rng: rand.New(rand.NewPCG(1, 9)), now: time.Unix(1000, 0), use: use}
	for i := range herdUpstreams {
		d.upstreams = append(d.upstreams, herdUpstream{speed: []float64{0.6, 1, 1.4}[i%3], held: herdRun})
	}
	for range herdEntries {
		d.sights = append(d.sights, make([]UpstreamStats, herdUpstreams))
	}
	return d
}

func (d *herdDrive) at(after time.Duration, run func(time.Time)) {
	heap.Push(&d.events, event{d.now.Add(after), run})
}

// play returns the share of requests that waited longer than half a usual run.
func (d *herdDrive) play() float64 {
	end := d.now.Add(herdSpan)
	var arrive func(time.Time)
	rate := d.use * herdUpstreams * herdSlots / herdRun.Seconds()
	arrive = func(now time.Time) {
		if now.Before(end) {
			d.at(time.Duration(d.rng.ExpFloat64()/rate*float64(time.Second)), arrive)
			d.request(now)
		}
	}
	d.at(0, arrive)
	for len(d.events) > 0 {
		e := heap.Pop(&d.events).(event)
		d.now = e.at
		e.run(e.at)
	}
	return float64(d.waited) / float64(d.requests)
}

func (d *herdDrive) request(now time.Time) {
	sights := d.sights[d.rng.IntN(herdEntries)]
	var groups [distances][]Candidate
	for i := range sights {
		groups[SameDataCentre] = append(groups[SameDataCentre], Candidate{Stats: &sights[i], Slots: herdSlots})
	}
	_, place, _ := cheapest(&groups, now, d.rng, Requirements{MeanRunTime: herdRun})
	sights[place].BeginAttempt()
	d.requests++
	u := &d.upstreams[place]
	run := func(begun time.Time) {
		if begun.Sub(now) > herdRun/2 {
			d.waited++
		}
		took := time.Duration(float64(herdRun) / u.speed * (0.5 + 0.5*d.rng.ExpFloat64()))
		d.at(took, func(ended time.Time) {
			u.held += (took - u.held) / 16
			d.took += ended.Sub(now)
			u.running--
			if len(u.queue) > 0 {
				next := u.queue[0]
				u.queue = u.queue[1:]
				u.running++
				next(ended)
			}
			sights[place].ReportLoad(ended, gate.Load{Busy: u.running + len(u.queue), Slots: herdSlots, ServiceTime: u.held})
			sights[place].EndAttempt(ended, Success)
		})
	}
	if u.running < herdSlots {
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
			if waited := newHerdDrive(use).play(); waited > most {
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
				d := newHerdDrive(use)
				b.ReportMetric(100*d.play(), "waited-%")
				b.ReportMetric(float64(d.took.Milliseconds())/float64(d.requests), "mean-ms")
			}
		})
	}
}
