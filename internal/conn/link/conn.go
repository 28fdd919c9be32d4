package link

import (
	"context"
	"crypto/subtle"
	"crypto/tls"
	"fmt"
	"net/http"
	"sync/atomic"

	"github.com/coder/websocket"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/dial"
	"github.com/daisytide/daisytide/internal/request/call"
)

// Path is the path of the WebSocket endpoint on the peer listener.
const Path = "/daisytide/link"

// Conn is one link. Send and Receive may be called concurrently, but neither may
// be called concurrently with itself.
type Conn interface {
	Send(ctx context.Context, m *Message) error
	// Receive waits for the next message.
	Receive(ctx context.Context) (*Message, error)
	Close() error
}

// Sizes of WebSocket frame headers in bytes, and the payload lengths from which
// the longer headers are used.
const (
	shortFrameHeader  = 2
	mediumFrameHeader = 4
	longFrameHeader   = 10
	frameMaskSize     = 4
	mediumFrameMin    = 126
	longFrameMin      = 1 << 16
)

// FrameSize returns the size of the WebSocket frame of a message of n bytes,
// without TLS and TCP. Clients add a mask to what they send.
func FrameSize(n int, client bool) int {
	header := shortFrameHeader
	switch {
	case n >= longFrameMin:
		header = longFrameHeader
	case n >= mediumFrameMin:
		header = mediumFrameHeader
	}
	if client {
		header += frameMaskSize
	}
	return header + n
}

// Traffic counts control messages and their bytes, including WebSocket frame
// headers but not the headers of TCP and IP.
type Traffic struct {
	BytesSent     atomic.Uint64
	BytesReceived atomic.Uint64
	MessagesSent  atomic.Uint64
}

// wsConn is a Conn over a WebSocket.
type wsConn struct {
	ws      *websocket.Conn
	traffic *Traffic
	// client is set on the end that dialled.
	client bool
}

// Send implements Conn.
func (c *wsConn) Send(ctx context.Context, m *Message) error {
	b, err := Encode(m)
	if err != nil {
		return err
	}
	if err := c.ws.Write(ctx, websocket.MessageBinary, b); err != nil {
		return fmt.Errorf("send a peer message: %w", err)
	}
	c.traffic.BytesSent.Add(uint64(FrameSize(len(b), c.client)))
	c.traffic.MessagesSent.Add(1)
	return nil
}

// Receive implements Conn.
func (c *wsConn) Receive(ctx context.Context) (*Message, error) {
	kind, b, err := c.ws.Read(ctx)
	if err != nil {
		return nil, fmt.Errorf("receive a peer message: %w", err)
	}
	c.traffic.BytesReceived.Add(uint64(FrameSize(len(b), !c.client)))
	if kind != websocket.MessageBinary {
		return nil, api.Errorf(api.PeerFrame, "received a text frame, want a binary one")
	}
	return Decode(b)
}

// Close implements Conn.
func (c *wsConn) Close() error { return c.ws.CloseNow() }

// Dialer opens links to peers.
type Dialer struct {
	// PeerKey authenticates the node to its peers.
	PeerKey string
	// TLS is nil for cleartext links.
	TLS     *tls.Config
	Traffic *Traffic
}

// Dial opens a link to the peer listener at address.
func (d *Dialer) Dial(ctx context.Context, address string) (Conn, error) {
	scheme := "ws"
	var transport http.RoundTripper
	if d.TLS != nil {
		scheme = "wss"
		transport = &http.Transport{TLSClientConfig: d.TLS}
	}
	ws, _, err := websocket.Dial(ctx, scheme+"://"+address+Path, &websocket.DialOptions{
		HTTPHeader: http.Header{call.HeaderPeerKey: {d.PeerKey}},
		HTTPClient: &http.Client{Transport: dial.CheckResponses(transport)},
	})
	if err != nil {
		return nil, fmt.Errorf("dial peer %s: %w", address, err)
	}
	ws.SetReadLimit(MaxMessageBytes)
	return &wsConn{ws: ws, traffic: d.Traffic, client: true}, nil
}

// Accept upgrades a request to Path to a link. The peer key must have been
// checked with PeerKeyMatches.
func Accept(w http.ResponseWriter, r *http.Request, traffic *Traffic) (Conn, error) {
	ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{InsecureSkipVerify: true})
	if err != nil {
		return nil, fmt.Errorf("accept a link: %w", err)
	}
	ws.SetReadLimit(MaxMessageBytes)
	return &wsConn{ws: ws, traffic: traffic}, nil
}

// PeerKeyMatches reports whether a request has the given peer key. It compares
// in constant time.
func PeerKeyMatches(r *http.Request, key string) bool {
	return subtle.ConstantTimeCompare([]byte(r.Header.Get(call.HeaderPeerKey)), []byte(key)) == 1
}
