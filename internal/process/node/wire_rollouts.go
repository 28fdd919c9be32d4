package node

import (
	"context"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/rpc"
	"github.com/daisytide/daisytide/internal/process/rollouts"
)

// wireRollouts builds the rollout manager.
func (n *Node) wireRollouts() {
	n.rollouts = rollouts.NewManager(rollouts.Config{
		Self:      n.self.Record,
		Members:   n.members,
		Holder:    n.holder,
		Peers:     n.peerRPC,
		Store:     n.store,
		Audit:     n.auditRecorder,
		Publisher: n.gossip,
	})
	n.versions = n.rollouts
	n.provider.RolloutEnded = n.rollouts.RolloutEnded
	n.provider.RolloutDone = n.rollouts.RolloutDone
	n.gossip.RegisterTopic(n.rollouts)
	n.holder.OnSwap(n.rollouts.ConfigChanged)
	n.gateMiddlewares = append(n.gateMiddlewares, n.rollouts.GateMiddleware)
	n.peerMux.Handle(rpc.PathPrefix+rollouts.ReportMethod, rpc.Handle(n.rollouts.HandleReport))
	n.peerMux.Handle(rpc.PathPrefix+rollouts.EvidenceMethod, rpc.Handle(n.rollouts.HandleEvidence))
	n.addRunner(n.rollouts.Run)
}

// Rollouts implements operator.Node.
func (n *Node) Rollouts() api.RolloutsResponse {
	return n.rollouts.Rollouts(context.Background())
}

// ApplyOrder implements operator.Node.
func (n *Node) ApplyOrder(o api.RolloutOrder, operator string) *api.Error {
	return n.rollouts.ApplyOrder(o, operator)
}
