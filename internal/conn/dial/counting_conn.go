package dial

import (
	"context"
	"net"
	"sync/atomic"
)

// WriteCountingConn counts the writes started on a connection, so that its user
// can tell whether any byte of a request may have been sent.
type WriteCountingConn struct {
	net.Conn
	writes atomic.Uint64
}

// Writes returns the number of writes that sent at least one byte or may still
// do so.
func (c *WriteCountingConn) Writes() uint64 { return c.writes.Load() }

// Write implements net.Conn. The counter is increased before the write, so that
// a write in progress is included.
func (c *WriteCountingConn) Write(b []byte) (int, error) {
	c.writes.Add(1)
	n, err := c.Conn.Write(b)
	if n == 0 && err != nil {
		c.writes.Add(^uint64(0))
	}
	return n, err
}

// countWrites wraps the connections that dial opens in a WriteCountingConn.
func countWrites(dial func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &WriteCountingConn{Conn: conn}, nil
	}
}
