// Package dial configures the HTTP transports and TLS of a node: HTTP/2 with one
// connection per peer, and pooled HTTP/1.1 connections to the local upstream.
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
	// continueTimeout bounds how long a streamed body waits for 100 Continue. The
	// request's own deadline ends the wait earlier; a body must never be sent
	// without 100 Continue, since a refused request is retried at another gate.
	continueTimeout = 10 * time.Minute
	idleTimeout     = 90 * time.Second
	pingIdleTime    = 5 * time.Second
	pingTimeout     = 2 * time.Second
	maxHeaderBytes  = 64 << 10
	// streamWindow is the HTTP/2 flow-control window of a stream; it bounds the
	// bytes that are buffered for a slow reader.
	streamWindow = 256 << 10
	// connectionWindow is the flow-control window of a connection on the
	// listener's side. It must hold a full stream window for each call that a
	// gate admits, or stalled streams block all others on the connection. On the
	// transport's side the gate's slots bound the number of streams, and
	// net/http's default window is large enough for all of them.
	connectionWindow = 64 * streamWindow
)

// PeerTransport returns the transport for calls and RPC requests between nodes:
// HTTP/2 with one connection per peer, in cleartext if config is nil.
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
			SendPingTimeout:           pingIdleTime,
			PingTimeout:               pingTimeout,
			MaxReceiveBufferPerStream: streamWindow,
		},
	}
}

// ServerHTTP2Config returns the HTTP/2 settings of a node's listeners.
func ServerHTTP2Config(maxStreams int) *http.HTTP2Config {
	return &http.HTTP2Config{
		MaxConcurrentStreams:          maxStreams,
		MaxReceiveBufferPerStream:     streamWindow,
		MaxReceiveBufferPerConnection: connectionWindow,
	}
}

// UpstreamTransport returns the transport to the local upstream: HTTP/1.1 with
// at most the given number of connections, which are kept for reuse. Each is a
// WriteCountingConn.
func UpstreamTransport(connections int) *http.Transport {
	return &http.Transport{
		DialContext:            countWrites((&net.Dialer{Timeout: connectTimeout}).DialContext),
		DisableCompression:     true,
		MaxConnsPerHost:        connections,
		MaxIdleConnsPerHost:    connections,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}
