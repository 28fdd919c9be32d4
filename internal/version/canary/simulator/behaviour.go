package simulator

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"
)

// The stand-in upstreams' behaviour.
const (
	medianDuration     = 5 * time.Millisecond
	durationSigma      = 0.5
	baseFailureRate    = 0.003
	callTimeout        = 2 * time.Second
	coldDuration       = 10 * time.Second
	coldFactor         = 5.0
	slowdownFactor     = 3.0
	generalFailureRate = 0.5
	// hostDelay is the share of calls that a busy neighbour slows.
	hostDelayRate = 0.01
	maxHostDelay  = 40 * time.Millisecond
)

// routes of the played service with their shares of the calls.
var routes = []struct {
	name  string
	share float64
}{{"status", 0.6}, {"orders", 0.3}, {"credit", 0.1}}

// oneRoute is the index of the route that a OneRoute fault shows on: the
// busiest of a busy service, the quietest of a quiet one.
func faultyRoute(busy bool) int {
	if busy {
		return 0
	}
	return len(routes) - 1
}

// begin is the virtual time of a move's start.
var rolloutStart = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// event is something that happens at a time.
type event struct {
	time time.Time
	seq  int
	run  func()
}

// events is a heap of events by time, equal times in order of arrival.
type eventQueue struct {
	list []event
	seq  int
}

func (e *eventQueue) Len() int { return len(e.list) }
func (e *eventQueue) Less(i, j int) bool {
	if !e.list[i].time.Equal(e.list[j].time) {
		return e.list[i].time.Before(e.list[j].time)
	}
	return e.list[i].seq < e.list[j].seq
}
func (e *eventQueue) Swap(i, j int) { e.list[i], e.list[j] = e.list[j], e.list[i] }
func (e *eventQueue) Push(x any)    { e.list = append(e.list, x.(event)) }
func (e *eventQueue) Pop() any {
	last := e.list[len(e.list)-1]
	e.list = e.list[:len(e.list)-1]
	return last
}

// after has run called at a time.
func (e *eventQueue) schedule(at time.Time, run func()) {
	e.seq++
	heap.Push(e, event{at, e.seq, run})
}

// next runs the first event at or before until; false when there is none.
func (e *eventQueue) popUntil(until time.Time) (time.Time, func(), bool) {
	if len(e.list) == 0 || e.list[0].time.After(until) {
		return time.Time{}, nil, false
	}
	first := heap.Pop(e).(event)
	return first.time, first.run, true
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
	loadThreshold float64
	// troubleAt and troubleFor place the trouble.
	disturbanceStart    time.Time
	disturbanceDuration time.Duration
}

func newBehaviour(cfg Config, rng *rand.Rand, rate float64) *behaviour {
	b := &behaviour{cfg: cfg, rng: rng}
	b.severity = 0.5 + 0.5*rng.Float64()
	if cfg.Fault == Slows {
		b.severity = 4 + 6*rng.Float64()
	}
	b.onset = rolloutStart.Add(time.Duration((0.1 + 0.85*rng.Float64()) * float64(RolloutDuration)))
	b.loadThreshold = (0.2 + 0.6*rng.Float64()) * rate / float64(cfg.Upstreams)
	b.disturbanceStart = rolloutStart.Add(time.Duration(0.9 * rng.Float64() * float64(RolloutDuration)))
	b.disturbanceDuration = 20*time.Second + time.Duration(rng.Float64()*float64(40*time.Second))
	return b
}

// has tells whether a trouble is part of the play.
func (b *behaviour) hasDisturbance(t Disturbance) bool {
	return b.cfg.Disturbance == t || b.cfg.Disturbance == AllDisturbances && t != Failures
}

func (b *behaviour) inDisturbance(now time.Time) bool {
	return !now.Before(b.disturbanceStart) && now.Before(b.disturbanceStart.Add(b.disturbanceDuration))
}

// showing tells whether the fault is there for a call of the new version.
func (b *behaviour) faultShows(now time.Time, route int, load float64) bool {
	switch {
	case b.cfg.Fault == NoFault || b.cfg.Fault == "":
		return false
	case b.cfg.Onset == AfterDelay:
		return !now.Before(b.onset)
	case b.cfg.Onset == AboveLoad:
		return load > b.loadThreshold
	case b.cfg.Onset == OneRoute:
		return route == faultyRoute(b.cfg.Busy)
	default:
		return true
	}
}

// outcome is what an upstream does with one call.
type outcome struct {
	duration time.Duration
	failed   bool
	hitFault bool
}

// call draws the outcome of a call to an upstream that became ready at ready.
func (b *behaviour) simulateCall(now, ready time.Time, bad bool) outcome {
	work := float64(medianDuration) * math.Exp(durationSigma*b.rng.NormFloat64())
	if b.rng.Float64() < hostDelayRate {
		work += float64(maxHostDelay) * b.rng.Float64()
	}
	if now.Sub(ready) < coldDuration {
		work *= coldFactor
	}
	if b.hasDisturbance(Slowdown) && b.inDisturbance(now) {
		work *= slowdownFactor
	}
	o := outcome{failed: b.rng.Float64() < baseFailureRate}
	if b.hasDisturbance(Failures) && b.inDisturbance(now) && b.rng.Float64() < generalFailureRate {
		o.failed = true
	}
	if bad {
		work = b.applyFault(&o, work)
	}
	o.duration = time.Duration(work)
	return o
}

// spoil applies the fault to an outcome and returns the time that it takes.
func (b *behaviour) applyFault(o *outcome, work float64) float64 {
	if b.cfg.Fault == Slows {
		o.hitFault = true
		return work * b.severity
	}
	if b.rng.Float64() >= b.severity {
		return work
	}
	o.hitFault, o.failed = true, true
	if b.cfg.Fault == Hangs {
		return float64(callTimeout)
	}
	return work
}
