package ingress

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/process/membership"
	"github.com/daisytide/daisytide/internal/standin/rawserver"
)

// Guards against a malformed response of another node's gate that reaches a caller, or
// that is taken for a refusal, so that a request that may have run runs again.
func TestMalformedResponseOfAnotherNodeIsNoSuccessAndNoRefusal(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nId: 7\r\nX Y: 1\r\nContent-Length: 5\r\n\r\nhello",
		"HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length : 5\r\nContent-Length: 5\r\n\r\nhello",
		"HTTP/1.1 103 Early Hints\r\nX : 1\r\n\r\nHTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 5\r\n\r\nhello",
		"HTTP/1.1 000 Odd\r\n\r\nHTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 5\r\n\r\nhello",
		"HTTP/1.1 101 Odd\r\n\r\nHTTP/1.1 503 Busy\r\nDaisytide-Code: 4003\r\nDaisytide-Ran: no\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 503 Busy\r\nDaisytide-Code: 4003\r\nDaisytide-Ran: no\r\nX Y: 1\r\nContent-Length: 0\r\n\r\n",
	} {
		var reached atomic.Int64
		s := rawserver.Start(t, func(*http.Request) (string, bool) {
			reached.Add(1)
			return text, false
		})
		h := newHarness(t, 0)
		h.evacuated = map[string]bool{"self": true}
		h.ingress.Members.Merge(membership.Record{
			Address: "other", Gate: s.Address, DataCentre: "a", Incarnation: 1, State: membership.Alive,
			Service: "s", Version: "v1", Upstream: api.UpstreamReady, Slots: 10,
		})
		// The picker chooses at random, and avoids a node that has failed.
		for i := 0; i < 1000 && reached.Load() < 2; i++ {
			before := reached.Load()
			resp := h.get("/once/1")
			if n := reached.Load() - before; resp.Status < http.StatusBadRequest || n > 1 || n == 1 && resp.Status != http.StatusBadGateway {
				t.Errorf("%q: status %d, body %q, reached the node %d times", text, resp.Status, resp.Body, n)
			}
		}
		if n := reached.Load(); n == 0 || s.Conns() != n {
			t.Errorf("%q: %d connections for %d requests", text, s.Conns(), n)
		}
	}
}
