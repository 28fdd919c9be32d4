package simulator

import (
	"time"

	"github.com/daisytide/daisytide/internal/version/canary"
)

// maxTries bounds the gates that one call is brought to.
const maxTries = 3

// shortCall is the longest call whose end is noted at once, ahead of time.
const shortCall = 30 * time.Millisecond

// call sends one call through a random entry.
func (p *play) call() {
	e := p.entries[p.rng.IntN(len(p.entries))]
	route := p.route()
	for range maxTries {
		h := p.pick(e)
		if h == nil {
			break
		}
		if !h.alive() {
			continue
		}
		if h.isNew && p.refused(h, route) {
			e.avoid = p.now.Add(avoidFor)
			continue
		}
		p.run(h, e, route)
		return
	}
	p.res.Unserved++
}

// refused is the gate's part of a withdrawal.
func (p *play) refused(h *host, route int) bool {
	return h.state.Withdrawn != nil || !p.cfg.NoGateChecks && h.recorder.HasHardFailure(routes[route].name, h.clock(p.now))
}

func (p *play) route() int {
	u := p.rng.Float64()
	for i, r := range routes {
		if u -= r.share; u < 0 {
			return i
		}
	}
	return len(routes) - 1
}

// pick chooses version and host as an entry does.
func (p *play) pick(e *entry) *host {
	share := e.state.Share()
	if p.now.Before(e.avoid) {
		share = 0
	}
	first, other := p.old, p.newer
	if 100*p.rng.Float64() < share {
		first, other = other, first
	}
	if h := p.random(first); h != nil {
		return h
	}
	if e.state.Withdrawn != nil {
		return nil
	}
	return p.random(other)
}

// random returns a listed host, or nil where there is none.
func (p *play) random(hosts []*host) *host {
	start := p.rng.IntN(len(hosts))
	for i := range hosts {
		if h := hosts[(start+i)%len(hosts)]; p.listed(h) {
			return h
		}
	}
	return nil
}

// run has an upstream run a call.
func (p *play) run(h *host, e *entry, route int) {
	bad := false
	if h.isNew {
		load := p.rate * e.state.Share() / 100 / float64(len(p.newer))
		bad = p.b.showing(p.now, route, load)
	}
	o := p.b.call(p.now, h.ready, bad)
	if o.met {
		p.res.FaultyCalls++
		if !p.res.FaultShown {
			p.res.FaultShown, p.first = true, p.now
		}
	}
	if h.isNew && p.res.FaultShown {
		p.res.LastCall = p.now.Sub(p.first)
	}
	running := h.recorder.Begin(routes[route].name, h.clock(p.now))
	result := canary.Succeeded
	if o.failed {
		result = canary.Failed
	}
	at := p.now.Add(min(o.took, timeLimit))
	if o.took <= shortCall {
		running.End(result, h.clock(at))
		return
	}
	p.events.after(at, func() { running.End(p.ended(h, o, result), h.clock(at)) })
}

// ended corrects the result of a call whose host has died meanwhile.
func (p *play) ended(h *host, o outcome, result canary.Outcome) canary.Outcome {
	switch {
	case !h.alive():
		return canary.ConnectionLost
	case o.took >= timeLimit:
		return canary.Failed
	default:
		return result
	}
}
