package h1

import (
	"math"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
)

// Budget bounds the memory that the servers and clients of one process hold for
// messages: request bodies, responses that are being read, and responses that their
// callers have not received. When it is exceeded, connections that hold much and make
// no progress are disconnected. A nil Budget sets no bounds.
type Budget struct {
	// Max bounds all messages, and MaxResponses the responses that callers have not
	// received.
	Max, MaxResponses int64
	// MaxTotal bounds all messages and the running requests, at requestBytes each. At it
	// connections that stand still are disconnected, and no more than minPipelined
	// requests of a connection are read at a time. Nothing is refused for the running
	// requests alone.
	MaxTotal int64

	used, responses atomic.Int64
	// running is the number of requests whose handler runs.
	running        atomic.Int64
	lastTotalNanos atomic.Int64
	disconnected   atomic.Uint64
	refused        atomic.Uint64

	mu       sync.Mutex
	holders  map[*holder]struct{}
	lastWarn time.Time
}

const (
	// refusalShare is the part of Max, in eighths, from which new requests are
	// refused before they run: what runs already needs the rest for its responses.
	refusalShare = 7
	// relieveShare is the part of a bound, in eighths, down to which holders are
	// disconnected, so that not every further response searches for one.
	relieveShare = 7
	// minDisconnectBytes is the least that a connection holds to be disconnected:
	// smaller ones give back too little.
	minDisconnectBytes = 32 << 10
	// requestBytes is what a running request takes: 16,640 of them took a process from 20
	// to 206 MB, of which 84 MB were stacks and 44 MB heap in use.
	requestBytes = 11 << 10
	// totalStall is how long a connection makes no progress before it is disconnected for
	// MaxTotal, and totalInterval the time between two searches for such connections.
	totalStall    = 20 * time.Millisecond
	totalInterval = 5 * time.Millisecond
	// minPipelined is the number of requests of a connection that are always read:
	// requests may wait for others that their upstream sends through the same node.
	minPipelined = 16
	// warnInterval is the time between two log lines of one cause.
	warnInterval = 5 * time.Second
)

// holder is what one connection holds of a Budget.
type holder struct {
	budget *Budget
	conn   net.Conn
	// bytes is what the connection holds, without the bodies of running requests.
	bytes atomic.Int64
	// progressNanos is when the peer last received or sent a part of it.
	progressNanos atomic.Int64
	// disconnected is set when the budget disconnects the connection; abort then drops
	// what it holds.
	disconnected atomic.Bool
	abort        func()
}

// Used returns the bytes held for all messages.
func (b *Budget) Used() int64 { return b.used.Load() }

// Responses returns the bytes held for responses that callers have not received.
func (b *Budget) Responses() int64 { return b.responses.Load() }

// Disconnected returns the number of connections that were disconnected for what they
// held.
func (b *Budget) Disconnected() uint64 { return b.disconnected.Load() }

// Refused returns the number of requests that were refused for want of memory.
func (b *Budget) Refused() uint64 { return b.refused.Load() }

// add adds bytes to what is held and disconnects holders if that exceeds Max. It
// reports whether the bytes are within Max, if need be when the holders that are being
// disconnected have given back theirs.
func (b *Budget) add(bytes int64) bool {
	if b == nil {
		return true
	}
	if used := b.used.Add(bytes); bytes <= 0 || b.Max <= 0 || used <= b.Max {
		return true
	}
	return b.relieve(b.used.Load()-b.Max*relieveShare/8, 0)
}

// addRunning adds n to the number of running requests.
func (b *Budget) addRunning(n int64) {
	if b != nil {
		b.running.Add(n)
	}
}

// excess returns by how much messages and running requests exceed MaxTotal, 0 or less if
// they do not.
func (b *Budget) excess() int64 {
	if b == nil || b.MaxTotal <= 0 {
		return 0
	}
	return b.used.Load() + b.running.Load()*requestBytes - b.MaxTotal
}

// relieveTotal disconnects connections that stand still if messages and running requests
// exceed MaxTotal.
func (b *Budget) relieveTotal() {
	excess := b.excess()
	if excess <= 0 {
		return
	}
	last, now := b.lastTotalNanos.Load(), time.Now().UnixNano()
	if now-last >= int64(totalInterval) && b.lastTotalNanos.CompareAndSwap(last, now) {
		b.relieve(excess, totalStall)
	}
}

// addResponse adds the bytes of a response that its caller has not received.
func (b *Budget) addResponse(bytes int64) {
	if b == nil {
		return
	}
	b.add(bytes)
	if held := b.responses.Add(bytes); bytes > 0 && b.MaxResponses > 0 && held > b.MaxResponses {
		b.relieve(held-b.MaxResponses*relieveShare/8, 0)
	} else if bytes > 0 {
		b.relieveTotal()
	}
}

// exhausted reports whether new requests are to be refused.
func (b *Budget) exhausted() bool {
	return b != nil && b.Max > 0 && b.used.Load() > b.Max*refusalShare/8
}

// refuse counts a refused request.
func (b *Budget) refuse() {
	b.refused.Add(1)
	if b.mayWarn() {
		klog.Warningf(logPrefix+"memory for messages is exhausted (%d of %d bytes): %d requests refused so far", b.Used(), b.Max, b.refused.Load())
	}
}

// mayWarn reports whether a log line may be written now.
func (b *Budget) mayWarn() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if time.Since(b.lastWarn) < warnInterval {
		return false
	}
	b.lastWarn = time.Now()
	return true
}

// hold registers a connection.
func (b *Budget) hold(conn net.Conn, abort func()) *holder {
	h := &holder{budget: b, conn: conn, abort: abort}
	if b == nil {
		return h
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.holders == nil {
		b.holders = map[*holder]struct{}{}
	}
	b.holders[h] = struct{}{}
	return h
}

func (b *Budget) forget(h *holder) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.holders, h)
}

// add adds bytes to what the connection holds.
func (h *holder) add(bytes int64) {
	if bytes > 0 && h.bytes.Add(bytes) == bytes {
		h.progressed()
		return
	}
	if bytes < 0 {
		h.bytes.Add(bytes)
	}
}

// progressed records that the peer has received or sent a part.
func (h *holder) progressed() { h.progressNanos.Store(time.Now().UnixNano()) }

// weight orders the connections that may be disconnected: those that hold much and
// have made no progress for long first.
func (h *holder) weight(now time.Time) float64 {
	stalled := time.Duration(now.UnixNano() - h.progressNanos.Load())
	return float64(h.bytes.Load()) * math.Max(stalled.Seconds(), 1e-6)
}

// relieve disconnects holders without progress for minStall until they held the given
// number of bytes together, and reports whether they did. What earlier ones have not
// given back yet counts.
func (b *Budget) relieve(bytes int64, minStall time.Duration) bool {
	type candidate struct {
		*holder
		weight float64
	}
	var candidates []candidate
	now := time.Now()
	b.mu.Lock()
	for h := range b.holders {
		held := h.bytes.Load()
		switch {
		case h.disconnected.Load():
			bytes -= held
		case held >= minDisconnectBytes && now.UnixNano()-h.progressNanos.Load() >= int64(minStall):
			candidates = append(candidates, candidate{h, h.weight(now)})
		}
	}
	slices.SortFunc(candidates, func(x, y candidate) int {
		switch {
		case x.weight > y.weight:
			return -1
		case x.weight < y.weight:
			return 1
		}
		return 0
	})
	var victims []*holder
	for _, c := range candidates {
		if bytes <= 0 {
			break
		}
		c.disconnected.Store(true)
		bytes -= c.bytes.Load()
		victims = append(victims, c.holder)
	}
	b.mu.Unlock()
	if len(victims) == 0 {
		return bytes <= 0
	}
	b.disconnected.Add(uint64(len(victims)))
	if b.mayWarn() {
		v := victims[0]
		klog.Warningf(logPrefix+"memory for messages is exhausted (%d bytes, %d of them responses): disconnected %d callers so far, last %s with %d bytes and no progress for %v",
			b.Used(), b.Responses(), b.disconnected.Load(), v.conn.RemoteAddr(), v.bytes.Load(), now.Sub(time.Unix(0, v.progressNanos.Load())).Round(time.Millisecond))
	}
	for _, v := range victims {
		// A reset also frees what the kernel holds for the connection.
		if t, ok := v.conn.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = v.conn.Close()
		go v.abort()
	}
	return bytes <= 0
}
