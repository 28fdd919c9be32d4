package h1

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// writerFirstConn makes the writer of a body the first to meet the end of the connection:
// once the writing of a body has begun, reads wait until it has ended.
type writerFirstConn struct {
	net.Conn
	writing     atomic.Bool
	bodyWritten chan struct{}
}

// Write implements net.Conn.
func (c *writerFirstConn) Write(b []byte) (int, error) {
	if len(b) >= minPaceChunk {
		c.writing.Store(true)
	}
	return c.Conn.Write(b)
}

// Read implements net.Conn.
func (c *writerFirstConn) Read(b []byte) (int, error) {
	if c.writing.Load() {
		<-c.bodyWritten
	}
	return c.Conn.Read(b)
}

// uploadEndings are the ways in which a server ends the connection after an early
// response. inOrder is set if it closes its side before anything else, and writerEnds if
// the writer of the body always ends by itself.
var uploadEndings = map[string]struct {
	inOrder, writerEnds bool
	end                 func(conn *net.TCPConn, received chan struct{})
}{
	"reset":               {false, true, func(conn *net.TCPConn, _ chan struct{}) { endConn(conn, true) }},
	"reset after a pause": {false, true, func(conn *net.TCPConn, _ chan struct{}) { time.Sleep(5 * time.Millisecond); endConn(conn, true) }},
	"closed, body read":   {true, true, func(conn *net.TCPConn, _ chan struct{}) { _ = conn.CloseWrite(); _, _ = io.Copy(io.Discard, conn) }},
	"closed, then reset": {true, true, func(conn *net.TCPConn, _ chan struct{}) {
		_ = conn.CloseWrite()
		time.Sleep(5 * time.Millisecond)
		endConn(conn, true)
	}},
	"closed, body left unread": {true, false, func(conn *net.TCPConn, received chan struct{}) { _ = conn.CloseWrite(); <-received }},
}

// earlyResponses are responses to an upload that is still being written, by their framing.
var earlyResponses = map[string]string{
	"no length": "HTTP/1.1 200 OK\r\nRequest-Id: 7\r\n\r\nhello",
	"length":    "HTTP/1.1 200 OK\r\nRequest-Id: 7\r\nContent-Length: 5\r\n\r\nhello",
	"chunked":   "HTTP/1.1 200 OK\r\nRequest-Id: 7\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
}

// A server that answered an upload early without a length and reset the connection made
// the client take what had arrived for the whole response: the kernel reports a reset
// once, and the writer of the body had met it, so that the reader saw an ordinary end.
// A response that arrived whole must not fail for the way in which the upload ended.
func TestEarlyResponseIsCompleteOnlyIfItArrivedWhole(t *testing.T) {
	for name, text := range earlyResponses {
		for ending, end := range uploadEndings {
			for _, writerFirst := range []bool{false, true} {
				if writerFirst && !end.writerEnds {
					continue
				}
				complete := end.inOrder || name != "no length"
				t.Run(fmt.Sprintf("%s, %s, writer first %v", name, ending, writerFirst), func(t *testing.T) {
					t.Parallel()
					for _, u := range uploads() {
						u.run(t, text, end.end, writerFirst, complete)
					}
				})
			}
		}
	}
}

// upload is a request with a body.
type upload struct {
	size           int
	pace           *Pace
	deferred, kept bool
	readFirst      int64
}

// uploads returns uploads of several sizes: written at once or paced, with the body sent
// at once or after 100 Continue, on new and on kept connections, and answered before and
// after a part of the body was read.
func uploads() []upload {
	var out []upload
	for _, size := range []int{100_000, 900_000, 8_000_000} {
		for _, pace := range []*Pace{nil, {BytesPerSecond: 200e6}} {
			for _, deferred := range []bool{false, true} {
				for _, kept := range []bool{false, true} {
					for _, readFirst := range []int64{0, 60_000} {
						out = append(out, upload{size, pace, deferred, kept, readFirst})
					}
				}
			}
		}
	}
	return out
}

// run sends the upload to a server that answers it with text and then ends the connection.
func (u upload) run(t *testing.T, text string, end func(*net.TCPConn, chan struct{}), writerFirst, complete bool) {
	t.Helper()
	bodyWritten, received := make(chan struct{}), make(chan struct{})
	var s scriptedServer
	address := s.serve(t, func(conn net.Conn, br *bufio.Reader) {
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			if r.URL.Path == "/keep" {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest-Id: 7\r\nContent-Length: 4\r\n\r\nkept")
				continue
			}
			if u.deferred {
				_, _ = io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\n")
			}
			_, _ = io.CopyN(io.Discard, br, u.readFirst)
			_, _ = io.WriteString(conn, text)
			end(conn.(*net.TCPConn), received)
			return
		}
	})
	c := newTestClient()
	if writerFirst {
		c.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := Dialer(time.Second).DialContext(ctx, network, address)
			return &writerFirstConn{Conn: conn, bodyWritten: bodyWritten}, err
		}
	}
	if u.kept {
		first := newGet("7")
		first.Target = "/keep"
		if resp, err := doRequest(c, address, first); err != nil || string(resp.Body) != "kept" {
			t.Fatalf("%+v, %v", resp, err)
		}
	}
	req := newGet("7")
	req.Method, req.Body, req.Pace, req.ExpectContinue = http.MethodPost, make([]byte, u.size), u.pace, u.deferred
	req.AfterBody = func() { close(bodyWritten) }
	resp, err := doRequest(c, address, req)
	close(received)
	switch {
	case complete && (err != nil || string(resp.Body) != "hello"):
		t.Errorf("%+v: %+v, %v; want the whole response", u, resp, err)
	case !complete && err == nil:
		t.Errorf("%+v: a cut response passed as whole: status %d, body %q", u, resp.Status, resp.Body)
	case !complete && (err.Failure != ExchangeFailed || !err.Sent):
		t.Errorf("%+v: %v, want ExchangeFailed with the request sent", u, err)
	}
	if !complete && len(c.idle[address]) != 0 {
		t.Errorf("%+v: the connection was kept", u)
	}
}

// A server that stops reading and never closes is given up by the kernel when it has
// acknowledged nothing for unackedTimeout, which the writer of the body meets first.
func TestEarlyResponseOfAServerThatStopsReadingIsNotComplete(t *testing.T) {
	u := upload{size: 8_000_000}
	u.run(t, earlyResponses["no length"], func(_ *net.TCPConn, received chan struct{}) { <-received }, true, false)
}
