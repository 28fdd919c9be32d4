package h1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Sizes and times of client connections.
const (
	// MaxAnswerBytes bounds an answer's body, which is held whole.
	MaxResponseBytes = 32 << 20
	readBufferSize   = 4 << 10
	// idleDefault is how long a connection is kept for reuse where the server
	// does not say; idlePart of what it says is used, so that a request does
	// not cross its close.
	defaultKeepAlive  = 4 * time.Second
	keepAliveFraction = 0.7
	// smallBody is the size up to which a body is written before the answer is
	// read: it fits the socket's buffer.
	maxInlineBody = 16 << 10
)

// Failure is why an exchange brought no answer.
type Failure uint8

// The failures.
const (
	// Refused: nothing listens at the address.
	ConnectionRefused Failure = iota + 1
	// Unreachable: no connection within the time for it.
	Unreachable
	// Silent: the other side did not show in time that it had the request.
	FirstByteTimedOut
	// Broken: the connection ended or brought no answer of this protocol.
	ExchangeFailed
	// Ended: the context was over.
	ContextEnded
)

// Error is an exchange without an answer.
type Error struct {
	Failure Failure
	// Sent tells that a part of the request may have reached the other side.
	Sent bool
	// Complete tells that all of it may have.
	FullySent bool
	Err       error
}

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("exchange (sent %v, complete %v): %v", e.Sent, e.FullySent, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Call is one request to send.
type ClientRequest struct {
	Method, Target, Host string
	Header               http.Header
	Body                 []byte
	// Ask expects interim answers: the body is sent only when the server has
	// asked for it, so one that was not asked for has surely not arrived.
	ExpectContinue bool
	// Sign is how long the server may take for the first byte of any answer,
	// interim ones included; 0 sets no bound.
	FirstByteTimeout time.Duration
	// Alive, where set, is told of that first byte.
	OnFirstByte func()
	// IDHeader names a header that the answer must echo with ID; an answer
	// with another value belongs to nobody. Empty checks nothing.
	IDHeader, ID string
	// Fresh asks for a connection that has been used within this time, or a
	// new one; 0 takes any that is kept.
	MaxIdleTime time.Duration
}

// Client keeps connections for reuse, by address.
type Client struct {
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// MaxIdle bounds the connections kept for one address.
	MaxIdleConns int

	mu   sync.Mutex
	idle map[string][]*clientConn
}

type clientConn struct {
	net.Conn
	br *bufio.Reader
	// used is when the connection was put back, until when it may be reused.
	lastUsed, reusableUntil time.Time
}

// Do makes one exchange. Errors are *Error. It never sends a request twice.
func (c *Client) Do(ctx context.Context, address string, call *ClientRequest) (*Response, error) {
	conn, err := c.acquire(ctx, address, call.MaxIdleTime)
	if err != nil {
		return nil, err
	}
	x := &exchange{conn: conn, req: call}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	resp, err := x.run()
	clean := stop()
	if err != nil {
		_ = conn.Close()
		return nil, x.exchangeError(ctx, err)
	}
	if clean && x.reusable && conn.br.Buffered() == 0 {
		c.release(address, conn, x.keepAliveTime)
	} else {
		_ = conn.Close()
	}
	return resp, nil
}

// CloseIdle closes the connections kept for an address.
func (c *Client) CloseIdle(address string) {
	c.mu.Lock()
	conns := c.idle[address]
	delete(c.idle, address)
	c.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
	}
}

// take returns a kept connection that is still quiet, the latest used first,
// or opens one.
func (c *Client) acquire(ctx context.Context, address string, fresh time.Duration) (*clientConn, error) {
	now := time.Now()
	for {
		conn := c.popIdle(address)
		if conn == nil {
			break
		}
		if now.Before(conn.reusableUntil) && (fresh == 0 || now.Sub(conn.lastUsed) < fresh) && isOpenAndSilent(conn.Conn) {
			return conn, nil
		}
		_ = conn.Close()
	}
	conn, err := Dialer(c.DialTimeout).DialContext(ctx, "tcp", address)
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
	return &clientConn{Conn: conn, br: bufio.NewReaderSize(conn, readBufferSize)}, nil
}

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

func (c *Client) release(address string, conn *clientConn, keep time.Duration) {
	conn.lastUsed = time.Now()
	conn.reusableUntil = conn.lastUsed.Add(keep)
	c.mu.Lock()
	if c.idle == nil {
		c.idle = map[string][]*clientConn{}
	}
	list := append(c.idle[address], conn)
	var old *clientConn
	if len(list) > c.MaxIdleConns {
		old, list = list[0], list[1:]
	}
	c.idle[address] = list
	c.mu.Unlock()
	if old != nil {
		_ = old.Close()
	}
}

// exchange is one request and its answer on one connection.
type exchange struct {
	conn *clientConn
	req  *ClientRequest
	// sent and complete tell how much of the request was written; mu guards
	// them, since a large body is written beside the reading.
	mu              sync.Mutex
	sent, fullySent bool
	gotFirstByte    bool
	reusable        bool
	keepAliveTime   time.Duration
}

func (x *exchange) markSent(complete bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.sent = true
	x.fullySent = x.fullySent || complete
}

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
		_ = x.conn.SetReadDeadline(time.Now().Add(x.req.FirstByteTimeout))
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
	return x.sendBody(body)
}

// withBody writes the body beside reading, since the answer may come first.
func (x *exchange) sendBody(body []byte) (*Response, error) {
	written := make(chan error, 1)
	go func() {
		x.markSent(true)
		_, err := x.conn.Write(body)
		written <- err
	}()
	return x.readFinalResponse(written)
}

// answer reads the answer. One that comes before the body was written ends
// the connection, so that the rest of the body is never taken for a request.
func (x *exchange) readFinalResponse(written chan error) (*Response, error) {
	resp, err := x.readResponse(false)
	if err != nil || written == nil {
		return resp, err
	}
	select {
	case werr := <-written:
		x.reusable = x.reusable && werr == nil
	default:
		x.reusable = false
	}
	return resp, nil
}

// read reads the next answer that belongs to the request. With ask it returns
// nil when the server asks for the body.
func (x *exchange) readResponse(ask bool) (*Response, error) {
	req := &http.Request{Method: x.req.Method}
	for strays := 0; ; {
		resp, err := http.ReadResponse(x.conn.br, req)
		if err != nil {
			return nil, err
		}
		if !x.gotFirstByte {
			x.gotFirstByte = true
			if x.req.OnFirstByte != nil {
				x.req.OnFirstByte()
			}
			if x.req.FirstByteTimeout > 0 {
				_ = x.conn.SetReadDeadline(time.Time{})
			}
		}
		if resp.StatusCode < 200 {
			if ask && resp.StatusCode == http.StatusContinue {
				return nil, nil
			}
			continue
		}
		out, err := x.readResponseBody(resp)
		if err != nil {
			return nil, err
		}
		if x.answersOtherRequest(resp) {
			if strays++; strays > 2 {
				return nil, errors.New("answers to other requests")
			}
			continue
		}
		x.reusable = !resp.Close && strays == 0
		x.keepAliveTime = keepAliveTimeOf(resp.Header)
		return out, nil
	}
}

// stray tells that an answer names another request.
func (x *exchange) answersOtherRequest(resp *http.Response) bool {
	if x.req.IDHeader == "" {
		return false
	}
	id := resp.Header.Get(x.req.IDHeader)
	return id != "" && id != x.req.ID
}

// whole reads an answer's body. One without a length ends with the
// connection: in order it is whole, by a reset it is not.
func (x *exchange) readResponseBody(resp *http.Response) (*Response, error) {
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxResponseBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > MaxResponseBytes {
		return nil, fmt.Errorf("an answer of over %d bytes", MaxResponseBytes)
	}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// keepFor is how long a connection may be kept after an answer.
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
