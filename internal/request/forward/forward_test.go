package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/dial"
	"github.com/daisytide/daisytide/internal/request/call"
	"github.com/daisytide/daisytide/internal/standin/rawserver"
)

// rawUpstream answers every request, except that it closes the connection after
// reading one to /cut. It counts both kinds.
type rawUpstream struct {
	address       string
	answered, cut atomic.Int64
}

func startRawUpstream(t *testing.T) *rawUpstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	u := &rawUpstream{address: l.Addr().String()}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(conn)
		}
	}()
	return u
}

func (u *rawUpstream) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path == "/cut" {
			u.cut.Add(1)
			return
		}
		u.answered.Add(1)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

// send makes one attempt and reads the complete response.
func send(t *testing.T, tr http.RoundTripper, address, method, path, body string, idempotent bool) call.Result {
	t.Helper()
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set(call.HeaderIdempotencyKey, "k1")
	b, err := NewBody(r)
	if err != nil {
		t.Fatal(err)
	}
	reader, end := b.NewAttemptReader()
	defer end()
	a := Attempt{Transport: tr, Scheme: "http", Host: address, Body: reader, ContentLength: b.Size(), Idempotent: idempotent, SetHeaders: func(http.Header) {}}
	resp, res := a.Send(context.Background(), r)
	if res.Code != api.OK {
		return res
	}
	return WriteResponse(context.Background(), httptest.NewRecorder(), resp, time.Now().Add(time.Minute))
}

func TestTransportNeverReplaysNonIdempotentCalls(t *testing.T) {
	for _, tc := range []struct{ name, method, body string }{
		{"keyed post without a body", http.MethodPost, ""},
		{"keyed post with a body", http.MethodPost, "credit"},
		{"get on a route that is not idempotent", http.MethodGet, ""},
		{"delete", http.MethodDelete, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			u := startRawUpstream(t)
			tr := dial.UpstreamTransport(1)
			if res := send(t, tr, u.address, tc.method, "/first", tc.body, false); res.Code != api.OK {
				t.Fatalf("first call: %+v", res)
			}
			res := send(t, tr, u.address, tc.method, "/cut", tc.body, false)
			if res.Ran != api.RanUnknown || res.Code != api.CallCut {
				t.Errorf("result after the connection was cut: %+v", res)
			}
			if n := u.cut.Load(); n != 1 {
				t.Errorf("the call was sent %d times, want 1", n)
			}
		})
	}
}

func TestNotRunIsReportedOnlyIfNothingWasSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	res := send(t, dial.UpstreamTransport(1), address, http.MethodPost, "/x", "credit", false)
	if res.Ran != api.RanNo || res.Code != api.CallNotReached {
		t.Errorf("result after a refused connection: %+v", res)
	}
}

// failingConn accepts part of the first write and then fails.
type failingConn struct {
	net.Conn
	accept int
}

func (c *failingConn) Write(b []byte) (int, error) {
	if c.accept == 0 {
		return 0, io.ErrClosedPipe
	}
	return min(c.accept, len(b)), io.ErrClosedPipe
}

func TestPartlyWrittenHeaderIsNotReportedAsNotRun(t *testing.T) {
	for _, tc := range []struct {
		accept int
		want   api.Ran
	}{{0, api.RanNo}, {1, api.RanUnknown}, {40, api.RanUnknown}} {
		tr := dial.UpstreamTransport(1)
		tr.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := net.Dial(network, address)
			return &dial.WriteCountingConn{Conn: &failingConn{Conn: c, accept: tc.accept}}, err
		}
		res := send(t, tr, startRawUpstream(t).address, http.MethodPost, "/x", "credit", false)
		if res.Ran != tc.want {
			t.Errorf("after %d bytes written: ran %q, want %q (%v)", tc.accept, res.Ran, tc.want, res.Err)
		}
	}
}

// forwardRaw sends a raw response through WriteResponse and returns what the caller
// receives.
func forwardRaw(t *testing.T, method, raw string) (call.Result, *httptest.ResponseRecorder) {
	t.Helper()
	near, far := net.Pipe()
	go func() {
		r, err := http.ReadRequest(bufio.NewReader(far))
		if err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(far, raw)
		}
		_ = far.Close()
	}()
	tr := &http.Transport{DisableCompression: true, DialContext: func(context.Context, string, string) (net.Conn, error) { return near, nil }}
	r := httptest.NewRequest(method, "/x", nil)
	a := Attempt{Transport: tr, Scheme: "http", Host: "upstream", Body: http.NoBody, SetHeaders: func(http.Header) {}}
	resp, res := a.Send(context.Background(), r)
	if res.Code != api.OK {
		t.Fatalf("no response: %+v", res)
	}
	w := httptest.NewRecorder()
	return WriteResponse(context.Background(), w, resp, time.Now().Add(time.Minute)), w
}

func TestResponsesAreCompleteOrAnError(t *testing.T) {
	for _, tc := range []struct {
		name, method, raw string
		code              api.Code
		sent              bool
		body              string
	}{
		{"whole", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", api.OK, true, "whole"},
		{"short of its length", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nwhole", api.CallShortAnswer, true, "whole"},
		{"chunks without the last", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n", api.CallShortAnswer, true, "whole"},
		{"no length and no chunks", "GET", "HTTP/1.1 200 OK\r\n\r\nwhole", api.CallShortAnswer, false, ""},
		{"head has a length and no body", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", api.OK, true, ""},
		{"head without a length", "HEAD", "HTTP/1.1 200 OK\r\n\r\n", api.OK, true, ""},
		{"no content", "GET", "HTTP/1.1 204 No Content\r\n\r\n", api.OK, true, ""},
		{"not modified", "GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", api.OK, true, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			res, w := forwardRaw(t, tc.method, tc.raw)
			if res.Code != tc.code || res.HeaderSent != tc.sent || w.Body.String() != tc.body {
				t.Errorf("%+v, body %q", res, w.Body)
			}
		})
	}
}

// A status below 100 or 101 unasked was forwarded, with the response after it as its body.
func TestMalformedStatusesAreFailures(t *testing.T) {
	for _, head := range []string{"000 Odd\r\n", "001 Odd\r\nContent-Length: 0\r\n", "+99\r\n", "101 Odd\r\n", "101 Odd\r\nUpgrade: other\r\nConnection: Upgrade\r\n"} {
		s := rawserver.Start(t, func(*http.Request) (string, bool) {
			return "HTTP/1.1 " + head + "\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", false
		})
		tr := dial.UpstreamTransport(1)
		for n := int64(1); n <= 2; n++ {
			res := send(t, tr, s.Address, http.MethodPost, "/x", "body", false)
			if res.Code != api.CallCut || res.Ran != api.RanUnknown || res.Status != http.StatusBadGateway || s.Conns() != n {
				t.Errorf("%q: %+v, %d connections after %d responses", head, res, s.Conns(), n)
			}
		}
	}
}

// A response with a blank in the name of a field was forwarded, with that line or, where
// the name without the blank frames the message, with another body.
func TestMalformedResponsesAreFailures(t *testing.T) {
	for _, line := range []string{"X Y: 1", "X : 1", "Content-Length : 5", "Transfer-Encoding : chunked", "X\x01: 1"} {
		for _, text := range []string{
			"HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 5\r\n\r\nhello",
			"HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 0\r\n\r\n",
			"HTTP/1.1 200 OK\r\n" + line + "\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
			"HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
		} {
			s := rawserver.Start(t, func(*http.Request) (string, bool) { return text, false })
			tr := dial.UpstreamTransport(1)
			for n := int64(1); n <= 2; n++ {
				res := send(t, tr, s.Address, http.MethodPost, "/x", "body", false)
				if res.Code != api.CallCut || res.Ran != api.RanUnknown || !strings.Contains(fmt.Sprint(res.Err), "malformed") {
					t.Errorf("%q: %+v", text, res)
				}
				if s.Conns() != n {
					t.Errorf("%q: %d connections after %d responses", text, s.Conns(), n)
				}
			}
		}
	}
	res, _ := forwardRaw(t, "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX Y: 1\r\n\r\n")
	if res.Code != api.CallShortAnswer || !res.HeaderSent {
		t.Errorf("malformed trailer: %+v", res)
	}
}

func TestTrailersAreForwardedAndHopHeadersDropped(t *testing.T) {
	_, w := forwardRaw(t, "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: Sum\r\n"+
		"Connection: X-Hop\r\nX-Hop: 1\r\nKeep-Alive: 5\r\nX-Kept: 1\r\n\r\n2\r\nok\r\n0\r\nSum: 7\r\n\r\n")
	got := w.Result()
	if got.Trailer.Get("Sum") != "7" {
		t.Errorf("trailers: %v", got.Trailer)
	}
	if got.Header.Get("X-Hop")+got.Header.Get("Keep-Alive")+got.Header.Get("Connection") != "" || got.Header.Get("X-Kept") != "1" {
		t.Errorf("headers: %v", got.Header)
	}
}

func TestUnreadBodyStaysReplayable(t *testing.T) {
	r := httptest.NewRequest("POST", "/x", strings.NewReader(strings.Repeat("b", MaxBufferedBytes+1)))
	b, err := NewBody(r)
	if err != nil || !b.Streamed() {
		t.Fatalf("%v, streamed %v", err, b.Streamed())
	}
	first, end := b.NewAttemptReader()
	_ = first.Close()
	end()
	if _, err := first.Read(make([]byte, 1)); err == nil || !b.Replayable() {
		t.Fatal("an ended attempt has read the body")
	}
	second, _ := b.NewAttemptReader()
	if n, _ := io.Copy(io.Discard, second); n != MaxBufferedBytes+1 || b.Replayable() {
		t.Errorf("the second attempt read %d bytes", n)
	}
}
