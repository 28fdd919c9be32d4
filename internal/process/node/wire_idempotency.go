package node

import (
	"context"
	"expvar"
	"math/rand/v2"
	"time"

	"github.com/daisytide/daisytide/internal/conn/rpc"
	"github.com/daisytide/daisytide/internal/request/idempotency"
)

// wireIdempotency builds the middlewares and RPC methods that make calls with
// an idempotency key run at most once. It must be called before wireCalls.
func (n *Node) wireIdempotency() {
	self := idempotency.GateID{Address: n.peers.Addr().String(), Incarnation: rand.Uint64() | 1}
	deduplicator := idempotency.NewDeduplicator(self, idempotency.DefaultLimits)
	n.deduplicator = deduplicator
	coordinator := idempotency.NewCoordinator(n.store, n.peerRPC, n.gatesOf)
	coordinator.Metrics = new(expvar.Map).Init()
	n.metrics.Set("keys", coordinator.Metrics)
	n.metrics.Set("key_records", expvar.Func(func() any {
		records, _ := deduplicator.Size()
		return records
	}))
	n.rosterManager = idempotency.NewRosterManager(deduplicator, n.store, n.peerRPC)
	n.addRunner(n.rosterManager.Run)
	n.gateMiddlewares = append(n.gateMiddlewares, deduplicator.Middleware)
	n.entryMiddlewares = append(n.entryMiddlewares, coordinator.Middleware)
	n.peerMux.Handle(rpc.PathPrefix+idempotency.MethodFence, rpc.Handle(deduplicator.GrantFence))
	n.peerMux.Handle(rpc.PathPrefix+idempotency.MethodLookup, rpc.Handle(deduplicator.Lookup))
	n.peerMux.Handle(rpc.PathPrefix+idempotency.MethodClaim, rpc.Handle(deduplicator.Claim))
	n.peerMux.Handle(rpc.PathPrefix+idempotency.MethodJoin, rpc.Handle(deduplicator.AdmitGate))
	n.peerMux.Handle(rpc.PathPrefix+idempotency.MethodHandover, rpc.Handle(deduplicator.AcceptHandover))
}

// gatesOf returns the addresses of the nodes whose upstream belongs to a
// service.
func (n *Node) gatesOf(service string) []string {
	var out []string
	for _, r := range n.members.Index().Members {
		if r.Service == service {
			out = append(out, r.Address)
		}
	}
	return out
}

// handoverTimeout is the time limit of the handover of keys while the node
// stops.
const handoverTimeout = 3 * time.Second

// handOverKeys hands the key records of the idle gate to the gates that stay.
func (n *Node) handOverKeys() {
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	n.rosterManager.HandOver(ctx)
}

// KeysReady reports whether the node's gate accepts calls of a service with an
// idempotency key.
func (n *Node) KeysReady(service string) bool { return n.deduplicator.Ready(service) }
