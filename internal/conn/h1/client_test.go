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

// script serves each connection with fn, and counts connections and requests.
type script struct {
	conns, requests atomic.Int64
}

func (s *script) serve(t *testing.T, fn func(conn net.Conn, br *bufio.Reader)) string {
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

// request reads one request whole.
func (s *script) request(br *bufio.Reader) *http.Request {
	r, err := http.ReadRequest(br)
	if err != nil {
		return nil
	}
	_, _ = io.Copy(io.Discard, r.Body)
	s.requests.Add(1)
	return r
}

func client() *Client { return &Client{DialTimeout: time.Second, MaxIdleConns: 4} }

func get(id string) *ClientRequest {
	return &ClientRequest{Method: "GET", Target: "/", Host: "a", Header: http.Header{"Request-Id": {id}}, IDHeader: "Request-Id", ID: id}
}

func do(c *Client, address string, call *ClientRequest) (*Response, *Error) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	resp, err := c.Do(ctx, address, call)
	var e *Error
	errors.As(err, &e)
	return resp, e
}

func TestAnswerToAnotherRequestIsLeftAndItsConnectionNotUsedAgain(t *testing.T) {
	var s script
	address := s.serve(t, func(conn net.Conn, br *bufio.Reader) {
		for s.request(br) != nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest-Id: old\r\nContent-Length: 3\r\n\r\nold")
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest-Id: 7\r\nContent-Length: 3\r\n\r\nnew")
		}
	})
	c := client()
	for range 2 {
		resp, err := do(c, address, get("7"))
		if err != nil || string(resp.Body) != "new" {
			t.Fatalf("%v, %v", resp, err)
		}
	}
	if s.conns.Load() != 2 {
		t.Errorf("%d connections", s.conns.Load())
	}
}

func TestBytesAfterAnAnswerEndTheConnection(t *testing.T) {
	var s script
	address := s.serve(t, func(conn net.Conn, br *bufio.Reader) {
		for s.request(br) != nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest-Id: 7\r\nContent-Length: 1\r\n\r\nahello")
		}
	})
	c := client()
	for range 2 {
		if resp, err := do(c, address, get("7")); err != nil || string(resp.Body) != "a" {
			t.Fatalf("%v, %v", resp, err)
		}
	}
	if s.conns.Load() != 2 {
		t.Errorf("%d connections", s.conns.Load())
	}
}

func TestAnswerWithoutLengthIsWholeOnlyIfItsConnectionEndsInOrder(t *testing.T) {
	for _, reset := range []bool{false, true} {
		var s script
		address := s.serve(t, func(conn net.Conn, br *bufio.Reader) {
			s.request(br)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nwhole?")
			if reset {
				time.Sleep(20 * time.Millisecond)
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
		})
		resp, err := do(client(), address, get("7"))
		if reset && err == nil || !reset && (err != nil || string(resp.Body) != "whole?") {
			t.Errorf("reset %v: %v, %v", reset, resp, err)
		}
	}
}

func TestShortAnswerIsAnError(t *testing.T) {
	var s script
	address := s.serve(t, func(conn net.Conn, br *bufio.Reader) {
		s.request(br)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
	})
	if _, err := do(client(), address, get("7")); err == nil || err.Failure != ExchangeFailed || !err.FullySent {
		t.Errorf("%v", err)
	}
}

func TestNothingIsSentTwice(t *testing.T) {
	var s script
	address := s.serve(t, func(conn net.Conn, br *bufio.Reader) {
		if s.request(br) != nil && s.requests.Load() == 1 {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			s.request(br)
		}
	})
	c := client()
	if _, err := do(c, address, get("1")); err != nil {
		t.Fatal(err)
	}
	if _, err := do(c, address, get("2")); err == nil || !err.Sent {
		t.Errorf("%v", err)
	}
	if s.requests.Load() != 2 {
		t.Errorf("%d requests arrived", s.requests.Load())
	}
}

func TestConnectionThatEndedWhileIdleIsNotUsed(t *testing.T) {
	var s script
	address := s.serve(t, func(conn net.Conn, br *bufio.Reader) {
		s.request(br)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	})
	c := client()
	for range 3 {
		if _, err := do(c, address, get("7")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func TestRefusedConnectionSentNothing(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	if _, err := do(client(), address, get("7")); err == nil || err.Failure != ConnectionRefused || err.Sent {
		t.Errorf("%v", err)
	}
}

func TestServerThatGivesNoSignIsSilent(t *testing.T) {
	var s script
	address := s.serve(t, func(_ net.Conn, br *bufio.Reader) {
		s.request(br)
		s.request(br)
	})
	call := get("7")
	call.ExpectContinue, call.FirstByteTimeout = true, 30*time.Millisecond
	if _, err := do(client(), address, call); err == nil || err.Failure != FirstByteTimedOut {
		t.Errorf("%v", err)
	}
}

func TestBodyThatWasNotAskedForIsNotSent(t *testing.T) {
	address := serveTest(t, &Server{DeferContinue: true, Handler: func(context.Context, *Request) *Response { return text(503, "") }})
	c := client()
	for range 3 {
		call := get("7")
		call.Method, call.Body, call.ExpectContinue = "POST", []byte(strings.Repeat("b", 100)), true
		if resp, err := do(c, address, call); err != nil || resp.Status != 503 {
			t.Fatalf("%v, %v", resp, err)
		}
	}
}

func TestBodyIsAskedForByTheHandlerAndComesWhole(t *testing.T) {
	body := strings.Repeat("b", 300<<10)
	address := serveTest(t, &Server{DeferContinue: true, Handler: func(_ context.Context, r *Request) *Response {
		b, err := r.ReadBody()
		if err != nil {
			return text(500, err.Error())
		}
		return text(200, string(b))
	}})
	c := client()
	for range 3 {
		call := get("7")
		call.Method, call.Body, call.ExpectContinue, call.FirstByteTimeout = "POST", []byte(body), true, patience
		if resp, err := do(c, address, call); err != nil || string(resp.Body) != body {
			t.Fatalf("%d bytes, %v", len(resp.Body), err)
		}
	}
}

func TestSenderOfALazyRequestThatLeavesIsNoticed(t *testing.T) {
	left := make(chan struct{})
	address := serveTest(t, &Server{DeferContinue: true, Handler: func(ctx context.Context, r *Request) *Response {
		if _, err := r.ReadBody(); err == nil {
			<-ctx.Done()
			close(left)
		}
		return nil
	}})
	call := get("7")
	call.Method, call.Body, call.ExpectContinue = "POST", []byte("b"), true
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if _, err := client().Do(ctx, address, call); err == nil {
		t.Fatal("an answer")
	}
	select {
	case <-left:
	case <-time.After(patience):
		t.Fatal("the handler was not told")
	}
}

// An upstream may answer a long body before it has read it: the rest must not
// be taken for a request. It reads on only after the answer was taken, so the
// body, longer than what the sockets hold, cannot have been written by then.
func TestAnswerBeforeTheBodyEndsTheConnection(t *testing.T) {
	const length = 32 << 20
	var s script
	answered, rest := make(chan struct{}), make(chan int64, 1)
	address := s.serve(t, func(conn net.Conn, br *bufio.Reader) {
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 413 Too Large\r\nRequest-Id: 7\r\nContent-Length: 0\r\n\r\n")
		<-answered
		n, _ := io.Copy(io.Discard, br)
		rest <- n
	})
	c := client()
	call := get("7")
	call.Method, call.Body = "POST", make([]byte, length)
	resp, err := do(c, address, call)
	close(answered)
	if err != nil || resp.Status != 413 {
		t.Fatalf("%v, %v", resp, err)
	}
	if len(c.idle[address]) != 0 {
		t.Error("the connection was kept")
	}
	select {
	case n := <-rest:
		if n >= length {
			t.Errorf("%d bytes of %d came before the connection ended", n, length)
		}
	case <-time.After(patience):
		t.Fatal("the connection did not end")
	}
}

// An answer that comes before the whole body was read leaves the connection
// usable once the body was written: the next request follows its last byte.
func TestAnswerWhileTheBodyArrivesMixesNoRequests(t *testing.T) {
	const length = 8 << 20
	var s script
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
	c := client()
	for i := range 20 {
		call := get(strconv.Itoa(i))
		call.Method, call.Body = "POST", make([]byte, length)
		if resp, err := do(c, address, call); err != nil || resp.Status != 200 {
			t.Fatalf("request %d: %v, %v", i, resp, err)
		}
	}
}

func TestEndedContextEndsTheExchangeAtOnce(t *testing.T) {
	var s script
	closed := make(chan struct{})
	address := s.serve(t, func(_ net.Conn, br *bufio.Reader) {
		s.request(br)
		s.request(br)
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		waitFor(t, func() bool { return s.requests.Load() == 1 })
		cancel()
	}()
	_, err := client().Do(ctx, address, get("7"))
	var e *Error
	if !errors.As(err, &e) || e.Failure != ContextEnded || !e.FullySent {
		t.Errorf("%v", err)
	}
	select {
	case <-closed:
	case <-time.After(patience):
		t.Fatal("the other side was not told")
	}
}
