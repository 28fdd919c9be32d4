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
	"github.com/daisytide/daisytide/internal/request/call"
)

// Path is where the peer listener takes links.
const Path = "/daisytide/link"

// Conn is one link. Send and Receive may run at the same time; neither may
// run twice at once.
type Conn interface {
	// Send writes one message.
	Send(ctx context.Context, m *Message) error
	// Receive waits for one message.
	Receive(ctx context.Context) (*Message, error)
	// Close ends the link.
	Close() error
}

// Sizes of a WebSocket frame's header.
const (
	frameHeader       = 2
	frameHeaderMedium = 4
	frameHeaderLong   = 10
	frameMask         = 4
	mediumFrom        = 126
	longFrom          = 1 << 16
)

// FrameBytes returns the length on the wire, below TLS and TCP, of a message
// of n bytes; a client masks what it sends.
func FrameSize(n int, client bool) int {
	header := frameHeader
	switch {
	case n >= longFrom:
		header = frameHeaderLong
	case n >= mediumFrom:
		header = frameHeaderMedium
	}
	if client {
		header += frameMask
	}
	return header + n
}

// Traffic counts the bytes of control messages with their WebSocket frames;
// what TCP and IP add per packet is not in it.
type Traffic struct {
	BytesSent     atomic.Uint64
	BytesReceived atomic.Uint64
	MessagesSent  atomic.Uint64
}

// wsConn is a Conn over a WebSocket.
type wsConn struct {
	ws      *websocket.Conn
	traffic *Traffic
	// client tells whether this end dialled.
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
		return nil, api.Errorf(api.PeerFrame, "a text frame")
	}
	return Decode(b)
}

// Close implements Conn.
func (c *wsConn) Close() error { return c.ws.CloseNow() }

// Dialer opens links to peers.
type Dialer struct {
	// Key is the peer key.
	PeerKey string
	// TLS is nil for cleartext links.
	TLS     *tls.Config
	Traffic *Traffic
}

// Dial opens a link to the peer listener at address.
func (d *Dialer) Dial(ctx context.Context, address string) (Conn, error) {
	scheme := "ws"
	options := &websocket.DialOptions{HTTPHeader: http.Header{call.HeaderPeerKey: {d.PeerKey}}}
	if d.TLS != nil {
		scheme = "wss"
		options.HTTPClient = &http.Client{Transport: &http.Transport{TLSClientConfig: d.TLS}}
	}
	ws, _, err := websocket.Dial(ctx, scheme+"://"+address+Path, options)
	if err != nil {
		return nil, fmt.Errorf("dial the peer %s: %w", address, err)
	}
	ws.SetReadLimit(MaxMessageBytes)
	return &wsConn{ws: ws, traffic: d.Traffic, client: true}, nil
}

// Accept turns a request to Path into a link. The caller has checked the key.
func Accept(w http.ResponseWriter, r *http.Request, traffic *Traffic) (Conn, error) {
	ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{InsecureSkipVerify: true})
	if err != nil {
		return nil, fmt.Errorf("accept a link: %w", err)
	}
	ws.SetReadLimit(MaxMessageBytes)
	return &wsConn{ws: ws, traffic: traffic}, nil
}

// KeyMatches compares a request's peer key in constant time.
func PeerKeyMatches(r *http.Request, key string) bool {
	return subtle.ConstantTimeCompare([]byte(r.Header.Get(call.HeaderPeerKey)), []byte(key)) == 1
}
