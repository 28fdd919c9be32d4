package h1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// headerLimiter limits the bytes that are read from a connection while a header is
// read.
type headerLimiter struct {
	r         io.Reader
	limiting  bool
	remaining int
}

var errHeaderTooLarge = errors.New("the header exceeds the size limit")

// Read implements io.Reader.
func (l *headerLimiter) Read(p []byte) (int, error) {
	if !l.limiting {
		return l.r.Read(p)
	}
	if l.remaining <= 0 {
		return 0, errHeaderTooLarge
	}
	n, err := l.r.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	return n, err
}

var errTooManyBytes = errors.New("the bodies in memory exceed their limit")

// countingReader counts the bytes that it reads in a total with a limit.
type countingReader struct {
	r     io.Reader
	total *atomic.Int64
	// limit bounds the total; 0 sets no bound.
	limit int64
	read  int64
}

// Read implements io.Reader.
func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.read += int64(n)
	if total := c.total.Add(int64(n)); c.limit > 0 && total > c.limit {
		return n, errTooManyBytes
	}
	return n, err
}

// release subtracts what was read from the total.
func (c *countingReader) release() { c.total.Add(-c.read) }

// serverConn is one connection. Its requests run concurrently; their responses
// are written in the order of the requests.
type serverConn struct {
	server *Server
	conn   net.Conn
	// remoteIP is the address of the other end.
	remoteIP netip.Addr
	limiter  *headerLimiter
	br       *bufio.Reader
	ctx      context.Context
	cancel   context.CancelFunc

	mu sync.Mutex
	// queue holds the requests whose response is not written yet, oldest first.
	queue []*pendingRequest
	// writeEnded is set when no further response will be written.
	writeEnded bool
	// queueShrunk is closed when the queue may have shrunk or the connection ends;
	// nil if nothing waits for it.
	queueShrunk chan struct{}
}

// pendingRequest is a request that was read and whose response is not written.
type pendingRequest struct {
	isHead bool
	resp   *Response
	done   bool
	// closeAfter ends the connection after the response.
	closeAfter bool
}

// readRequests reads and starts requests until the connection ends.
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

// waitForRequest waits for the first byte of a request, at most for the idle
// timeout while no request is in progress. It returns false if none came.
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

// readRequest reads one request and starts its handler. It returns false if no
// further request is to be read.
func (c *serverConn) readRequest(limits Limits) bool {
	_ = c.conn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	c.limiter.limiting, c.limiter.remaining = true, limits.HeaderBytes+headerReadAhead
	r, err := http.ReadRequest(c.br)
	c.limiter.limiting = false
	if err != nil {
		return c.handleReadError(err)
	}
	req := &Request{Method: r.Method, Target: originTarget(r), Host: r.Host, Header: r.Header, ReceivedAt: time.Now(), RemoteIP: c.remoteIP}
	expectsContinue := strings.EqualFold(r.Header.Get("Expect"), "100-continue")
	_ = c.conn.SetReadDeadline(time.Time{})
	switch {
	case r.ContentLength > limits.BodyBytes:
		return c.refuse(http.StatusRequestEntityTooLarge, "the request body exceeds the size limit")
	case c.server.DeferContinue && expectsContinue:
		c.writeInterim(http.StatusProcessing, 0)
	}
	switch {
	case r.Body == http.NoBody || r.ContentLength == 0:
		return c.start(req, r.Close, nil, nil)
	case c.server.DeferContinue && expectsContinue:
		return c.startDeferred(req, r, limits)
	case expectsContinue:
		c.writeInterim(http.StatusContinue, 0)
	}
	body, release, status := c.readBody(r, limits)
	if status != 0 {
		return c.refuse(status, "the request body exceeds the size limit or the memory for bodies")
	}
	if release == nil {
		c.cancel()
		return false
	}
	req.Body = body
	return c.start(req, r.Close, release, nil)
}

// originTarget returns the request target in origin form, that is path and query.
func originTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// handleReadError responds to a request header that could not be read. A caller
// that sent nothing or disconnected gets no response.
func (c *serverConn) handleReadError(err error) bool {
	switch {
	case errors.Is(err, errHeaderTooLarge):
		return c.refuse(http.StatusRequestHeaderFieldsTooLarge, err.Error())
	case errors.Is(err, os.ErrDeadlineExceeded):
		return c.refuse(http.StatusRequestTimeout, "the request header was not received within the timeout")
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

// refuse responds without calling the handler and ends the connection.
func (c *serverConn) refuse(status int, reason string) bool {
	p := c.enqueue(&pendingRequest{closeAfter: true})
	if p == nil {
		return false
	}
	resp := c.server.RefusalResponse(status, reason)
	resp.Close = true
	c.respond(p, resp)
	return false
}

// readBody reads the complete body. A status other than 0 means that the body
// must be refused; a nil release without a status, that reading it failed, for
// example because the caller disconnected. release subtracts the body from the
// server's BufferedBytes.
func (c *serverConn) readBody(r *http.Request, limits Limits) (body []byte, release func(), status int) {
	_ = c.conn.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
	defer func() { _ = c.conn.SetReadDeadline(time.Time{}) }()
	if r.ContentLength < 0 {
		return c.readChunkedBody(r.Body, limits)
	}
	size := r.ContentLength
	release = func() { c.server.BufferedBytes.Add(-size) }
	if c.server.BufferedBytes.Add(size) > c.server.MaxBufferedBytes {
		release()
		return nil, nil, http.StatusServiceUnavailable
	}
	body = make([]byte, size)
	if _, err := io.ReadFull(r.Body, body); err != nil {
		release()
		return nil, nil, 0
	}
	return body, release, 0
}

// readChunkedBody is readBody for a body whose size is known only at its end. Its
// bytes count as they arrive.
func (c *serverConn) readChunkedBody(r io.Reader, limits Limits) (body []byte, release func(), status int) {
	in := &countingReader{r: r, total: &c.server.BufferedBytes, limit: c.server.MaxBufferedBytes}
	body, err := io.ReadAll(io.LimitReader(in, limits.BodyBytes+1))
	switch {
	case errors.Is(err, errTooManyBytes):
		status = http.StatusServiceUnavailable
	case err == nil && int64(len(body)) > limits.BodyBytes:
		status = http.StatusRequestEntityTooLarge
	}
	if err != nil || status != 0 {
		in.release()
		return nil, nil, status
	}
	return body, in.release, 0
}

// startDeferred starts a request whose sender waits for 100 Continue before it
// sends the body; the handler triggers that with ReadBody. Before the body is
// requested and while the request runs, it detects that the sender disconnects.
func (c *serverConn) startDeferred(req *Request, r *http.Request, limits Limits) bool {
	type bodyResult struct {
		body []byte
		err  error
	}
	requested, finished := make(chan struct{}), make(chan struct{})
	result := make(chan bodyResult, 1)
	req.deferredBodySize = r.ContentLength
	req.readDeferredBody = func() ([]byte, error) {
		// The request itself is in the queue by now.
		c.writeInterim(http.StatusContinue, 1)
		close(requested)
		out := <-result
		return out.body, out.err
	}
	if !c.start(req, r.Close, nil, finished) {
		return false
	}
	if err := c.awaitDeferredBody(limits, requested, finished); err != nil {
		c.cancel()
		result <- bodyResult{err: err}
		return false
	}
	select {
	case <-finished:
		return true
	case <-requested:
	}
	body, release, status := c.readBody(r, limits)
	if release == nil {
		result <- bodyResult{err: errors.New("the request body was not received")}
		if status == 0 {
			c.cancel()
		}
		return false
	}
	defer release()
	result <- bodyResult{body: body}
	return c.watchDisconnect(finished)
}

// awaitDeferredBody waits for the first byte of a deferred body or of the next
// request, at most for the idle timeout after the handler has finished or has asked
// for the body. The handler itself has a deadline.
func (c *serverConn) awaitDeferredBody(limits Limits, requested, finished <-chan struct{}) error {
	for ended := false; ; {
		_ = c.conn.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
		_, err := c.br.Peek(1)
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) || ended {
			return err
		}
		select {
		case <-requested:
			ended = true
		case <-finished:
			ended = true
		default:
		}
	}
}

// watchDisconnect waits until the only request is finished, and cancels it if
// the caller disconnects. It returns false if the caller did.
func (c *serverConn) watchDisconnect(finished chan struct{}) bool {
	interrupted := make(chan struct{})
	go func() {
		defer close(interrupted)
		<-finished
		_ = c.conn.SetReadDeadline(time.Now())
	}()
	_, err := c.br.Peek(1)
	disconnected := err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
	if disconnected {
		c.cancel()
	}
	<-interrupted
	return !disconnected
}

// start runs the handler of a request in its own goroutine. release, if set, is
// called when the handler returns, and finished, if set, is closed after the
// response. start returns false if no further request is to be read.
func (c *serverConn) start(req *Request, closeAfter bool, release func(), finished chan struct{}) bool {
	endsConn := closeAfter || c.server.closing.Load()
	p := c.enqueue(&pendingRequest{isHead: req.Method == http.MethodHead, closeAfter: endsConn})
	if p == nil {
		if release != nil {
			release()
		}
		return false
	}
	c.server.active.Add(1)
	c.server.lastRequestNanos.Store(time.Now().UnixNano())
	go func() {
		resp := c.server.handle(c.ctx, req)
		if release != nil {
			release()
		}
		c.respond(p, resp)
		c.server.active.Add(-1)
		if finished != nil {
			close(finished)
		}
	}()
	return !endsConn
}

// enqueue adds a request to the queue and waits while the queue is full. It
// returns nil if the connection has ended or ends after a request in the queue.
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
		shrunk := make(chan struct{})
		c.queueShrunk = shrunk
		c.mu.Unlock()
		<-shrunk
	}
}

// writeInterim writes an interim response: 102 confirms that the request was
// received, 100 asks for its body. queued is the number of requests in the queue
// up to this one. If more are, earlier ones are pending, and it is omitted, since
// it could precede the response to one of them.
func (c *serverConn) writeInterim(status, queued int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) > queued {
		return
	}
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	// The reader notices a failed write as the end of the connection.
	_, _ = io.WriteString(c.conn, "HTTP/1.1 "+strconv.Itoa(status)+" "+http.StatusText(status)+"\r\n\r\n")
}

// respond stores a request's response and writes all responses that are next in
// order.
func (c *serverConn) respond(p *pendingRequest, resp *Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p.resp, p.done = resp, true
	if c.queueShrunk != nil {
		close(c.queueShrunk)
		c.queueShrunk = nil
	}
	var out bytes.Buffer
	var pace *Pace
	var written []func()
	defer func() {
		for _, f := range written {
			f()
		}
	}()
	closeConn := false
	for len(c.queue) > 0 && c.queue[0].done && !closeConn {
		q := c.queue[0]
		c.queue = c.queue[1:]
		if q.resp != nil && q.resp.Written != nil {
			written = append(written, q.resp.Written)
		}
		if c.writeEnded {
			continue
		}
		if q.resp == nil {
			closeConn = true
			break
		}
		if q.resp.Pace != nil {
			pace = q.resp.Pace
		}
		// A closing server ends the connection after the last request that it
		// has started, so that each of them gets its response.
		closing := c.server.closing.Load() && len(c.queue) == 0
		q.resp.Close = q.resp.Close || q.closeAfter || closing
		if len(c.queue) > 0 {
			q.resp.Close = false
		}
		closeConn = q.resp.Close
		q.resp.encode(&out, q.isHead)
	}
	if out.Len() > 0 {
		_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout + pace.timeFor(out.Len())))
		if err := pace.write(c.conn, out.Bytes()); err != nil {
			closeConn = true
			c.cancel()
		}
	}
	if closeConn && !c.writeEnded {
		c.writeEnded = true
		go c.lingeringClose()
	}
}

// startNoMore closes the connection if no request is in progress, or else after the
// response to the last request that was started.
func (c *serverConn) startNoMore() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case len(c.queue) > 0:
		c.queue[len(c.queue)-1].closeAfter = true
	case !c.writeEnded:
		c.writeEnded = true
		go c.lingeringClose()
	}
}

// lingeringClose closes the writing side at once and the connection after
// lingerTimeout, while the reader discards what still arrives, so that the
// caller receives the last response instead of a reset.
func (c *serverConn) lingeringClose() {
	if t, ok := c.conn.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	time.AfterFunc(lingerTimeout, func() { _ = c.conn.Close() })
}

// drain is called by the reader when it takes no further request. It discards
// what still arrives until all responses are written or the caller disconnects.
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

// markEnded closes the connection, unless its end was already started, and wakes
// a waiting enqueue. Responses that are not written yet are dropped, since the
// caller has disconnected.
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
