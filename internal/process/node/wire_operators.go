package node

import (
	"context"
	"expvar"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/rpc"
	"github.com/daisytide/daisytide/internal/process/audit"
	"github.com/daisytide/daisytide/internal/process/operator"
)

// statusMethod is the question for a node's status.
const statusMethod = "status"

// wireOperators builds the operator listener.
func (n *Node) wireOperators() {
	refused := new(expvar.Int)
	n.metrics.Set("operator_token_refused", refused)
	n.operator = &operator.Server{
		Token:     n.cfg.Operators.Token,
		Node:      n,
		Documents: n.provider,
		Holder:    n.holder,
		Audit:     n.audit,
		Refused:   refused,
		Metrics:   n.metrics,
	}
	n.peerMux.Handle(rpc.Prefix+statusMethod, rpc.Handle(func(context.Context, struct{}) (api.StatusResponse, error) {
		return n.Status(), nil
	}))
}

// wireAudit builds the audit trail.
func (n *Node) wireAudit() {
	n.trail = audit.NewTrail(n.store, n.PeersAddress())
	n.audit = n.trail
	n.metrics.Set("audit_written", &n.trail.Written)
	n.metrics.Set("audit_dropped", &n.trail.Dropped)
	n.metrics.Set("audit_failed_writes", &n.trail.Failed)
	n.addRunner(n.trail.Run)
}
