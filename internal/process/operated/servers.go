package operated

import (
	"context"
	"expvar"
	"net/http"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/h1"
	"github.com/daisytide/daisytide/internal/conn/link"
	"github.com/daisytide/daisytide/internal/conn/rpc"
	"github.com/daisytide/daisytide/internal/metrics"
	"github.com/daisytide/daisytide/internal/process/departures"
	"github.com/daisytide/daisytide/internal/process/evacuation"
	"github.com/daisytide/daisytide/internal/process/quota"
	"github.com/daisytide/daisytide/internal/request/egress"
	"github.com/daisytide/daisytide/internal/request/linkqueue"
)

// wireServers builds the servers of the listeners.
func (n *Node) wireServers() {
	maxBodyMemory := n.maxBodyMemory()
	maxHeld := n.maxHeldPerConn()
	n.callerServer = &h1.Server{
		Handler: n.ingress.Serve, Limits: n.callerLimits, RefusalResponse: n.refuseCaller, MaxBufferedBytes: maxBodyMemory,
		Budget: n.budget, MaxHeldBytes: maxHeld, ConnLimit: n.connLimits[callerListener],
	}
	peerLimits := func() h1.Limits {
		return h1.Limits{HeaderBytes: 64 << 10, BodyBytes: maxPeerBodyBytes, HeaderTimeout: peerHeaderTimeout, IdleTimeout: peerIdleTimeout}
	}
	n.gateServer = &h1.Server{
		Handler: n.gate.Serve, Limits: peerLimits, RefusalResponse: n.refusePeer, MaxBufferedBytes: maxBodyMemory, DeferContinue: true,
		Budget: n.budget, MaxHeldBytes: maxHeld, ConnLimit: n.connLimits[gateListener],
	}
	readyLimits := func() h1.Limits {
		return h1.Limits{HeaderBytes: 16 << 10, HeaderTimeout: peerHeaderTimeout, IdleTimeout: peerIdleTimeout}
	}
	n.readyServer = &h1.Server{Handler: n.serveReady, Limits: readyLimits, RefusalResponse: refusalResponse, Budget: n.budget, ConnLimit: n.connLimits[readyListener]}
	peerMux := http.NewServeMux()
	peerMux.Handle(link.Path, n.gossip)
	peerMux.Handle(rpc.PathPrefix+probeMethod, rpc.Handle(n.handleProbe))
	peerMux.Handle(rpc.PathPrefix+departures.MethodHold, rpc.Handle(n.departures.HandleHold))
	peerMux.Handle(rpc.PathPrefix+departures.MethodRecall, rpc.Handle(n.departures.HandleRecall))
	peerMux.Handle(rpc.PathPrefix+evacuation.MethodRecall, rpc.Handle(n.evacuationStart.HandleRecall))
	peerMux.Handle(rpc.PathPrefix+quota.Method, rpc.Handle(n.quota.HandleAsk))
	n.peerServer = newServer(n.requirePeerKey(peerMux), n.connLimits[peerListener])
	operatorMux := http.NewServeMux()
	n.adapter.RegisterReportHandlers(operatorMux, n.applyReport)
	operatorMux.Handle("GET /metrics", n.requests.Handler())
	operatorMux.Handle("/", n.operatorHandler(peerMux))
	n.operatorServer = newServer(operatorMux, n.connLimits[operatorListener])
	n.publishMetrics()
}

// newServer returns a server for HTTP/1.1 and cleartext HTTP/2, which RPC
// requests between nodes use. Its connections are those of limit.
func newServer(h http.Handler, limit *h1.ConnLimit) *http.Server {
	var p http.Protocols
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler: h, Protocols: &p, ReadHeaderTimeout: peerHeaderTimeout, IdleTimeout: peerIdleTimeout, MaxHeaderBytes: maxPeerHeaderBytes,
		ConnState: limit.ConnState,
	}
}

// requirePeerKey refuses requests without the peer key.
func (n *Node) requirePeerKey(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !link.PeerKeyMatches(r, n.cfg.Peers.Secret) {
			http.Error(w, api.PeerKey.String(), api.Info(api.PeerKey).HTTP)
			return
		}
		h.ServeHTTP(w, r)
	})
}

func (n *Node) publishMetrics() {
	c := &n.ingress.Counters
	for name, read := range map[string]func() any{
		"configuration": func() any { return n.holder.Current().Number() },
		"members":       func() any { return len(n.members.Index().Members) },
		"links":         func() any { return n.gossip.LinkCount() },
		"store_calls":   func() any { return n.totalStoreCalls() },
		"requests":      func() any { return c.Requests.Load() },
		"answered":      func() any { return c.Answered.Load() },
		"refused":       func() any { return c.Refused.Load() },
		"failed":        func() any { return c.Failed.Load() },
		"retries":       func() any { return c.Retries.Load() },
		"over_budget":   func() any { return c.BudgetExhausted.Load() },
		"gate_load":     func() any { return n.gate.Load().String() },
	} {
		n.metrics.Set(name, expvar.Func(read))
	}
	n.requests.PublishGauges(metrics.Gauges{
		Configuration: func() uint64 { return n.holder.Current().Number() },
		Members:       func() int { return len(n.members.Index().Members) },
		Links:         n.gossip.LinkCount,
		Busy:          func() int { return n.gate.Load().Busy },
		Retries:       c.Retries.Load,
	})
	for name, g := range map[string]struct {
		help string
		read func() float64
	}{
		"gossip_invalid_items":   {"Items of peers that were left out as invalid.", func() float64 { return float64(n.gossip.Counters().InvalidItems) }},
		"gossip_handler_panics":  {"Messages of peers whose handler panicked.", func() float64 { return float64(n.gossip.Counters().HandlerPanics) }},
		"registry_invalid":       {"Entries of nodes that the last list of the store left out as invalid.", func() float64 { return float64(n.registry.InvalidEntries()) }},
		"operator_invalid":       {"Configurations and orders in the store that were not usable.", func() float64 { return float64(n.provider.InvalidEntries()) }},
		"upstream_doubted":       {"1 while a ready report of the upstream is not believed, as its departure may have been forgotten.", n.upstreamDoubted},
		"evacuated_data_centres": {"Data centres that are evacuated.", func() float64 { return float64(len(n.evacuations.View().Set())) }},
		"evacuation_refusals": {"Requests that the gate refused because its data centre is evacuated.", func() float64 {
			return float64(n.gate.EvacuationRefusals())
		}},
		"request_panics": {"Requests whose handler panicked.", func() float64 {
			return float64(n.callerServer.Panics() + n.gateServer.Panics() + n.readyServer.Panics())
		}},
		"message_bytes":           {"Bytes held for request bodies and responses.", func() float64 { return float64(n.budget.Used()) }},
		"held_response_bytes":     {"Bytes of responses that callers have not received.", func() float64 { return float64(n.budget.Responses()) }},
		"disconnected_for_memory": {"Connections that were closed because the memory for messages was exhausted.", func() float64 { return float64(n.budget.Disconnected()) }},
		"refused_for_memory":      {"Requests that were refused because the memory for messages was exhausted.", func() float64 { return float64(n.budget.Refused()) }},
	} {
		n.requests.AddGauge(name, g.help, g.read)
	}
	n.requests.AddGauge("gate_warmup_rate", "Requests per second to which the gate limits its cold upstream; 0 while it is warm.", n.gate.WarmupRate)
	n.publishLinkMetrics()
	n.requests.AddGauge("gate_accounts_above_share", "Client accounts that have used up their share of the gate's upstream; 0 without overload.", func() float64 { return float64(n.gate.Accounts(egress.AboveShare)) })
	n.requests.AddGauge("gate_accounts_deprived", "Client accounts that go first at the gate because they were served far less than the average.", func() float64 { return float64(n.gate.Accounts(egress.Deprived)) })
	for _, l := range n.connLimits {
		n.requests.AddGauge("connections_"+l.Name, "Open connections of the listener.", func() float64 { return float64(l.Open()) })
		n.requests.AddGauge("connections_closed_"+l.Name, "Connections that were closed because the listener had reached its limit.", func() float64 { return float64(l.Closed()) })
		n.requests.AddGauge("accept_errors_"+l.Name, "Accepts of the listener that failed.", func() float64 { return float64(l.AcceptErrors()) })
	}
	n.requests.AddGauge("store_calls", "Calls to the platform's store since the start.", func() float64 { return float64(n.totalStoreCalls()) })
	n.publishProgress()
}

// publishLinkMetrics adds the gauges of the large transfers on the host's link.
func (n *Node) publishLinkMetrics() {
	for name, d := range map[string]*linkqueue.Direction{"in": n.gate.Link.In, "out": n.gate.Link.Out} {
		n.requests.AddGauge("link_pending_bytes_"+name, "Bytes of large transfers that wait for the host's link or cross it.", func() float64 { return float64(d.PendingBytes()) })
		for _, cause := range linkqueue.Causes() {
			n.requests.AddGauge("link_refused_"+cause.String()+"_"+name, "Large transfers that the host's link refused since the start.", func() float64 { return float64(d.Refused(cause)) })
		}
	}
}

// callerLimits returns the limits for callers in the configuration in force.
func (n *Node) callerLimits() h1.Limits {
	snap := n.holder.Current()
	if snap == nil || snap.Traffic == nil {
		return initialCallerLimits
	}
	c := snap.Traffic.Config.Callers
	out := initialCallerLimits
	if c.HeaderBytes > 0 {
		out.HeaderBytes = c.HeaderBytes
	}
	if c.BodyBytes > 0 {
		out.BodyBytes = c.BodyBytes
	}
	if c.HeaderTimeout > 0 {
		out.HeaderTimeout = c.HeaderTimeout
	}
	if c.IdleTimeout > 0 {
		out.IdleTimeout = c.IdleTimeout
	}
	return out
}

// refusalResponse returns the response to a request that exceeds a limit of its
// connection.
func refusalResponse(status int, _ string) *h1.Response {
	return &h1.Response{Status: status, Header: http.Header{}}
}

// joinTimeout is how long after its start a node without peers is not ready. It
// finds others within a fraction of a second. Until then it could only refuse
// requests for services that its own upstream does not serve.
const joinTimeout = time.Second

// isJoining reports whether the node has just started and has not found another
// node yet.
func (n *Node) isJoining() bool {
	return time.Since(n.startedAt) < joinTimeout && len(n.members.Index().Members) < 2
}

// serveReady answers the platform's readiness probe.
func (n *Node) serveReady(_ context.Context, r *h1.Request) *h1.Response {
	status := http.StatusOK
	switch {
	case r.Path() != n.adapter.ReadyPath():
		status = http.StatusNotFound
	case n.stopping.Load() || n.holder.Current() == nil || n.isJoining():
		status = http.StatusServiceUnavailable
	}
	return &h1.Response{Status: status, Header: http.Header{}}
}
