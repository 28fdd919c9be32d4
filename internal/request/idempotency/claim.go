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
type rosterCache struct {
	mu      sync.RWMutex
	rosters map[string]Roster
}

func (rc *rosterCache) get(service string) Roster {
	rc.mu.RLock()
	defer rc.mu.RUnlock()
	return rc.rosters[service]
}

// offer keeps the newer roster and tells whether that is r.
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

// number is what is known of an attempt's place among those with its key.
type attemptOrder uint8

const (
	orderUnknown attemptOrder = iota
	orderFirst
	orderRepeat
)

// number asks the home of a key whether an attempt is the first, and returns
// the home that said so.
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
			klog.V(1).Infof(logPrefix+"number a call of %s: %v", c.Service, err)
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

// runFirst runs a call as the first attempt. One that was not run leaves its
// place to the next, which then needs no fences; but not where a gate knew the
// key.
func (co *Coordinator) runFirst(ctx context.Context, owner GateID, c *call.Call, run func() call.Result) call.Result {
	res := run()
	if res.Ran == api.RanNo && res.Code != api.CallFenced && res.Code != api.CallKeyClash {
		release := ClaimRequest{Service: c.Service, Key: c.IdempotencyKey, Incarnation: owner.Incarnation, Release: true}
		if _, err := co.sendClaim(context.WithoutCancel(ctx), owner.Address, release); err != nil {
			klog.V(1).Infof(logPrefix+"give a claim of %s back: %v", c.Service, err)
		}
	}
	return res
}

// anyGate picks a live gate, which tells its roster.
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
