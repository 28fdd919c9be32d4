package h1

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// chunkedRequest is a request with a chunked body of n bytes.
func chunkedRequest(n int) string {
	return "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" +
		fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", n, strings.Repeat("a", n))
}

// A chunked body above the memory for bodies but within the caller's limit must be
// refused; cut to the memory, it would run as another request than the caller's.
func TestChunkedBodyAboveTheMemoryIsRefusedNotCut(t *testing.T) {
	handled := make(chan int, 1)
	address := startServer(t, &Server{MaxBufferedBytes: 64 << 10, Handler: func(_ context.Context, r *Request) *Response {
		handled <- len(r.Body)
		return textResponse(http.StatusOK, "")
	}})
	conn, br := dialServer(t, address)
	go func() { _, _ = io.WriteString(conn, chunkedRequest(256<<10)) }()
	if resp, _ := readTestResponse(t, br); resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("status %d, want 503", resp.StatusCode)
	}
	select {
	case n := <-handled:
		t.Errorf("a body of %d bytes was handled", n)
	default:
	}
}

// Chunked bodies that are being received count against the memory of all bodies.
func TestChunkedBodiesShareTheMemory(t *testing.T) {
	s := &Server{MaxBufferedBytes: 64 << 10, Handler: func(context.Context, *Request) *Response { return textResponse(http.StatusOK, "") }}
	address := startServer(t, s)
	first, _ := dialServer(t, address)
	if _, err := io.WriteString(first, strings.TrimSuffix(chunkedRequest(48<<10), "0\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(testTimeout); s.BufferedBytes.Load() < 48<<10; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes counted of a chunked body in transfer", s.BufferedBytes.Load())
		}
	}
	second, br := dialServer(t, address)
	go func() { _, _ = io.WriteString(second, chunkedRequest(48<<10)) }()
	if resp, _ := readTestResponse(t, br); resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("status %d beside a body of 48 KiB, want 503", resp.StatusCode)
	}
	if _, err := io.WriteString(first, "0\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(testTimeout); s.BufferedBytes.Load() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes are still counted", s.BufferedBytes.Load())
		}
	}
}

// An interim response ahead of the response to an earlier request would be taken for
// that request's.
func TestInterimResponseDoesNotPrecedeAnEarlierResponse(t *testing.T) {
	release := make(chan struct{})
	address := startServer(t, &Server{Handler: func(_ context.Context, r *Request) *Response {
		if r.Target == "/1" {
			<-release
		}
		return textResponse(http.StatusOK, r.Target)
	}})
	conn, br := dialServer(t, address)
	if _, err := io.WriteString(conn, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nPOST /2 HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if b, err := br.Peek(1); err == nil {
		t.Errorf("received %q before the first response", b)
	}
	_ = conn.SetReadDeadline(time.Now().Add(testTimeout))
	close(release)
	if resp, body := readTestResponse(t, br); resp.StatusCode != http.StatusOK || body != "/1" {
		t.Errorf("first response: %d %q", resp.StatusCode, body)
	}
}

// A handler may take longer than the idle timeout before it asks for the body.
func TestDeferredBodyMayBeRequestedAfterTheIdleTimeout(t *testing.T) {
	limits := testLimits
	limits.IdleTimeout = 50 * time.Millisecond
	address := startServer(t, &Server{DeferContinue: true, Limits: func() Limits { return limits }, Handler: func(ctx context.Context, r *Request) *Response {
		time.Sleep(4 * limits.IdleTimeout)
		body, err := r.ReadBody()
		if err != nil || ctx.Err() != nil {
			return textResponse(http.StatusBadGateway, "")
		}
		return textResponse(http.StatusOK, string(body))
	}})
	c := newTestClient()
	req := newGet("1")
	req.Method, req.Body, req.ExpectContinue = "POST", []byte("body"), true
	if resp, err := doRequest(c, address, req); err != nil || resp.Status != http.StatusOK || string(resp.Body) != "body" {
		t.Errorf("%+v, %v", resp, err)
	}
}

// A sender that was asked for its body and stays silent, on a connection that is never
// closed, must not keep the handler waiting beyond the idle timeout.
func TestDeferredBodyThatNeverComesEndsTheWait(t *testing.T) {
	limits := testLimits
	limits.IdleTimeout = 50 * time.Millisecond
	read := make(chan error, 1)
	address := startServer(t, &Server{DeferContinue: true, Limits: func() Limits { return limits }, Handler: func(_ context.Context, r *Request) *Response {
		_, err := r.ReadBody()
		read <- err
		return textResponse(http.StatusOK, "")
	}})
	conn, _ := dialServer(t, address)
	if _, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-read:
		if err == nil {
			t.Error("a body was read that was never sent")
		}
	case <-time.After(testTimeout / 2):
		t.Error("the handler still waits for the body")
	}
}
