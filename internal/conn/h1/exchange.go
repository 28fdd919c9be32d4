package h1

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/daisytide/daisytide/internal/conn/header"
)

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
	// bodyWriter is set while a body is written that was not written together with the
	// header.
	bodyWriter *bodyWriter
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
		return x.readFinalResponse()
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
	x.bodyWriter = startBodyWriter(x.conn, func() error {
		x.markSent(true)
		if x.req.AfterBody != nil {
			defer x.req.AfterBody()
		}
		return x.req.Pace.write(x.conn, body)
	})
	return x.readFinalResponse()
}

// readFinalResponse reads the response. If it arrives before the body is written,
// the connection is not reused, so that the rest of the body cannot be taken for
// another request.
func (x *exchange) readFinalResponse() (*Response, error) {
	resp, err := x.readResponse(false)
	x.reusable = x.reusable && x.bodyWriter.wroteAll()
	return resp, err
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

// readHeader reads the status line and the headers of a response, and checks them.
func (x *exchange) readHeader(req *http.Request) (*http.Response, error) {
	l := x.conn.limiter
	l.limiting, l.remaining = true, maxResponseHeaderBytes+readBufferSize
	resp, err := http.ReadResponse(x.conn.br, req)
	l.limiting = false
	if err != nil {
		return nil, err
	}
	if err := header.CheckStatus(resp, false); err != nil {
		return nil, err
	}
	if err := header.CheckNames(resp.Header); err != nil {
		return nil, err
	}
	return resp, nil
}

// readResponseBody reads a response's body. A body without a length ends with the
// connection: it is complete if the server closed the connection, and cut short
// if the connection was lost.
func (x *exchange) readResponseBody(resp *http.Response) (*Response, error) {
	in := &bodyBuffer{total: &x.client.buffered, limit: x.client.MaxBufferedBytes, budget: x.client.Budget}
	defer in.release()
	body, err := in.readAll(resp.Body, resp.ContentLength, MaxResponseBytes)
	if err != nil {
		// The connection will be closed. Closing the body would first read it to
		// its end, which may never come.
		return nil, err
	}
	if endsWithConnection(resp) {
		if err := x.bodyWriter.checkClosed(); err != nil {
			return nil, err
		}
	}
	if err := header.CheckNames(resp.Trailer); err != nil {
		return nil, err
	}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// endsWithConnection reports whether nothing but the end of the connection marks the end
// of a response's body.
func endsWithConnection(resp *http.Response) bool {
	return resp.Body != http.NoBody && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
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
