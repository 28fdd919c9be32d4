package h1

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"
)

// errLost is the error for a response that ends with its connection, if the connection
// was lost and not closed.
var errLost = errors.New("the connection was lost before the server ended the response")

// bodyWriter is the writing of a request's body while the response is read.
type bodyWriter struct {
	conn net.Conn
	// ended is closed when the writing has ended; err, its error, may be read then.
	ended chan struct{}
	err   error
}

// startBodyWriter calls write, which writes the body to conn, in a goroutine of its own.
func startBodyWriter(conn net.Conn, write func() error) *bodyWriter {
	w := &bodyWriter{conn: conn, ended: make(chan struct{})}
	go func() {
		defer close(w.ended)
		w.err = write()
	}()
	return w
}

// wroteAll reports whether the whole body has been written by now. It is true for nil,
// when the body was written together with the header.
func (w *bodyWriter) wroteAll() bool {
	if w == nil {
		return true
	}
	select {
	case <-w.ended:
		return w.err == nil
	default:
		return false
	}
}

// checkClosed returns an error unless the end of the connection that the reader met is
// that of a connection closed by the server. It ends the writing.
//
// The kernel reports the loss of a connection, by a reset or a time-out, only once: to
// the read or the write that comes first. Reads after a write that met it return what
// had arrived and then an ordinary end. EPIPE, by contrast, means that the server closed
// the connection before it reset it, so that the reader's end is the server's.
func (w *bodyWriter) checkClosed() error {
	if w == nil {
		return nil
	}
	// A write that waits, for example because the server reads no more, ends at once.
	_ = w.conn.SetWriteDeadline(time.Unix(1, 0))
	<-w.ended
	switch {
	case w.err == nil, errors.Is(w.err, os.ErrDeadlineExceeded), errors.Is(w.err, syscall.EPIPE):
		return nil
	default:
		return fmt.Errorf("%w: %w", errLost, w.err)
	}
}
