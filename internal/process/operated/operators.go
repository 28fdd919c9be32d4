package operated

import (
	"context"
	"expvar"
	"net/http"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/rpc"
	"github.com/daisytide/daisytide/internal/process/audit"
	"github.com/daisytide/daisytide/internal/process/fleetstatus"
	"github.com/daisytide/daisytide/internal/process/membership"
	"github.com/daisytide/daisytide/internal/process/operator"
	"github.com/daisytide/daisytide/internal/version/document"
	"github.com/daisytide/daisytide/internal/version/ramp"
)

// operatorHandler serves the console and the operators' API. Both are
// read-only: configuration and orders are refused, because the operator writes
// them to the store. It also registers the RPC methods that collect the fleet's
// status on peerMux.
func (n *Node) operatorHandler(peerMux *http.ServeMux) http.Handler {
	n.fleetStatus = &fleetstatus.Collector{
		Self:         n.self.Record,
		Members:      func() []membership.Record { return n.members.Index().Members },
		ConfigNumber: func() uint64 { return n.holder.Current().Number() },
		Peers:        n.peerRPC,
	}
	peerMux.Handle(rpc.PathPrefix+fleetstatus.MethodConfigNumber, rpc.Handle(n.fleetStatus.HandleConfigNumber))
	peerMux.Handle(rpc.PathPrefix+fleetstatus.MethodDataCentre, rpc.Handle(n.fleetStatus.HandleDataCentre))
	tokenFailures := new(expvar.Int)
	n.metrics.Set("operator_token_refused", tokenFailures)
	s := &operator.Server{
		Token: n.cfg.Operators.Token, Node: operatorNode{n}, Documents: operatorNode{n}, Holder: n.holder,
		Audit: audit.LogRecorder{}, TokenFailures: tokenFailures, Metrics: n.metrics,
	}
	return s.Handler()
}

// operatorNode implements operator.Node and operator.DocumentApplier.
type operatorNode struct{ *Node }

func storeOnlyError() *api.Error {
	return api.Errorf(api.OperatorElsewhere, "write it to the platform's store")
}

// Status implements operator.Node.
func (n operatorNode) Status() api.StatusResponse {
	return api.StatusResponse{
		Address: n.cfg.Peers.Listen, Region: n.cfg.Node.Region, DataCentre: n.cfg.Node.DataCentre,
		Number: n.holder.Current().Number(), Ready: n.holder.Current() != nil && !n.stopping.Load(),
		Links: n.gossip.LinkCount(), Members: len(n.members.Index().Members),
		Watcher: n.provider.View().Watches(), StoreReached: n.store.Reachable(),
		Evacuated: n.evacuations.View().Names(),
	}
}

// Hosts implements operator.Node.
func (n operatorNode) Hosts(ctx context.Context) api.HostsResponse {
	out := n.fleetStatus.Hosts(ctx)
	out.Evacuated = n.evacuations.View().Names()
	return out
}

// Rollouts implements operator.Node.
func (n operatorNode) Rollouts() api.RolloutsResponse {
	out := api.RolloutsResponse{Number: n.holder.Current().Number()}
	for _, rollout := range n.orders.Rollouts() {
		out.Rollouts = append(out.Rollouts, api.Rollout{
			Service: rollout.Order.Service, To: rollout.Order.Target, StartConfig: rollout.Order.Revision, Share: percent * rollout.Share,
			Start: rollout.Since, Deadline: rollout.Since.Add(rollout.Order.Duration), ExpectedEnd: rollout.Since.Add(rollout.Order.Duration),
			State: stateNames[rollout.Phase],
		})
	}
	return out
}

const percent = 100

// stateNames maps phases to the states of api.Rollout.
var stateNames = map[ramp.Phase]string{ramp.Running: "moving", ramp.Completed: "done", ramp.Withdrawn: "taken-back"}

// ApplyOrder implements operator.Node.
func (operatorNode) ApplyOrder(api.RolloutOrder, string) *api.Error { return storeOnlyError() }

// Audit implements operator.Node. It is refused: the history of the store is
// the audit trail.
func (operatorNode) Audit(context.Context) (api.AuditResponse, *api.Error) {
	return api.AuditResponse{}, storeOnlyError()
}

// Announce implements operator.Node. It is refused: the upstream reports by
// heartbeat.
func (operatorNode) Announce(api.Announcement) *api.Error { return storeOnlyError() }

// Validate implements operator.DocumentApplier.
func (operatorNode) Validate([]byte) (*document.Document, *api.Error) { return nil, storeOnlyError() }

// ApplySession implements operator.DocumentApplier.
func (n operatorNode) ApplySession(context.Context, []byte, string, uint64, string) api.ApplyResponse {
	return api.ApplyResponse{Outcome: api.ApplyRefused, Number: n.holder.Current().Number(), Error: storeOnlyError()}
}
