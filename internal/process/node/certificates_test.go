package node

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/process/settings"
	"github.com/daisytide/daisytide/internal/standin/store"
)

// selfSigned writes a self-signed certificate for the loopback address, which
// is also the authority.
func selfSigned(t *testing.T) settings.TLS {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "node"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	secret, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	write := func(name, kind string, b []byte) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: b}), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	cert := write("node.pem", "CERTIFICATE", der)
	return settings.TLS{Certificate: cert, Key: write("node.key", "PRIVATE KEY", secret), Authorities: cert}
}

func startTLS(t *testing.T, files settings.TLS, seeds string) *Node {
	t.Helper()
	const anyPort = "127.0.0.1:0"
	cfg := &settings.Settings{}
	cfg.Node = settings.Node{Region: "r", DataCentre: "d"}
	cfg.Callers = settings.Callers{Listen: anyPort, TLS: files}
	cfg.Peers = settings.Peers{Listen: anyPort, TLS: files, Secret: "s", Seeds: seeds}
	cfg.Operators = settings.Operators{Listen: anyPort, TLS: files, Token: "t"}
	cfg.Store = settings.Store{Timeout: time.Second, Rate: 10}
	cfg.Upstream.StopGrace = time.Second
	n, err := New(cfg, store.New(1))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return n
}

func TestPeersConnectOverMutualTLS(t *testing.T) {
	files := selfSigned(t)
	a := startTLS(t, files, "")
	b := startTLS(t, files, a.PeersAddress())
	for b.Status().Members < 2 || a.Status().Members < 2 {
		time.Sleep(time.Millisecond)
	}
	hosts := a.Hosts(context.Background())
	if len(hosts.Hosts) != 2 {
		t.Fatalf("hosts: %+v", hosts)
	}
	for _, h := range hosts.Hosts {
		if h.Error != "" {
			t.Errorf("%s: %s", h.Address, h.Error)
		}
	}
}

func TestPeerListenerRefusesClientWithoutCertificate(t *testing.T) {
	n := startTLS(t, selfSigned(t), "")
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}}
	resp, err := client.Get("https://" + n.PeersAddress() + "/daisytide/link")
	if err == nil {
		resp.Body.Close()
		t.Fatalf("a client without a certificate got the response %s", resp.Status)
	}
}

func TestWrongPeerKeyIsRefusedAndCounted(t *testing.T) {
	n := startTLS(t, settings.TLS{}, "")
	resp, err := http.Get("http://" + n.PeersAddress() + "/daisytide/link")
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != api.Info(api.PeerKey).HTTP {
		t.Errorf("status %s", resp.Status)
	}
	if got := n.Metrics().Get("peer_key_refused").String(); got != "1" {
		t.Errorf("counted %s refusals", got)
	}
}
