package operated

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/daisytide/daisytide/internal/process/membership"
)

// Times of a stop.
const (
	// maxCallerTime is how long new callers are still taken: until the platform has
	// seen twice, a second apart, that the node is not ready, and has told them.
	// Of a short grace it is listenPart at most.
	maxCallerTime  = 2400 * time.Millisecond
	callerTimePart = 0.6
	// leaveNotice is how long before that other nodes are told to send no more
	// requests for the upstream here, which goes on running beside a node that is
	// restarted: the news reaches them within some 100 ms, and most runs end
	// within 300. It is newsPart of the time that callers are taken at most.
	leaveNotice     = 300 * time.Millisecond
	leaveNoticePart = 0.3
	// gracePart of the grace requests in progress get.
	gracePart = 0.85
	// quietPeriod is how long no request may have arrived before the node ends:
	// longer than the news of its leaving takes.
	quietPeriod      = 250 * time.Millisecond
	stopPollInterval = 20 * time.Millisecond
)

// stopSchedule says from the begin of a stop for how long other nodes still send
// requests here, and for how long new callers are taken.
func stopSchedule(grace time.Duration) (serve, listen time.Duration) {
	listen = min(maxCallerTime, time.Duration(callerTimePart*float64(grace)))
	return listen - min(leaveNotice, time.Duration(leaveNoticePart*float64(listen))), listen
}

// stop ends the node without cutting a request, in this order: it is not ready
// any more, and callers that still come are served on connections that end with
// their answers; other nodes are told to send it no more; then the listener
// closes, idle connections end, and requests in progress finish. The upstream's
// slots serve the fleet until nearly the end: while all nodes are restarted in
// turn they are missed for as long as each of them takes.
func (n *Node) stop(stopRunners func()) {
	klog.Info(logPrefix + "stopping")
	began := time.Now()
	grace := n.cfg.Upstream.StopGrace
	serve, listen := stopSchedule(grace)
	n.stopping.Store(true)
	n.callerServer.CloseAfterAnswers()
	waitUntil(began.Add(serve), func() bool { return false })
	n.self.SetState(membership.Leaving)
	waitUntil(began.Add(listen), func() bool { return false })
	_ = n.listeners[callerListener].Close()
	n.callerServer.CloseIdle()
	waitUntil(began.Add(time.Duration(gracePart*float64(grace))), n.isIdle)
	n.gateServer.CloseAfterAnswers()
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
		// The callers' listener is closed already, and says so.
		_ = l.Close()
	}
	_ = n.peerServer.Close()
	_ = n.operatorServer.Close()
	klog.Infof(logPrefix+"stopped after %v with %d requests in progress", time.Since(began).Round(time.Millisecond), n.callerServer.Active())
}

// isIdle tells that nothing is in progress and nothing has come for a while.
func (n *Node) isIdle() bool {
	return n.callerServer.Active() == 0 && n.gateServer.Active() == 0 &&
		time.Since(n.callerServer.LastRequest()) > quietPeriod && time.Since(n.gateServer.LastRequest()) > quietPeriod
}

// waitUntil waits for a condition, or a moment.
func waitUntil(at time.Time, done func() bool) {
	for time.Now().Before(at) && !done() {
		time.Sleep(stopPollInterval)
	}
}
