package idempotency

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/request/call"
)

const (
	// claimTimeout bounds the wait for the home of a key.
	claimTimeout = 100 * time.Millisecond
	// maxClaims bounds the homes that are asked for one attempt.
	maxClaims = 3
)

// views holds the newest roster of each service that the entry has heard of.
// An old one costs a question to the wrong gate and no more.
type views struct {
	mu      sync.RWMutex
	rosters map[string]Roster
}

func (v *views) get(service string) Roster {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.rosters[service]
}

// offer keeps the newer roster and tells whether that is r.
func (v *views) offer(service string, r Roster) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if r.Revision <= v.rosters[service].Revision {
		return false
	}
	if v.rosters == nil {
		v.rosters = map[string]Roster{}
	}
	v.rosters[service] = r
	return true
}

// number is what is known of an attempt's place among those with its key.
type number uint8

const (
	unsure number = iota
	first
	later
)

// number asks the home of a key whether an attempt is the first, and returns
// the home that said so.
func (e *Coordinator) number(ctx context.Context, c *call.Call) (number, GateID) {
	for range maxClaims {
		roster := e.views.get(c.Service)
		home, ok := roster.Owner(hashKey(c.IdempotencyKey))
		if !ok {
			home, ok = e.anyGate(c.Service)
		}
		if !ok {
			return unsure, home
		}
		out, err := e.claim(ctx, home.Address, ClaimRequest{Service: c.Service, Key: c.IdempotencyKey, Incarnation: home.Incarnation, Revision: roster.Revision})
		switch {
		case err != nil:
			klog.V(1).Infof(logPrefix+"number a call of %s: %v", c.Service, err)
			return unsure, home
		case out.IsFirst:
			return first, home
		case out.IsRepeat:
			return later, home
		case !e.views.offer(c.Service, Roster{Gates: out.Gates, Revision: out.Revision}):
			return unsure, home
		}
	}
	return unsure, GateID{}
}

// runFirst runs a call as the first attempt. One that was not run leaves its
// place to the next, which then needs no fences; but not where a gate knew the
// key.
func (e *Coordinator) runFirst(ctx context.Context, home GateID, c *call.Call, run func() call.Result) call.Result {
	res := run()
	if res.Ran == api.RanNo && res.Code != api.CallFenced && res.Code != api.CallKeyClash {
		back := ClaimRequest{Service: c.Service, Key: c.IdempotencyKey, Incarnation: home.Incarnation, Release: true}
		if _, err := e.claim(context.WithoutCancel(ctx), home.Address, back); err != nil {
			klog.V(1).Infof(logPrefix+"give a claim of %s back: %v", c.Service, err)
		}
	}
	return res
}

// anyGate picks a live gate, which tells its roster.
func (e *Coordinator) anyGate(service string) (GateID, bool) {
	live := e.LiveGates(service)
	if len(live) == 0 {
		return GateID{}, false
	}
	return GateID{Address: live[rand.IntN(len(live))]}, true
}

func (e *Coordinator) claim(ctx context.Context, address string, c ClaimRequest) (ClaimReply, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	var out ClaimReply
	err := e.RPC.Call(ctx, address, MethodClaim, c, &out)
	return out, err
}
