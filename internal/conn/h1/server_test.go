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

// patience bounds what a test waits for; it is no figure that is checked.
const patience = 10 * time.Second

var testLimits = Limits{HeaderBytes: 4 << 10, BodyBytes: 1 << 20, HeaderTimeout: patience, IdleTimeout: patience}

func serveTest(t *testing.T, s *Server) string {
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

func dialTest(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(patience))
	return conn, bufio.NewReader(conn)
}

func text(status int, body string) *Response {
	return &Response{Status: status, Header: http.Header{}, Body: []byte(body)}
}

func readAnswer(t *testing.T, br *bufio.Reader) (*http.Response, string) {
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

func TestPipelinedRequestsRunSideBySideAndAreAnsweredInOrder(t *testing.T) {
	second := make(chan struct{})
	address := serveTest(t, &Server{Handler: func(_ context.Context, r *Request) *Response {
		if r.Target == "/1" {
			<-second
		} else {
			close(second)
		}
		return text(200, r.Target)
	}})
	conn, br := dialTest(t, address)
	fmt.Fprint(conn, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
	for _, want := range []string{"/1", "/2"} {
		if _, got := readAnswer(t, br); got != want {
			t.Fatalf("answer %q, want %q", got, want)
		}
	}
}

func TestCallerThatLeavesIsNoticedAlthoughItsBytesLieUnread(t *testing.T) {
	for name, sent := range map[string]string{
		"one request":          "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n",
		"pipelined":            "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n",
		"last of connection":   "GET /1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n",
		"half a second header": "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HT",
	} {
		t.Run(name, func(t *testing.T) {
			began, left := make(chan struct{}, 2), make(chan struct{}, 2)
			address := serveTest(t, &Server{Handler: func(ctx context.Context, r *Request) *Response {
				began <- struct{}{}
				<-ctx.Done()
				left <- struct{}{}
				return nil
			}})
			conn, _ := dialTest(t, address)
			fmt.Fprint(conn, sent)
			<-began
			_ = conn.Close()
			select {
			case <-left:
			case <-time.After(patience):
				t.Fatal("the handler was not told")
			}
		})
	}
}

func TestRequestsThatBreakALimitAreRefusedAndNotRun(t *testing.T) {
	var ran atomic.Int64
	limits := testLimits
	limits.BodyBytes = 10
	limits.HeaderTimeout = 50 * time.Millisecond
	address := serveTest(t, &Server{
		Handler: func(context.Context, *Request) *Response { ran.Add(1); return text(200, "") },
		Limits:  func() Limits { return limits },
	})
	for _, tc := range []struct {
		name, sent string
		want       int
	}{
		{"not HTTP", "what is this\r\n\r\n", 400},
		{"body too large", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 11\r\n\r\n", 413},
		{"chunked body too large", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nb\r\n01234567890\r\n0\r\n\r\n", 413},
		{"header too large", "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 20<<10) + "\r\n\r\n", 431},
		{"header not ended", "GET / HTTP/1.1\r\nHost:", 408},
		{"two lengths", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400},
	} {
		t.Run(tc.name, func(t *testing.T) {
			conn, br := dialTest(t, address)
			fmt.Fprint(conn, tc.sent)
			resp, _ := readAnswer(t, br)
			if resp.StatusCode != tc.want || !resp.Close {
				t.Errorf("status %d, close %v; want %d and the end", resp.StatusCode, resp.Close, tc.want)
			}
		})
	}
	if ran.Load() != 0 {
		t.Errorf("%d ran", ran.Load())
	}
}

func TestBodiesBeyondTheMemoryForThemAreRefusedAsNotRun(t *testing.T) {
	address := serveTest(t, &Server{
		Handler: func(context.Context, *Request) *Response { return text(200, "") }, MaxBufferedBytes: 100,
	})
	conn, br := dialTest(t, address)
	fmt.Fprint(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 101\r\n\r\n")
	if resp, _ := readAnswer(t, br); resp.StatusCode != 503 {
		t.Errorf("status %d", resp.StatusCode)
	}
}

// The last request that a closing server has passed on ends the connection;
// one that crosses the close is not passed on.
func TestClosingServerAnswersAllThatItPassedOn(t *testing.T) {
	var ran atomic.Int64
	release := make(chan struct{})
	s := &Server{Handler: func(_ context.Context, r *Request) *Response {
		ran.Add(1)
		<-release
		return text(200, r.Target)
	}}
	address := serveTest(t, s)
	conn, br := dialTest(t, address)
	fmt.Fprint(conn, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
	waitFor(t, func() bool { return ran.Load() == 2 })
	s.CloseAfterResponses()
	close(release)
	first, _ := readAnswer(t, br)
	last, body := readAnswer(t, br)
	if first.Close || !last.Close || body != "/2" {
		t.Errorf("first closes %v, last %v with %q", first.Close, last.Close, body)
	}
	fmt.Fprint(conn, "GET /3 HTTP/1.1\r\nHost: a\r\n\r\n")
	if _, err := br.ReadByte(); err != io.EOF {
		t.Errorf("after the last answer: %v", err)
	}
	if ran.Load() != 2 {
		t.Errorf("%d ran", ran.Load())
	}
}

func TestClosingServerEndsIdleConnectionsInOrder(t *testing.T) {
	s := &Server{Handler: func(context.Context, *Request) *Response { return text(200, "") }}
	conn, br := dialTest(t, serveTest(t, s))
	fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	readAnswer(t, br)
	s.CloseIdle()
	if _, err := br.ReadByte(); err != io.EOF {
		t.Errorf("idle connection: %v, want its end without a reset", err)
	}
}

func TestHeadersOfOneConnectionAreNotPassedOn(t *testing.T) {
	h := ForwardableHeaders(http.Header{
		"Connection": {"X-Mine, keep-alive"}, "X-Mine": {"1"}, "Keep-Alive": {"timeout=1"}, "Content-Length": {"1"},
		"Request-Id": {"7"}, "Transfer-Encoding": {"chunked"}, "Expect": {"100-continue"},
	})
	if len(h) != 1 || h.Get("Request-Id") != "7" {
		t.Errorf("%v", h)
	}
}

func waitFor(t *testing.T, done func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("waited in vain")
		}
	}
}
