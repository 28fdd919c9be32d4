package operated

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/daisytide/daisytide/internal/process/membership"
	"github.com/daisytide/daisytide/internal/request/egress"
)

// Times used while a node stops.
const (
	// maxCallerTime is how long a stopping node still accepts callers: until
	// two probes of the platform, a second apart, have found that the node is
	// not ready, and the platform has notified the callers. With a short stop
	// grace it is at most the fraction callerTimeFraction of the grace.
	maxCallerTime      = 2400 * time.Millisecond
	callerTimeFraction = 0.6
	// leaveNotice is how long before the end of that time other nodes are
	// notified to send no more requests for the upstream here, which keeps
	// running while its node restarts. The notice reaches them within about
	// 100 ms, and most runs end within 300 ms. It is at most the fraction
	// leaveNoticeFraction of the time that callers are accepted.
	leaveNotice         = 300 * time.Millisecond
	leaveNoticeFraction = 0.3
	// graceFraction is the fraction of the stop grace after which the node no
	// longer waits for requests in progress.
	graceFraction = 0.85
	// quietPeriod is the time without a new request after which the node may
	// end. It is longer than the notice that the node is leaving takes to reach
	// other nodes.
	quietPeriod      = 250 * time.Millisecond
	stopPollInterval = 20 * time.Millisecond
)

// stopSchedule returns for how long after the start of a stop other nodes still
// send requests here, and for how long new callers are accepted.
func stopSchedule(grace time.Duration) (serve, listen time.Duration) {
	listen = min(maxCallerTime, time.Duration(callerTimeFraction*float64(grace)))
	return listen - min(leaveNotice, time.Duration(leaveNoticeFraction*float64(listen))), listen
}

// stop stops the node without interrupting requests. First it reports that it
// is not ready, and serves callers that still come on connections that close
// after the response. Then it notifies other nodes to send no more requests.
// Then it closes the callers' listener and idle connections, refuses what other nodes
// still send, and requests in progress finish. A request that is not expected to
// finish by the end is refused before it is sent. The upstream's slots serve the
// fleet until nearly the end, because in a rolling restart of all nodes their
// capacity is missing for as long as each node takes to stop.
func (n *Node) stop(stopRunners func()) {
	klog.Info(logPrefix + "stopping")
	began := time.Now()
	grace := n.cfg.Upstream.StopGrace
	serve, listen := stopSchedule(grace)
	end := began.Add(time.Duration(graceFraction * float64(grace)))
	window := egress.StopWindow{RefuseFrom: began.Add(listen), End: end}
	n.gate.Stopping.Begin(window)
	n.ingress.Stopping.Begin(window)
	n.stopping.Store(true)
	n.callerServer.CloseAfterResponses()
	waitUntil(began.Add(serve), func() bool { return false })
	n.self.SetState(membership.Leaving)
	waitUntil(began.Add(listen), func() bool { return false })
	_ = n.listeners[callerListener].Close()
	n.callerServer.CloseIdle()
	waitUntil(end, n.isIdle)
	n.gateServer.CloseAfterResponses()
	n.gateServer.CloseIdle()
	stopRunners()
	closed := make(chan struct{})
	go func() {
		n.gossip.CloseLinks()
		close(closed)
	}()
	select {
	case <-closed:
	case <-time.After(shutdownTimeout):
	}
	for _, l := range n.listeners {
		// The callers' listener is already closed and returns an error.
		_ = l.Close()
	}
	_ = n.peerServer.Close()
	_ = n.operatorServer.Close()
	klog.Infof(logPrefix+"stopped after %v with %d requests in progress", time.Since(began).Round(time.Millisecond), n.callerServer.ActiveRequests())
}

// isIdle reports whether no request is in progress and none has arrived for
// quietPeriod.
func (n *Node) isIdle() bool {
	return n.callerServer.ActiveRequests() == 0 && n.gateServer.ActiveRequests() == 0 &&
		time.Since(n.callerServer.LastRequestTime()) > quietPeriod && time.Since(n.gateServer.LastRequestTime()) > quietPeriod
}

// waitUntil waits until done returns true, at most until the given time.
func waitUntil(at time.Time, done func() bool) {
	for time.Now().Before(at) && !done() {
		time.Sleep(stopPollInterval)
	}
}
