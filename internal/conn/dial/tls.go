package dial

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
)

// TLSFiles holds the paths of a listener's PEM files.
type TLSFiles struct {
	Certificate string
	Key         string
	// Authorities holds the CA certificates that the other side's certificate is
	// verified against.
	Authorities string
}

var errNoCACertificate = errors.New("the file has no certificate")

// ServerTLS returns the configuration of a listener, or nil for cleartext if no
// certificate is set. With authorities, clients must present a certificate
// signed by one of them.
func ServerTLS(c TLSFiles) (*tls.Config, error) {
	if c.Certificate == "" {
		return nil, nil
	}
	config, err := loadCertificate(c)
	if err != nil || c.Authorities == "" {
		return config, err
	}
	config.ClientCAs, err = loadCAPool(c.Authorities)
	config.ClientAuth = tls.RequireAndVerifyClientCert
	return config, err
}

// ClientTLS returns the configuration for connections to a listener that uses
// ServerTLS, or nil for cleartext if no certificate is set. The server's
// certificate must include its IP address.
func ClientTLS(c TLSFiles) (*tls.Config, error) {
	if c.Certificate == "" {
		return nil, nil
	}
	config, err := loadCertificate(c)
	if err != nil || c.Authorities == "" {
		return config, err
	}
	config.RootCAs, err = loadCAPool(c.Authorities)
	return config, err
}

func loadCertificate(c TLSFiles) (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(c.Certificate, c.Key)
	if err != nil {
		return nil, fmt.Errorf("load the certificate and its key: %w", err)
	}
	return &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS13}, nil
}

func loadCAPool(path string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read the CA certificates: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("read the CA certificates in %s: %w", path, errNoCACertificate)
	}
	return pool, nil
}
