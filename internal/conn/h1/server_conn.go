package h1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// meter bounds what is read of a connection while a header is read.
type headerLimiter struct {
	r         io.Reader
	limiting  bool
	remaining int
}

var errHeaderTooLarge = errors.New("the header is over its limit")

// Read implements io.Reader.
func (m *headerLimiter) Read(p []byte) (int, error) {
	if !m.limiting {
		return m.r.Read(p)
	}
	if m.remaining <= 0 {
		return 0, errHeaderTooLarge
	}
	n, err := m.r.Read(p[:min(len(p), m.remaining)])
	m.remaining -= n
	return n, err
}

// serverConn is one connection. Its requests run side by side; the answers
// are written in the order of the requests.
type serverConn struct {
	server  *Server
	conn    net.Conn
	limiter *headerLimiter
	br      *bufio.Reader
	ctx     context.Context
	cancel  context.CancelFunc

	mu sync.Mutex
	// queue holds the requests without a written answer, the oldest first.
	queue []*pendingRequest
	// ended is set when no further answer is written.
	writeEnded bool
	// room is signalled when the queue shrinks.
	queueShrunk chan struct{}
}

// pending is a request that was read.
type pendingRequest struct {
	isHead bool
	resp   *Response
	done   bool
	// last makes its answer the last of the connection.
	closeAfter bool
}

// read reads requests until the connection ends.
func (c *serverConn) readRequests() {
	defer c.server.removeConn(c)
	defer c.cancel()
	for {
		limits := c.server.Limits()
		if !c.waitForRequest(limits) || !c.readRequest(limits) {
			break
		}
	}
	c.drain()
}

// awaitRequest waits for the first byte of a request, as long as the
// connection may stay idle.
func (c *serverConn) waitForRequest(limits Limits) bool {
	for {
		_ = c.conn.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
		_, err := c.br.Peek(1)
		if err == nil {
			return true
		}
		if errors.Is(err, os.ErrDeadlineExceeded) && c.queueLen() > 0 {
			continue
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			c.cancel()
		}
		return false
	}
}

func (c *serverConn) queueLen() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue)
}

// next reads one request and starts its work; false ends the reading.
func (c *serverConn) readRequest(limits Limits) bool {
	_ = c.conn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	c.limiter.limiting, c.limiter.remaining = true, limits.HeaderBytes+headerReadAhead
	r, err := http.ReadRequest(c.br)
	c.limiter.limiting = false
	if err != nil {
		return c.handleReadError(err)
	}
	req := &Request{Method: r.Method, Target: originTarget(r), Host: r.Host, Header: r.Header, ReceivedAt: time.Now()}
	asks := strings.EqualFold(r.Header.Get("Expect"), "100-continue")
	_ = c.conn.SetReadDeadline(time.Time{})
	switch {
	case r.ContentLength > limits.BodyBytes:
		return c.refuse(http.StatusRequestEntityTooLarge, "the body is over its limit")
	case c.server.DeferContinue && asks:
		c.writeInterim(http.StatusProcessing)
	}
	switch {
	case r.Body == http.NoBody || r.ContentLength == 0:
		return c.start(req, r.Close, nil, nil)
	case c.server.DeferContinue && asks:
		return c.startDeferred(req, r, limits)
	case asks:
		c.writeInterim(http.StatusContinue)
	}
	body, release, status := c.readBody(r, limits)
	if status != 0 {
		return c.refuse(status, "the body cannot be taken")
	}
	if release == nil {
		c.cancel()
		return false
	}
	req.Body = body
	return c.start(req, r.Close, release, nil)
}

// target returns the request target in origin form.
func originTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// badHeader answers a header that cannot be taken. A caller that said nothing
// or has left gets no answer.
func (c *serverConn) handleReadError(err error) bool {
	switch {
	case errors.Is(err, errHeaderTooLarge):
		return c.refuse(http.StatusRequestHeaderFieldsTooLarge, err.Error())
	case errors.Is(err, os.ErrDeadlineExceeded):
		return c.refuse(http.StatusRequestTimeout, "the header did not come in time")
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		c.cancel()
		return false
	}
	var op *net.OpError
	if errors.As(err, &op) {
		c.cancel()
		return false
	}
	return c.refuse(http.StatusBadRequest, err.Error())
}

// refuse answers without a handler and ends the connection.
func (c *serverConn) refuse(status int, why string) bool {
	p := c.enqueue(&pendingRequest{closeAfter: true})
	if p == nil {
		return false
	}
	resp := c.server.RefusalResponse(status, why)
	resp.Close = true
	c.respond(p, resp)
	return false
}

// body reads a body whole. A status refuses it; without a release the caller
// has left.
func (c *serverConn) readBody(r *http.Request, limits Limits) (body []byte, release func(), status int) {
	size := r.ContentLength
	if size < 0 {
		size = 0
	}
	if c.server.BufferedBytes.Add(size) > c.server.MaxBufferedBytes {
		c.server.BufferedBytes.Add(-size)
		return nil, nil, http.StatusServiceUnavailable
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
	defer func() { _ = c.conn.SetReadDeadline(time.Time{}) }()
	var err error
	if r.ContentLength >= 0 {
		body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(r.Body, body)
	} else {
		body, err = io.ReadAll(io.LimitReader(r.Body, min(limits.BodyBytes, c.server.MaxBufferedBytes)+1))
		size = int64(len(body))
		c.server.BufferedBytes.Add(size)
		if err == nil && size > limits.BodyBytes {
			status = http.StatusRequestEntityTooLarge
		}
	}
	if err != nil || status != 0 {
		c.server.BufferedBytes.Add(-size)
		return nil, nil, status
	}
	return body, func() { c.server.BufferedBytes.Add(-size) }, 0
}

// lazily starts a request whose sender waits to be asked for the body. Until
// then, and while the request runs, the connection is watched for its end.
func (c *serverConn) startDeferred(req *Request, r *http.Request, limits Limits) bool {
	type read struct {
		body []byte
		err  error
	}
	wanted, finished := make(chan struct{}), make(chan struct{})
	got := make(chan read, 1)
	req.deferredBodySize = r.ContentLength
	req.readDeferredBody = func() ([]byte, error) {
		c.writeInterim(http.StatusContinue)
		close(wanted)
		out := <-got
		return out.body, out.err
	}
	if !c.start(req, r.Close, nil, finished) {
		return false
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
	if _, err := c.br.Peek(1); err != nil {
		c.cancel()
		got <- read{err: err}
		return false
	}
	select {
	case <-finished:
		return true
	case <-wanted:
	}
	body, release, status := c.readBody(r, limits)
	if release == nil {
		got <- read{err: errors.New("the body did not come")}
		if status == 0 {
			c.cancel()
		}
		return false
	}
	defer release()
	got <- read{body: body}
	return c.watchDisconnect(finished)
}

// watch notices the caller's leaving while its only request runs; false when
// it left.
func (c *serverConn) watchDisconnect(finished chan struct{}) bool {
	woken := make(chan struct{})
	go func() {
		defer close(woken)
		<-finished
		_ = c.conn.SetReadDeadline(time.Now())
	}()
	_, err := c.br.Peek(1)
	left := err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
	if left {
		c.cancel()
	}
	<-woken
	return !left
}

// start runs a request's handler; false ends the reading.
func (c *serverConn) start(req *Request, last bool, release func(), finished chan struct{}) bool {
	p := c.enqueue(&pendingRequest{isHead: req.Method == http.MethodHead, closeAfter: last || c.server.closing.Load()})
	if p == nil {
		if release != nil {
			release()
		}
		return false
	}
	c.server.active.Add(1)
	c.server.lastRequestNanos.Store(time.Now().UnixNano())
	go func() {
		resp := c.server.Handler(c.ctx, req)
		if release != nil {
			release()
		}
		c.respond(p, resp)
		c.server.active.Add(-1)
		if finished != nil {
			close(finished)
		}
	}()
	return !p.closeAfter
}

// enqueue adds a request, waiting for room; nil when the connection has ended.
func (c *serverConn) enqueue(p *pendingRequest) *pendingRequest {
	for {
		c.mu.Lock()
		if c.writeEnded || len(c.queue) > 0 && c.queue[len(c.queue)-1].closeAfter {
			c.mu.Unlock()
			return nil
		}
		if len(c.queue) < maxPipelined {
			c.queue = append(c.queue, p)
			c.mu.Unlock()
			return p
		}
		room := make(chan struct{})
		c.queueShrunk = room
		c.mu.Unlock()
		<-room
	}
}

// interim writes an interim answer: 102 shows that the request has arrived,
// 100 asks for its body. Among pipelined requests it could stand before the
// answer to an earlier one, so it is left out there.
func (c *serverConn) writeInterim(status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) > 1 {
		return
	}
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	// A failed write shows as the end of the connection to its reader.
	_, _ = io.WriteString(c.conn, "HTTP/1.1 "+strconv.Itoa(status)+" "+http.StatusText(status)+"\r\n\r\n")
}

// answer notes a request's answer and writes all answers that are due.
func (c *serverConn) respond(p *pendingRequest, resp *Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p.resp, p.done = resp, true
	if c.queueShrunk != nil {
		close(c.queueShrunk)
		c.queueShrunk = nil
	}
	var out bytes.Buffer
	end := false
	for len(c.queue) > 0 && c.queue[0].done && !end {
		q := c.queue[0]
		c.queue = c.queue[1:]
		if c.writeEnded {
			continue
		}
		if q.resp == nil {
			end = true
			break
		}
		// A closing server ends the connection with the last request that it
		// has passed on, so that none of them is left without an answer.
		closing := c.server.closing.Load() && len(c.queue) == 0
		q.resp.Close = q.resp.Close || q.closeAfter || closing
		if len(c.queue) > 0 {
			q.resp.Close = false
		}
		end = q.resp.Close
		q.resp.encode(&out, q.isHead)
	}
	if out.Len() > 0 {
		_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := c.conn.Write(out.Bytes()); err != nil {
			end = true
			c.cancel()
		}
	}
	if end && !c.writeEnded {
		c.writeEnded = true
		go c.lingeringClose()
	}
}

// endIfIdle ends a connection on which nothing is in progress.
func (c *serverConn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) == 0 && !c.writeEnded {
		c.writeEnded = true
		go c.lingeringClose()
	}
}

// linger ends the writing side and reads what still comes, so that the
// caller gets the last answer instead of a reset.
func (c *serverConn) lingeringClose() {
	if t, ok := c.conn.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	time.AfterFunc(lingerTimeout, func() { _ = c.conn.Close() })
}

// finish is called by the reader when no further request is taken. It reads
// away what still comes until all answers are written, or the caller has left.
func (c *serverConn) drain() {
	c.mu.Lock()
	idle := len(c.queue) == 0 && !c.writeEnded
	c.writeEnded = c.writeEnded || idle
	c.mu.Unlock()
	if idle || c.ctx.Err() != nil {
		_ = c.conn.Close()
		c.markEnded()
		return
	}
	for {
		_, err := io.Copy(io.Discard, c.br)
		if errors.Is(err, os.ErrDeadlineExceeded) && c.queueLen() > 0 {
			_ = c.conn.SetReadDeadline(time.Now().Add(c.server.Limits().IdleTimeout))
			continue
		}
		c.markEnded()
		return
	}
}

// end marks the connection as ended: answers that are not written yet are
// for a caller that has left.
func (c *serverConn) markEnded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.writeEnded {
		c.writeEnded = true
		_ = c.conn.Close()
	}
	if c.queueShrunk != nil {
		close(c.queueShrunk)
		c.queueShrunk = nil
	}
}
