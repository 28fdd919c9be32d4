package node

import (
	"net/http"

	"github.com/daisytide/daisytide/internal/conn/dial"
	"github.com/daisytide/daisytide/internal/request/call"
	"github.com/daisytide/daisytide/internal/request/entry"
	"github.com/daisytide/daisytide/internal/request/gate"
	"github.com/daisytide/daisytide/internal/request/pick"
)

// callPrefix is where the peer listener takes calls.
const callPrefix = "/daisytide/call"

// upstreamConnections bounds connections to the local upstream until it
// announces its own limit.
const upstreamConnections = 100

// wireCalls builds the entry and the gate.
func (n *Node) wireCalls(peers http.RoundTripper) {
	n.gate = &gate.Gate{Transport: dial.Upstream(upstreamConnections)}
	n.entry = &entry.Entry{
		Holder:    n.holder,
		Members:   n.members,
		Versions:  n.versions,
		Picker:    &pick.Picker{DataCentre: n.cfg.Node.DataCentre},
		Transport: peers,
		Scheme:    n.tls.peerScheme(),
		PeerKey:   n.cfg.Peers.Secret,
		GatePath:  callPrefix,
	}
	atGate := call.Chain(n.gate.Handle, n.gateMiddlewares...)
	n.peerMux.Handle(callPrefix+"/", http.StripPrefix(callPrefix, n.gate.ServeHTTP(atGate)))
}
