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

// Times used while a node stops.
const (
	// quietPeriod is the time without a new call after which connections are
	// closed: on a connection without a request in progress, one may be on its
	// way.
	quietPeriod = 500 * time.Millisecond
	// idlePollInterval is how often a stopping node checks whether it is idle.
	idlePollInterval = 10 * time.Millisecond
)

// serve runs a server on a listener until either is closed.
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

// ApplySettings receives settings that were read again. This node applies none
// while it runs and logs a warning.
func (n *Node) ApplySettings(*settings.Settings) {
	klog.Warning(logPrefix + "changed settings take effect at the next start")
}

// Abort closes links and listeners at once, as a crash would; the caller must
// then cancel the context of Run. It is for tests and measurements.
func (n *Node) Abort() {
	n.gossip.Abort()
	n.closeListeners()
}

// stop stops the node without interrupting requests. First it accepts no new
// callers and asks the connected ones to reconnect elsewhere. It gossips that
// it is leaving, so that other nodes send no more requests. Requests that still
// arrive are refused with the result that they did not run. Requests in progress
// finish, also those that this node's entry has sent to other gates. When
// nothing has arrived for quietPeriod, it closes the connections.
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
		klog.Warningf(logPrefix+"%d requests at the gate and %d at the entry are still in progress at the end of the stop grace",
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

// awaitIdle waits until gate and entry have nothing in progress and nothing has
// arrived for quietPeriod. It returns false if ctx ends first.
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

// isQuiet reports whether the entry has no call in progress, and quietPeriod has
// passed since began and since the last call at entry and gate.
func (n *Node) isQuiet(now, began time.Time) bool {
	if n.entry.Counters().Running.Load() > 0 || now.Sub(began) < quietPeriod {
		return false
	}
	return now.Sub(n.gate.LastCall()) >= quietPeriod && now.Sub(n.entry.LastCallTime()) >= quietPeriod
}
