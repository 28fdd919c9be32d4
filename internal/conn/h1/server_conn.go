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
type meter struct {
	r      io.Reader
	bound  bool
	remain int
}

var errHeaderTooLarge = errors.New("the header is over its limit")

// Read implements io.Reader.
func (m *meter) Read(p []byte) (int, error) {
	if !m.bound {
		return m.r.Read(p)
	}
	if m.remain <= 0 {
		return 0, errHeaderTooLarge
	}
	n, err := m.r.Read(p[:min(len(p), m.remain)])
	m.remain -= n
	return n, err
}

// serverConn is one connection. Its requests run side by side; the answers
// are written in the order of the requests.
type serverConn struct {
	s      *Server
	conn   net.Conn
	meter  *meter
	br     *bufio.Reader
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// queue holds the requests without a written answer, the oldest first.
	queue []*pending
	// ended is set when no further answer is written.
	ended bool
	// room is signalled when the queue shrinks.
	room chan struct{}
}

// pending is a request that was read.
type pending struct {
	head bool
	resp *Response
	done bool
	// last makes its answer the last of the connection.
	last bool
}

// read reads requests until the connection ends.
func (c *serverConn) read() {
	defer c.s.forget(c)
	defer c.cancel()
	for {
		limits := c.s.Limits()
		if !c.awaitRequest(limits) || !c.next(limits) {
			break
		}
	}
	c.finish()
}

// awaitRequest waits for the first byte of a request, as long as the
// connection may stay idle.
func (c *serverConn) awaitRequest(limits Limits) bool {
	for {
		_ = c.conn.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
		_, err := c.br.Peek(1)
		if err == nil {
			return true
		}
		if errors.Is(err, os.ErrDeadlineExceeded) && c.waiting() > 0 {
			continue
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			c.cancel()
		}
		return false
	}
}

func (c *serverConn) waiting() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue)
}

// next reads one request and starts its work; false ends the reading.
func (c *serverConn) next(limits Limits) bool {
	_ = c.conn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	c.meter.bound, c.meter.remain = true, limits.HeaderBytes+headerSlop
	r, err := http.ReadRequest(c.br)
	c.meter.bound = false
	if err != nil {
		return c.badHeader(err)
	}
	req := &Request{Method: r.Method, Target: target(r), Host: r.Host, Header: r.Header, ReceivedAt: time.Now()}
	asks := strings.EqualFold(r.Header.Get("Expect"), "100-continue")
	_ = c.conn.SetReadDeadline(time.Time{})
	switch {
	case r.ContentLength > limits.BodyBytes:
		return c.refuse(http.StatusRequestEntityTooLarge, "the body is over its limit")
	case c.s.DeferContinue && asks:
		c.interim(http.StatusProcessing)
	}
	switch {
	case r.Body == http.NoBody || r.ContentLength == 0:
		return c.start(req, r.Close, nil, nil)
	case c.s.DeferContinue && asks:
		return c.lazily(req, r, limits)
	case asks:
		c.interim(http.StatusContinue)
	}
	body, release, status := c.body(r, limits)
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
func target(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// badHeader answers a header that cannot be taken. A caller that said nothing
// or has left gets no answer.
func (c *serverConn) badHeader(err error) bool {
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
	p := c.enqueue(&pending{last: true})
	if p == nil {
		return false
	}
	resp := c.s.RefusalResponse(status, why)
	resp.Close = true
	c.answer(p, resp)
	return false
}

// body reads a body whole. A status refuses it; without a release the caller
// has left.
func (c *serverConn) body(r *http.Request, limits Limits) (body []byte, release func(), status int) {
	size := r.ContentLength
	if size < 0 {
		size = 0
	}
	if c.s.BufferedBytes.Add(size) > c.s.MaxBufferedBytes {
		c.s.BufferedBytes.Add(-size)
		return nil, nil, http.StatusServiceUnavailable
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
	defer func() { _ = c.conn.SetReadDeadline(time.Time{}) }()
	var err error
	if r.ContentLength >= 0 {
		body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(r.Body, body)
	} else {
		body, err = io.ReadAll(io.LimitReader(r.Body, min(limits.BodyBytes, c.s.MaxBufferedBytes)+1))
		size = int64(len(body))
		c.s.BufferedBytes.Add(size)
		if err == nil && size > limits.BodyBytes {
			status = http.StatusRequestEntityTooLarge
		}
	}
	if err != nil || status != 0 {
		c.s.BufferedBytes.Add(-size)
		return nil, nil, status
	}
	return body, func() { c.s.BufferedBytes.Add(-size) }, 0
}

// lazily starts a request whose sender waits to be asked for the body. Until
// then, and while the request runs, the connection is watched for its end.
func (c *serverConn) lazily(req *Request, r *http.Request, limits Limits) bool {
	type read struct {
		body []byte
		err  error
	}
	wanted, finished := make(chan struct{}), make(chan struct{})
	got := make(chan read, 1)
	req.size = r.ContentLength
	req.read = func() ([]byte, error) {
		c.interim(http.StatusContinue)
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
	body, release, status := c.body(r, limits)
	if release == nil {
		got <- read{err: errors.New("the body did not come")}
		if status == 0 {
			c.cancel()
		}
		return false
	}
	defer release()
	got <- read{body: body}
	return c.watch(finished)
}

// watch notices the caller's leaving while its only request runs; false when
// it left.
func (c *serverConn) watch(finished chan struct{}) bool {
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
	p := c.enqueue(&pending{head: req.Method == http.MethodHead, last: last || c.s.closing.Load()})
	if p == nil {
		if release != nil {
			release()
		}
		return false
	}
	c.s.active.Add(1)
	c.s.last.Store(time.Now().UnixNano())
	go func() {
		resp := c.s.Handler(c.ctx, req)
		if release != nil {
			release()
		}
		c.answer(p, resp)
		c.s.active.Add(-1)
		if finished != nil {
			close(finished)
		}
	}()
	return !p.last
}

// enqueue adds a request, waiting for room; nil when the connection has ended.
func (c *serverConn) enqueue(p *pending) *pending {
	for {
		c.mu.Lock()
		if c.ended || len(c.queue) > 0 && c.queue[len(c.queue)-1].last {
			c.mu.Unlock()
			return nil
		}
		if len(c.queue) < maxAhead {
			c.queue = append(c.queue, p)
			c.mu.Unlock()
			return p
		}
		room := make(chan struct{})
		c.room = room
		c.mu.Unlock()
		<-room
	}
}

// interim writes an interim answer: 102 shows that the request has arrived,
// 100 asks for its body. Among pipelined requests it could stand before the
// answer to an earlier one, so it is left out there.
func (c *serverConn) interim(status int) {
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
func (c *serverConn) answer(p *pending, resp *Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p.resp, p.done = resp, true
	if c.room != nil {
		close(c.room)
		c.room = nil
	}
	var out bytes.Buffer
	end := false
	for len(c.queue) > 0 && c.queue[0].done && !end {
		q := c.queue[0]
		c.queue = c.queue[1:]
		if c.ended {
			continue
		}
		if q.resp == nil {
			end = true
			break
		}
		// A closing server ends the connection with the last request that it
		// has passed on, so that none of them is left without an answer.
		closing := c.s.closing.Load() && len(c.queue) == 0
		q.resp.Close = q.resp.Close || q.last || closing
		if len(c.queue) > 0 {
			q.resp.Close = false
		}
		end = q.resp.Close
		q.resp.encode(&out, q.head)
	}
	if out.Len() > 0 {
		_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := c.conn.Write(out.Bytes()); err != nil {
			end = true
			c.cancel()
		}
	}
	if end && !c.ended {
		c.ended = true
		go c.linger()
	}
}

// endIfIdle ends a connection on which nothing is in progress.
func (c *serverConn) endIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) == 0 && !c.ended {
		c.ended = true
		go c.linger()
	}
}

// linger ends the writing side and reads what still comes, so that the
// caller gets the last answer instead of a reset.
func (c *serverConn) linger() {
	if t, ok := c.conn.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(lingerFor))
	time.AfterFunc(lingerFor, func() { _ = c.conn.Close() })
}

// finish is called by the reader when no further request is taken. It reads
// away what still comes until all answers are written, or the caller has left.
func (c *serverConn) finish() {
	c.mu.Lock()
	idle := len(c.queue) == 0 && !c.ended
	c.ended = c.ended || idle
	c.mu.Unlock()
	if idle || c.ctx.Err() != nil {
		_ = c.conn.Close()
		c.end()
		return
	}
	for {
		_, err := io.Copy(io.Discard, c.br)
		if errors.Is(err, os.ErrDeadlineExceeded) && c.waiting() > 0 {
			_ = c.conn.SetReadDeadline(time.Now().Add(c.s.Limits().IdleTimeout))
			continue
		}
		c.end()
		return
	}
}

// end marks the connection as ended: answers that are not written yet are
// for a caller that has left.
func (c *serverConn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ended {
		c.ended = true
		_ = c.conn.Close()
	}
	if c.room != nil {
		close(c.room)
		c.room = nil
	}
}
