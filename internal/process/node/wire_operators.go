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
	refused := new(expvar.Int)
	n.metrics.Set("operator_token_refused", refused)
	n.operator = &operator.Server{
		Token:          n.cfg.Operators.Token,
		Node:           n,
		Documents:      n.provider,
		Holder:         n.holder,
		Audit:          n.audit,
		TokenFailures:  refused,
		Metrics:        n.metrics,
		RequestMetrics: n.requests.Handler(),
	}
	n.survey = &fleetstatus.Collector{
		Self:         n.self.Record,
		Members:      func() []membership.Record { return n.members.Index().Members },
		ConfigNumber: func() uint64 { return n.holder.Current().Number() },
		Peers:        n.rpc,
	}
	n.peerMux.Handle(rpc.Prefix+fleetstatus.MethodConfigNumber, rpc.Handle(n.survey.HandleConfigNumber))
	n.peerMux.Handle(rpc.Prefix+fleetstatus.MethodDataCentre, rpc.Handle(n.survey.HandleDataCentre))
}

// wireAudit builds the audit trail.
func (n *Node) wireAudit() {
	n.trail = audit.NewTrail(n.store, n.PeersAddress())
	n.audit = n.trail
	n.metrics.Set("audit_written", &n.trail.Written)
	n.metrics.Set("audit_dropped", &n.trail.Dropped)
	n.metrics.Set("audit_failed_writes", &n.trail.FailedWrites)
	n.addRunner(n.trail.Run)
}
