package h1

import (
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

// Callers that read nothing held the memory for responses; it must be taken from the
// one that holds much without progress, not from one that reads.
func TestLargestHolderWithoutProgressIsDisconnected(t *testing.T) {
	b := &Budget{MaxResponses: 1 << 20}
	aborted := make(chan string, 4)
	add := func(name string, bytes int64, stalled time.Duration) {
		conn, _ := net.Pipe()
		h := b.hold(conn, func() { aborted <- name })
		h.add(bytes)
		h.progressNanos.Store(time.Now().Add(-stalled).UnixNano())
		b.addResponse(bytes)
	}
	add("small", minDisconnectBytes-1, time.Hour)
	add("large and reading", 300<<10, 10*time.Millisecond)
	add("large and stalled", 300<<10, 10*time.Second)
	add("larger and reading", 450<<10, 20*time.Millisecond)
	if got := <-aborted; got != "large and stalled" {
		t.Errorf("disconnected %q", got)
	}
	if b.Disconnected() != 1 {
		t.Errorf("%d connections disconnected, want 1", b.Disconnected())
	}
}

func TestRequestsAreRefusedBeforeTheyRunWhileMemoryIsExhausted(t *testing.T) {
	b := &Budget{Max: 1000}
	var ran atomic.Int64
	address := startServer(t, &Server{Budget: b, Handler: func(context.Context, *Request) *Response {
		ran.Add(1)
		return textResponse(200, "")
	}})
	conn, br := dialServer(t, address)
	b.used.Store(990)
	fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	if resp, _ := readTestResponse(t, br); resp.StatusCode != http.StatusServiceUnavailable || ran.Load() != 0 || b.Refused() != 1 {
		t.Errorf("status %d, %d runs, %d refused; want 503, 0, 1", resp.StatusCode, ran.Load(), b.Refused())
	}
	b.used.Store(0)
	fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	if resp, _ := readTestResponse(t, br); resp.StatusCode != 200 || ran.Load() != 1 {
		t.Errorf("afterwards status %d, %d runs; want 200, 1", resp.StatusCode, ran.Load())
	}
}

// Pipelined requests whose responses are not read started one after the other, and all
// their responses were held.
func TestNoRequestIsReadWhileResponsesAreNotReceived(t *testing.T) {
	const more, size = 20, 16 << 20
	body := make([]byte, size)
	var ran atomic.Int64
	address := startServer(t, &Server{MaxHeldBytes: 1 << 20, Handler: func(context.Context, *Request) *Response {
		ran.Add(1)
		return &Response{Status: 200, Header: http.Header{}, Body: body}
	}})
	conn, br := dialServer(t, address)
	fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	if _, err := br.Peek(1); err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(conn, strings.Repeat("GET / HTTP/1.1\r\nHost: a\r\n\r\n", more))
	time.Sleep(100 * time.Millisecond)
	// The reader may wait for one request when the first response begins to be written.
	if n := ran.Load(); n > 2 {
		t.Errorf("%d requests ran before the first response was received", n)
	}
	for range more + 1 {
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Fatal(err)
		}
		if n, err := io.Copy(io.Discard, resp.Body); n != size || err != nil {
			t.Fatalf("%d bytes, %v", n, err)
		}
	}
}

// A response that is being written must not be cut when the server closes idle
// connections, and no later request may start.
func TestCloseIdleDoesNotCutAResponseInTransfer(t *testing.T) {
	const size = 16 << 20
	body := make([]byte, size)
	var ran atomic.Int64
	s := &Server{Handler: func(context.Context, *Request) *Response {
		ran.Add(1)
		return &Response{Status: 200, Header: http.Header{}, Body: body}
	}}
	conn, br := dialServer(t, startServer(t, s))
	fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	if _, err := br.Peek(1); err != nil {
		t.Fatal(err)
	}
	s.CloseIdle()
	fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		t.Fatal(err)
	}
	if n, err := io.Copy(io.Discard, resp.Body); n != size || err != nil {
		t.Errorf("%d bytes, %v", n, err)
	}
	if _, err := br.ReadByte(); err == nil {
		t.Error("the connection goes on")
	}
	if ran.Load() != 1 {
		t.Errorf("%d requests ran, want 1", ran.Load())
	}
}

// The memory for bodies was taken by declared lengths: a few callers that sent nothing
// kept it from all others.
func TestDeclaredBodyThatNeverComesTakesNoMemory(t *testing.T) {
	const size = 1 << 20
	s := &Server{MaxBufferedBytes: size + 64, Handler: func(_ context.Context, r *Request) *Response {
		return textResponse(200, fmt.Sprint(len(r.Body)))
	}}
	address := startServer(t, s)
	for range 15 {
		conn, _ := dialServer(t, address)
		fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", 64)
		other, _ := dialServer(t, address)
		fmt.Fprintf(other, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", size)
	}
	for end := time.Now().Add(testTimeout); s.BufferedBytes.Load() == 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	conn, br := dialServer(t, address)
	fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\n%s", strings.Repeat("a", 1000))
	if resp, text := readTestResponse(t, br); resp.StatusCode != 200 || text != "1000" {
		t.Errorf("status %d, body %q", resp.StatusCode, text)
	}
}

// Silent connections took all descriptors. At the limit, the oldest one without a
// request makes room, and one with a running request does not.
func TestConnLimitClosesSilentConnectionsOnly(t *testing.T) {
	limit := &ConnLimit{Name: "test", Max: 3, BusyGrace: time.Hour}
	began, finish := make(chan struct{}), make(chan struct{})
	address := startServer(t, &Server{ConnLimit: limit, Handler: func(_ context.Context, r *Request) *Response {
		if r.Target == "/slow" {
			close(began)
			<-finish
		}
		return textResponse(200, r.Target)
	}})
	slow, slowReader := dialServer(t, address)
	fmt.Fprint(slow, "GET /slow HTTP/1.1\r\nHost: a\r\n\r\n")
	<-began
	for range 10 {
		conn, _ := dialServer(t, address)
		fmt.Fprint(conn, "GET / HT")
	}
	conn, br := dialServer(t, address)
	fmt.Fprint(conn, "GET /quick HTTP/1.1\r\nHost: a\r\n\r\n")
	if _, text := readTestResponse(t, br); text != "/quick" {
		t.Errorf("response %q", text)
	}
	if n := limit.Open(); n > limit.Max {
		t.Errorf("%d connections are open, want at most %d", n, limit.Max)
	}
	close(finish)
	if _, text := readTestResponse(t, slowReader); text != "/slow" {
		t.Errorf("response %q to the running request", text)
	}
}

// failingListener fails each second accept.
type failingListener struct {
	net.Listener
	accepts int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.accepts++; l.accepts%2 == 1 {
		return nil, fmt.Errorf("accept: out of descriptors")
	}
	return l.Listener.Accept()
}

// An accept that fails must not end a listener of an http.Server, and with it the node.
func TestFailedAcceptDoesNotEndTheListener(t *testing.T) {
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	limit := &ConnLimit{Name: "test", Max: 16}
	s := &http.Server{ConnState: limit.ConnState, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	go func() { _ = s.Serve(limit.Listen(&failingListener{Listener: l})) }()
	defer s.Close()
	for range 3 {
		conn, br := dialServer(t, l.Addr().String())
		fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
		if resp, _ := readTestResponse(t, br); resp.StatusCode != http.StatusOK {
			t.Errorf("status %d", resp.StatusCode)
		}
	}
	if limit.AcceptErrors() < 3 {
		t.Errorf("%d failed accepts counted", limit.AcceptErrors())
	}
}

// 16,640 pipelined requests at a time took a process of 184 MB to 206 MB. Beyond the
// total, few requests of a connection are read at a time, and all are answered.
func TestFewPipelinedRequestsAreReadAtATimeBeyondTheTotal(t *testing.T) {
	const requests = 100
	b := &Budget{MaxTotal: 1}
	var ran atomic.Int64
	finish := make(chan struct{})
	address := startServer(t, &Server{Budget: b, Handler: func(context.Context, *Request) *Response {
		ran.Add(1)
		<-finish
		return textResponse(200, "")
	}})
	conn, br := dialServer(t, address)
	fmt.Fprint(conn, strings.Repeat("GET / HTTP/1.1\r\nHost: a\r\n\r\n", requests))
	time.Sleep(100 * time.Millisecond)
	if n := ran.Load(); n > minPipelined {
		t.Errorf("%d requests run, want at most %d", n, minPipelined)
	}
	close(finish)
	for range requests {
		if resp, _ := readTestResponse(t, br); resp.StatusCode != 200 {
			t.Fatalf("status %d", resp.StatusCode)
		}
	}
	if ran.Load() != requests {
		t.Errorf("%d requests ran, want %d", ran.Load(), requests)
	}
}
