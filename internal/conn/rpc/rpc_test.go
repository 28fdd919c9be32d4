package rpc

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/daisytide/daisytide/internal/conn/dial"
	"github.com/daisytide/daisytide/internal/conn/wire"
	"github.com/daisytide/daisytide/internal/standin/rawserver"
)

// Guards against a reply that is believed though its status is none: net/http takes 0200
// for 200.
func TestReplyWithMalformedStatusIsAnError(t *testing.T) {
	reply, err := wire.Marshal(7)
	if err != nil {
		t.Fatal(err)
	}
	for status, want := range map[string]bool{"200": true, "0200": false, "+200": false, "000": false} {
		transport := dial.PeerTransport(nil)
		t.Cleanup(transport.CloseIdleConnections)
		client := Client{HTTP: &http.Client{Transport: transport, Timeout: 10 * time.Second}, Scheme: "http"}
		var out int
		err := client.Call(context.Background(), rawserver.StartHTTP2(t, string(reply), status), "method", 1, &out)
		if want != (err == nil) || want != (out == 7) {
			t.Errorf("%q: reply %d, error %v", status, out, err)
		}
	}
}
