package operator

import (
	"context"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/version/document"
)

// consoleNode implements console.Node with a Server.
type consoleNode struct{ s *Server }

// Validate implements console.Node.
func (f consoleNode) Validate(text []byte) (*document.Document, *api.Error) {
	return f.s.Documents.Validate(text)
}

// Apply implements console.Node.
func (f consoleNode) Apply(ctx context.Context, text []byte, operator string, base uint64, session string) api.ApplyResponse {
	return f.s.Apply(ctx, text, Origin{Operator: operator, Base: base, Session: session})
}

// Hosts implements console.Node.
func (f consoleNode) Hosts(ctx context.Context) api.HostsResponse { return f.s.Node.Hosts(ctx) }

// Rollouts implements console.Node.
func (f consoleNode) Rollouts() api.RolloutsResponse { return f.s.Node.Rollouts() }

// ApplyOrder implements console.Node.
func (f consoleNode) ApplyOrder(o api.RolloutOrder, operator string) *api.Error {
	return f.s.ApplyOrder(o, operator)
}

// Audit implements console.Node.
func (f consoleNode) Audit(ctx context.Context) (api.AuditResponse, *api.Error) {
	return f.s.Node.Audit(ctx)
}
