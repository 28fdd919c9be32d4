package operated_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/daisytide/daisytide/internal/standin/store"
	"github.com/daisytide/daisytide/platform"
)

// cutResponses are the responses to a request with the ID "ID" of which the stand-in
// upstream sends only the first bytes, by the name in the request's query.
var cutResponses = map[string]string{
	"length":  "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nRequest-Id: ID\r\nResponse-Signature: s\r\n\r\nhello, world",
	"chunked": "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n7\r\n, world\r\n0\r\nSum: 1\r\n\r\n",
	"interim": "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Signature: s\r\nContent-Length: 12\r\n\r\nhello, world",
	"204":     "HTTP/1.1 204 No Content\r\nRequest-Id: ID\r\nResponse-Signature: s\r\n\r\n",
	"304":     "HTTP/1.1 304 Not Modified\r\nRequest-Id: ID\r\nResponse-Signature: s\r\n\r\n",
	"HEAD":    "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nRequest-Id: ID\r\nResponse-Signature: s\r\n\r\n",
}

// serveCut sends the first bytes of a response, as the query of the request says, and ends
// the connection. It reports whether the query asks for that.
func serveCut(w http.ResponseWriter, r *http.Request) bool {
	text, ok := cutResponses[r.URL.Query().Get("cut")]
	if !ok {
		return false
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	text = strings.Replace(text, "ID", r.Header.Get(platform.HeaderRequestID), 1)
	n, _ := strconv.Atoi(r.URL.Query().Get("at"))
	_, _ = io.WriteString(conn, text[:min(n, len(text))])
	if r.URL.Query().Get("reset") != "" {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	_ = conn.Close()
	return true
}

// TestResponseCutAnywhereIsNoSuccessForTheCaller guards against a response whose head or
// body ends early and that reaches a caller as a whole one, empty or short: through one
// node and through two, for requests that may be repeated and that may not. A request
// that ran must not be refused as not run.
func TestResponseCutAnywhereIsNoSuccessForTheCaller(t *testing.T) {
	s := store.New(1)
	near, far := startHost(t, s, "near", "i-near"), startHost(t, s, "far", "i-far")
	writeConfig(t, s, 3)
	for _, from := range []*host{near, far} {
		for _, path := range []string{"/near/1", "/far/1"} {
			waitFor(t, "a response", func() bool { status, _, _ := send("GET", from.url(path), nil); return status == http.StatusOK })
		}
	}
	step := 1
	if testing.Short() {
		step = 7
	}
	for name, text := range cutResponses {
		for _, reset := range []string{"", "1"} {
			for _, from := range []*host{near, far} {
				for _, to := range []*host{near, far} {
					statuses := map[int]int{}
					for at := 0; at < len(text); at += step {
						status, id, complete := requestCut(t, from, fmt.Sprintf("/%s/1?cut=%s&at=%d&reset=%s", to.service, name, at, reset))
						statuses[status]++
						if complete && status < http.StatusBadRequest {
							t.Errorf("%s, from %s, reset %q, cut after %q: status %d", name, from.id, reset, text[:at], status)
						}
						if (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) && to.runsOf(id) > 0 {
							t.Errorf("%s, from %s, reset %q, cut after %d bytes: status %d of a request that ran", name, from.id, reset, at, status)
						}
					}
					t.Logf("%s, from %s to %s, reset %q: %v", name, from.id, to.id, reset, statuses)
					if status, _, complete := requestCut(t, from, fmt.Sprintf("/%s/1?cut=%s&at=1000", to.service, name)); !complete || status >= http.StatusBadRequest {
						t.Errorf("%s, from %s: status %d of a whole response", name, from.id, status)
					}
				}
			}
		}
	}
}

// requestCut sends a request of a caller and returns the status, the request ID, and
// whether the response arrived whole.
func requestCut(t *testing.T, from *host, path string) (status int, id string, complete bool) {
	t.Helper()
	method := http.MethodGet
	if strings.Contains(path, http.MethodHead) {
		method = http.MethodHead
	}
	r := httptest.NewRequest(method, from.url(path), nil)
	r.RequestURI, r.Host = "", "a.example"
	id = strconv.FormatInt(requestCount.Add(1), 16)
	r.Header.Set(platform.HeaderRequestID, id)
	r.Header.Set(platform.HeaderDeadlineMillis, strconv.FormatInt((2*time.Second).Milliseconds(), 10))
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, id, false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, id, err == nil
}
