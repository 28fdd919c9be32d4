package h1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// writeEndlessly writes head and then part until the connection closes. It returns
// the number of bytes written.
func writeEndlessly(conn net.Conn, head, part string) int64 {
	n := int64(0)
	for text := head; ; text = part {
		w, err := io.WriteString(conn, text)
		n += int64(w)
		if err != nil {
			return n
		}
	}
}

// An upstream in trouble may send bytes that never end, in a header or a body. The
// exchange must fail long before its memory does, the connection must be closed,
// and the error must say that the request may have run.
func TestEndlessResponseFailsInBoundedMemory(t *testing.T) {
	const budget = 4 << 20
	ok := "HTTP/1.1 200 OK\r\n"
	for name, tc := range map[string]struct{ head, part string }{
		"header lines without end":     {ok, "X-Line: " + strings.Repeat("a", 1000) + "\r\n"},
		"a header line without end":    {ok + "X-Line: ", strings.Repeat("a", 4096)},
		"a status line without end":    {"HTTP/1.1 200 ", strings.Repeat("a", 4096)},
		"not a response":               {"", strings.Repeat("\x00\xff", 2048)},
		"a chunked body without end":   {ok + "Transfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("a", 4096) + "\r\n"},
		"a chunk extension":            {ok + "Transfer-Encoding: chunked\r\n\r\n1000;", strings.Repeat("a", 4096)},
		"a body without length":        {ok + "Connection: close\r\n\r\n", strings.Repeat("a", 4096)},
		"a body of huge length":        {ok + "Content-Length: 9000000000000000000\r\n\r\n", strings.Repeat("a", 4096)},
		"interim responses":            {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"interim headers without end":  {"HTTP/1.1 102 Processing\r\n", "X-Line: " + strings.Repeat("a", 1000) + "\r\n"},
		"trailers without end":         {ok + "Transfer-Encoding: chunked\r\nTrailer: X\r\n\r\n0\r\n", "X: " + strings.Repeat("a", 4096) + "\r\n"},
		"responses to other requests":  {"", ok + "Request-Id: other\r\nContent-Length: 3\r\n\r\nold"},
		"a body of another's response": {ok + "Request-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("a", 4096) + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			var s scriptedServer
			var written atomic.Int64
			closed := make(chan struct{})
			address := s.serve(t, func(conn net.Conn, br *bufio.Reader) {
				defer close(closed)
				s.readRequest(br)
				written.Store(writeEndlessly(conn, tc.head, tc.part))
			})
			c := newTestClient()
			c.MaxBufferedBytes = budget
			resp, err := doRequest(c, address, newGet("1"))
			if err == nil || !err.FullySent || err.Failure != ExchangeFailed {
				t.Fatalf("response %+v, error %v; want a failed exchange that was sent", resp, err)
			}
			<-closed
			// Beyond the budget, the buffers of the two sockets hold some bytes.
			if n, limit := written.Load(), int64(budget+16<<20); n > limit {
				t.Errorf("%d bytes were written before the connection closed, want at most %d", n, limit)
			}
			if len(c.idle[address]) != 0 || c.buffered.Load() != 0 {
				t.Errorf("%d idle connections and %d buffered bytes are left", len(c.idle[address]), c.buffered.Load())
			}
		})
	}
}

// Bodies that are read at the same time share one budget.
func TestEndlessBodiesShareOneBudget(t *testing.T) {
	const budget, bodies = 8 << 20, 16
	var s scriptedServer
	address := s.serve(t, func(conn net.Conn, br *bufio.Reader) {
		s.readRequest(br)
		writeEndlessly(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", strings.Repeat("a", 4096))
	})
	c := newTestClient()
	c.MaxBufferedBytes = budget
	results := make(chan *Error, bodies)
	for range bodies {
		go func() {
			_, err := doRequest(c, address, newGet("1"))
			results <- err
		}()
	}
	for range bodies {
		if err := <-results; err == nil {
			t.Error("an endless body was read to its end")
		}
	}
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	if m.HeapAlloc > 4*budget {
		t.Errorf("%d bytes of heap are in use after all bodies", m.HeapAlloc)
	}
}

// The budget bounded the bytes that were read, and not the buffers that held them and
// their predecessors: bodies without end took several times the budget, and a node of
// 134 MB exceeded its memory.
func TestEndlessBodyAllocatesNoMoreThanItsBudget(t *testing.T) {
	const (
		budget = 8 << 20
		// connectionBytes is ample for the two ends of a connection.
		connectionBytes = 1 << 20
	)
	for name, head := range map[string]string{
		"without length": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
		"of huge length": "HTTP/1.1 200 OK\r\nContent-Length: 33000000\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var s scriptedServer
			part := []byte(strings.Repeat("a", 64<<10))
			address := s.serve(t, func(conn net.Conn, br *bufio.Reader) {
				s.readRequest(br)
				_, err := io.WriteString(conn, head)
				// Nothing is allocated for each write, which would count.
				for err == nil {
					_, err = conn.Write(part)
				}
			})
			c := newTestClient()
			c.MaxBufferedBytes = budget
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			if _, err := doRequest(c, address, newGet("1")); err == nil {
				t.Error("an endless body was read to its end")
			}
			runtime.ReadMemStats(&after)
			if n := after.TotalAlloc - before.TotalAlloc; n > budget+connectionBytes {
				t.Errorf("%d bytes were allocated, want at most %d", n, budget+connectionBytes)
			}
		})
	}
}

// A body of a byte now and then is ended by the deadline of the request.
func TestSlowEndlessBodyEndsAtTheDeadline(t *testing.T) {
	var s scriptedServer
	closed := make(chan struct{})
	address := s.serve(t, func(conn net.Conn, br *bufio.Reader) {
		defer close(closed)
		s.readRequest(br)
		_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
		for err == nil {
			time.Sleep(20 * time.Millisecond)
			_, err = io.WriteString(conn, "a")
		}
	})
	c := newTestClient()
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	_, err := c.Do(ctx, address, newGet("1"))
	if e, ok := err.(*Error); !ok || e.Failure != ContextEnded || !e.FullySent {
		t.Errorf("error %v, want the end of the context", err)
	}
	<-closed
}

// The context may end at the moment at which the first byte arrives, when the limit
// on the first byte is lifted. The exchange must end all the same.
func TestContextThatEndsAtTheFirstByteEndsTheExchange(t *testing.T) {
	var s scriptedServer
	release := make(chan struct{})
	defer close(release)
	address := s.serve(t, func(conn net.Conn, br *bufio.Reader) {
		s.readRequest(br)
		_, _ = io.WriteString(conn, "HTTP/1.1 102 Processing\r\n\r\n")
		<-release
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	req := newGet("1")
	req.FirstByteTimeout = testTimeout
	req.OnFirstByte = func() {
		cancel()
		// Do sets the deadline to the past in a goroutine of its own.
		time.Sleep(50 * time.Millisecond)
	}
	done := make(chan error, 1)
	go func() {
		_, err := newTestClient().Do(ctx, address, req)
		done <- err
	}()
	select {
	case err := <-done:
		if e, ok := err.(*Error); !ok || e.Failure != ContextEnded {
			t.Errorf("error %v, want the end of the context", err)
		}
	case <-time.After(5 * time.Second):
		t.Error("the exchange goes on after its context has ended")
	}
}

// A handler that panics ends its connection with a response that does not say
// whether the request ran; other connections and the process go on.
func TestPanicOfAHandlerCostsItsConnection(t *testing.T) {
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	s := &Server{
		Handler: func(_ context.Context, r *Request) *Response {
			if r.Target == "/panic" {
				panic("a fault of the handler")
			}
			return &Response{Status: http.StatusOK, Header: http.Header{}}
		},
		Limits: func() Limits {
			return Limits{HeaderBytes: 4 << 10, BodyBytes: 1 << 20, HeaderTimeout: testTimeout, IdleTimeout: testTimeout}
		},
		RefusalResponse:  func(status int, _ string) *Response { return &Response{Status: status, Header: http.Header{}} },
		MaxBufferedBytes: 1 << 20,
	}
	go func() { _ = s.Serve(l) }()
	c := newTestClient()
	bad := newGet("1")
	bad.Target = "/panic"
	resp, exchangeErr := doRequest(c, l.Addr().String(), bad)
	if exchangeErr != nil || resp.Status != http.StatusBadGateway || len(c.idle[l.Addr().String()]) != 0 {
		t.Errorf("response %+v, error %v; want status 502 on a connection that closes", resp, exchangeErr)
	}
	if resp, exchangeErr := doRequest(c, l.Addr().String(), newGet("2")); exchangeErr != nil || resp.Status != http.StatusOK {
		t.Errorf("the next request: %+v, %v", resp, exchangeErr)
	}
	if s.Panics() != 1 {
		t.Errorf("%d panics counted, want 1", s.Panics())
	}
	// A request counts as active until after its response is written.
	for end := time.Now().Add(testTimeout); s.ActiveRequests() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d requests stay active", s.ActiveRequests())
		}
	}
}
