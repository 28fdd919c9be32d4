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

// crashMethod tells a gate of a crash.
const crashMethod = "crash"

const (
	// reachTimeout bounds the test whether the upstream takes connections.
	reachTimeout = 200 * time.Millisecond
	// tellTimeout bounds how long an answer waits until the gates know.
	tellTimeout = 200 * time.Millisecond
)

// wireQuarantine builds what keeps one request from crashing upstream after
// upstream. It comes before the other middlewares.
func (n *Node) wireQuarantine() {
	ledger := quarantine.NewEventSet(time.Now)
	n.quarantine = quarantine.NewCrashMonitor(ledger, n.upstreamReachable, n.tellCrash)
	n.quarantine.Metrics = new(expvar.Map).Init()
	n.metrics.Set("quarantine", n.quarantine.Metrics)
	n.spread.RegisterTopic(ledger)
	n.gateMiddlewares = append(n.gateMiddlewares, n.quarantine.Middleware)
	n.entryMiddlewares = append(n.entryMiddlewares, quarantine.EntryMiddleware(ledger))
	n.peerMux.Handle(rpc.PathPrefix+crashMethod, rpc.Handle(func(_ context.Context, f quarantine.Event) (bool, error) {
		added := ledger.Add(f)
		if added {
			n.publishCrash(f)
		}
		return added, nil
	}))
	n.addRunner(func(ctx context.Context) error {
		ledger.Run(ctx)
		return nil
	})
}

func (n *Node) upstreamReachable() bool {
	conn, err := net.DialTimeout("tcp", n.gate.Upstream().Address, reachTimeout)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// tellCrash asks the other gates of the service to take a fact in, all at
// once, and spreads it to everybody else.
func (n *Node) tellCrash(f quarantine.Event) {
	n.publishCrash(f)
	ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
	defer cancel()
	var told sync.WaitGroup
	for _, address := range n.gatesOf(f.Service) {
		if address == n.PeersAddress() {
			continue
		}
		told.Go(func() {
			var added bool
			if err := n.rpc.Call(ctx, address, crashMethod, f, &added); err != nil {
				klog.V(1).Infof(logPrefix+"%v", err)
			}
		})
	}
	told.Wait()
}

func (n *Node) publishCrash(f quarantine.Event) {
	item, err := wire.Marshal(f)
	if err != nil {
		klog.Errorf(logPrefix+"%v", err)
		return
	}
	n.spread.Publish(quarantine.TopicName, item)
}
