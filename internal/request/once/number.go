package once

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/daisytide/daisytide/internal/request/call"
)

const (
	// claimTimeout bounds the wait for the home of a key.
	claimTimeout = 200 * time.Millisecond
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

// first asks the home of a key whether an attempt without a number is the
// first. Without a sure answer it is taken for a later one.
func (e *Entry) first(ctx context.Context, c *call.Call) bool {
	for range maxClaims {
		roster := e.views.get(c.Service)
		home, ok := roster.Home(hashKey(c.Key))
		if !ok {
			home, ok = e.anyGate(c.Service)
		}
		if !ok {
			return false
		}
		out, err := e.claim(ctx, home.Address, Claim{Service: c.Service, Key: c.Key, Gate: home.Instance, Revision: roster.Revision})
		switch {
		case err != nil:
			klog.V(1).Infof(logPrefix+"number a call of %s: %v", c.Service, err)
			return false
		case out.First || out.Later:
			return out.First
		case !e.views.offer(c.Service, Roster{Gates: out.Gates, Revision: out.Revision}):
			return false
		}
	}
	return false
}

// anyGate picks a live gate, which tells its roster.
func (e *Entry) anyGate(service string) (Gate, bool) {
	live := e.Gates(service)
	if len(live) == 0 {
		return Gate{}, false
	}
	return Gate{Address: live[rand.IntN(len(live))]}, true
}

func (e *Entry) claim(ctx context.Context, address string, c Claim) (Claimed, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	var out Claimed
	err := e.Caller.Call(ctx, address, MethodClaim, c, &out)
	return out, err
}
