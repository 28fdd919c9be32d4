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

// operatorHandler serves the console and the operators' API. They show what
// is in force; configuration and orders are refused, since they come by the store.
func (n *Node) operatorHandler(peers *http.ServeMux) http.Handler {
	n.survey = &fleetstatus.Collector{
		Self:         n.self.Record,
		Members:      func() []membership.Record { return n.members.Index().Members },
		ConfigNumber: func() uint64 { return n.holder.Current().Number() },
		Peers:        n.rpc,
	}
	peers.Handle(rpc.Prefix+fleetstatus.MethodConfigNumber, rpc.Handle(n.survey.HandleConfigNumber))
	peers.Handle(rpc.Prefix+fleetstatus.MethodDataCentre, rpc.Handle(n.survey.HandleDataCentre))
	refused := new(expvar.Int)
	n.metrics.Set("operator_token_refused", refused)
	s := &operator.Server{
		Token: n.cfg.Operators.Token, Node: operators{n}, Documents: operators{n}, Holder: n.holder,
		Audit: audit.LogRecorder{}, TokenFailures: refused, Metrics: n.metrics,
	}
	return s.Handler()
}

// operators is the node as its operators see it.
type operators struct{ *Node }

func elsewhere() *api.Error {
	return api.Errorf(api.OperatorElsewhere, "write it to the platform's store")
}

// Status implements operator.Node.
func (n operators) Status() api.StatusResponse {
	return api.StatusResponse{
		Address: n.cfg.Peers.Listen, Region: n.cfg.Node.Region, DataCentre: n.cfg.Node.DataCentre,
		Number: n.holder.Current().Number(), Ready: n.holder.Current() != nil && !n.leaving.Load(),
		Links: n.spread.LinkCount(), Members: len(n.members.Index().Members),
		Watcher: n.provider.IsWatcher(), StoreReached: n.store.Reached(),
	}
}

// Hosts implements operator.Node.
func (n operators) Hosts(ctx context.Context) api.HostsResponse {
	return n.survey.Hosts(ctx)
}

// Rollouts implements operator.Node.
func (n operators) Rollouts() api.RolloutsResponse {
	out := api.RolloutsResponse{Number: n.holder.Current().Number()}
	for _, m := range n.orders.Rollouts() {
		out.Rollouts = append(out.Rollouts, api.Rollout{
			Service: m.Order.Service, To: m.Order.Target, StartConfig: m.Order.Revision, Share: percent * m.Share,
			Start: m.Since, Deadline: m.Since.Add(m.Order.Duration), ExpectedEnd: m.Since.Add(m.Order.Duration),
			State: states[m.Phase],
		})
	}
	return out
}

const percent = 100

// states are the words of the console for the phases.
var states = map[ramp.Phase]string{ramp.Running: "moving", ramp.Completed: "done", ramp.Withdrawn: "taken-back"}

// ApplyOrder implements operator.Node.
func (operators) ApplyOrder(api.RolloutOrder, string) *api.Error { return elsewhere() }

// Audit implements operator.Node: the store's own history is the trail.
func (operators) Audit(context.Context) (api.AuditResponse, *api.Error) {
	return api.AuditResponse{}, elsewhere()
}

// Announce implements operator.Node: the upstream reports by heartbeat.
func (operators) Announce(api.Announcement) *api.Error { return elsewhere() }

// Validate implements operator.Documents.
func (operators) Validate([]byte) (*document.Document, *api.Error) { return nil, elsewhere() }

// ApplySession implements operator.Documents.
func (n operators) ApplySession(context.Context, []byte, string, uint64, string) api.ApplyResponse {
	return api.ApplyResponse{Outcome: api.ApplyRefused, Number: n.holder.Current().Number(), Error: elsewhere()}
}
