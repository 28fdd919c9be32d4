package operated

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/daisytide/daisytide/internal/process/membership"
)

// Times of a stop.
const (
	// listenFor is how long new callers are still taken: until the platform has
	// seen twice, a second apart, that the node is not ready, and has told them.
	// Of a short grace it is listenPart at most.
	listenFor  = 2400 * time.Millisecond
	listenPart = 0.6
	// newsFor is how long before that other nodes are told to send no more
	// requests for the upstream here, which goes on running beside a node that is
	// restarted: the news reaches them within some 100 ms, and most runs end
	// within 300. It is newsPart of the time that callers are taken at most.
	newsFor  = 300 * time.Millisecond
	newsPart = 0.3
	// endPart of the grace requests in progress get.
	endPart = 0.85
	// stopQuiet is how long no request may have arrived before the node ends:
	// longer than the news of its leaving takes.
	stopQuiet = 250 * time.Millisecond
	stopPoll  = 20 * time.Millisecond
)

// stopTimes says from the begin of a stop for how long other nodes still send
// requests here, and for how long new callers are taken.
func stopTimes(grace time.Duration) (serve, listen time.Duration) {
	listen = min(listenFor, time.Duration(listenPart*float64(grace)))
	return listen - min(newsFor, time.Duration(newsPart*float64(listen))), listen
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
	serve, listen := stopTimes(grace)
	n.leaving.Store(true)
	n.callers.CloseAfterResponses()
	until(began.Add(serve), func() bool { return false })
	n.self.SetState(membership.Leaving)
	until(began.Add(listen), func() bool { return false })
	_ = n.listeners[forCallers].Close()
	n.callers.CloseIdle()
	until(began.Add(time.Duration(endPart*float64(grace))), n.idle)
	n.gates.CloseAfterResponses()
	n.gates.CloseIdle()
	stopRunners()
	closed := make(chan struct{})
	go func() {
		n.spread.CloseLinks()
		close(closed)
	}()
	select {
	case <-closed:
	case <-time.After(endWait):
	}
	for _, l := range n.listeners {
		// The callers' listener is closed already, and says so.
		_ = l.Close()
	}
	_ = n.peers.Close()
	_ = n.control.Close()
	klog.Infof(logPrefix+"stopped after %v with %d requests in progress", time.Since(began).Round(time.Millisecond), n.callers.ActiveRequests())
}

// idle tells that nothing is in progress and nothing has come for a while.
func (n *Node) idle() bool {
	return n.callers.ActiveRequests() == 0 && n.gates.ActiveRequests() == 0 &&
		time.Since(n.callers.LastRequestTime()) > stopQuiet && time.Since(n.gates.LastRequestTime()) > stopQuiet
}

// until waits for a condition, or a moment.
func until(at time.Time, done func() bool) {
	for time.Now().Before(at) && !done() {
		time.Sleep(stopPoll)
	}
}
