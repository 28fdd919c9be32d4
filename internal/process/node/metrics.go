package node

import (
	"expvar"
	"sync/atomic"

	"github.com/daisytide/daisytide/internal/logs"
	"github.com/daisytide/daisytide/internal/metrics"
	"github.com/daisytide/daisytide/internal/process/gossip"
	"github.com/daisytide/daisytide/internal/version/snapshot"
)

// Metrics returns the node's counters; the daemon publishes them with expvar.
func (n *Node) Metrics() *expvar.Map { return n.metrics }

// LogRequests makes entry and gate log each failed request, within the bounds
// of l. It must be called before Run.
func (n *Node) LogRequests(l *logs.Log) { n.entry.Log, n.gate.Log = l, l }

// OnSwap registers fn, which is called with the number of each configuration
// that comes into force.
func (n *Node) OnSwap(fn func(number uint64)) {
	n.holder.OnSwap(func(s *snapshot.Snapshot) { fn(s.Number()) })
}

// ControlBytes returns the bytes of control messages sent and received so far,
// over links and in RPC requests to other nodes.
func (n *Node) ControlBytes() uint64 {
	return n.traffic.BytesSent.Load() + n.traffic.BytesReceived.Load() + n.peerRPC.BodyBytes.Load()
}

// ControlMessages returns the number of control messages sent so far over
// links.
func (n *Node) ControlMessages() uint64 { return n.traffic.MessagesSent.Load() }

// GossipCounters returns the counters of the node's links.
func (n *Node) GossipCounters() gossip.Counters { return n.gossip.Counters() }

// publishMetrics publishes the metrics whose values are read at each request for
// them.
func (n *Node) publishMetrics() {
	counters := map[string]*atomic.Uint64{
		"link_bytes_sent":     &n.traffic.BytesSent,
		"link_bytes_received": &n.traffic.BytesReceived,
		"link_messages_sent":  &n.traffic.MessagesSent,
		"question_bytes":      &n.peerRPC.BodyBytes,
	}
	for name, c := range counters {
		n.metrics.Set(name, expvar.Func(func() any { return c.Load() }))
	}
	n.metrics.Set("configuration", expvar.Func(func() any { return n.holder.Current().Number() }))
	n.metrics.Set("spread", expvar.Func(func() any { return n.gossip.Counters() }))
	n.metrics.Set("links", expvar.Func(func() any { return n.gossip.LinkCount() }))
	n.metrics.Set("members", expvar.Func(func() any { return len(n.members.Index().Members) }))
	n.metrics.Set("running", expvar.Func(func() any { return n.gate.Running() }))
	n.requests.PublishGauges(metrics.Gauges{
		Configuration: func() uint64 { return n.holder.Current().Number() },
		Members:       func() int { return len(n.members.Index().Members) },
		Links:         n.gossip.LinkCount,
		Busy:          func() int { return n.gate.Load().Busy },
		Retries:       n.entry.Counters().Retries.Load,
	})
}
