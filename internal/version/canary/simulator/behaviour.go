package simulator

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"
)

// Behaviour of the simulated upstreams.
const (
	medianDuration     = 5 * time.Millisecond
	durationSigma      = 0.5
	baseFailureRate    = 0.003
	callTimeout        = 2 * time.Second
	coldDuration       = 10 * time.Second
	coldFactor         = 5.0
	slowdownFactor     = 3.0
	generalFailureRate = 0.5
	// hostDelayRate is the fraction of calls delayed by load of other processes
	// on the host.
	hostDelayRate = 0.01
	maxHostDelay  = 40 * time.Millisecond
)

// routes lists the routes of the simulated service with their share of calls.
var routes = []struct {
	name  string
	share float64
}{{"status", 0.6}, {"orders", 0.3}, {"credit", 0.1}}

// faultyRoute returns the index of the route that a OneRoute fault affects: the
// busiest one of a busy service, the quietest one of a quiet service.
func faultyRoute(busy bool) int {
	if busy {
		return 0
	}
	return len(routes) - 1
}

// rolloutStart is the virtual time at which the rollout starts.
var rolloutStart = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// event is a function scheduled for a virtual time.
type event struct {
	time time.Time
	seq  int
	run  func()
}

// eventQueue is a heap of events by time; events of the same time keep their
// order.
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

// schedule adds a call of run at a virtual time.
func (e *eventQueue) schedule(at time.Time, run func()) {
	e.seq++
	heap.Push(e, event{at, e.seq, run})
}

// popUntil removes the first event at or before until; false if there is none.
func (e *eventQueue) popUntil(until time.Time) (time.Time, func(), bool) {
	if len(e.list) == 0 || e.list[0].time.After(until) {
		return time.Time{}, nil, false
	}
	first := heap.Pop(e).(event)
	return first.time, first.run, true
}

// behaviour draws the outcomes of calls at random.
type behaviour struct {
	cfg Config
	rng *rand.Rand
	// severity is the probability of the fault, or the slowdown factor for
	// Slows.
	severity float64
	onset    time.Time
	// loadThreshold is the number of calls per second and upstream of the new
	// version above which an AboveLoad fault shows.
	loadThreshold float64
	// disturbanceStart and disturbanceDuration are the time span of the
	// disturbance.
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

// hasDisturbance reports whether a disturbance is part of the simulation.
// AllDisturbances includes each one but Failures.
func (b *behaviour) hasDisturbance(t Disturbance) bool {
	return b.cfg.Disturbance == t || b.cfg.Disturbance == AllDisturbances && t != Failures
}

func (b *behaviour) inDisturbance(now time.Time) bool {
	return !now.Before(b.disturbanceStart) && now.Before(b.disturbanceStart.Add(b.disturbanceDuration))
}

// faultShows reports whether the fault affects a call to the new version.
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

// outcome is the result of one call on an upstream.
type outcome struct {
	duration time.Duration
	failed   bool
	hitFault bool
}

// simulateCall draws the outcome of a call to an upstream that became ready at
// ready.
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

// applyFault applies the fault to an outcome and returns the resulting run
// time.
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
