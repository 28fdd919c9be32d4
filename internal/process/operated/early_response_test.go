package operated_test

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/daisytide/daisytide/platform"
)

// earlyHead begins the responses that the stand-in upstream sends while it is being sent
// the body of a request with the ID "ID".
const earlyHead = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Signature: s\r\nConnection: close\r\n"

// earlyResponses are those responses, by the name in the request's query.
var earlyResponses = map[string]string{
	"unframed": earlyHead + "\r\nhello",
	"length":   earlyHead + "Content-Length: 5\r\n\r\nhello",
	"chunked":  earlyHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
}

// serveEarly sends a response before it has read the request's body, and ends the
// connection, as the query of the request says. It reports whether the query asks for
// that.
func serveEarly(w http.ResponseWriter, r *http.Request) bool {
	q := r.URL.Query()
	text, ok := earlyResponses[q.Get("early")]
	if !ok {
		return false
	}
	hijacked, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	conn := hijacked.(*net.TCPConn)
	read, _ := strconv.ParseInt(q.Get("read"), 10, 64)
	_, _ = io.CopyN(io.Discard, buffered, read)
	_, _ = io.WriteString(conn, strings.Replace(text, "ID", r.Header.Get(platform.HeaderRequestID), 1))
	pause, _ := time.ParseDuration(q.Get("pause"))
	if q.Get("end") == "close" {
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, conn)
	}
	time.Sleep(pause)
	_ = conn.SetLinger(0)
	_ = conn.Close()
	return true
}

// TestEarlyResponseCutByAResetIsNoSuccessForTheCaller guards against a response without
// a length that reached callers as a whole one although its connection was reset: the
// upstream had answered a long upload at once, and the node that wrote the body met the
// reset before it read. Responses that arrived whole are served, however the connection
// ends. A request that ran must not be refused as not run.
func TestEarlyResponseCutByAResetIsNoSuccessForTheCaller(t *testing.T) {
	const plays = 60
	hosts := startHostPair(t, 200)
	for _, from := range hosts {
		for _, to := range hosts {
			for _, framing := range []string{"unframed", "length", "chunked"} {
				for _, end := range []string{"reset", "close"} {
					t.Run(fmt.Sprintf("%s to %s, %s, %s", from.service, to.service, framing, end), func(t *testing.T) {
						rng := rand.New(rand.NewPCG(1, 1))
						for range plays {
							playEarlyResponse(t, rng, from, to, framing, end)
						}
					})
				}
			}
		}
	}
}

// playEarlyResponse sends an upload of which the size, the part that the upstream reads
// before it responds, and the pause before the connection ends are drawn, and whether it
// finds a connection kept.
func playEarlyResponse(t *testing.T, rng *rand.Rand, from, to *host, framing, end string) {
	t.Helper()
	size := []int{100_000, 900_000}[rng.IntN(2)]
	read := []int{0, 1_000, size / 2}[rng.IntN(3)]
	pause := []time.Duration{0, 200 * time.Microsecond, 3 * time.Millisecond}[rng.IntN(3)]
	if rng.IntN(2) == 0 {
		if status, _, _ := send(http.MethodGet, from.url("/"+to.service+"/1"), nil); status != http.StatusOK {
			t.Errorf("status %d of an ordinary request", status)
		}
	}
	path := fmt.Sprintf("/%s/1?early=%s&end=%s&read=%d&pause=%s", to.service, framing, end, read, pause)
	status, body, id := send(http.MethodPost, from.url(path), bytes.Repeat([]byte{'b'}, size))
	whole := framing != "unframed" || end == "close"
	switch {
	case whole && (status != http.StatusOK || body != "hello"):
		t.Errorf("%d bytes, %s: status %d, body %q; want the whole response", size, path, status, body)
	case !whole && status != 0 && status < http.StatusBadRequest:
		t.Errorf("%d bytes, %s: a cut response passed as whole: status %d, body %q", size, path, status, body)
	case (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) && to.runsOf(id) > 0:
		t.Errorf("%d bytes, %s: status %d of a request that ran", size, path, status)
	}
}
