package dial

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/daisytide/daisytide/internal/standin/rawserver"
)

// malformedLines are header lines that net/http accepts in a response.
var malformedLines = []string{"X Y: 1", "X : 1", "Content-Length : 5", "Transfer-Encoding : chunked"}

// responsesWith are responses that hold a header line, by where it stands.
var responsesWith = map[string]struct {
	method, format string
	closeConn      bool
}{
	"length":    {"GET", "HTTP/1.1 200 OK\r\n%s\r\nContent-Length: 5\r\n\r\nhello", false},
	"chunked":   {"GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n%s\r\n\r\n5\r\nhello\r\n0\r\n\r\n", false},
	"no length": {"GET", "HTTP/1.1 200 OK\r\n%s\r\n\r\nhello", true},
	"empty":     {"GET", "HTTP/1.1 200 OK\r\n%s\r\nContent-Length: 0\r\n\r\n", false},
	"HEAD":      {"HEAD", "HTTP/1.1 200 OK\r\n%s\r\nContent-Length: 5\r\n\r\n", false},
	"204":       {"DELETE", "HTTP/1.1 204 No Content\r\n%s\r\n\r\n", false},
	"interim":   {"GET", "HTTP/1.1 103 Early Hints\r\n%s\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", false},
	"trailer":   {"GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n%s\r\n\r\n", false},
}

// receive sends a request to the server at an address, and reads the response.
func receive(client *http.Client, address, method string) (string, error) {
	req, err := http.NewRequest(method, "http://"+address+"/", nil)
	if err != nil {
		return "", err
	}
	resp, err := Do(client, req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

func newClient(t *testing.T) *http.Client {
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport, Timeout: 10 * time.Second}
}

// The store, another node or an upstream that sent a response with a blank in the name of
// a field was believed, and its connection was used again.
func TestResponseThatNetHTTPAcceptsThoughMalformedIsAnError(t *testing.T) {
	for where, r := range responsesWith {
		for _, line := range malformedLines {
			t.Run(where+", "+line, func(t *testing.T) {
				s := rawserver.Start(t, func(*http.Request) (string, bool) { return fmt.Sprintf(r.format, line), r.closeConn })
				client := newClient(t)
				for n := int64(1); n <= 3; n++ {
					body, err := receive(client, s.Address, r.method)
					if err == nil || !strings.Contains(err.Error(), "malformed") {
						t.Errorf("body %q, error %v; want one with the word malformed", body, err)
					}
					if s.Conns() != n {
						t.Errorf("%d connections after %d responses", s.Conns(), n)
					}
				}
			})
		}
		t.Run(where+", well-formed", func(t *testing.T) {
			s := rawserver.Start(t, func(*http.Request) (string, bool) { return fmt.Sprintf(r.format, "X-Y: 1"), r.closeConn })
			client := newClient(t)
			for range 3 {
				if body, err := receive(client, s.Address, r.method); err != nil || body != "hello" && strings.HasSuffix(r.format, "hello") {
					t.Errorf("body %q, error %v", body, err)
				}
			}
			if !r.closeConn && s.Conns() != 1 {
				t.Errorf("%d connections, want 1", s.Conns())
			}
		})
	}
}

// A status below 100, or 101 that was not asked for, was returned with what followed as its
// body, and its connection was used again.
func TestStatusThatNetHTTPAcceptsThoughMalformedIsAnError(t *testing.T) {
	for _, status := range []string{"000 Odd", "001 Odd", "099", "+99", "-00", "101 Odd", "103 Early Hints\r\n\r\nHTTP/1.1 000 Odd"} {
		for _, r := range []struct {
			format    string
			closeConn bool
		}{
			{"HTTP/1.1 %s\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", true},
			{"HTTP/1.1 %s\r\nUpgrade: other\r\nConnection: Upgrade\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", true},
			{"HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n", false},
		} {
			text := fmt.Sprintf(r.format, status)
			s := rawserver.Start(t, func(*http.Request) (string, bool) { return text, r.closeConn })
			client := newClient(t)
			for n := int64(1); n <= 2; n++ {
				body, err := receive(client, s.Address, http.MethodGet)
				if err == nil || !strings.Contains(err.Error(), "malformed") || s.Conns() != n {
					t.Errorf("%q: body %q, error %v, %d connections after %d responses", text, body, err, s.Conns(), n)
				}
			}
		}
	}
}

// In HTTP/2 the parser of net/http accepts each number as a status, and 101 as that of an
// interim response.
func TestMalformedStatusOverHTTP2IsAnError(t *testing.T) {
	for statuses, want := range map[string]bool{
		"200": true, "404": true, "103 200": true, "101 200": false, "000": false, "001": false, "99": false,
		"0200": false, "+200": false, "2000": false, "-200": false, "103 000": false,
	} {
		transport := PeerTransport(nil)
		t.Cleanup(transport.CloseIdleConnections)
		client := &http.Client{Transport: transport, Timeout: 10 * time.Second}
		body, err := receive(client, rawserver.StartHTTP2(t, "hello", strings.Fields(statuses)...), http.MethodGet)
		if want != (err == nil && body == "hello") || !want && !strings.Contains(fmt.Sprint(err), "malformed") {
			t.Errorf("%q: body %q, error %v", statuses, body, err)
		}
	}
}
