package node

import (
	"context"
	"expvar"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/rpc"
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
	}
	n.peerMux.Handle(rpc.Prefix+statusMethod, rpc.Handle(func(context.Context, struct{}) (api.StatusResponse, error) {
		return n.Status(), nil
	}))
}
