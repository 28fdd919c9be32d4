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

	"github.com/daisytide/daisytide/internal/conn/header"
)

// headerLimiter limits the bytes that are read from a connection while a header is
// read.
type headerLimiter struct {
	r         io.Reader
	limiting  bool
	remaining int
	// holder, if set, is charged for a header that does not fit one read: its bytes
	// and headerLineBytes for each line. charged is the sum, and reads the number of
	// reads of this header.
	holder  *holder
	reads   int
	charged int64
}

// headerLineBytes is what a short header line takes in memory besides its bytes: a
// string and its places in a slice and in a map.
const headerLineBytes = 48

// start begins a header of at most n bytes.
func (l *headerLimiter) start(n int) { l.limiting, l.remaining, l.reads = true, n, 0 }

// takeCharge returns what the header was charged and forgets it.
func (l *headerLimiter) takeCharge() int64 {
	n := l.charged
	l.charged = 0
	return n
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
	if l.reads++; l.holder != nil && l.reads > 1 && n > 0 {
		charge := int64(n + headerLineBytes*bytes.Count(p[:n], newline))
		l.charged += charge
		l.holder.add(charge)
		l.holder.budget.add(charge)
	}
	return n, err
}

var newline = []byte{'\n'}

var errTooManyBytes = errors.New("the bodies in memory exceed their limit")

// countingReader counts the bytes that it reads in a total with a limit.
type countingReader struct {
	r     io.Reader
	total *atomic.Int64
	// limit bounds the total; 0 sets no bound.
	limit int64
	read  int64
	// holder is charged too.
	holder *holder
}

// Read implements io.Reader.
func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.read += int64(n)
	c.holder.add(int64(n))
	c.holder.progressed()
	if !c.holder.budget.add(int64(n)) {
		return n, errTooManyBytes
	}
	if total := c.total.Add(int64(n)); c.limit > 0 && total > c.limit {
		return n, errTooManyBytes
	}
	return n, err
}

// release subtracts what was read from the total.
func (c *countingReader) release() {
	c.total.Add(-c.read)
	c.holder.budget.add(-c.read)
}

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
	holder   *holder
	slot     *connSlot

	mu sync.Mutex
	// writing is the number of responses that a goroutine has taken from the queue and
	// writes; it takes further ones that are next in order. writerIdle is signalled when
	// it ends.
	writing    int
	writerIdle sync.Cond
	// heldBytes is the size of the responses that are not written.
	heldBytes int64
	// noMore is set when no further request is to be started.
	noMore bool
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
		c.waitForRoom()
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

// waitForRoom waits until the connection holds few enough responses to have another
// request, and the process has room for one, or the connection has ended.
func (c *serverConn) waitForRoom() {
	for c.server.Budget.excess() > 0 && c.ctx.Err() == nil && c.queueLen() >= minPipelined {
		time.Sleep(totalInterval)
	}
	for {
		c.mu.Lock()
		if c.server.MaxHeldBytes <= 0 || c.heldBytes <= c.server.MaxHeldBytes || c.writeEnded {
			c.mu.Unlock()
			return
		}
		shrunk := c.awaitShrunk()
		c.mu.Unlock()
		<-shrunk
	}
}

// awaitShrunk returns a channel that is closed when the queue may have shrunk or the
// connection ends. mu is held.
func (c *serverConn) awaitShrunk() <-chan struct{} {
	if c.queueShrunk == nil {
		c.queueShrunk = make(chan struct{})
	}
	return c.queueShrunk
}

// notifyShrunk wakes those that wait for awaitShrunk. mu is held.
func (c *serverConn) notifyShrunk() {
	if c.queueShrunk != nil {
		close(c.queueShrunk)
		c.queueShrunk = nil
	}
}

// queueLen returns the number of requests whose response is not written.
func (c *serverConn) queueLen() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue) + c.writing
}

// readRequest reads one request and starts its handler. It returns false if no
// further request is to be read.
func (c *serverConn) readRequest(limits Limits) bool {
	_ = c.conn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	c.limiter.start(limits.HeaderBytes + headerReadAhead)
	r, err := http.ReadRequest(c.br)
	c.limiter.limiting = false
	headerBytes := c.limiter.takeCharge()
	if err != nil {
		c.releaseHeader(headerBytes)
		return c.handleReadError(err)
	}
	if headerBytes > 0 {
		// The header counts until its request is started; from then on the request has
		// its deadline.
		defer c.releaseHeader(headerBytes)
	}
	if err := header.CheckNames(r.Header); err != nil {
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
	if c.server.Budget.exhausted() {
		return c.refuseForMemory(r)
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
	if status == http.StatusServiceUnavailable && c.server.Budget != nil {
		c.server.Budget.refuse()
	}
	if status != 0 {
		return c.refuse(status, "the request body exceeds the size limit or the memory for bodies")
	}
	if release == nil {
		c.cancel()
		return false
	}
	if err := header.CheckNames(r.Trailer); err != nil {
		release()
		return c.handleReadError(err)
	}
	req.Body = body
	return c.start(req, r.Close, release, nil)
}

// releaseHeader gives back what a header was charged.
func (c *serverConn) releaseHeader(bytes int64) {
	c.holder.add(-bytes)
	c.holder.budget.add(-bytes)
}

// refuseForMemory refuses a request because the memory for messages is exhausted. The
// connection goes on unless a body follows, which would have to be read.
func (c *serverConn) refuseForMemory(r *http.Request) bool {
	c.server.Budget.refuse()
	const reason = "the memory for messages is exhausted"
	if r.Body != http.NoBody && r.ContentLength != 0 {
		return c.refuse(http.StatusServiceUnavailable, reason)
	}
	p := c.enqueue(&pendingRequest{isHead: r.Method == http.MethodHead, closeAfter: r.Close})
	if p == nil {
		return false
	}
	c.respond(p, c.server.RefusalResponse(http.StatusServiceUnavailable, reason))
	return !r.Close
}

// originTarget returns the request target in origin form, that is path and query.
func originTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// handleReadError responds to a request that could not be read or is malformed. A caller
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
	if c.server.BufferedBytes.Load()+r.ContentLength > c.server.MaxBufferedBytes {
		return nil, nil, http.StatusServiceUnavailable
	}
	c.setReceiving()
	first := min(r.ContentLength, firstBodyBytes)
	// Only what the sender has shown to send is held: a declared length costs nothing.
	body = make([]byte, first)
	c.holder.add(first)
	held := first
	defer func() { c.holder.add(-held) }()
	size := first
	release = func() {
		c.server.BufferedBytes.Add(-size)
		c.holder.budget.add(-size)
	}
	if !c.reserveBody(first) {
		return nil, nil, http.StatusServiceUnavailable
	}
	if _, err := io.ReadFull(r.Body, body); err != nil {
		release()
		return nil, nil, 0
	}
	if first == r.ContentLength {
		return body, release, 0
	}
	rest := r.ContentLength - first
	if !c.reserveBody(rest) {
		release()
		return nil, nil, http.StatusServiceUnavailable
	}
	size += rest
	held += rest
	c.holder.add(rest)
	whole := make([]byte, size)
	copy(whole, body)
	for at := first; at < size; {
		n, err := r.Body.Read(whole[at:])
		at += int64(n)
		c.holder.progressed()
		if err != nil && at < size {
			release()
			return nil, nil, 0
		}
	}
	return whole, release, 0
}

// firstBodyBytes is the part of a body that is received before memory is reserved for
// all of it.
const firstBodyBytes = 64 << 10

// reserveBody counts a part of a body that is to be received. It reports whether there
// is room, and counts nothing if there is none.
func (c *serverConn) reserveBody(bytes int64) bool {
	if c.server.BufferedBytes.Add(bytes) > c.server.MaxBufferedBytes {
		c.server.BufferedBytes.Add(-bytes)
		return false
	}
	if !c.holder.budget.add(bytes) {
		c.server.BufferedBytes.Add(-bytes)
		c.holder.budget.add(-bytes)
		return false
	}
	return true
}

// setReceiving records that a body is being received, unless requests are in progress.
func (c *serverConn) setReceiving() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue)+c.writing == 0 {
		c.slot.set(connReceiving)
	}
}

// readChunkedBody is readBody for a body whose size is known only at its end. Its
// bytes count as they arrive.
func (c *serverConn) readChunkedBody(r io.Reader, limits Limits) (body []byte, release func(), status int) {
	c.setReceiving()
	in := &countingReader{r: r, total: &c.server.BufferedBytes, limit: c.server.MaxBufferedBytes, holder: c.holder}
	defer func() { c.holder.add(-in.read) }()
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
	if err := header.CheckNames(r.Trailer); err != nil {
		result <- bodyResult{err: err}
		return false
	}
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
	c.server.Budget.addRunning(1)
	c.server.lastRequestNanos.Store(time.Now().UnixNano())
	go func() {
		resp := c.server.handle(c.ctx, req)
		c.server.Budget.addRunning(-1)
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
		if c.writeEnded || c.noMore || len(c.queue) > 0 && c.queue[len(c.queue)-1].closeAfter {
			c.mu.Unlock()
			return nil
		}
		if len(c.queue)+c.writing < maxPipelined {
			c.queue = append(c.queue, p)
			if c.writing == 0 {
				c.slot.set(connKept)
			}
			c.mu.Unlock()
			return p
		}
		shrunk := c.awaitShrunk()
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
	// The response to the previous request may have been received while its write has
	// not returned yet.
	for c.writing > 0 {
		c.writerIdle.Wait()
	}
	if len(c.queue) > queued {
		return
	}
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	// The reader notices a failed write as the end of the connection.
	_, _ = io.WriteString(c.conn, "HTTP/1.1 "+strconv.Itoa(status)+" "+http.StatusText(status)+"\r\n\r\n")
}

// respond stores a request's response and writes all responses that are next in
// order, unless another goroutine is writing, which then goes on with them.
func (c *serverConn) respond(p *pendingRequest, resp *Response) {
	held := int64(0)
	if resp != nil {
		held = int64(cap(resp.Body))
	}
	c.holder.add(held)
	c.holder.budget.addResponse(held)
	c.mu.Lock()
	defer c.mu.Unlock()
	p.resp, p.done = resp, true
	c.heldBytes += held
	if c.writing > 0 {
		return
	}
	for {
		var b batch
		c.takeBatch(&b)
		c.writing = b.responses
		if b.responses == 0 {
			break
		}
		if b.head.Len() > 0 {
			c.slot.set(connBusy)
			c.mu.Unlock()
			err := c.write(&b)
			c.mu.Lock()
			if err != nil {
				b.closeConn = true
				c.cancel()
			} else {
				c.holder.progressed()
			}
		}
		b.notifyWritten()
		c.releaseHeld(b.held)
		c.writing = 0
		if !b.dropped && (b.closeConn || c.noMore && len(c.queue) == 0) {
			c.writeEnded = true
			go c.lingeringClose()
		}
		c.notifyShrunk()
	}
	c.writerIdle.Broadcast()
	if len(c.queue) == 0 {
		c.slot.set(connIdle)
	} else {
		c.slot.set(connKept)
	}
}

// batch is a number of responses that are written together.
type batch struct {
	responses int
	// head holds encoded responses, of the last one without its body if that is large.
	head bytes.Buffer
	body []byte
	// held is the size of the responses.
	held int64
	// pace spreads the writing; nil writes at once. written holds the functions to call
	// when the responses were written or dropped.
	pace    *Pace
	written []func()
	// closeConn ends the connection after the batch. dropped is set if the connection
	// has ended before it.
	closeConn, dropped bool
}

const (
	// maxInlineResponse is the size up to which a body is copied behind its header.
	maxInlineResponse = 16 << 10
	// writeBytes is the part of a body for which writeTimeout applies: a caller that
	// reads a large response slowly is not cut off while it reads.
	writeBytes = 64 << 10
	// maxBatchBytes bounds the encoded responses of a batch.
	maxBatchBytes = 64 << 10
)

// takeBatch takes responses that are next in order from the queue, up to one with a
// large body or that ends the connection. mu is held.
func (c *serverConn) takeBatch(b *batch) {
	for len(c.queue) > 0 && c.queue[0].done && !b.closeConn && b.body == nil && b.head.Len() < maxBatchBytes {
		q := c.queue[0]
		resp := q.resp
		// The slice's array and the request's goroutine outlive the write.
		c.queue[0], q.resp = nil, nil
		c.queue = c.queue[1:]
		b.responses++
		if resp != nil {
			b.held += int64(cap(resp.Body))
			if resp.Written != nil {
				b.written = append(b.written, resp.Written)
			}
		}
		if c.writeEnded {
			b.dropped = true
			continue
		}
		if resp == nil {
			b.closeConn = true
			break
		}
		// A closing server ends the connection after the last request that it
		// has started, so that each of them gets its response.
		closing := c.server.closing.Load() && len(c.queue) == 0
		resp.Close = resp.Close || q.closeAfter || closing
		if len(c.queue) > 0 {
			resp.Close = false
		}
		b.closeConn = resp.Close
		if resp.Pace != nil {
			b.pace = resp.Pace
		}
		b.body = resp.encode(&b.head, q.isHead)
	}
	if b.closeConn {
		// Nothing is started after it.
		c.writeEnded = true
	}
}

// notifyWritten reports that the responses were written or dropped.
func (b *batch) notifyWritten() {
	for _, f := range b.written {
		f()
	}
}

// write writes a batch, spread by its pace.
func (c *serverConn) write(b *batch) error {
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if b.body == nil {
		_, err := c.conn.Write(b.head.Bytes())
		return err
	}
	began, partBytes := time.Now(), b.pace.chunk(writeBytes)
	part := b.body[:min(len(b.body), partBytes)]
	sent := b.head.Len() + len(part)
	buffers := net.Buffers{b.head.Bytes(), part}
	if _, err := buffers.WriteTo(c.conn); err != nil {
		return err
	}
	for rest := b.body[len(part):]; len(rest) > 0; rest = rest[len(part):] {
		c.holder.progressed()
		c.slot.progressed()
		b.pace.wait(began, sent)
		_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		part = rest[:min(len(rest), partBytes)]
		sent += len(part)
		if _, err := c.conn.Write(part); err != nil {
			return err
		}
	}
	return nil
}

// releaseHeld subtracts responses that are written or dropped. mu is held.
func (c *serverConn) releaseHeld(bytes int64) {
	c.heldBytes -= bytes
	c.holder.add(-bytes)
	c.holder.budget.addResponse(-bytes)
}

// abort drops the responses of a connection that was disconnected.
func (c *serverConn) abort() {
	c.cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeEnded = true
	dropped := int64(0)
	for _, q := range c.queue {
		if q.resp != nil {
			dropped += int64(cap(q.resp.Body))
			if q.resp.Written != nil {
				q.resp.Written()
			}
			q.resp = nil
		}
	}
	c.releaseHeld(dropped)
	c.notifyShrunk()
}

// startNoMore closes the connection if no request is in progress, or else after the
// response to the last request that was started.
func (c *serverConn) startNoMore() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case len(c.queue) > 0:
		c.queue[len(c.queue)-1].closeAfter = true
	case c.writing > 0:
		// The writer ends the connection after the response.
		c.noMore = true
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
	idle := len(c.queue)+c.writing == 0 && !c.writeEnded
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

// markEnded closes the connection after the write of its last response, if one is in
// progress, and wakes a waiting enqueue. Responses that are not written yet are dropped,
// since the caller has disconnected. Afterwards the descriptor is free.
func (c *serverConn) markEnded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.writeEnded {
		c.writeEnded = true
		_ = c.conn.Close()
	}
	c.notifyShrunk()
	for c.writing > 0 {
		c.writerIdle.Wait()
	}
	_ = c.conn.Close()
}
