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

// receive sends a request to a server that responds with text, and reads the response.
func receive(client *http.Client, s *rawserver.Server, method string) (string, error) {
	req, err := http.NewRequest(method, "http://"+s.Address+"/", nil)
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
					body, err := receive(client, s, r.method)
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
				if body, err := receive(client, s, r.method); err != nil || body != "hello" && strings.HasSuffix(r.format, "hello") {
					t.Errorf("body %q, error %v", body, err)
				}
			}
			if !r.closeConn && s.Conns() != 1 {
				t.Errorf("%d connections, want 1", s.Conns())
			}
		})
	}
}
