package h1

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// fuzzAllocBytes is what a connection may allocate for each byte that it is sent, and
// fuzzBaseBytes what it may allocate besides: buffers, the refusal and its goroutines.
const (
	fuzzAllocBytes = 64
	fuzzBaseBytes  = 512 << 10
)

// serveBytes sends bytes on one connection, closes it and waits until the server has
// done with it. It checks that what is allocated, and what the budget counts, is
// bounded by what was sent.
func serveBytes(t *testing.T, sent []byte) {
	limits := Limits{HeaderBytes: 4 << 10, BodyBytes: 16 << 10, HeaderTimeout: time.Second, IdleTimeout: time.Second}
	var largestBody atomic.Int64
	s := &Server{
		Handler: func(_ context.Context, r *Request) *Response {
			largestBody.Store(max(largestBody.Load(), int64(len(r.Body))))
			return &Response{Status: 200, Header: http.Header{}}
		},
		Limits:           func() Limits { return limits },
		RefusalResponse:  func(status int, _ string) *Response { return &Response{Status: status, Header: http.Header{}} },
		MaxBufferedBytes: 64 << 10,
		Budget:           &Budget{Max: 1 << 20, MaxResponses: 1 << 20},
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	clientEnd, serverEnd := net.Pipe()
	limit := &ConnLimit{}
	c := s.addConn(serverEnd, &connSlot{limit: limit, conn: serverEnd})
	ended := make(chan struct{})
	go func() {
		c.readRequests()
		close(ended)
	}()
	go func() { _, _ = io.Copy(io.Discard, clientEnd) }()
	_ = clientEnd.SetDeadline(time.Now().Add(testTimeout))
	_, _ = io.Copy(clientEnd, bytes.NewReader(sent))
	_ = clientEnd.Close()
	<-ended
	for end := time.Now().Add(testTimeout); s.ActiveRequests() > 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	runtime.ReadMemStats(&after)
	if n, most := after.TotalAlloc-before.TotalAlloc, uint64(fuzzBaseBytes+fuzzAllocBytes*len(sent)); n > most {
		t.Errorf("%d bytes were allocated for %d bytes, want at most %d", n, len(sent), most)
	}
	if n := largestBody.Load(); n > limits.BodyBytes {
		t.Errorf("a body of %d bytes was handled", n)
	}
	if used, buffered := s.Budget.Used(), s.BufferedBytes.Load(); used != 0 || buffered != 0 || c.holder.bytes.Load() != 0 {
		t.Errorf("%d bytes of the budget, %d of bodies and %d of the connection are left", used, buffered, c.holder.bytes.Load())
	}
}

// FuzzRequestHead checks that heads of any bytes take bounded memory and give it back.
func FuzzRequestHead(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n"))
	f.Add([]byte("\r\n\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n"))
	f.Add([]byte("GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("A:\r\n", 3000)))
	f.Add([]byte("GET / HTTP/1.1\r\nX: " + strings.Repeat("a", 9000)))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9000000000000000000\r\n\r\n"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9000\r\nExpect: 100-continue\r\n\r\n"))
	f.Fuzz(serveBytes)
}

// FuzzChunkedBody checks the same of chunked bodies.
func FuzzChunkedBody(f *testing.F) {
	f.Add([]byte("3\r\nabc\r\n0\r\n\r\n"))
	f.Add([]byte("3;x=y\r\nabc\r\n0\r\nX: y\r\n\r\n"))
	f.Add([]byte(strings.Repeat("0", 9000)))
	f.Add([]byte("1;" + strings.Repeat("a", 9000)))
	f.Add([]byte(strings.Repeat("1\r\na\r\n", 3000)))
	f.Add([]byte("0\r\n" + strings.Repeat("X: y\r\n", 2000)))
	f.Add([]byte(fmt.Sprintf("%x\r\n%s", 20<<10, strings.Repeat("a", 20<<10))))
	f.Fuzz(func(t *testing.T, body []byte) {
		serveBytes(t, append([]byte("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n"), body...))
	})
}
