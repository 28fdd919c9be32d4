package node

import (
	"expvar"
	"net/http"

	"github.com/daisytide/daisytide/internal/conn/dial"
	"github.com/daisytide/daisytide/internal/request/balancer"
	"github.com/daisytide/daisytide/internal/request/call"
	"github.com/daisytide/daisytide/internal/request/entry"
	"github.com/daisytide/daisytide/internal/request/gate"
	"github.com/daisytide/daisytide/internal/request/retry"
	"github.com/daisytide/daisytide/internal/version/document"
	"github.com/daisytide/daisytide/internal/version/snapshot"
)

// callPrefix is the path prefix of calls on the peer listener.
const callPrefix = "/daisytide/call"

// wireCalls builds the entry and the gate.
func (n *Node) wireCalls(peerTransport http.RoundTripper) {
	n.entry = &entry.Entry{}
	n.gate = gate.New(gate.Config{
		Dial:           func(connections int) http.RoundTripper { return dial.UpstreamTransport(connections) },
		Limits:         n.limitsOf,
		NestedFailures: n.entry.Counters().NestedFailures.Load,
	})
	n.holder.OnSwap(func(*snapshot.Snapshot) { n.gate.ApplyConfig() })
	n.gate.Metrics, n.entry.Metrics = n.requests, n.requests
	gateHandler := n.gate.Instrument(call.Chain(n.gate.Handle, n.gateMiddlewares...))
	n.entry.Holder = n.holder
	n.entry.Members = n.members
	n.entry.Versions = n.versions
	n.entry.Picker = &balancer.Picker{Self: n.PeersAddress(), DataCentre: n.cfg.Node.DataCentre, Region: n.cfg.Node.Region}
	n.entry.Budget = retry.NewBudget()
	n.entry.LocalGate = entry.LocalGate{Address: n.PeersAddress(), Handle: gateHandler, Load: n.gate.Load}
	n.entry.Transport = peerTransport
	n.entry.Scheme = n.tls.peerScheme()
	n.entry.PeerKey = n.cfg.Peers.Secret
	n.entry.GatePathPrefix = callPrefix
	n.peerCallHandler = n.gate.HTTPHandler(callPrefix, gateHandler)
	n.publishCallMetrics()
}

// limitsOf returns a service's limits in the configuration in force.
func (n *Node) limitsOf(service string) document.Limits {
	snap := n.holder.Current()
	if snap == nil || snap.Service(service) == nil {
		return document.Limits{}
	}
	return snap.Service(service).Limits
}

// publishCallMetrics publishes the counters of entry and gate.
func (n *Node) publishCallMetrics() {
	c := n.entry.Counters()
	for name, read := range map[string]func() any{
		"entry_running":  func() any { return c.Running.Load() },
		"entry_calls":    func() any { return c.Calls.Load() },
		"entry_failed":   func() any { return c.Failed.Load() },
		"entry_retries":  func() any { return c.Retries.Load() },
		"entry_budget":   func() any { return c.BudgetExhausted.Load() },
		"entry_refusals": func() any { return c.NestedFailures.Load() },
		"gate_load":      func() any { return n.gate.Load().String() },
	} {
		n.metrics.Set(name, expvar.Func(read))
	}
}
