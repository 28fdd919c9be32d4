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

// crashEventMethod is the RPC method that reports a crash to a gate.
const crashEventMethod = "crash"

const (
	// upstreamDialTimeout is the time limit of the check whether the upstream
	// accepts connections.
	upstreamDialTimeout = 200 * time.Millisecond
	// broadcastTimeout is how long a response is held back at most until the
	// other gates have received the event.
	broadcastTimeout = 200 * time.Millisecond
)

// wireQuarantine builds the middlewares that stop a request that crashes its
// upstream from being sent to further upstreams. It must be called before
// wireIdempotency, because its middlewares come first.
func (n *Node) wireQuarantine() {
	events := quarantine.NewEventSet(time.Now)
	n.crashMonitor = quarantine.NewCrashMonitor(events, n.upstreamReachable, n.broadcastCrash)
	n.crashMonitor.Metrics = new(expvar.Map).Init()
	n.metrics.Set("quarantine", n.crashMonitor.Metrics)
	n.gossip.RegisterTopic(events)
	n.gateMiddlewares = append(n.gateMiddlewares, n.crashMonitor.Middleware)
	n.entryMiddlewares = append(n.entryMiddlewares, quarantine.EntryMiddleware(events))
	n.peerMux.Handle(rpc.PathPrefix+crashEventMethod, rpc.Handle(func(_ context.Context, event quarantine.Event) (bool, error) {
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

// broadcastCrash sends a crash event to the other gates of the service in
// parallel and waits for their replies. Gossip carries it to all other nodes.
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
				klog.V(1).Infof(logPrefix+"send the crash event: %v", err)
			}
		})
	}
	pending.Wait()
}

func (n *Node) gossipCrash(event quarantine.Event) {
	item, err := wire.Marshal(event)
	if err != nil {
		klog.Errorf(logPrefix+"encode the crash event: %v", err)
		return
	}
	n.gossip.Publish(quarantine.TopicName, item)
}
