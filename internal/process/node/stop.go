package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/daisytide/daisytide/internal/process/membership"
	"github.com/daisytide/daisytide/internal/process/settings"
)

// Times of a stop.
const (
	// quietPeriod is how long no call may have arrived before connections are
	// closed: a connection without a request in progress may have one on the way.
	quietPeriod = 500 * time.Millisecond
	// idlePollInterval is how often a stopping node looks whether it is idle.
	idlePollInterval = 10 * time.Millisecond
)

// serve runs one listener until its server or the listener is closed.
func serve(s *http.Server, l net.Listener) error {
	run := s.Serve
	if s.TLSConfig != nil {
		run = func(l net.Listener) error { return s.ServeTLS(l, "", "") }
	}
	err := run(l)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return fmt.Errorf("serve %s: %w", l.Addr(), err)
}

// ApplySettings takes settings that were read again. A node of this kind takes
// none while it runs; it says so.
func (n *Node) ApplySettings(*settings.Settings) {
	klog.Warning(logPrefix + "changed settings take effect at the next start")
}

// Abort ends the links and closes the listeners at once, as a crash would;
// the context of Run must then be ended. It is for tests and measurements.
func (n *Node) Abort() {
	n.gossip.Abort()
	n.closeListeners()
}

// stop ends the node without cutting a request, in this order. New callers
// are kept out and the ones connected are asked to reconnect elsewhere. The
// other nodes are told to send no more, and what still comes is refused as
// not run. Requests in progress end, those that this node's entry has sent to
// other gates among them. When nothing has arrived for stopQuiet, the
// connections are closed.
func (n *Node) stop(servers []*http.Server, stopRunners func()) {
	klog.Info(logPrefix + "stopping")
	grace, cancel := context.WithTimeout(context.Background(), n.cfg.Upstream.StopGrace)
	defer cancel()
	defer stopRunners()
	n.entry.Drain()
	_ = n.callers.Close()
	n.self.SetState(membership.Leaving)
	idle := n.gate.Drain()
	if !n.awaitIdle(grace, idle) {
		klog.Warningf(logPrefix+"%d requests at the gate and %d at the entry at the end of the grace",
			n.gate.Running(), n.entry.Counters().Running.Load())
	}
	n.handOverKeys()
	n.gossip.CloseLinks()
	for _, s := range servers {
		if err := s.Shutdown(grace); err != nil {
			_ = s.Close()
		}
	}
	klog.Info(logPrefix + "stopped")
}

// awaitIdle waits until gate and entry have nothing in progress and have been
// quiet; false when ctx ended first.
func (n *Node) awaitIdle(ctx context.Context, gateIdle <-chan struct{}) bool {
	select {
	case <-gateIdle:
	case <-ctx.Done():
		return false
	}
	began := time.Now()
	for !n.isQuiet(time.Now(), began) {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(idlePollInterval):
		}
	}
	return true
}

// isQuiet tells that no call is in progress and none has arrived for stopQuiet.
func (n *Node) isQuiet(now, began time.Time) bool {
	if n.entry.Counters().Running.Load() > 0 || now.Sub(began) < quietPeriod {
		return false
	}
	return now.Sub(n.gate.LastCall()) >= quietPeriod && now.Sub(n.entry.LastCallTime()) >= quietPeriod
}
