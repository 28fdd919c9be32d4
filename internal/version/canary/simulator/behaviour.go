package simulator

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"
)

// The stand-in upstreams' behaviour.
const (
	medianWork  = 5 * time.Millisecond
	workSpread  = 0.5
	noiseRate   = 0.003
	timeLimit   = 2 * time.Second
	coldTime    = 10 * time.Second
	coldFactor  = 5.0
	slowdownBy  = 3.0
	generalFail = 0.5
	// hostDelay is the share of calls that a busy neighbour slows.
	hostDelay     = 0.01
	hostDelayTime = 40 * time.Millisecond
)

// routes of the played service with their shares of the calls.
var routes = []struct {
	name  string
	share float64
}{{"status", 0.6}, {"orders", 0.3}, {"credit", 0.1}}

// oneRoute is the index of the route that a OneRoute fault shows on: the
// busiest of a busy service, the quietest of a quiet one.
func oneRoute(busy bool) int {
	if busy {
		return 0
	}
	return len(routes) - 1
}

// begin is the virtual time of a move's start.
var begin = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// event is something that happens at a time.
type event struct {
	at  time.Time
	seq int
	run func()
}

// events is a heap of events by time, equal times in order of arrival.
type events struct {
	list []event
	seq  int
}

func (e *events) Len() int { return len(e.list) }
func (e *events) Less(i, j int) bool {
	if !e.list[i].at.Equal(e.list[j].at) {
		return e.list[i].at.Before(e.list[j].at)
	}
	return e.list[i].seq < e.list[j].seq
}
func (e *events) Swap(i, j int) { e.list[i], e.list[j] = e.list[j], e.list[i] }
func (e *events) Push(x any)    { e.list = append(e.list, x.(event)) }
func (e *events) Pop() any {
	last := e.list[len(e.list)-1]
	e.list = e.list[:len(e.list)-1]
	return last
}

// after has run called at a time.
func (e *events) after(at time.Time, run func()) {
	e.seq++
	heap.Push(e, event{at, e.seq, run})
}

// next runs the first event at or before until; false when there is none.
func (e *events) next(until time.Time) (time.Time, func(), bool) {
	if len(e.list) == 0 || e.list[0].at.After(until) {
		return time.Time{}, nil, false
	}
	first := heap.Pop(e).(event)
	return first.at, first.run, true
}

// behaviour draws what upstreams do.
type behaviour struct {
	cfg Config
	rng *rand.Rand
	// severity is the chance, or for Slows the factor, of the fault.
	severity float64
	onset    time.Time
	// load is the new version's calls per second and upstream above which the
	// fault shows.
	load float64
	// troubleAt and troubleFor place the trouble.
	troubleAt  time.Time
	troubleFor time.Duration
}

func newBehaviour(cfg Config, rng *rand.Rand, rate float64) *behaviour {
	b := &behaviour{cfg: cfg, rng: rng}
	b.severity = 0.5 + 0.5*rng.Float64()
	if cfg.Fault == Slows {
		b.severity = 4 + 6*rng.Float64()
	}
	b.onset = begin.Add(time.Duration((0.1 + 0.85*rng.Float64()) * float64(RolloutDuration)))
	b.load = (0.2 + 0.6*rng.Float64()) * rate / float64(cfg.Upstreams)
	b.troubleAt = begin.Add(time.Duration(0.9 * rng.Float64() * float64(RolloutDuration)))
	b.troubleFor = 20*time.Second + time.Duration(rng.Float64()*float64(40*time.Second))
	return b
}

// has tells whether a trouble is part of the play.
func (b *behaviour) has(t Disturbance) bool {
	return b.cfg.Disturbance == t || b.cfg.Disturbance == AllDisturbances && t != Failures
}

func (b *behaviour) troubled(now time.Time) bool {
	return !now.Before(b.troubleAt) && now.Before(b.troubleAt.Add(b.troubleFor))
}

// showing tells whether the fault is there for a call of the new version.
func (b *behaviour) showing(now time.Time, route int, load float64) bool {
	switch {
	case b.cfg.Fault == NoFault || b.cfg.Fault == "":
		return false
	case b.cfg.Onset == AfterDelay:
		return !now.Before(b.onset)
	case b.cfg.Onset == AboveLoad:
		return load > b.load
	case b.cfg.Onset == OneRoute:
		return route == oneRoute(b.cfg.Busy)
	default:
		return true
	}
}

// outcome is what an upstream does with one call.
type outcome struct {
	took   time.Duration
	failed bool
	met    bool
}

// call draws the outcome of a call to an upstream that became ready at ready.
func (b *behaviour) call(now, ready time.Time, bad bool) outcome {
	work := float64(medianWork) * math.Exp(workSpread*b.rng.NormFloat64())
	if b.rng.Float64() < hostDelay {
		work += float64(hostDelayTime) * b.rng.Float64()
	}
	if now.Sub(ready) < coldTime {
		work *= coldFactor
	}
	if b.has(Slowdown) && b.troubled(now) {
		work *= slowdownBy
	}
	o := outcome{failed: b.rng.Float64() < noiseRate}
	if b.has(Failures) && b.troubled(now) && b.rng.Float64() < generalFail {
		o.failed = true
	}
	if bad {
		work = b.spoil(&o, work)
	}
	o.took = time.Duration(work)
	return o
}

// spoil applies the fault to an outcome and returns the time that it takes.
func (b *behaviour) spoil(o *outcome, work float64) float64 {
	if b.cfg.Fault == Slows {
		o.met = true
		return work * b.severity
	}
	if b.rng.Float64() >= b.severity {
		return work
	}
	o.met, o.failed = true, true
	if b.cfg.Fault == Hangs {
		return float64(timeLimit)
	}
	return work
}
