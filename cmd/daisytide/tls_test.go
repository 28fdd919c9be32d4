package main

import (
	"crypto/tls"
	"encoding/pem"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
)

func TestNodeCertificateIsVerifiedAgainstTheAuthority(t *testing.T) {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"hosts":[]}`))
	}))
	server.TLS = &tls.Config{MinVersion: tls.VersionTLS12}
	server.StartTLS()
	defer server.Close()
	file := filepath.Join(t.TempDir(), "authority.pem")
	text := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw})
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	node := []string{"hosts", "--node", server.URL, "--token", "x"}
	for name, c := range map[string]struct {
		args []string
		want int
	}{
		"trusted":                              {[]string{"--authorities", file}, exitDone},
		"no authority":                         {nil, exitRefused},
		"authority file missing":               {[]string{"--authorities", "lacking.pem"}, exitRefused},
		"authority file without a certificate": {[]string{"--authorities", "main.go"}, exitRefused},
		"certificate without its private key":  {[]string{"--authorities", file, "--certificate", file, "--key", file}, exitRefused},
	} {
		if code, _, stderr := runCommand(t, append(node, c.args...)...); code != c.want {
			t.Errorf("%s: exit code %d, want %d: %s", name, code, c.want, stderr)
		}
	}
}
