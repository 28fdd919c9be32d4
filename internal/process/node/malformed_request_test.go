package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/daisytide/daisytide/internal/process/settings"
)

// Guards against a request whose body runs as a second request, because a blank in the
// name of the field that frames the body hides it. net/http's server refuses it.
func TestListenersRefuseRequestWithMalformedName(t *testing.T) {
	n := startTLS(t, settings.TLS{}, "")
	for _, address := range []string{n.CallersAddress(), n.PeersAddress(), n.OperatorsAddress()} {
		for _, line := range []string{"Content-Length : 31", "Transfer-Encoding : chunked", "X Y: 1"} {
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
			fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: a\r\n%s\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n", line)
			br := bufio.NewReader(conn)
			resp, err := http.ReadResponse(br, nil)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			if _, err := br.ReadByte(); resp.StatusCode != http.StatusBadRequest || err != io.EOF {
				t.Errorf("%s, %q: status %s, then %v; want 400 and a closed connection", address, line, resp.Status, err)
			}
		}
	}
}
