package dial

import (
	"context"
	"net"
	"sync/atomic"
)

// CountedConn counts the writes begun on a connection, so that its user can
// tell whether any byte of a request was sent.
type WriteCountingConn struct {
	net.Conn
	writes atomic.Uint64
}

// Writes returns the number of writes that put at least one byte on the
// connection or may still do so.
func (c *WriteCountingConn) Writes() uint64 { return c.writes.Load() }

// Write implements net.Conn. The count rises before the write, so that a
// write in progress counts.
func (c *WriteCountingConn) Write(b []byte) (int, error) {
	c.writes.Add(1)
	n, err := c.Conn.Write(b)
	if n == 0 && err != nil {
		c.writes.Add(^uint64(0))
	}
	return n, err
}

// dialCounted wraps what dial opens.
func dialCounted(dial func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &WriteCountingConn{Conn: conn}, nil
	}
}
