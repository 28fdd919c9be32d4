package h1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// scriptedServer serves each connection with a given function, and counts
// connections and requests.
type scriptedServer struct {
	conns, requests atomic.Int64
}

func (s *scriptedServer) serve(t *testing.T, fn func(conn net.Conn, br *bufio.Reader)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go func() {
				defer conn.Close()
				fn(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return l.Addr().String()
}

// readRequest reads one complete request; nil if the connection ended.
func (s *scriptedServer) readRequest(br *bufio.Reader) *http.Request {
	r, err := http.ReadRequest(br)
	if err != nil {
		return nil
	}
	_, _ = io.Copy(io.Discard, r.Body)
	s.requests.Add(1)
	return r
}

func newTestClient() *Client { return &Client{DialTimeout: time.Second, MaxIdleConns: 4} }

func newGet(id string) *ClientRequest {
	return &ClientRequest{Method: "GET", Target: "/", Host: "a", Header: http.Header{"Request-Id": {id}}, IDHeader: "Request-Id", ID: id}
}

func doRequest(c *Client, address string, req *ClientRequest) (*Response, *Error) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	resp, err := c.Do(ctx, address, req)
	var e *Error
	errors.As(err, &e)
	return resp, e
}

func TestResponseToAnotherRequestIsDiscardedAndTheConnectionNotReused(t *testing.T) {
	var s scriptedServer
	address := s.serve(t, func(conn net.Conn, br *bufio.Reader) {
		for s.readRequest(br) != nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest-Id: old\r\nContent-Length: 3\r\n\r\nold")
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest-Id: 7\r\nContent-Length: 3\r\n\r\nnew")
		}
	})
	c := newTestClient()
	for range 2 {
		resp, err := doRequest(c, address, newGet("7"))
		if err != nil || string(resp.Body) != "new" {
			t.Fatalf("response %v, error %v", resp, err)
		}
	}
	if s.conns.Load() != 2 {
		t.Errorf("%d connections, want 2", s.conns.Load())
	}
}

func TestConnectionWithBytesAfterTheResponseIsNotReused(t *testing.T) {
	var s scriptedServer
	address := s.serve(t, func(conn net.Conn, br *bufio.Reader) {
		for s.readRequest(br) != nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest-Id: 7\r\nContent-Length: 1\r\n\r\nahello")
		}
	})
	c := newTestClient()
	for range 2 {
		if resp, err := doRequest(c, address, newGet("7")); err != nil || string(resp.Body) != "a" {
			t.Fatalf("response %v, error %v", resp, err)
		}
	}
	if s.conns.Load() != 2 {
		t.Errorf("%d connections, want 2", s.conns.Load())
	}
}

func TestResponseWithoutLengthIsCompleteOnlyIfTheConnectionIsClosedNotReset(t *testing.T) {
	for _, reset := range []bool{false, true} {
		var s scriptedServer
		address := s.serve(t, func(conn net.Conn, br *bufio.Reader) {
			s.readRequest(br)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nwhole?")
			if reset {
				time.Sleep(20 * time.Millisecond)
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
		})
		resp, err := doRequest(newTestClient(), address, newGet("7"))
		if reset && err == nil || !reset && (err != nil || string(resp.Body) != "whole?") {
			t.Errorf("reset %v: %v, %v", reset, resp, err)
		}
	}
}

func TestTruncatedResponseIsAnError(t *testing.T) {
	var s scriptedServer
	address := s.serve(t, func(conn net.Conn, br *bufio.Reader) {
		s.readRequest(br)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
	})
	if _, err := doRequest(newTestClient(), address, newGet("7")); err == nil || err.Failure != ExchangeFailed || !err.FullySent {
		t.Errorf("error %v, want ExchangeFailed with the request fully sent", err)
	}
}

func TestRequestIsNeverResent(t *testing.T) {
	var s scriptedServer
	address := s.serve(t, func(conn net.Conn, br *bufio.Reader) {
		if s.readRequest(br) != nil && s.requests.Load() == 1 {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			s.readRequest(br)
		}
	})
	c := newTestClient()
	if _, err := doRequest(c, address, newGet("1")); err != nil {
		t.Fatal(err)
	}
	if _, err := doRequest(c, address, newGet("2")); err == nil || !err.Sent {
		t.Errorf("error %v, want one with the request sent", err)
	}
	if s.requests.Load() != 2 {
		t.Errorf("%d requests arrived, want 2", s.requests.Load())
	}
}

func TestConnectionClosedWhileIdleIsNotReused(t *testing.T) {
	var s scriptedServer
	address := s.serve(t, func(conn net.Conn, br *bufio.Reader) {
		s.readRequest(br)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	})
	c := newTestClient()
	for range 3 {
		if _, err := doRequest(c, address, newGet("7")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func TestRefusedConnectionReportsNothingSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	if _, err := doRequest(newTestClient(), address, newGet("7")); err == nil || err.Failure != ConnectionRefused || err.Sent {
		t.Errorf("error %v, want ConnectionRefused with nothing sent", err)
	}
}

func TestMissingFirstByteTimesOut(t *testing.T) {
	var s scriptedServer
	address := s.serve(t, func(_ net.Conn, br *bufio.Reader) {
		s.readRequest(br)
		s.readRequest(br)
	})
	req := newGet("7")
	req.ExpectContinue, req.FirstByteTimeout = true, 30*time.Millisecond
	if _, err := doRequest(newTestClient(), address, req); err == nil || err.Failure != FirstByteTimedOut {
		t.Errorf("error %v, want FirstByteTimedOut", err)
	}
}

func TestBodyIsNotSentWithout100Continue(t *testing.T) {
	address := startServer(t, &Server{DeferContinue: true, Handler: func(context.Context, *Request) *Response { return textResponse(503, "") }})
	c := newTestClient()
	for range 3 {
		req := newGet("7")
		req.Method, req.Body, req.ExpectContinue = "POST", []byte(strings.Repeat("b", 100)), true
		if resp, err := doRequest(c, address, req); err != nil || resp.Status != 503 {
			t.Fatalf("response %v, error %v", resp, err)
		}
	}
}

func TestDeferredBodyIsRequestedByTheHandlerAndReadCompletely(t *testing.T) {
	body := strings.Repeat("b", 300<<10)
	address := startServer(t, &Server{DeferContinue: true, Handler: func(_ context.Context, r *Request) *Response {
		b, err := r.ReadBody()
		if err != nil {
			return textResponse(500, err.Error())
		}
		return textResponse(200, string(b))
	}})
	c := newTestClient()
	for range 3 {
		req := newGet("7")
		req.Method, req.Body, req.ExpectContinue, req.FirstByteTimeout = "POST", []byte(body), true, testTimeout
		if resp, err := doRequest(c, address, req); err != nil || string(resp.Body) != body {
			t.Fatalf("%d bytes, %v", len(resp.Body), err)
		}
	}
}

func TestDisconnectDuringADeferredRequestCancelsTheHandler(t *testing.T) {
	cancelled := make(chan struct{})
	address := startServer(t, &Server{DeferContinue: true, Handler: func(ctx context.Context, r *Request) *Response {
		if _, err := r.ReadBody(); err == nil {
			<-ctx.Done()
			close(cancelled)
		}
		return nil
	}})
	req := newGet("7")
	req.Method, req.Body, req.ExpectContinue = "POST", []byte("b"), true
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if _, err := newTestClient().Do(ctx, address, req); err == nil {
		t.Fatal("got a response, want an error")
	}
	select {
	case <-cancelled:
	case <-time.After(testTimeout):
		t.Fatal("the handler's context was not cancelled")
	}
}

// Guards against the rest of a body being taken for another request when an
// upstream responds before it has read the body. The server here reads on only
// after the client has the response, so the body, which is longer than the
// socket buffers, cannot have been written by then.
func TestResponseBeforeTheBodyIsSentClosesTheConnection(t *testing.T) {
	const length = 32 << 20
	var s scriptedServer
	responded, rest := make(chan struct{}), make(chan int64, 1)
	address := s.serve(t, func(conn net.Conn, br *bufio.Reader) {
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 413 Too Large\r\nRequest-Id: 7\r\nContent-Length: 0\r\n\r\n")
		<-responded
		n, _ := io.Copy(io.Discard, br)
		rest <- n
	})
	c := newTestClient()
	req := newGet("7")
	req.Method, req.Body = "POST", make([]byte, length)
	resp, err := doRequest(c, address, req)
	close(responded)
	if err != nil || resp.Status != 413 {
		t.Fatalf("response %v, error %v", resp, err)
	}
	if len(c.idle[address]) != 0 {
		t.Error("the connection was kept")
	}
	select {
	case n := <-rest:
		if n >= length {
			t.Errorf("the server received %d of %d bytes, want fewer", n, length)
		}
	case <-time.After(testTimeout):
		t.Fatal("the connection did not end")
	}
}

// A response that arrives before the server has read the whole body leaves the
// connection reusable once the body was written: the next request follows the
// body's last byte.
func TestEarlyResponseDoesNotMixRequestsOnTheConnection(t *testing.T) {
	const length = 8 << 20
	var s scriptedServer
	address := s.serve(t, func(conn net.Conn, br *bufio.Reader) {
		for {
			req, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			id := req.Header.Get("Request-Id")
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest-Id: "+id+"\r\nContent-Length: 0\r\n\r\n")
			if n, err := io.Copy(io.Discard, req.Body); err != nil && n == length {
				t.Errorf("body of %s: %v", id, err)
			}
		}
	})
	c := newTestClient()
	for i := range 20 {
		req := newGet(strconv.Itoa(i))
		req.Method, req.Body = "POST", make([]byte, length)
		if resp, err := doRequest(c, address, req); err != nil || resp.Status != 200 {
			t.Fatalf("request %d: %v, %v", i, resp, err)
		}
	}
}

func TestCancelledContextEndsTheExchangeAtOnce(t *testing.T) {
	var s scriptedServer
	closed := make(chan struct{})
	address := s.serve(t, func(_ net.Conn, br *bufio.Reader) {
		s.readRequest(br)
		s.readRequest(br)
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		waitFor(t, func() bool { return s.requests.Load() == 1 })
		cancel()
	}()
	_, err := newTestClient().Do(ctx, address, newGet("7"))
	var e *Error
	if !errors.As(err, &e) || e.Failure != ContextEnded || !e.FullySent {
		t.Errorf("error %v, want ContextEnded with the request fully sent", err)
	}
	select {
	case <-closed:
	case <-time.After(testTimeout):
		t.Fatal("the server's connection was not closed")
	}
}
