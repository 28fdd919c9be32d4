// Package h1 speaks HTTP/1.1 where net/http does not give enough control: a
// server that reads pipelined requests ahead and notices a caller that left,
// and a client that says truthfully whether a request can have reached the
// other side and never repeats one. Parsing is net/http's.
package h1

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/daisytide/daisytide/internal/conn/header"
)

// Request is one request whose header was read.
type Request struct {
	Method string
	// Target is the request target as sent: path and query.
	Target string
	Host   string
	Header http.Header
	// Arrived is when the header was read.
	ReceivedAt time.Time
	// Body is the whole body, unless the server leaves it to ReadBody.
	Body []byte
	// read asks the connection for the body; nil where Body is set.
	read func() ([]byte, error)
	// size is the length of a body that is left to ReadBody; -1 is unknown.
	size int64
}

// ToCome returns the length of the body that ReadBody is still to bring, 0
// where none is and -1 where its length is not known.
func (r *Request) PendingBodySize() int64 {
	if r.read == nil {
		return 0
	}
	return r.size
}

// Path returns the target without its query.
func (r *Request) Path() string {
	path, _, _ := strings.Cut(r.Target, "?")
	return path
}

// ReadBody asks the sender for the body and returns it whole. It may be
// called once.
func (r *Request) ReadBody() ([]byte, error) {
	if r.read == nil {
		return r.Body, nil
	}
	return r.read()
}

// Response is a whole answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Close ends the connection after the answer.
	Close bool
}

// framed tells that a header says where the message ends or begins; the
// encoder writes it anew.
func framed(name string) bool { return name == "Content-Length" || name == "Expect" }

// Forwardable copies all headers but those of one connection and of framing.
func ForwardableHeaders(src http.Header) http.Header {
	dst := make(http.Header, len(src)+4)
	header.CopyEndToEnd(dst, src)
	delete(dst, "Content-Length")
	delete(dst, "Expect")
	return dst
}

// bodiless tells that answers with a status never have a body.
func bodiless(status int) bool {
	return status < 200 || status == http.StatusNoContent || status == http.StatusNotModified
}

// appendHeader writes header lines but those that the caller writes itself.
func appendHeader(b *bytes.Buffer, h http.Header) {
	for k, vs := range h {
		if header.IsHopByHop(k) || framed(k) {
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

// encode writes a response; head tells that it answers a HEAD request.
func (r *Response) encode(b *bytes.Buffer, head bool) {
	b.WriteString("HTTP/1.1 ")
	b.WriteString(strconv.Itoa(r.Status))
	b.WriteByte(' ')
	b.WriteString(http.StatusText(r.Status))
	b.WriteString("\r\n")
	appendHeader(b, r.Header)
	if !bodiless(r.Status) {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	if r.Close {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
	if !head && !bodiless(r.Status) {
		b.Write(r.Body)
	}
}
