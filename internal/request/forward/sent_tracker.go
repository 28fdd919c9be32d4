package forward

import (
	"context"
	"net/http/httptrace"
	"sync"

	"github.com/daisytide/daisytide/internal/conn/dial"
)

// sentTracker finds out whether any byte of a request can have reached the
// other side. On a counted connection (HTTP/1.1, one request at a time) it
// compares the writes begun since the request got the connection. On a shared
// connection it relies on the trace of the header, and counts a request whose
// context ended after it had got a connection as sent: its header may be
// written after RoundTrip has returned.
type sentTracker struct {
	mu            sync.Mutex
	counted       *dial.CountedConn
	writesBefore  uint64
	gotConnection bool
	wroteHeader   bool
	// earlier is set when a connection that net/http gave up had been written to.
	wroteEarlier bool
}

// trace returns ctx with the tracker's hooks.
func (s *sentTracker) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:      s.gotConn,
		WroteHeaders: s.wroteHeaders,
	})
}

func (s *sentTracker) gotConn(info httptrace.GotConnInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wroteEarlier = s.wroteEarlier || s.hasNewWrites()
	s.gotConnection = true
	s.counted = nil
	if c, ok := info.Conn.(*dial.CountedConn); ok {
		s.counted = c
		s.writesBefore = c.Writes()
	}
}

// dirty tells that the counted connection was written to; the caller holds mu.
func (s *sentTracker) hasNewWrites() bool {
	return s.counted != nil && s.counted.Writes() != s.writesBefore
}

func (s *sentTracker) wroteHeaders() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wroteHeader = true
}

// sent tells whether a byte can have reached the other side of a round trip
// that failed; ended tells that the context was over.
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
