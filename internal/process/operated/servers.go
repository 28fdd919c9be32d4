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
	"github.com/daisytide/daisytide/internal/process/localupstream"
)

// wireServers builds the servers of the listeners.
func (n *Node) wireServers() {
	held := int64(n.cfg.Operated.MemoryMB) << 20 / heldPart
	n.callers = &h1.Server{Handler: n.ingress.Serve, Limits: n.callerLimits, Refuse: refuse, MaxHeld: held}
	between := func() h1.Limits {
		return h1.Limits{HeaderBytes: 64 << 10, BodyBytes: peerBodyBytes, HeaderTimeout: peerHeaderTimeout, IdleTimeout: peerIdle}
	}
	n.gates = &h1.Server{Handler: n.gate.Serve, Limits: between, Refuse: refuse, MaxHeld: held, Lazy: true}
	n.ready = &h1.Server{Handler: n.serveReady, Limits: between, Refuse: refuse, MaxHeld: held}
	peers := http.NewServeMux()
	peers.Handle(link.Path, n.spread)
	peers.Handle(rpc.Prefix+reachMethod, rpc.Handle(n.reach))
	n.peers = server(n.withKey(peers))
	control := http.NewServeMux()
	n.adapter.RegisterReportHandlers(control, func(r localupstream.Report) error { return n.upstream.Apply(r, time.Now()) })
	control.Handle("GET /metrics", n.requests.Handler())
	control.Handle("/", n.operatorHandler(peers))
	n.control = server(control)
	n.wireMetrics()
}

// server serves HTTP/1.1 and cleartext HTTP/2, which questions between nodes use.
func server(h http.Handler) *http.Server {
	var p http.Protocols
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return &http.Server{Handler: h, Protocols: &p, ReadHeaderTimeout: peerHeaderTimeout}
}

// withKey checks the peer key.
func (n *Node) withKey(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !link.KeyMatches(r, n.cfg.Peers.Secret) {
			http.Error(w, api.PeerKey.String(), api.Info(api.PeerKey).HTTP)
			return
		}
		h.ServeHTTP(w, r)
	})
}

func (n *Node) wireMetrics() {
	c := &n.ingress.Counters
	for name, read := range map[string]func() any{
		"configuration": func() any { return n.holder.Current().Number() },
		"members":       func() any { return len(n.members.Index().Members) },
		"links":         func() any { return n.spread.LinkCount() },
		"store_calls":   func() any { return n.store.Calls() },
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
	n.requests.Publish(metrics.Gauges{
		Configuration: func() uint64 { return n.holder.Current().Number() },
		Members:       func() int { return len(n.members.Index().Members) },
		Links:         n.spread.LinkCount,
		Busy:          func() int { return n.gate.Load().Busy },
		Retries:       c.Retries.Load,
	})
	n.requests.Value("store_calls", "Calls to the platform's store since the start.", func() float64 { return float64(n.store.Calls()) })
}

// callerLimits returns what the configuration in force allows callers.
func (n *Node) callerLimits() h1.Limits {
	snap := n.holder.Current()
	if snap == nil || snap.Traffic == nil {
		return firstLimits
	}
	c := snap.Traffic.Config.Callers
	out := firstLimits
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

// refuse answers a request that breaks a limit of its connection.
func refuse(status int, _ string) *h1.Response {
	return &h1.Response{Status: status, Header: http.Header{}}
}

// joinFor is how long after its start a node that knows no other is not ready:
// it finds them within a fraction of a second, and could only refuse until then.
const joinFor = time.Second

// joining tells whether the node has just started and knows no other yet.
func (n *Node) joining() bool {
	return time.Since(n.began) < joinFor && len(n.members.Index().Members) < 2
}

// serveReady tells whether callers should come.
func (n *Node) serveReady(_ context.Context, r *h1.Request) *h1.Response {
	status := http.StatusOK
	switch {
	case r.Path() != n.adapter.ReadyPath():
		status = http.StatusNotFound
	case n.leaving.Load() || n.holder.Current() == nil || n.joining():
		status = http.StatusServiceUnavailable
	}
	return &h1.Response{Status: status, Header: http.Header{}}
}
