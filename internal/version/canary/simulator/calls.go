package simulator

import (
	"time"

	"github.com/daisytide/daisytide/internal/version/canary"
)

// maxAttempts is the number of gates that one call may be sent to.
const maxAttempts = 3

// shortCall is the run time up to which the end of a call is recorded
// immediately instead of by an event.
const shortCall = 30 * time.Millisecond

// sendCall sends one call through a random entry.
func (sim *simulation) sendCall() {
	e := sim.entries[sim.rng.IntN(len(sim.entries))]
	route := sim.randomRoute()
	for range maxAttempts {
		h := sim.pickHost(e)
		if h == nil {
			break
		}
		if !h.alive() {
			continue
		}
		if h.isNew && sim.refusesCall(h, route) {
			e.avoidNewUntil = sim.now.Add(avoidDuration)
			continue
		}
		sim.runCall(h, e, route)
		return
	}
	sim.result.Unserved++
}

// refusesCall reports whether the gate refuses calls because the version is
// withdrawn or failing.
func (sim *simulation) refusesCall(h *host, route int) bool {
	return h.state.Withdrawn != nil || !sim.cfg.NoGateChecks && h.recorder.HasHardFailure(routes[route].name, h.clock(sim.now))
}

func (sim *simulation) randomRoute() int {
	u := sim.rng.Float64()
	for i, r := range routes {
		if u -= r.share; u < 0 {
			return i
		}
	}
	return len(routes) - 1
}

// pickHost picks the version and the host as an entry does.
func (sim *simulation) pickHost(e *entry) *host {
	share := e.state.Share()
	if sim.now.Before(e.avoidNewUntil) {
		share = 0
	}
	first, other := sim.oldHosts, sim.newHosts
	if 100*sim.rng.Float64() < share {
		first, other = other, first
	}
	if h := sim.randomListedHost(first); h != nil {
		return h
	}
	if e.state.Withdrawn != nil {
		return nil
	}
	return sim.randomListedHost(other)
}

// randomListedHost returns a host that members still list, or nil if there is
// none.
func (sim *simulation) randomListedHost(hosts []*host) *host {
	start := sim.rng.IntN(len(hosts))
	for i := range hosts {
		if h := hosts[(start+i)%len(hosts)]; sim.listed(h) {
			return h
		}
	}
	return nil
}

// runCall runs a call on the upstream of a host.
func (sim *simulation) runCall(h *host, e *entry, route int) {
	bad := false
	if h.isNew {
		load := sim.rate * e.state.Share() / 100 / float64(len(sim.newHosts))
		bad = sim.behaviour.faultShows(sim.now, route, load)
	}
	o := sim.behaviour.simulateCall(sim.now, h.ready, bad)
	if o.hitFault {
		sim.result.FaultyCalls++
		if !sim.result.FaultShown {
			sim.result.FaultShown, sim.firstFault = true, sim.now
		}
	}
	if h.isNew && sim.result.FaultShown {
		sim.result.LastCall = sim.now.Sub(sim.firstFault)
	}
	running := h.recorder.Begin(routes[route].name, h.clock(sim.now))
	result := canary.Succeeded
	if o.failed {
		result = canary.Failed
	}
	at := sim.now.Add(min(o.duration, callTimeout))
	if o.duration <= shortCall {
		running.End(result, h.clock(at))
		return
	}
	sim.events.schedule(at, func() { running.End(sim.finalOutcome(h, o, result), h.clock(at)) })
}

// finalOutcome returns the outcome at the end of the call, when its host may
// have died.
func (sim *simulation) finalOutcome(h *host, o outcome, result canary.Outcome) canary.Outcome {
	switch {
	case !h.alive():
		return canary.ConnectionLost
	case o.duration >= callTimeout:
		return canary.Failed
	default:
		return result
	}
}
