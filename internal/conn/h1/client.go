package h1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Limits and timeouts of client connections.
const (
	// MaxResponseBytes bounds a response's body, which is buffered in memory.
	MaxResponseBytes = 32 << 20
	// maxResponseHeaderBytes bounds the header of a response, and of each interim
	// response before it.
	maxResponseHeaderBytes = 64 << 10
	// maxInterimResponses bounds the interim responses before a response.
	maxInterimResponses = 32
	// maxForeignResponses bounds the responses to other requests that are discarded
	// while one is awaited.
	maxForeignResponses = 2
	readBufferSize      = 4 << 10
	// defaultKeepAlive is how long an idle connection is kept for reuse if the
	// server sends no Keep-Alive timeout. If it does, keepAliveFraction of that is
	// used, so that a request is not sent while the server closes the connection.
	defaultKeepAlive  = 4 * time.Second
	keepAliveFraction = 0.7
	// maxInlineBody is the size up to which a body is written together with the
	// header, before the response is read: it fits the socket's buffer.
	maxInlineBody = 16 << 10
)

// Failure is the reason why an exchange got no response.
type Failure uint8

// The reasons for a failed exchange.
const (
	// ConnectionRefused: nothing listens at the address.
	ConnectionRefused Failure = iota + 1
	// Unreachable: no connection could be opened within DialTimeout.
	Unreachable
	// FirstByteTimedOut: no response, not even an interim one, arrived within
	// FirstByteTimeout.
	FirstByteTimedOut
	// ExchangeFailed: the connection was lost or the response was invalid.
	ExchangeFailed
	// ContextEnded: the context was cancelled or its deadline passed.
	ContextEnded
)

// Error describes an exchange that got no response.
type Error struct {
	Failure Failure
	// Sent is set if a part of the request may have reached the server.
	Sent bool
	// FullySent is set if the whole request may have reached the server.
	FullySent bool
	Err       error
}

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("HTTP exchange failed (request sent: %v, completely: %v): %v", e.Sent, e.FullySent, e.Err)
}

// ErrForeignResponse is returned by ClientRequest.Judge for a response that does not
// belong to the request.
var ErrForeignResponse = errors.New("the response does not belong to the request")

// Unwrap returns the wrapped error.
func (e *Error) Unwrap() error { return e.Err }

// ClientRequest is a request to send.
type ClientRequest struct {
	Method, Target, Host string
	Header               http.Header
	Body                 []byte
	// ExpectContinue sends the body only after the server's 100 Continue, so that a
	// body that was not requested has certainly not arrived.
	ExpectContinue bool
	// BeforeBody, if set, is called before a body is written that the server asked for
	// with 100 Continue, and waits until it may be. AfterBody is called when writing
	// the body has ended. Pace, if set, spreads the writing.
	BeforeBody func(ctx context.Context) error
	AfterBody  func()
	Pace       *Pace
	// FirstByteTimeout is how long the server may take to start a response,
	// interim ones included; 0 sets no limit.
	FirstByteTimeout time.Duration
	// OnFirstByte, if set, is called when the first response or interim response
	// was received.
	OnFirstByte func()
	// IDHeader is the name of a header in which the server echoes ID. A response
	// with another value is discarded. If IDHeader is empty, nothing is checked.
	IDHeader, ID string
	// Judge, if set, is called for each response that does not echo another ID; echoed
	// is set if it echoes ID. With ErrForeignResponse the response is discarded as
	// well; any other error ends the exchange.
	Judge func(resp *Response, echoed bool) error
	// MaxIdleTime limits reuse to connections that were used within this time;
	// with 0 any kept connection may be reused.
	MaxIdleTime time.Duration
}

// Client sends requests and keeps idle connections for reuse, by address.
type Client struct {
	// DialTimeout bounds opening a connection.
	DialTimeout time.Duration
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// MaxIdleConns bounds the idle connections kept per address.
	MaxIdleConns int
	// MaxBufferedBytes bounds the buffers of all bodies that are being read; a
	// response that exceeds it fails. 0 sets no bound beyond MaxResponseBytes.
	MaxBufferedBytes int64
	// Budget bounds what the client holds in memory, together with servers and other
	// clients; nil sets no bound.
	Budget *Budget

	// buffered is the size of the buffers of the bodies that are being read.
	buffered atomic.Int64

	mu   sync.Mutex
	idle map[string][]*clientConn
}

type clientConn struct {
	net.Conn
	limiter *headerLimiter
	br      *bufio.Reader
	// lastUsed is when the connection was released, and reusableUntil when it
	// expires.
	lastUsed, reusableUntil time.Time
}

// Do sends a request and returns its response. It never sends a request twice.
// All errors are *Error.
func (c *Client) Do(ctx context.Context, address string, req *ClientRequest) (*Response, error) {
	conn, err := c.acquire(ctx, address, req.MaxIdleTime)
	if err != nil {
		return nil, err
	}
	x := &exchange{ctx: ctx, client: c, conn: conn, req: req}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	resp, err := x.run()
	notCancelled := stop()
	if err != nil {
		_ = conn.Close()
		return nil, x.exchangeError(ctx, err)
	}
	if notCancelled && x.reusable && conn.br.Buffered() == 0 {
		c.release(address, conn, x.keepAliveTime)
	} else {
		_ = conn.Close()
	}
	return resp, nil
}

// CloseIdle closes the idle connections to an address.
func (c *Client) CloseIdle(address string) {
	c.mu.Lock()
	conns := c.idle[address]
	delete(c.idle, address)
	c.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
	}
}

// acquire returns an idle connection that is still usable, most recently used
// first, or opens a new one.
func (c *Client) acquire(ctx context.Context, address string, maxIdleTime time.Duration) (*clientConn, error) {
	now := time.Now()
	for {
		conn := c.popIdle(address)
		if conn == nil {
			break
		}
		if now.Before(conn.reusableUntil) && (maxIdleTime == 0 || now.Sub(conn.lastUsed) < maxIdleTime) && isOpenAndSilent(conn.Conn) {
			return conn, nil
		}
		_ = conn.Close()
	}
	dial := c.Dial
	if dial == nil {
		dial = Dialer(c.DialTimeout).DialContext
	}
	conn, err := dial(ctx, "tcp", address)
	if err != nil {
		f := Unreachable
		switch {
		case ctx.Err() != nil:
			f = ContextEnded
		case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
			f = ConnectionRefused
		}
		return nil, &Error{Failure: f, Err: err}
	}
	return newClientConn(conn), nil
}

func newClientConn(conn net.Conn) *clientConn {
	limiter := &headerLimiter{r: conn}
	return &clientConn{Conn: conn, limiter: limiter, br: bufio.NewReaderSize(limiter, readBufferSize)}
}

// popIdle removes and returns the most recently used idle connection to an
// address, or nil.
func (c *Client) popIdle(address string) *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	if len(list) == 0 {
		return nil
	}
	conn := list[len(list)-1]
	c.idle[address] = list[:len(list)-1]
	return conn
}

// release keeps a connection for reuse for the given time. If there are too
// many, the oldest one is closed.
func (c *Client) release(address string, conn *clientConn, keepAlive time.Duration) {
	conn.lastUsed = time.Now()
	conn.reusableUntil = conn.lastUsed.Add(keepAlive)
	c.mu.Lock()
	if c.idle == nil {
		c.idle = map[string][]*clientConn{}
	}
	idle := append(c.idle[address], conn)
	var oldest *clientConn
	if len(idle) > c.MaxIdleConns {
		oldest, idle = idle[0], idle[1:]
	}
	c.idle[address] = idle
	c.mu.Unlock()
	if oldest != nil {
		_ = oldest.Close()
	}
}
