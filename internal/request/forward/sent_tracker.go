package forward

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"

	"github.com/daisytide/daisytide/internal/conn/dial"
)

// sentTracker detects whether any byte of a request may have reached the other
// side. On a counted connection (HTTP/1.1, one request at a time) it counts the
// writes begun since the request got the connection. On a shared connection it
// relies on the trace of the header, and counts a request as sent if its context
// ended after it got a connection, since its header may be written after RoundTrip
// has returned.
type sentTracker struct {
	mu            sync.Mutex
	counted       *dial.WriteCountingConn
	writesBefore  uint64
	gotConnection bool
	wroteHeader   bool
	// wroteEarlier is set if an earlier connection, which net/http has given
	// up, was written to.
	wroteEarlier bool
}

// trace returns ctx with the tracker's trace hooks, and one that fails the request if an
// interim response is malformed.
func (s *sentTracker) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:        s.gotConn,
		WroteHeaders:   s.wroteHeaders,
		Got1xxResponse: dial.CheckInterimResponse,
	})
}

// conn returns the counted connection that the request was sent on; nil if there is none.
func (s *sentTracker) conn() net.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counted == nil {
		return nil
	}
	return s.counted
}

func (s *sentTracker) gotConn(info httptrace.GotConnInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wroteEarlier = s.wroteEarlier || s.hasNewWrites()
	s.gotConnection = true
	s.counted = nil
	if c, ok := info.Conn.(*dial.WriteCountingConn); ok {
		s.counted = c
		s.writesBefore = c.Writes()
	}
}

// hasNewWrites reports whether the counted connection was written to. The caller
// holds mu.
func (s *sentTracker) hasNewWrites() bool {
	return s.counted != nil && s.counted.Writes() != s.writesBefore
}

func (s *sentTracker) wroteHeaders() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wroteHeader = true
}

// maybeSent reports whether a byte of a failed round trip may have reached the
// other side. contextEnded is true if the request's context has ended.
func (s *sentTracker) maybeSent(contextEnded bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !s.gotConnection:
		return false
	case s.counted != nil:
		return s.wroteEarlier || s.hasNewWrites()
	default:
		return s.wroteHeader || contextEnded
	}
}
