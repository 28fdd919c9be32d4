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
)

// wholeResponses are responses of a server to a request with the ID 7, by what frames
// them. Cut anywhere, none of them may pass for a whole one.
var wholeResponses = map[string]struct{ method, text, body string }{
	"length":            {"GET", "HTTP/1.1 200 OK\r\nRequest-Id: 7\r\nContent-Length: 12\r\nResponse-Signature: s\r\n\r\nhello, world", "hello, world"},
	"length first":      {"GET", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nRequest-Id: 7\r\n\r\nhello, world", "hello, world"},
	"empty body":        {"GET", "HTTP/1.1 200 OK\r\nRequest-Id: 7\r\nContent-Length: 0\r\n\r\n", ""},
	"chunked":           {"GET", "HTTP/1.1 200 OK\r\nRequest-Id: 7\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n7;x=y\r\n, world\r\n0\r\n\r\n", "hello, world"},
	"chunked, trailers": {"GET", "HTTP/1.1 200 OK\r\nTrailer: Sum\r\nTransfer-Encoding: chunked\r\nRequest-Id: 7\r\n\r\nc\r\nhello, world\r\n0\r\nSum: 1\r\n\r\n", "hello, world"},
	"interim":           {"GET", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: 7\r\nContent-Length: 2\r\n\r\nhi", "hi"},
	"HEAD":              {"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nRequest-Id: 7\r\n\r\n", ""},
	"204":               {"GET", "HTTP/1.1 204 No Content\r\nRequest-Id: 7\r\nX: y\r\n\r\n", ""},
	"304":               {"GET", "HTTP/1.1 304 Not Modified\r\nRequest-Id: 7\r\nContent-Length: 12\r\n\r\n", ""},
	"bare line feeds":   {"GET", "HTTP/1.1 200 OK\nRequest-Id: 7\nContent-Length: 2\n\nhi", "hi"},
	"folded field":      {"GET", "HTTP/1.1 200 OK\r\nX: y\r\n z\r\nRequest-Id: 7\r\nContent-Length: 2\r\n\r\nhi", "hi"},
}

// endConn ends a connection: with a reset, or in order.
func endConn(conn net.Conn, reset bool) {
	if reset {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	_ = conn.Close()
}

// A server that stopped in the middle of a response and closed must not make a caller get
// a short response that looks whole, wherever it stopped: on a new connection and on one
// that was kept, with a close and with a reset.
func TestResponseCutAnywhereIsAnError(t *testing.T) {
	for name, whole := range wholeResponses {
		for _, reset := range []bool{false, true} {
			for _, kept := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, reset %v, kept %v", name, reset, kept), func(t *testing.T) {
					t.Parallel()
					cut := make(chan int, 1)
					var s scriptedServer
					address := s.serve(t, func(conn net.Conn, br *bufio.Reader) {
						for r := s.readRequest(br); r != nil; r = s.readRequest(br) {
							if r.URL.Path == "/keep" {
								_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest-Id: 7\r\nContent-Length: 4\r\n\r\nkept")
								continue
							}
							_, _ = io.WriteString(conn, whole.text[:<-cut])
							endConn(conn, reset)
							return
						}
					})
					c := newTestClient()
					for n := range len(whole.text) {
						if kept {
							first := newGet("7")
							first.Target = "/keep"
							if resp, err := doRequest(c, address, first); err != nil || string(resp.Body) != "kept" {
								t.Fatalf("%+v, %v", resp, err)
							}
						}
						cut <- n
						req := newGet("7")
						req.Method = whole.method
						resp, err := doRequest(c, address, req)
						if err == nil {
							t.Errorf("cut after %q: status %d, body %q", whole.text[:n], resp.Status, resp.Body)
						} else if !err.FullySent {
							t.Errorf("cut after %d bytes: not reported as sent: %v", n, err)
						}
					}
				})
			}
		}
	}
}

// The responses of the test above are whole when they are not cut.
func TestWholeResponsesAreAccepted(t *testing.T) {
	for name, whole := range wholeResponses {
		t.Run(name, func(t *testing.T) {
			var s scriptedServer
			address := s.serve(t, func(conn net.Conn, br *bufio.Reader) {
				if s.readRequest(br) != nil {
					_, _ = io.WriteString(conn, whole.text)
				}
			})
			req := newGet("7")
			req.Method = whole.method
			if resp, err := doRequest(newTestClient(), address, req); err != nil || string(resp.Body) != whole.body {
				t.Errorf("%+v, %v", resp, err)
			}
		})
	}
}

// A request whose sender stopped in the middle must not be handled as another request,
// with a shorter body or without the fields that were still to come.
func TestRequestCutAnywhereIsNotHandled(t *testing.T) {
	for name, whole := range map[string]string{
		"no body": "GET /1 HTTP/1.1\r\nHost: a\r\nRequest-Id: 7\r\n\r\n",
		"length":  "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 12\r\nRequest-Id: 7\r\n\r\nhello, world",
		"chunked": "POST /1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n7\r\n, world\r\n0\r\nSum: 1\r\n\r\n",
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %v", name, reset), func(t *testing.T) {
				t.Parallel()
				var handled atomic.Int64
				server := &Server{Handler: func(context.Context, *Request) *Response {
					handled.Add(1)
					return textResponse(http.StatusOK, "")
				}}
				address := startServer(t, server)
				for n := range len(whole) {
					conn, br := dialServer(t, address)
					if _, err := io.WriteString(conn, whole[:n]); err != nil {
						t.Fatal(err)
					}
					if reset {
						endConn(conn, true)
						continue
					}
					// The server closes when it has read the end.
					_ = conn.(*net.TCPConn).CloseWrite()
					_, _ = io.Copy(io.Discard, br)
					_ = conn.Close()
					if handled.Load() != 0 {
						t.Fatalf("cut after %q: handled", whole[:n])
					}
				}
				conn, br := dialServer(t, address)
				_, _ = io.WriteString(conn, whole)
				if resp, _ := readTestResponse(t, br); resp.StatusCode != http.StatusOK || handled.Load() != 1 {
					t.Errorf("the whole request: status %d, %d requests handled", resp.StatusCode, handled.Load())
				}
			})
		}
	}
}
