package h1

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// malformedNames are header lines whose name is not a token. The parser of net/http
// refuses all of them but those with blanks.
var malformedNames = map[string]string{
	"blank inside":                     "X Y: 1",
	"blank before the colon":           "X : 1",
	"length with a blank":              "Content-Length : 5",
	"encoding with a blank":            "Transfer-Encoding : chunked",
	"request ID with a blank":          "Request-Id : 7",
	"blank alone, after a folded line": "X: 1\r\n y: 2\r\nY Z: 3",
	"empty":                            ": 1",
	"tab before the colon":             "X\t: 1",
	"control byte":                     "X\x01Y: 1",
	"zero byte":                        "\x00X: 1",
	"delete":                           "X\x7f: 1",
	"byte above ASCII":                 "X\xe9: 1",
	"letter above ASCII":               "Größe: 1",
	"parenthesis":                      "X(1): 1",
	"slash":                            "X/Y: 1",
	"quotation mark":                   "\"X\": 1",
	"no colon":                         "X",
	"carriage return":                  "X\rY: 1",
}

// responsesWith are responses to a request with the ID 7 that hold a header line, by
// where it stands.
var responsesWith = map[string]struct{ method, format string }{
	"length":           {"GET", "HTTP/1.1 200 OK\r\nRequest-Id: 7\r\n%s\r\nContent-Length: 5\r\n\r\nhello"},
	"chunked":          {"GET", "HTTP/1.1 200 OK\r\nRequest-Id: 7\r\nTransfer-Encoding: chunked\r\n%s\r\n\r\n5\r\nhello\r\n0\r\n\r\n"},
	"no length":        {"GET", "HTTP/1.1 200 OK\r\nRequest-Id: 7\r\n%s\r\n\r\nhello"},
	"empty":            {"GET", "HTTP/1.1 200 OK\r\nRequest-Id: 7\r\n%s\r\nContent-Length: 0\r\n\r\n"},
	"204":              {"GET", "HTTP/1.1 204 No Content\r\nRequest-Id: 7\r\n%s\r\n\r\n"},
	"HEAD":             {"HEAD", "HTTP/1.1 200 OK\r\nRequest-Id: 7\r\n%s\r\nContent-Length: 5\r\n\r\n"},
	"failure":          {"GET", "HTTP/1.1 503 Busy\r\nRequest-Id: 7\r\n%s\r\nContent-Length: 5\r\n\r\nhello"},
	"interim":          {"GET", "HTTP/1.1 103 Early Hints\r\n%s\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: 7\r\nContent-Length: 5\r\n\r\nhello"},
	"100":              {"POST", "HTTP/1.1 100 Continue\r\n%s\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: 7\r\nContent-Length: 5\r\n\r\nhello"},
	"another response": {"GET", "HTTP/1.1 200 OK\r\nRequest-Id: 6\r\n%s\r\nContent-Length: 5\r\n\r\nolder" + "HTTP/1.1 200 OK\r\nRequest-Id: 7\r\nContent-Length: 5\r\n\r\nhello"},
	"trailer":          {"GET", "HTTP/1.1 200 OK\r\nRequest-Id: 7\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n%s\r\n\r\n"},
}

// A server in trouble sent responses with a blank in the name of a field. Callers got
// them, with that line or, where the name without the blank frames the message, with a
// body that was not the server's.
func TestResponseWithMalformedNameIsAnError(t *testing.T) {
	for where, r := range responsesWith {
		for name, line := range malformedNames {
			t.Run(where+", "+name, func(t *testing.T) {
				t.Parallel()
				expectMalformed(t, r.method, fmt.Sprintf(r.format, line))
			})
		}
		t.Run(where+", well-formed", func(t *testing.T) {
			address := (&scriptedServer{}).serveText(t, fmt.Sprintf(r.format, "!#$%&'*+-.^_`|~09aZ: 1"))
			req := newGet("7")
			req.Method = r.method
			if resp, err := doRequest(newTestClient(), address, req); err != nil || resp.Header.Get("Request-Id") != "7" {
				t.Errorf("%+v, %v", resp, err)
			}
		})
	}
}

// A server in trouble sent a status below 100 ahead of a response. The client took it for
// that of an interim response, as it did 101, and accepted what followed.
func TestResponseWithMalformedStatusIsAnError(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nRequest-Id: 7\r\nContent-Length: 5\r\n\r\nhello"
	for _, status := range []string{"000", "001", "010", "099", "+99", "-00", "", "20", "0200", "2000", "20x", "２００", "101"} {
		for _, format := range []string{
			"HTTP/1.1 %s\r\n\r\n",
			"HTTP/1.1 %s Odd\r\nRequest-Id: 7\r\nUpgrade: other\r\nConnection: Upgrade\r\nContent-Length: 0\r\n\r\n",
			"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 %s Odd\r\n\r\n",
		} {
			for _, method := range []string{http.MethodGet, http.MethodPost} {
				text := fmt.Sprintf(format, status) + whole
				t.Run(method+", "+text, func(t *testing.T) { expectMalformed(t, method, text) })
			}
		}
	}
	for text, want := range map[string]int{
		"100 Continue\r\n\r\n" + whole: 200, "102\r\n\r\nHTTP/1.1 199 Odd\r\n\r\n" + whole: 200,
		"200\r\n\r\n": 200, "404 Not Found\r\n\r\n": 404, "600\r\n\r\n": 600, "999 Odd\r\n\r\n": 999,
	} {
		address := (&scriptedServer{}).serveText(t, "HTTP/1.1 "+text)
		if resp, err := doRequest(newTestClient(), address, newGet("7")); err != nil || resp.Status != want {
			t.Errorf("%q: %+v, %v", text, resp, err)
		}
	}
}

// serveText answers each request with text, before it reads a body, and closes the
// connection. It answers requests for /keep with an empty response and does not close.
func (s *scriptedServer) serveText(t *testing.T, text string) string {
	return s.serve(t, func(conn net.Conn, br *bufio.Reader) {
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			if r.URL.Path != "/keep" {
				_, _ = io.WriteString(conn, text)
				_, _ = io.Copy(io.Discard, r.Body)
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest-Id: 7\r\nContent-Length: 0\r\n\r\n")
		}
	})
}

// expectMalformed checks that a response is an error that says what was wrong, on new and
// kept connections, with and without a check of its ID, and that its connection is closed.
func expectMalformed(t *testing.T, method, text string) {
	t.Helper()
	var s scriptedServer
	address := s.serveText(t, text)
	c := newTestClient()
	for _, kept := range []bool{false, true} {
		for _, idHeader := range []string{"Request-Id", ""} {
			if kept {
				first := newGet("7")
				first.Target = "/keep"
				if _, err := doRequest(c, address, first); err != nil || len(c.idle[address]) != 1 {
					t.Fatalf("%v, %d connections kept", err, len(c.idle[address]))
				}
			}
			req := newGet("7")
			req.Method, req.IDHeader = method, idHeader
			if method == http.MethodPost {
				req.Body, req.ExpectContinue = []byte("body"), true
			}
			resp, err := doRequest(c, address, req)
			if err == nil {
				t.Fatalf("%q: status %d, header %v, body %q", text, resp.Status, resp.Header, resp.Body)
			}
			if err.Failure != ExchangeFailed || !err.Sent || !strings.Contains(err.Error(), "malformed") {
				t.Errorf("%q: %v, want ExchangeFailed with the request sent and the word malformed", text, err)
			}
			if len(c.idle[address]) != 0 {
				t.Errorf("%q: the connection was kept", text)
			}
		}
	}
}
