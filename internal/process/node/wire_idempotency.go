package node

import (
	"context"
	"expvar"
	"math/rand/v2"
	"time"

	"github.com/daisytide/daisytide/internal/conn/rpc"
	"github.com/daisytide/daisytide/internal/request/idempotency"
)

// wireKeys builds what makes keyed calls run at most once. It comes before
// the entry and the gate.
func (n *Node) wireKeys() {
	self := idempotency.GateID{Address: n.peers.Addr().String(), Incarnation: rand.Uint64() | 1}
	keys := idempotency.NewDeduplicator(self, idempotency.DefaultLimits)
	n.keys = keys
	entry := idempotency.NewCoordinator(n.store, n.rpc, n.gatesOf)
	entry.Metrics = new(expvar.Map).Init()
	n.metrics.Set("keys", entry.Metrics)
	n.metrics.Set("key_records", expvar.Func(func() any {
		records, _ := keys.Size()
		return records
	}))
	n.keeper = idempotency.NewRosterManager(keys, n.store, n.rpc)
	n.addRunner(n.keeper.Run)
	n.gateMiddlewares = append(n.gateMiddlewares, keys.Middleware)
	n.entryMiddlewares = append(n.entryMiddlewares, entry.Middleware)
	n.peerMux.Handle(rpc.Prefix+idempotency.MethodFence, rpc.Handle(keys.GrantFence))
	n.peerMux.Handle(rpc.Prefix+idempotency.MethodLookup, rpc.Handle(keys.Lookup))
	n.peerMux.Handle(rpc.Prefix+idempotency.MethodClaim, rpc.Handle(keys.Claim))
	n.peerMux.Handle(rpc.Prefix+idempotency.MethodJoin, rpc.Handle(keys.AdmitGate))
	n.peerMux.Handle(rpc.Prefix+idempotency.MethodHandover, rpc.Handle(keys.AcceptHandover))
}

// gatesOf lists the addresses of the nodes whose upstream serves a service.
func (n *Node) gatesOf(service string) []string {
	var out []string
	for _, r := range n.members.Index().Members {
		if r.Service == service {
			out = append(out, r.Address)
		}
	}
	return out
}

// leaveTimeout bounds the handing over of keys at a stop.
const leaveTimeout = 3 * time.Second

// leaveKeys hands the keys of the gate, which is idle, to those that stay.
func (n *Node) leaveKeys() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	n.keeper.HandOver(ctx)
}

// KeysReady tells whether the node's gate takes keyed calls of a service.
func (n *Node) KeysReady(service string) bool { return n.keys.Ready(service) }
