package operator

import (
	"context"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/version/document"
)

// consoleNode implements console.Node with a Server.
type consoleNode struct{ s *Server }

// Validate implements console.Node.
func (n consoleNode) Validate(text []byte) (*document.Document, *api.Error) {
	return n.s.Documents.Validate(text)
}

// Apply implements console.Node.
func (n consoleNode) Apply(ctx context.Context, text []byte, operator string, base uint64, session string) api.ApplyResponse {
	return n.s.Apply(ctx, text, Origin{Operator: operator, Base: base, Session: session})
}

// Hosts implements console.Node.
func (n consoleNode) Hosts(ctx context.Context) api.HostsResponse { return n.s.Node.Hosts(ctx) }

// Rollouts implements console.Node.
func (n consoleNode) Rollouts() api.RolloutsResponse { return n.s.Node.Rollouts() }

// ApplyOrder implements console.Node.
func (n consoleNode) ApplyOrder(o api.RolloutOrder, operator string) *api.Error {
	return n.s.ApplyOrder(o, operator)
}

// Audit implements console.Node.
func (n consoleNode) Audit(ctx context.Context) (api.AuditResponse, *api.Error) {
	return n.s.Node.Audit(ctx)
}
