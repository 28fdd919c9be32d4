package h1

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
)

const logPrefix = "h1: "

// Bounds of server connections.
const (
	// maxAhead is the most requests of one connection that are worked on at
	// once. It is far above what callers pipeline, because a caller's leaving
	// is noticed only while the connection is read.
	maxAhead = 128
	// writeTimeout bounds the writing of an answer to a caller that does not read.
	writeTimeout = 10 * time.Second
	// headerSlop is what the buffer may read beyond a header.
	headerSlop = 4 << 10
	// lingerFor is how long a connection that the server ends is still read, so
	// that bytes on their way do not reset the answer.
	lingerFor = time.Second
	// acceptPause is the wait after a failed accept, as for lack of descriptors.
	acceptPause = 20 * time.Millisecond
)

// Limits bounds what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Handler answers one request; ctx ends when its caller has left. A nil answer
// ends the connection without a word.
type Handler func(ctx context.Context, r *Request) *Response

// Server serves one listener.
type Server struct {
	Handler Handler
	// Limits are read for each request, since they change with the configuration.
	Limits func() Limits
	// Lazy serves other nodes: a sender that expects an interim answer gets one
	// when its request has arrived, and is asked for the body by the handler.
	DeferContinue bool
	// Refuse makes the answer to a request that breaks a limit.
	RefusalResponse func(status int, why string) *Response
	// Held counts the bytes of bodies in memory and MaxHeld bounds them.
	BufferedBytes    atomic.Int64
	MaxBufferedBytes int64

	mu      sync.Mutex
	conns   map[*serverConn]struct{}
	closing atomic.Bool
	active  atomic.Int64
	last    atomic.Int64
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			klog.Warningf(logPrefix+"accept: %v", err)
			time.Sleep(acceptPause)
			continue
		}
		c := s.open(conn)
		go c.read()
	}
}

// Active returns the number of requests in progress.
func (s *Server) ActiveRequests() int64 { return s.active.Load() }

// LastRequest returns when the last request arrived.
func (s *Server) LastRequestTime() time.Time { return time.Unix(0, s.last.Load()) }

// CloseAfterAnswers makes each answer from now on the last of its connection.
func (s *Server) CloseAfterResponses() { s.closing.Store(true) }

// CloseIdle ends the connections that have no request in progress.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	conns := make([]*serverConn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		c.endIfIdle()
	}
}

func (s *Server) open(conn net.Conn) *serverConn {
	r := &meter{r: conn}
	ctx, cancel := context.WithCancel(context.Background())
	c := &serverConn{s: s, conn: conn, meter: r, br: bufio.NewReaderSize(r, readerBytes), ctx: ctx, cancel: cancel}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = map[*serverConn]struct{}{}
	}
	s.conns[c] = struct{}{}
	return c
}

func (s *Server) forget(c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}
