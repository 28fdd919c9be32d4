// Package dial makes the HTTP transports of a node: HTTP/2 with one
// connection per peer, and pooled HTTP/1.1 to the local upstream.
package dial

import (
	"crypto/tls"
	"net"
	"net/http"
	"time"
)

// Timeouts and sizes of the transports.
const (
	connectTimeout = 500 * time.Millisecond
	// continueTimeout bounds the wait of a streamed body for its admission.
	// The request's own deadline ends it earlier; a body must never be sent
	// unasked, since a refused one is offered to another gate.
	continueTimeout = 10 * time.Minute
	idleTimeout     = 90 * time.Second
	pingAfter       = 5 * time.Second
	pingTimeout     = 2 * time.Second
	maxHeaderBytes  = 64 << 10
	// streamWindow bounds what a stream buffers whose reader is slow.
	streamWindow = 256 << 10
	// connectionWindow bounds that of all streams of a connection towards a
	// listener. It must hold a full window of each call that a gate admits,
	// else those that stall hold up all others on the connection. Towards the
	// transport the gate's slots bound the streams, and net/http's default
	// window holds them all.
	connectionWindow = 64 * streamWindow
)

// Peers returns the transport for calls and questions between nodes: HTTP/2,
// in cleartext when config is nil, one connection per peer.
func PeerTransport(config *tls.Config) *http.Transport {
	var protocols http.Protocols
	if config == nil {
		protocols.SetUnencryptedHTTP2(true)
	} else {
		protocols.SetHTTP2(true)
	}
	return &http.Transport{
		DialContext:            (&net.Dialer{Timeout: connectTimeout}).DialContext,
		TLSClientConfig:        config,
		Protocols:              &protocols,
		DisableCompression:     true,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ExpectContinueTimeout:  continueTimeout,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:           pingAfter,
			PingTimeout:               pingTimeout,
			MaxReceiveBufferPerStream: streamWindow,
		},
	}
}

// ServerConfig returns the HTTP/2 settings of a node's listeners.
func ServerHTTP2Config(maxStreams int) *http.HTTP2Config {
	return &http.HTTP2Config{
		MaxConcurrentStreams:          maxStreams,
		MaxReceiveBufferPerStream:     streamWindow,
		MaxReceiveBufferPerConnection: connectionWindow,
	}
}

// Upstream returns the transport to the local upstream: HTTP/1.1 with at most
// connections connections, all reused, each of them a CountedConn.
func UpstreamTransport(connections int) *http.Transport {
	return &http.Transport{
		DialContext:            dialCounted((&net.Dialer{Timeout: connectTimeout}).DialContext),
		DisableCompression:     true,
		MaxConnsPerHost:        connections,
		MaxIdleConnsPerHost:    connections,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}
