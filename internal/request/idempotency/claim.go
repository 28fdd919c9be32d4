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
	// claimTimeout bounds the wait for the reply of a key's owner.
	claimTimeout = 100 * time.Millisecond
	// maxClaims bounds the number of gates asked about one attempt.
	maxClaims = 3
)

// rosterCache holds the newest known roster of each service. A stale roster only
// costs a request to a gate that is not the owner.
type rosterCache struct {
	mu      sync.RWMutex
	rosters map[string]Roster
}

func (rc *rosterCache) get(service string) Roster {
	rc.mu.RLock()
	defer rc.mu.RUnlock()
	return rc.rosters[service]
}

// putIfNewer stores r if it is newer and reports whether it was.
func (rc *rosterCache) putIfNewer(service string, r Roster) bool {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if r.Revision <= rc.rosters[service].Revision {
		return false
	}
	if rc.rosters == nil {
		rc.rosters = map[string]Roster{}
	}
	rc.rosters[service] = r
	return true
}

// attemptOrder distinguishes a first attempt from repeated ones.
type attemptOrder uint8

const (
	orderUnknown attemptOrder = iota
	orderFirst
	orderRepeat
)

// classify asks the owner of the key whether an attempt is the first, and
// returns the gate that replied.
func (co *Coordinator) classify(ctx context.Context, c *call.Call) (attemptOrder, GateID) {
	for range maxClaims {
		roster := co.rosterCache.get(c.Service)
		owner, ok := roster.Owner(hashKey(c.IdempotencyKey))
		if !ok {
			owner, ok = co.anyGate(c.Service)
		}
		if !ok {
			return orderUnknown, owner
		}
		reply, err := co.sendClaim(ctx, owner.Address, ClaimRequest{Service: c.Service, Key: c.IdempotencyKey, Incarnation: owner.Incarnation, Revision: roster.Revision})
		switch {
		case err != nil:
			klog.V(1).Infof(logPrefix+"classify an attempt for service %q: %v", c.Service, err)
			return orderUnknown, owner
		case reply.IsFirst:
			return orderFirst, owner
		case reply.IsRepeat:
			return orderRepeat, owner
		case !co.rosterCache.putIfNewer(c.Service, Roster{Gates: reply.Gates, Revision: reply.Revision}):
			return orderUnknown, owner
		}
	}
	return orderUnknown, GateID{}
}

// runFirst runs a call as the first attempt. If it was not run, its claim is
// released, so that the next attempt needs no fences. The claim is kept if a
// gate had a record of the key.
func (co *Coordinator) runFirst(ctx context.Context, owner GateID, c *call.Call, run func() call.Result) call.Result {
	res := run()
	if res.Ran == api.RanNo && res.Code != api.CallFenced && res.Code != api.CallKeyClash {
		release := ClaimRequest{Service: c.Service, Key: c.IdempotencyKey, Incarnation: owner.Incarnation, Release: true}
		if _, err := co.sendClaim(context.WithoutCancel(ctx), owner.Address, release); err != nil {
			klog.V(1).Infof(logPrefix+"release a claim of service %q: %v", c.Service, err)
		}
	}
	return res
}

// anyGate picks a live gate, which replies with its roster.
func (co *Coordinator) anyGate(service string) (GateID, bool) {
	live := co.LiveGates(service)
	if len(live) == 0 {
		return GateID{}, false
	}
	return GateID{Address: live[rand.IntN(len(live))]}, true
}

func (co *Coordinator) sendClaim(ctx context.Context, address string, request ClaimRequest) (ClaimReply, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	var reply ClaimReply
	err := co.RPC.Call(ctx, address, MethodClaim, request, &reply)
	return reply, err
}
