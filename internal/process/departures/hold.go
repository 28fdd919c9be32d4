package departures

import (
	"context"
	"time"

	"github.com/daisytide/daisytide/api"
)

// holderWriteTimeout is how long a peer that holds a departure waits for the store
// before it replies. A peer that the store serves then writes for a node that the store
// refuses, and the departure outlives all processes.
const holderWriteTimeout = peerHoldTimeout / 2

// HandleHold holds a departure for another node, and writes it to the store as well: the
// other node may end before it reaches the store.
func (k *Keeper) HandleHold(ctx context.Context, d Departure) (bool, error) {
	changed, err := k.Set.receive(d)
	if err != nil {
		return false, err
	}
	if changed {
		k.publish(d)
	}
	held, ok := k.Set.Get(d.Node)
	if !ok || d.compare(held) > 0 {
		return false, nil
	}
	timer := time.NewTimer(holderWriteTimeout)
	defer timer.Stop()
	select {
	case <-k.startWrite(held).done:
	case <-timer.C:
	case <-ctx.Done():
	}
	return true, nil
}

// holdAtPeers returns nil when a peer holds a departure.
func (k *Keeper) holdAtPeers(ctx context.Context, d Departure) error {
	for held := range callPeers[bool](ctx, k, MethodHold, d, peerHoldTimeout) {
		if held {
			return nil
		}
	}
	return api.Errorf(api.StoreNotReached, "neither the store nor a peer has taken the departure of %q", d.Instance)
}
