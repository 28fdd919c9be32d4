package h1

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// testTimeout bounds the waits of tests, so that they fail instead of hanging.
const testTimeout = 10 * time.Second

var testLimits = Limits{HeaderBytes: 4 << 10, BodyBytes: 1 << 20, HeaderTimeout: testTimeout, IdleTimeout: testTimeout}

func startServer(t *testing.T, s *Server) string {
	t.Helper()
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if s.Limits == nil {
		s.Limits = func() Limits { return testLimits }
	}
	if s.RefusalResponse == nil {
		s.RefusalResponse = func(status int, _ string) *Response { return &Response{Status: status, Header: http.Header{}} }
	}
	if s.MaxBufferedBytes == 0 {
		s.MaxBufferedBytes = 8 << 20
	}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String()
}

func dialServer(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	return conn, bufio.NewReader(conn)
}

func textResponse(status int, body string) *Response {
	return &Response{Status: status, Header: http.Header{}, Body: []byte(body)}
}

func readTestResponse(t *testing.T, br *bufio.Reader) (*http.Response, string) {
	t.Helper()
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(body)
}

func TestPipelinedRequestsRunConcurrentlyAndAreAnsweredInOrder(t *testing.T) {
	second := make(chan struct{})
	address := startServer(t, &Server{Handler: func(_ context.Context, r *Request) *Response {
		if r.Target == "/1" {
			<-second
		} else {
			close(second)
		}
		return textResponse(200, r.Target)
	}})
	conn, br := dialServer(t, address)
	fmt.Fprint(conn, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
	for _, want := range []string{"/1", "/2"} {
		if _, got := readTestResponse(t, br); got != want {
			t.Fatalf("response %q, want %q", got, want)
		}
	}
}

// Guards against a disconnect going undetected while pipelined bytes of the
// caller are still unread.
func TestDisconnectIsDetectedDespiteUnreadBytes(t *testing.T) {
	for name, sent := range map[string]string{
		"one request":          "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n",
		"pipelined":            "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n",
		"last of connection":   "GET /1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n",
		"half a second header": "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HT",
	} {
		t.Run(name, func(t *testing.T) {
			began, cancelled := make(chan struct{}, 2), make(chan struct{}, 2)
			address := startServer(t, &Server{Handler: func(ctx context.Context, r *Request) *Response {
				began <- struct{}{}
				<-ctx.Done()
				cancelled <- struct{}{}
				return nil
			}})
			conn, _ := dialServer(t, address)
			fmt.Fprint(conn, sent)
			<-began
			_ = conn.Close()
			select {
			case <-cancelled:
			case <-time.After(testTimeout):
				t.Fatal("the handler's context was not cancelled")
			}
		})
	}
}

func TestRequestsOverALimitAreRefusedAndNotHandled(t *testing.T) {
	var ran atomic.Int64
	limits := testLimits
	limits.BodyBytes = 10
	limits.HeaderTimeout = 50 * time.Millisecond
	address := startServer(t, &Server{
		Handler: func(context.Context, *Request) *Response { ran.Add(1); return textResponse(200, "") },
		Limits:  func() Limits { return limits },
	})
	for _, tc := range []struct {
		name, sent string
		want       int
	}{
		{"not HTTP", "what is this\r\n\r\n", 400},
		{"empty line first", "\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n", 400},
		{"body too large", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 11\r\n\r\n", 413},
		{"chunked body too large", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nb\r\n01234567890\r\n0\r\n\r\n", 413},
		{"header too large", "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 20<<10) + "\r\n\r\n", 431},
		{"header not ended", "GET / HTTP/1.1\r\nHost:", 408},
		{"two lengths", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400},
	} {
		t.Run(tc.name, func(t *testing.T) {
			conn, br := dialServer(t, address)
			fmt.Fprint(conn, tc.sent)
			resp, _ := readTestResponse(t, br)
			if resp.StatusCode != tc.want || !resp.Close {
				t.Errorf("status %d, close %v; want %d and close", resp.StatusCode, resp.Close, tc.want)
			}
		})
	}
	if ran.Load() != 0 {
		t.Errorf("%d requests were handled, want 0", ran.Load())
	}
}

func TestBodiesOverTheMemoryLimitAreRefused(t *testing.T) {
	address := startServer(t, &Server{
		Handler: func(context.Context, *Request) *Response { return textResponse(200, "") }, MaxBufferedBytes: 100,
	})
	conn, br := dialServer(t, address)
	fmt.Fprint(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 101\r\n\r\n")
	if resp, _ := readTestResponse(t, br); resp.StatusCode != 503 {
		t.Errorf("status %d, want 503", resp.StatusCode)
	}
}

// A closing server closes a connection after the response to the last request
// that it has started; a request sent after that must not be handled.
func TestClosingServerAnswersAllStartedRequests(t *testing.T) {
	var ran atomic.Int64
	release := make(chan struct{})
	s := &Server{Handler: func(_ context.Context, r *Request) *Response {
		ran.Add(1)
		<-release
		return textResponse(200, r.Target)
	}}
	address := startServer(t, s)
	conn, br := dialServer(t, address)
	fmt.Fprint(conn, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
	waitFor(t, func() bool { return ran.Load() == 2 })
	s.CloseAfterResponses()
	close(release)
	first, _ := readTestResponse(t, br)
	last, body := readTestResponse(t, br)
	if first.Close || !last.Close || body != "/2" {
		t.Errorf("first response closes: %v, last closes: %v, last body %q", first.Close, last.Close, body)
	}
	fmt.Fprint(conn, "GET /3 HTTP/1.1\r\nHost: a\r\n\r\n")
	if _, err := br.ReadByte(); err != io.EOF {
		t.Errorf("read after the last response: %v, want EOF", err)
	}
	if ran.Load() != 2 {
		t.Errorf("%d requests were handled, want 2", ran.Load())
	}
}

func TestCloseIdleClosesConnectionsWithoutReset(t *testing.T) {
	s := &Server{Handler: func(context.Context, *Request) *Response { return textResponse(200, "") }}
	conn, br := dialServer(t, startServer(t, s))
	fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	readTestResponse(t, br)
	s.CloseIdle()
	if _, err := br.ReadByte(); err != io.EOF {
		t.Errorf("read from the idle connection: %v, want EOF without a reset", err)
	}
}

// Requests that arrived late in a planned stop were started and cut by its end: one
// behind a request in progress, or the first of a connection that was just accepted.
func TestNoRequestIsStartedAfterCloseIdle(t *testing.T) {
	var ran atomic.Int64
	release := make(chan struct{})
	s := &Server{Handler: func(_ context.Context, r *Request) *Response {
		ran.Add(1)
		<-release
		return textResponse(200, r.Target)
	}}
	address := startServer(t, s)
	conn, br := dialServer(t, address)
	fmt.Fprint(conn, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
	waitFor(t, func() bool { return ran.Load() == 1 })
	s.CloseAfterResponses()
	s.CloseIdle()
	fmt.Fprint(conn, "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
	late, lateReader := dialServer(t, address)
	fmt.Fprint(late, "GET /3 HTTP/1.1\r\nHost: a\r\n\r\n")
	if _, err := lateReader.ReadByte(); err != io.EOF {
		t.Errorf("read from a connection accepted later: %v, want EOF without a reset", err)
	}
	close(release)
	if resp, body := readTestResponse(t, br); !resp.Close || body != "/1" {
		t.Errorf("the request in progress got %q, closes: %v", body, resp.Close)
	}
	if _, err := br.ReadByte(); err != io.EOF {
		t.Errorf("read after the last response: %v, want EOF", err)
	}
	if ran.Load() != 1 {
		t.Errorf("%d requests were handled, want 1", ran.Load())
	}
}

func TestHopByHopHeadersAreNotForwarded(t *testing.T) {
	h := ForwardableHeaders(http.Header{
		"Connection": {"X-Mine, keep-alive"}, "X-Mine": {"1"}, "Keep-Alive": {"timeout=1"}, "Content-Length": {"1"},
		"Request-Id": {"7"}, "Transfer-Encoding": {"chunked"}, "Expect": {"100-continue"},
	})
	if len(h) != 1 || h.Get("Request-Id") != "7" {
		t.Errorf("forwarded headers %v, want only Request-Id", h)
	}
}

func waitFor(t *testing.T, done func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting for the condition")
		}
	}
}
