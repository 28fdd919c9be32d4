package node

import (
	"context"
	"expvar"
	"net"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/daisytide/daisytide/internal/conn/rpc"
	"github.com/daisytide/daisytide/internal/conn/wire"
	"github.com/daisytide/daisytide/internal/request/quarantine"
)

// crashEventMethod tells a gate of a crash.
const crashEventMethod = "crash"

const (
	// upstreamDialTimeout bounds the test whether the upstream takes connections.
	upstreamDialTimeout = 200 * time.Millisecond
	// broadcastTimeout bounds how long an answer waits until the gates know.
	broadcastTimeout = 200 * time.Millisecond
)

// wireQuarantine builds what keeps one request from crashing upstream after
// upstream. It comes before the other middlewares.
func (n *Node) wireQuarantine() {
	events := quarantine.NewEventSet(time.Now)
	n.crashMonitor = quarantine.NewCrashMonitor(events, n.upstreamReachable, n.broadcastCrash)
	n.crashMonitor.Metrics = new(expvar.Map).Init()
	n.metrics.Set("quarantine", n.crashMonitor.Metrics)
	n.gossip.RegisterTopic(events)
	n.gateMiddlewares = append(n.gateMiddlewares, n.crashMonitor.Middleware)
	n.entryMiddlewares = append(n.entryMiddlewares, quarantine.EntryMiddleware(events))
	n.peerMux.Handle(rpc.Prefix+crashEventMethod, rpc.Handle(func(_ context.Context, event quarantine.Event) (bool, error) {
		added := events.Add(event)
		if added {
			n.gossipCrash(event)
		}
		return added, nil
	}))
	n.addRunner(func(ctx context.Context) error {
		events.Run(ctx)
		return nil
	})
}

func (n *Node) upstreamReachable() bool {
	conn, err := net.DialTimeout("tcp", n.gate.Upstream().Address, upstreamDialTimeout)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// broadcastCrash asks the other gates of the service to take a fact in, all at
// once, and spreads it to everybody else.
func (n *Node) broadcastCrash(event quarantine.Event) {
	n.gossipCrash(event)
	ctx, cancel := context.WithTimeout(context.Background(), broadcastTimeout)
	defer cancel()
	var pending sync.WaitGroup
	for _, address := range n.gatesOf(event.Service) {
		if address == n.PeersAddress() {
			continue
		}
		pending.Go(func() {
			var added bool
			if err := n.peerRPC.Call(ctx, address, crashEventMethod, event, &added); err != nil {
				klog.V(1).Infof(logPrefix+"%v", err)
			}
		})
	}
	pending.Wait()
}

func (n *Node) gossipCrash(event quarantine.Event) {
	item, err := wire.Marshal(event)
	if err != nil {
		klog.Errorf(logPrefix+"%v", err)
		return
	}
	n.gossip.Publish(quarantine.TopicName, item)
}
