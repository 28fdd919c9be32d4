package operated

import (
	"net/http"
	"syscall"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/h1"
	"github.com/daisytide/daisytide/internal/request/egress"
	"github.com/daisytide/daisytide/internal/request/hop"
)

// The budget of the process; docs/design/memory-budget.md gives the sum of its parts.
const (
	// messageMemoryPercent is the part of the process memory for request bodies and
	// responses of all servers and clients together. The runtime's limit is 60%; the
	// rest of that is for connections, gossip, configuration and garbage.
	messageMemoryPercent = 40
	// totalMemoryPercent is the part for messages and running requests.
	totalMemoryPercent = 45
	// heldMemoryPercent is the part for responses that callers have not received.
	heldMemoryPercent = 25
	// heldPerConnDivisor gives the part for the responses of one connection before no
	// further request of it is read.
	heldPerConnDivisor = 32
	// connMemoryPercent is the part for connections, and connBytes what one takes: a
	// read buffer, the stack of its reader, and a request head in transfer.
	connMemoryPercent = 15
	connBytes         = 16 << 10
)

const (
	// maxFileReserve is the number of descriptors for files.
	maxFileReserve = 200
	// fileReserveDivisor bounds that number where the process may open few.
	fileReserveDivisor = 8
	// minConns is the least limit of a listener.
	minConns = 16
	// maxPeerHeaderBytes bounds the headers at the peers' and operators' listeners.
	maxPeerHeaderBytes = 64 << 10
	// callerBusyGrace is longer than a caller that reads at 2 Mbit/s lets the kernel's
	// send buffer stand full; requests at the other listeners end within a second, the
	// time limit of one call to the store.
	callerBusyGrace = 5 * time.Second
	peerBusyGrace   = 2 * time.Second
	// memoryRetryAfter is when a request that was refused for want of memory may be
	// sent again: disconnected callers give back theirs at once.
	memoryRetryAfter = 500 * time.Millisecond
)

// listenerNames are the names of the listeners in logs and metrics.
var listenerNames = [listenerCount]string{
	callerListener: "callers", gateListener: "gate", peerListener: "peers", operatorListener: "operators", readyListener: "ready",
}

// connPercent is the part of the descriptors, without those for files, and of the
// connections that the memory has room for, that each listener may use. The rest of the
// descriptors is for connections to the upstream, to peers and to the store.
var connPercent = [listenerCount]int{callerListener: 37, gateListener: 27, peerListener: 8, operatorListener: 3, readyListener: 2}

// wireLimits builds the bounds of memory and connections.
func (n *Node) wireLimits() {
	memory := int64(n.cfg.Operated.MemoryMB) << 20
	n.budget = &h1.Budget{Max: memory / 100 * messageMemoryPercent, MaxResponses: memory / 100 * heldMemoryPercent, MaxTotal: memory / 100 * totalMemoryPercent}
	for i, most := range connLimits(memory, descriptorLimit()) {
		grace := callerBusyGrace
		if i == peerListener || i == operatorListener {
			grace = peerBusyGrace
		}
		n.connLimits[i] = &h1.ConnLimit{Name: listenerNames[i], Max: most, BusyGrace: grace}
	}
}

// maxHeldPerConn returns how much of responses one connection may hold before no further
// request of it is read.
func (n *Node) maxHeldPerConn() int64 {
	return int64(n.cfg.Operated.MemoryMB) << 20 / heldPerConnDivisor
}

// connLimits returns the limits of the listeners of a process with the given memory in
// bytes and descriptors. Either may be 0, which sets no bound.
func connLimits(memory, descriptors int64) [listenerCount]int {
	var out [listenerCount]int
	open := descriptors - min(maxFileReserve, descriptors/fileReserveDivisor)
	if byMemory := memory / 100 * connMemoryPercent / connBytes; descriptors <= 0 || byMemory < open {
		open = byMemory
	}
	for i, percent := range connPercent {
		out[i] = max(minConns, int(open)*percent/100)
	}
	return out
}

// descriptorLimit returns the number of descriptors that the process may open, or 0 if
// it is not known.
func descriptorLimit() int64 {
	var r syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r); err != nil || r.Cur > 1<<30 {
		return 0
	}
	return int64(r.Cur)
}

// refuseCaller returns the response to a caller's request that exceeds a limit of its
// connection or finds no memory.
func (n *Node) refuseCaller(status int, reason string) *h1.Response {
	resp := refusalResponse(status, reason)
	if status == http.StatusServiceUnavailable {
		n.adapter.SetRetryAfter(resp.Header, memoryRetryAfter)
	}
	return resp
}

// refusePeer is refuseCaller for another node, which then may send the request
// elsewhere.
func (n *Node) refusePeer(status int, reason string) *h1.Response {
	if status == http.StatusServiceUnavailable {
		return egress.BuildResponse(hop.Refuse(api.CallShed, memoryRetryAfter, nil), n.gate.Load())
	}
	return refusalResponse(status, reason)
}
