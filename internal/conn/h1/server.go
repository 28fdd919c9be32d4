package h1

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
)

const logPrefix = "h1: "

// Limits and timeouts of server connections.
const (
	// maxPipelined is the maximum number of concurrent requests of a connection.
	// It is far above what callers pipeline, because a caller's disconnect is
	// detected only while the connection is read.
	maxPipelined = 128
	// writeTimeout bounds writing a response to a caller that does not read it.
	writeTimeout = 10 * time.Second
	// headerReadAhead is the number of bytes that the buffered reader may read
	// beyond a header.
	headerReadAhead = 4 << 10
	// lingerTimeout is how long a connection that the server closes is still read:
	// unread bytes would make the kernel reset it before the response is received.
	lingerTimeout = time.Second
	// acceptRetryDelay is the wait after a failed accept, for example when the
	// process is out of file descriptors.
	acceptRetryDelay = 20 * time.Millisecond
)

// Limits bounds what callers may send and how long they may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Handler handles one request. ctx is cancelled when the caller disconnects. A
// nil response closes the connection without a response.
type Handler func(ctx context.Context, r *Request) *Response

// Server serves HTTP/1.1 connections of a listener.
type Server struct {
	Handler Handler
	// Limits is called for each request, since the limits change with the
	// configuration.
	Limits func() Limits
	// DeferContinue is set for requests from other nodes. A request that expects
	// 100 Continue is confirmed with 102 Processing when its header is received;
	// 100 Continue is sent only when the handler calls ReadBody.
	DeferContinue bool
	// RefusalResponse returns the response to a request that violates a limit.
	RefusalResponse func(status int, reason string) *Response
	// BufferedBytes is the number of body bytes in memory, and MaxBufferedBytes
	// its limit.
	BufferedBytes    atomic.Int64
	MaxBufferedBytes int64
	// Budget bounds what the server holds in memory, together with other servers and
	// clients; nil sets no bound.
	Budget *Budget
	// MaxHeldBytes bounds the responses that one connection has not received before no
	// further request of it is read; 0 sets no bound.
	MaxHeldBytes int64
	// ConnLimit bounds the connections; nil sets no bound.
	ConnLimit *ConnLimit

	mu    sync.Mutex
	conns map[*serverConn]struct{}
	// closing ends each connection after its responses in progress, and refusing
	// starts no further requests.
	closing, refusing atomic.Bool
	active            atomic.Int64
	lastRequestNanos  atomic.Int64
	panics            atomic.Uint64
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	limit := s.ConnLimit
	if limit == nil {
		limit = &ConnLimit{Name: l.Addr().String()}
	}
	for {
		conn, slot, err := limit.accept(l)
		if err != nil {
			return nil
		}
		c := s.addConn(conn, slot)
		if s.refusing.Load() {
			// CloseIdle may have missed it.
			c.startNoMore()
		}
		go c.readRequests()
	}
}

// handle runs the handler. If it panics, the request gets a response that does not
// say whether it ran, and its connection ends.
func (s *Server) handle(ctx context.Context, r *Request) (resp *Response) {
	defer func() {
		if cause := recover(); cause != nil {
			s.panics.Add(1)
			klog.Errorf(logPrefix+"the handler of a request panicked: %v\n%s", cause, debug.Stack())
			resp = s.RefusalResponse(http.StatusBadGateway, "internal error")
			resp.Close = true
		}
	}()
	return s.Handler(ctx, r)
}

// Panics returns the number of requests whose handler panicked.
func (s *Server) Panics() uint64 { return s.panics.Load() }

// ActiveRequests returns the number of requests whose handler runs.
func (s *Server) ActiveRequests() int64 { return s.active.Load() }

// LastRequestTime returns the time at which the last request was started.
func (s *Server) LastRequestTime() time.Time { return time.Unix(0, s.lastRequestNanos.Load()) }

// CloseAfterResponses makes each connection end after the responses to its
// requests in progress. An idle connection ends after its next response.
func (s *Server) CloseAfterResponses() { s.closing.Store(true) }

// CloseIdle closes the connections without a request in progress, and the others
// after the responses to those. No request that arrives later is started, even on a
// connection that is still open.
func (s *Server) CloseIdle() {
	s.refusing.Store(true)
	s.mu.Lock()
	conns := make([]*serverConn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		c.startNoMore()
	}
}

func (s *Server) addConn(conn net.Conn, slot *connSlot) *serverConn {
	ctx, cancel := context.WithCancel(context.Background())
	c := &serverConn{server: s, conn: conn, remoteIP: remoteIP(conn), ctx: ctx, cancel: cancel, slot: slot}
	c.writerIdle.L = &c.mu
	c.holder = s.Budget.hold(conn, c.abort)
	c.limiter = &headerLimiter{r: conn, holder: c.holder}
	c.br = bufio.NewReaderSize(c.limiter, readBufferSize)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = map[*serverConn]struct{}{}
	}
	s.conns[c] = struct{}{}
	return c
}

// remoteIP returns the IP address of a connection's other end.
func remoteIP(conn net.Conn) netip.Addr {
	if tcp, ok := conn.RemoteAddr().(*net.TCPAddr); ok {
		return tcp.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

func (s *Server) removeConn(c *serverConn) {
	c.slot.release()
	s.Budget.forget(c.holder)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}
