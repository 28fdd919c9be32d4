package h1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
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

// exchange is a request and its response on a connection.
type exchange struct {
	ctx    context.Context
	client *Client
	conn   *clientConn
	req    *ClientRequest
	// sent and fullySent say how much of the request may have been written. mu
	// guards them, since a large body is written while the response is read.
	mu              sync.Mutex
	sent, fullySent bool
	gotFirstByte    bool
	reusable        bool
	keepAliveTime   time.Duration
}

// markSent records that writing the header, or with allSent the whole
// request, has started.
func (x *exchange) markSent(allSent bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.sent = true
	x.fullySent = x.fullySent || allSent
}

// exchangeError wraps err in an *Error with the reason and with what was sent.
func (x *exchange) exchangeError(ctx context.Context, err error) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	e := &Error{Failure: ExchangeFailed, Sent: x.sent, FullySent: x.fullySent, Err: err}
	switch {
	case ctx.Err() != nil:
		e.Failure = ContextEnded
	case !x.gotFirstByte && errors.Is(err, os.ErrDeadlineExceeded):
		e.Failure = FirstByteTimedOut
	}
	return e
}

func (x *exchange) run() (*Response, error) {
	var head bytes.Buffer
	x.encode(&head)
	body := x.req.Body
	if len(body) > 0 && len(body) <= maxInlineBody && !x.req.ExpectContinue {
		head.Write(body)
		body = nil
	}
	x.markSent(len(body) == 0)
	if _, err := x.conn.Write(head.Bytes()); err != nil {
		return nil, err
	}
	if x.req.FirstByteTimeout > 0 {
		x.setReadDeadline(time.Now().Add(x.req.FirstByteTimeout))
	}
	if len(body) == 0 {
		return x.readFinalResponse(nil)
	}
	if !x.req.ExpectContinue {
		return x.sendBody(body)
	}
	resp, err := x.readResponse(true)
	if err != nil || resp != nil {
		return resp, err
	}
	if x.req.BeforeBody != nil {
		if err := x.req.BeforeBody(x.ctx); err != nil {
			return nil, err
		}
	}
	return x.sendBody(body)
}

// setReadDeadline sets the read deadline. If the context has ended, it is set to the
// past again, since the one that Do set at that moment may have been replaced.
func (x *exchange) setReadDeadline(at time.Time) {
	_ = x.conn.SetReadDeadline(at)
	if x.ctx.Err() != nil {
		_ = x.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// sendBody writes the body while it reads the response, which may arrive first.
func (x *exchange) sendBody(body []byte) (*Response, error) {
	written := make(chan error, 1)
	go func() {
		x.markSent(true)
		err := x.req.Pace.write(x.conn, body)
		if x.req.AfterBody != nil {
			x.req.AfterBody()
		}
		written <- err
	}()
	return x.readFinalResponse(written)
}

// readFinalResponse reads the response. If it arrives before the body is written,
// the connection is not reused, so that the rest of the body cannot be taken for
// another request.
func (x *exchange) readFinalResponse(written chan error) (*Response, error) {
	resp, err := x.readResponse(false)
	if err != nil || written == nil {
		return resp, err
	}
	select {
	case writeErr := <-written:
		x.reusable = x.reusable && writeErr == nil
	default:
		x.reusable = false
	}
	return resp, nil
}

// readResponse reads responses until one belongs to the request. With
// awaitContinue it returns nil when it reads 100 Continue.
func (x *exchange) readResponse(awaitContinue bool) (*Response, error) {
	req := &http.Request{Method: x.req.Method}
	for mismatches, interim := 0, 0; ; {
		resp, err := x.readHeader(req)
		if err != nil {
			return nil, err
		}
		if !x.gotFirstByte {
			x.gotFirstByte = true
			if x.req.OnFirstByte != nil {
				x.req.OnFirstByte()
			}
			if x.req.FirstByteTimeout > 0 {
				x.setReadDeadline(time.Time{})
			}
		}
		if resp.StatusCode < 200 {
			if awaitContinue && resp.StatusCode == http.StatusContinue {
				return nil, nil
			}
			if interim++; interim > maxInterimResponses {
				return nil, fmt.Errorf("received more than %d interim responses", maxInterimResponses)
			}
			continue
		}
		out, err := x.readResponseBody(resp)
		if err != nil {
			return nil, err
		}
		echoed, err := x.attribute(out, mismatches > 0)
		if errors.Is(err, ErrForeignResponse) {
			if mismatches++; mismatches > maxForeignResponses {
				return nil, errors.New("received responses to other requests")
			}
			continue
		}
		if err != nil {
			return nil, err
		}
		x.reusable = !resp.Close && mismatches == 0 && echoed
		x.keepAliveTime = keepAliveTimeOf(resp.Header)
		return out, nil
	}
}

// attribute decides whether a response belongs to the request; ErrForeignResponse
// means that it does not. echoed is set unless the response lacks the ID. Nothing
// tells such a response from a copy of it that comes later, so its connection is not
// reused; and one that comes after a foreign response is taken for foreign, too.
func (x *exchange) attribute(resp *Response, foreignBefore bool) (echoed bool, err error) {
	echoed = true
	if x.req.IDHeader != "" && x.req.ID != "" {
		id := resp.Header.Get(x.req.IDHeader)
		echoed = id == x.req.ID
		if id != "" && !echoed || id == "" && foreignBefore {
			return echoed, ErrForeignResponse
		}
	}
	if x.req.Judge == nil {
		return echoed, nil
	}
	return echoed, x.req.Judge(resp, echoed)
}

// readHeader reads the status line and the headers of a response.
func (x *exchange) readHeader(req *http.Request) (*http.Response, error) {
	l := x.conn.limiter
	l.limiting, l.remaining = true, maxResponseHeaderBytes+readBufferSize
	resp, err := http.ReadResponse(x.conn.br, req)
	l.limiting = false
	return resp, err
}

// readResponseBody reads a response's body. A body without a length ends with the
// connection: it is complete if the server closed the connection, and cut short
// if the connection was reset.
func (x *exchange) readResponseBody(resp *http.Response) (*Response, error) {
	in := &bodyBuffer{total: &x.client.buffered, limit: x.client.MaxBufferedBytes, budget: x.client.Budget}
	defer in.release()
	body, err := in.readAll(resp.Body, resp.ContentLength, MaxResponseBytes)
	if err != nil {
		// The connection will be closed. Closing the body would first read it to
		// its end, which may never come.
		return nil, err
	}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// keepAliveTimeOf returns how long a connection may be kept for reuse after a
// response with the given headers.
func keepAliveTimeOf(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if n, err := strconv.Atoi(v); err == nil {
				return time.Duration(float64(n) * keepAliveFraction * float64(time.Second))
			}
		}
	}
	return defaultKeepAlive
}

func (x *exchange) encode(b *bytes.Buffer) {
	b.WriteString(x.req.Method)
	b.WriteByte(' ')
	b.WriteString(x.req.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(x.req.Host)
	b.WriteString("\r\n")
	writeHeader(b, x.req.Header)
	if len(x.req.Body) > 0 || x.req.Method != http.MethodGet && x.req.Method != http.MethodHead {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(x.req.Body)))
		b.WriteString("\r\n")
	}
	if x.req.ExpectContinue {
		b.WriteString("Expect: 100-continue\r\n")
	}
	b.WriteString("\r\n")
}
