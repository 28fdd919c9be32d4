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
	mu      sync.Mutex
	counted *dial.WriteCountingConn
	before  uint64
	got     bool
	wrote   bool
	// earlier is set when a connection that net/http gave up had been written to.
	earlier bool
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
	s.earlier = s.earlier || s.dirty()
	s.got = true
	s.counted = nil
	if c, ok := info.Conn.(*dial.WriteCountingConn); ok {
		s.counted = c
		s.before = c.Writes()
	}
}

// dirty tells that the counted connection was written to; the caller holds mu.
func (s *sentTracker) dirty() bool {
	return s.counted != nil && s.counted.Writes() != s.before
}

func (s *sentTracker) wroteHeaders() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wrote = true
}

// sent tells whether a byte can have reached the other side of a round trip
// that failed; ended tells that the context was over.
func (s *sentTracker) sent(ended bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !s.got:
		return false
	case s.counted != nil:
		return s.earlier || s.dirty()
	default:
		return s.wrote || ended
	}
}
