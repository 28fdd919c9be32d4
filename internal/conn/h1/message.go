// Package h1 speaks HTTP/1.1 where net/http does not give enough control: a
// server that reads pipelined requests ahead and notices a caller that left,
// and a client that says truthfully whether a request can have reached the
// other side and never repeats one. Parsing is net/http's.
package h1

import (
	"bytes"
	"net/http"
	"strconv"
	"time"
)

// Request is one request whose header was read.
type Request struct {
	Method string
	// Target is the request target as sent: path and query.
	Target string
	Host   string
	Header http.Header
	// Arrived is when the header was read.
	Arrived time.Time
	// Size is the announced length of the body; -1 where it is chunked.
	Size int64
	// Body is the whole body, unless the server leaves it to ReadBody.
	Body []byte
	// read asks the connection for the body; nil where Body is set.
	read func() ([]byte, error)
}

// Path returns the target without its query.
func (r *Request) Path() string {
	if i := bytes.IndexByte([]byte(r.Target), '?'); i >= 0 {
		return r.Target[:i]
	}
	return r.Target
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

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true,
}

// Forwardable copies all headers but those of one connection.
func Forwardable(src http.Header) http.Header {
	dst := make(http.Header, len(src)+4)
	for k, v := range src {
		if !hopHeaders[k] {
			dst[k] = v
		}
	}
	for _, line := range src["Connection"] {
		for _, name := range bytes.Split([]byte(line), []byte{','}) {
			delete(dst, http.CanonicalHeaderKey(string(bytes.TrimSpace(name))))
		}
	}
	return dst
}

// bodiless tells that answers with a status never have a body.
func bodiless(status int) bool {
	return status < 200 || status == http.StatusNoContent || status == http.StatusNotModified
}

// appendHeader writes header lines but those that the caller writes itself.
func appendHeader(b *bytes.Buffer, h http.Header) {
	for k, vs := range h {
		if hopHeaders[k] {
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
