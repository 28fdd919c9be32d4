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
	readerBytes      = 4 << 10
	// idleDefault is how long a connection is kept for reuse where the server
	// does not say; idlePart of what it says is used, so that a request does
	// not cross its close.
	idleDefault = 4 * time.Second
	idlePart    = 0.7
	// smallBody is the size up to which a body is written before the answer is
	// read: it fits the socket's buffer.
	smallBody = 16 << 10
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
	used, until time.Time
}

// Do makes one exchange. Errors are *Error. It never sends a request twice.
func (c *Client) Do(ctx context.Context, address string, call *ClientRequest) (*Response, error) {
	conn, err := c.take(ctx, address, call.MaxIdleTime)
	if err != nil {
		return nil, err
	}
	x := &exchange{conn: conn, call: call}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	resp, err := x.do()
	clean := stop()
	if err != nil {
		_ = conn.Close()
		return nil, x.failed(ctx, err)
	}
	if clean && x.reusable && conn.br.Buffered() == 0 {
		c.put(address, conn, x.keep)
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
func (c *Client) take(ctx context.Context, address string, fresh time.Duration) (*clientConn, error) {
	now := time.Now()
	for {
		conn := c.pop(address)
		if conn == nil {
			break
		}
		if now.Before(conn.until) && (fresh == 0 || now.Sub(conn.used) < fresh) && quiet(conn.Conn) {
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
	return &clientConn{Conn: conn, br: bufio.NewReaderSize(conn, readerBytes)}, nil
}

func (c *Client) pop(address string) *clientConn {
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

func (c *Client) put(address string, conn *clientConn, keep time.Duration) {
	conn.used = time.Now()
	conn.until = conn.used.Add(keep)
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
	call *ClientRequest
	// sent and complete tell how much of the request was written; mu guards
	// them, since a large body is written beside the reading.
	mu             sync.Mutex
	sent, complete bool
	signed         bool
	reusable       bool
	keep           time.Duration
}

func (x *exchange) note(complete bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.sent = true
	x.complete = x.complete || complete
}

func (x *exchange) failed(ctx context.Context, err error) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	e := &Error{Failure: ExchangeFailed, Sent: x.sent, FullySent: x.complete, Err: err}
	switch {
	case ctx.Err() != nil:
		e.Failure = ContextEnded
	case !x.signed && errors.Is(err, os.ErrDeadlineExceeded):
		e.Failure = FirstByteTimedOut
	}
	return e
}

func (x *exchange) do() (*Response, error) {
	var head bytes.Buffer
	x.encode(&head)
	body := x.call.Body
	if len(body) > 0 && len(body) <= smallBody && !x.call.ExpectContinue {
		head.Write(body)
		body = nil
	}
	x.note(len(body) == 0)
	if _, err := x.conn.Write(head.Bytes()); err != nil {
		return nil, err
	}
	if x.call.FirstByteTimeout > 0 {
		_ = x.conn.SetReadDeadline(time.Now().Add(x.call.FirstByteTimeout))
	}
	if len(body) == 0 {
		return x.answer(nil)
	}
	if !x.call.ExpectContinue {
		return x.withBody(body)
	}
	resp, err := x.read(true)
	if err != nil || resp != nil {
		return resp, err
	}
	return x.withBody(body)
}

// withBody writes the body beside reading, since the answer may come first.
func (x *exchange) withBody(body []byte) (*Response, error) {
	written := make(chan error, 1)
	go func() {
		x.note(true)
		_, err := x.conn.Write(body)
		written <- err
	}()
	return x.answer(written)
}

// answer reads the answer. One that comes before the body was written ends
// the connection, so that the rest of the body is never taken for a request.
func (x *exchange) answer(written chan error) (*Response, error) {
	resp, err := x.read(false)
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
func (x *exchange) read(ask bool) (*Response, error) {
	req := &http.Request{Method: x.call.Method}
	for strays := 0; ; {
		resp, err := http.ReadResponse(x.conn.br, req)
		if err != nil {
			return nil, err
		}
		if !x.signed {
			x.signed = true
			if x.call.OnFirstByte != nil {
				x.call.OnFirstByte()
			}
			if x.call.FirstByteTimeout > 0 {
				_ = x.conn.SetReadDeadline(time.Time{})
			}
		}
		if resp.StatusCode < 200 {
			if ask && resp.StatusCode == http.StatusContinue {
				return nil, nil
			}
			continue
		}
		out, err := x.whole(resp)
		if err != nil {
			return nil, err
		}
		if x.stray(resp) {
			if strays++; strays > 2 {
				return nil, errors.New("answers to other requests")
			}
			continue
		}
		x.reusable = !resp.Close && strays == 0
		x.keep = keepFor(resp.Header)
		return out, nil
	}
}

// stray tells that an answer names another request.
func (x *exchange) stray(resp *http.Response) bool {
	if x.call.IDHeader == "" {
		return false
	}
	id := resp.Header.Get(x.call.IDHeader)
	return id != "" && id != x.call.ID
}

// whole reads an answer's body. One without a length ends with the
// connection: in order it is whole, by a reset it is not.
func (x *exchange) whole(resp *http.Response) (*Response, error) {
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
func keepFor(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if n, err := strconv.Atoi(v); err == nil {
				return time.Duration(float64(n) * idlePart * float64(time.Second))
			}
		}
	}
	return idleDefault
}

func (x *exchange) encode(b *bytes.Buffer) {
	b.WriteString(x.call.Method)
	b.WriteByte(' ')
	b.WriteString(x.call.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(x.call.Host)
	b.WriteString("\r\n")
	appendHeader(b, x.call.Header)
	if len(x.call.Body) > 0 || x.call.Method != http.MethodGet && x.call.Method != http.MethodHead {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(x.call.Body)))
		b.WriteString("\r\n")
	}
	if x.call.ExpectContinue {
		b.WriteString("Expect: 100-continue\r\n")
	}
	b.WriteString("\r\n")
}
