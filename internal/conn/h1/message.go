// Package h1 implements an HTTP/1.1 server and client where net/http does not
// give enough control. The server reads ahead and handles pipelined requests
// concurrently, and detects that a caller disconnects. The client reports
// whether a failed request may have reached the server, and never resends one.
// Messages are parsed by net/http.
package h1

import (
	"bytes"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/daisytide/daisytide/internal/conn/header"
)

// Request is a request received by the server.
type Request struct {
	Method string
	// Target is the path and query as sent.
	Target string
	Host   string
	Header http.Header
	// ReceivedAt is the time at which the header was read.
	ReceivedAt time.Time
	// RemoteIP is the address that the connection comes from.
	RemoteIP netip.Addr
	// Body is the complete body, unless it is to be read with ReadBody.
	Body []byte
	// readDeferredBody requests and reads the body; nil if Body is set.
	readDeferredBody func() ([]byte, error)
	// deferredBodySize is the length of a deferred body, or -1 if it is unknown.
	deferredBodySize int64
}

// PendingBodySize returns the length of the body that ReadBody will read: 0 if
// the body was already read, -1 if the length is unknown.
func (r *Request) PendingBodySize() int64 {
	if r.readDeferredBody == nil {
		return 0
	}
	return r.deferredBodySize
}

// Path returns the target without its query.
func (r *Request) Path() string {
	path, _, _ := strings.Cut(r.Target, "?")
	return path
}

// ReadBody returns the complete body. A deferred one is first requested with
// 100 Continue. It may be called once.
func (r *Request) ReadBody() ([]byte, error) {
	if r.readDeferredBody == nil {
		return r.Body, nil
	}
	return r.readDeferredBody()
}

// Response is a complete response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Close closes the connection after the response.
	Close bool
	// Pace, if set, spreads the writing of the response.
	Pace *Pace
	// Written, if set, is called once when the response was written or dropped. It
	// must not block.
	Written func()
}

// isFramingHeader reports whether a header concerns the message's framing; the
// encoder sets these itself.
func isFramingHeader(name string) bool { return name == "Content-Length" || name == "Expect" }

// ForwardableHeaders returns a copy of the headers without the hop-by-hop and
// framing ones.
func ForwardableHeaders(src http.Header) http.Header {
	dst := make(http.Header, len(src)+4)
	header.CopyEndToEnd(dst, src)
	delete(dst, "Content-Length")
	delete(dst, "Expect")
	return dst
}

// statusHasNoBody reports whether responses with a status never have a body.
func statusHasNoBody(status int) bool {
	return status < 200 || status == http.StatusNoContent || status == http.StatusNotModified
}

// writeHeader writes the header lines, without the hop-by-hop and framing ones,
// which its caller writes.
func writeHeader(b *bytes.Buffer, h http.Header) {
	for k, vs := range h {
		if header.IsHopByHop(k) || isFramingHeader(k) {
			continue
		}
		for _, v := range vs {
			b.WriteString(k)
			b.WriteString(": ")
			b.WriteString(v)
			b.WriteString("\r\n")
		}
	}
}

// encode writes the response, and returns its body instead of writing it if it is
// large. isHead is set for the response to a HEAD request, which has no body.
func (r *Response) encode(b *bytes.Buffer, isHead bool) (large []byte) {
	b.WriteString("HTTP/1.1 ")
	b.WriteString(strconv.Itoa(r.Status))
	b.WriteByte(' ')
	b.WriteString(http.StatusText(r.Status))
	b.WriteString("\r\n")
	writeHeader(b, r.Header)
	if !statusHasNoBody(r.Status) {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	if r.Close {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
	if isHead || statusHasNoBody(r.Status) {
		return nil
	}
	if len(r.Body) > maxInlineResponse {
		return r.Body
	}
	b.Write(r.Body)
	return nil
}
