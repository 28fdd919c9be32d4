package node

import (
	"crypto/tls"
	"fmt"

	"github.com/daisytide/daisytide/internal/conn/dial"
	"github.com/daisytide/daisytide/internal/process/settings"
)

// tlsConfigs holds the TLS configurations of a node; nil means cleartext.
type tlsConfigs struct {
	callers   *tls.Config
	peers     *tls.Config
	operators *tls.Config
	// toPeers is the client configuration for connections to other nodes.
	toPeers *tls.Config
}

// peerScheme returns the URL scheme of the peer listeners.
func (c tlsConfigs) peerScheme() string {
	if c.toPeers == nil {
		return "http"
	}
	return "https"
}

func (n *Node) loadTLSConfigs() error {
	var err error
	for _, l := range []struct {
		name string
		into **tls.Config
		from settings.TLS
	}{
		{"callers", &n.tls.callers, n.cfg.Callers.TLS},
		{"peers", &n.tls.peers, n.cfg.Peers.TLS},
		{"operators", &n.tls.operators, n.cfg.Operators.TLS},
	} {
		if *l.into, err = dial.ServerTLS(dial.TLSFiles(l.from)); err != nil {
			return fmt.Errorf("%s: %w", l.name, err)
		}
	}
	if n.tls.toPeers, err = dial.ClientTLS(dial.TLSFiles(n.cfg.Peers.TLS)); err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	return nil
}
