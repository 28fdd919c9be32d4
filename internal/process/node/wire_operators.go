package node

import (
	"expvar"

	"github.com/daisytide/daisytide/internal/conn/rpc"
	"github.com/daisytide/daisytide/internal/process/audit"
	"github.com/daisytide/daisytide/internal/process/fleetstatus"
	"github.com/daisytide/daisytide/internal/process/membership"
	"github.com/daisytide/daisytide/internal/process/operator"
)

// wireOperators builds the operator listener.
func (n *Node) wireOperators() {
	tokenFailures := new(expvar.Int)
	n.metrics.Set("operator_token_refused", tokenFailures)
	n.operator = &operator.Server{
		Token:          n.cfg.Operators.Token,
		Node:           n,
		Documents:      n.provider,
		Holder:         n.holder,
		Audit:          n.auditRecorder,
		TokenFailures:  tokenFailures,
		Metrics:        n.metrics,
		RequestMetrics: n.requests.Handler(),
	}
	n.fleetStatus = &fleetstatus.Collector{
		Self:         n.self.Record,
		Members:      func() []membership.Record { return n.members.Index().Members },
		ConfigNumber: func() uint64 { return n.holder.Current().Number() },
		Peers:        n.peerRPC,
	}
	n.peerMux.Handle(rpc.PathPrefix+fleetstatus.MethodConfigNumber, rpc.Handle(n.fleetStatus.HandleConfigNumber))
	n.peerMux.Handle(rpc.PathPrefix+fleetstatus.MethodDataCentre, rpc.Handle(n.fleetStatus.HandleDataCentre))
}

// wireAudit builds the audit trail.
func (n *Node) wireAudit() {
	n.auditTrail = audit.NewTrail(n.store, n.PeersAddress())
	n.auditRecorder = n.auditTrail
	n.metrics.Set("audit_written", &n.auditTrail.Written)
	n.metrics.Set("audit_dropped", &n.auditTrail.Dropped)
	n.metrics.Set("audit_failed_writes", &n.auditTrail.FailedWrites)
	n.addRunner(n.auditTrail.Run)
}
