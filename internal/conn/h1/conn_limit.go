package h1

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
)

// ConnLimit bounds the connections of one listener. At the bound the connection that
// is most likely abandoned is closed, so that callers with requests are still
// accepted; while there is none, further ones wait in the kernel's queue.
type ConnLimit struct {
	// Name names the listener in logs.
	Name string
	// Max bounds the open connections; 0 sets no bound.
	Max int
	// BusyGrace is how long a connection may be busy without progress before it is
	// closed at the bound.
	BusyGrace time.Duration

	closed, acceptErrors atomic.Uint64

	mu       sync.Mutex
	conns    map[*connSlot]struct{}
	lastWarn time.Time
}

// States of a connection, in the order in which connections are closed at the bound.
const (
	// connSilent: no request has been received completely yet.
	connSilent = iota
	// connIdle: no request is in progress.
	connIdle
	// connReceiving: the body of a request is being received.
	connReceiving
	// connBusy: a response is being written, or for an http.Server a request is in
	// progress. It is closed only if that has made no progress for BusyGrace.
	connBusy
	// connKept: a request runs, or the connection is one between nodes. It is never
	// closed at the bound.
	connKept
)

const (
	// silentGrace is the least time that a connection has for its request: a caller
	// that connects to send one sends it at once.
	silentGrace = 20 * time.Millisecond
	// slotPollInterval is the time between two attempts to find a connection to close.
	slotPollInterval = 5 * time.Millisecond
)

// connSlot is one connection that counts in a ConnLimit.
type connSlot struct {
	limit *ConnLimit
	conn  net.Conn
	state atomic.Int32
	// since is when the state began or last made progress, in Unix nanoseconds.
	since atomic.Int64
}

// Open returns the number of open connections.
func (l *ConnLimit) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// Closed returns the number of connections that were closed at the bound.
func (l *ConnLimit) Closed() uint64 { return l.closed.Load() }

// AcceptErrors returns the number of failed accepts.
func (l *ConnLimit) AcceptErrors() uint64 { return l.acceptErrors.Load() }

// accept waits until a connection may be opened and accepts it. It fails only when
// the listener is closed.
func (l *ConnLimit) accept(from net.Listener) (net.Conn, *connSlot, error) {
	for {
		l.awaitSlot()
		conn, err := from.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil, nil, err
		}
		if err != nil {
			l.acceptErrors.Add(1)
			if l.mayWarn() {
				klog.Warningf(logPrefix+"accept a connection of %s (%d errors so far): %v", l.Name, l.acceptErrors.Load(), err)
			}
			time.Sleep(acceptRetryDelay)
			continue
		}
		slot := &connSlot{limit: l, conn: conn}
		slot.set(connSilent)
		l.mu.Lock()
		if l.conns == nil {
			l.conns = map[*connSlot]struct{}{}
		}
		l.conns[slot] = struct{}{}
		l.mu.Unlock()
		return conn, slot, nil
	}
}

// awaitSlot waits until there are fewer connections than Max. The bound counts the
// connection that is accepted next, whether or not one comes, so that a listener at
// its bound keeps one place free.
func (l *ConnLimit) awaitSlot() {
	for l.Max > 0 && l.Open() >= l.Max && !l.closeOne() {
		time.Sleep(slotPollInterval)
	}
}

// closeOne closes the connection that is most likely abandoned, and reports whether
// there was one.
func (l *ConnLimit) closeOne() bool {
	now := time.Now().UnixNano()
	var victim *connSlot
	victimState, victimSince := int32(connKept), int64(0)
	l.mu.Lock()
	for slot := range l.conns {
		state, since := slot.state.Load(), slot.since.Load()
		grace := silentGrace
		if state == connBusy {
			grace = l.BusyGrace
		}
		if state == connKept || now-since < int64(grace) {
			continue
		}
		if victim == nil || state < victimState || state == victimState && since < victimSince {
			victim, victimState, victimSince = slot, state, since
		}
	}
	if victim != nil {
		delete(l.conns, victim)
	}
	l.mu.Unlock()
	if victim == nil {
		return false
	}
	l.closed.Add(1)
	if l.mayWarn() {
		klog.Warningf(logPrefix+"%d connections of %s are open: closed %d so far, last %s", l.Max, l.Name, l.closed.Load(), victim.conn.RemoteAddr())
	}
	_ = victim.conn.Close()
	return true
}

// mayWarn reports whether a log line may be written now.
func (l *ConnLimit) mayWarn() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.lastWarn) < warnInterval {
		return false
	}
	l.lastWarn = time.Now()
	return true
}

// set records that the connection is in a state.
func (s *connSlot) set(state int32) {
	s.since.Store(time.Now().UnixNano())
	s.state.Store(state)
}

// progressed records that the connection made progress in its state.
func (s *connSlot) progressed() { s.since.Store(time.Now().UnixNano()) }

// release gives the place back.
func (s *connSlot) release() {
	s.limit.mu.Lock()
	defer s.limit.mu.Unlock()
	delete(s.limit.conns, s)
}

// Listen returns a listener for http.Server whose connections are bounded by l;
// ConnState of the server must be set to l.ConnState.
func (l *ConnLimit) Listen(from net.Listener) net.Listener { return &limitedListener{from, l} }

type limitedListener struct {
	net.Listener
	limit *ConnLimit
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	conn, slot, err := l.limit.accept(l.Listener)
	if err != nil {
		return nil, err
	}
	return &limitedConn{Conn: conn, slot: slot}, nil
}

// limitedConn gives its place back when it is closed.
type limitedConn struct {
	net.Conn
	slot *connSlot
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.slot.release()
	return c.Conn.Close()
}

// ConnState is the ConnState of an http.Server that serves a listener of l.
func (l *ConnLimit) ConnState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*limitedConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.slot.set(connBusy)
	case http.StateIdle:
		c.slot.set(connIdle)
	case http.StateHijacked:
		c.slot.set(connKept)
	}
}
