package operated

import (
	"sync/atomic"
	"time"

	"github.com/daisytide/daisytide/internal/process/quota"
)

// wireQuota builds what limits the requests of client accounts over all nodes.
func (n *Node) wireQuota() {
	// A node that knows no other one may be cut off. That the fleet has no other is
	// certain only after a list of the store.
	var listed atomic.Bool
	onList := n.registry.OnList
	n.registry.OnList = func() {
		listed.Store(true)
		onList()
	}
	n.quota = &quota.Limiter{
		Self: n.cfg.Peers.Listen, Members: n.members.All, Generation: n.members.Generation, RPC: n.peerRPC,
		Joined: func() bool { return listed.Load() || len(n.members.Index().Members) > 1 },
	}
	n.quota.Start(uint64(time.Now().UnixMilli()), time.Now())
	n.holder.OnSwap(n.quota.ApplySnapshot)
	n.ingress.Limiter = n.quota
	n.requests.Register(n.quota.Metrics())
}
