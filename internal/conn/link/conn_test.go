package link

import (
	"context"
	"crypto/sha1"
	"encoding/base64"
	"net/http"
	"testing"
	"time"

	"github.com/daisytide/daisytide/internal/standin/rawserver"
)

// webSocketGUID is appended to the key of a handshake (RFC 6455, 1.3).
const webSocketGUID = "258EAFA5-E914-47DA-95CA-C5AB0DC85B11"

// A handshake with a blank in the name of a field, as a peer in trouble may send it, must
// not open a link.
func TestMalformedHandshakeOpensNoLink(t *testing.T) {
	for line, opens := range map[string]bool{"X-Y: 1": true, "X Y: 1": false, "Upgrade : other": false, "Content-Length : 5": false} {
		s := rawserver.Start(t, func(r *http.Request) (string, bool) {
			accept := sha1.Sum([]byte(r.Header.Get("Sec-WebSocket-Key") + webSocketGUID))
			return "HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Accept: " +
				base64.StdEncoding.EncodeToString(accept[:]) + "\r\n" + line + "\r\n\r\n", false
		})
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		conn, err := (&Dialer{Traffic: &Traffic{}}).Dial(ctx, s.Address)
		if opens != (err == nil) {
			t.Errorf("%q: link %v, error %v", line, conn, err)
		}
		if err == nil {
			_ = conn.Close()
		}
	}
}
