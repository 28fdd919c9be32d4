package dial

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
)

// Certificates names the PEM files of one listener.
type TLSFiles struct {
	Certificate string
	Key         string
	// Authorities sign the other side's certificates.
	Authorities string
}

// errNoAuthority tells that a file of authorities holds no certificate.
var errNoAuthority = errors.New("no certificate in the file")

// ServerTLS returns the configuration of a listener; nil without a
// certificate, for cleartext. With authorities, clients must show a
// certificate that one of them signed.
func ServerTLS(c TLSFiles) (*tls.Config, error) {
	if c.Certificate == "" {
		return nil, nil
	}
	config, err := withCertificate(c)
	if err != nil || c.Authorities == "" {
		return config, err
	}
	config.ClientCAs, err = authorities(c.Authorities)
	config.ClientAuth = tls.RequireAndVerifyClientCert
	return config, err
}

// ClientTLS returns the configuration for connections to such a listener; nil
// for cleartext. The other side's certificate must name its IP number.
func ClientTLS(c TLSFiles) (*tls.Config, error) {
	if c.Certificate == "" {
		return nil, nil
	}
	config, err := withCertificate(c)
	if err != nil || c.Authorities == "" {
		return config, err
	}
	config.RootCAs, err = authorities(c.Authorities)
	return config, err
}

func withCertificate(c TLSFiles) (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(c.Certificate, c.Key)
	if err != nil {
		return nil, fmt.Errorf("load the certificate: %w", err)
	}
	return &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS13}, nil
}

func authorities(path string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read the authorities: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("read the authorities of %s: %w", path, errNoAuthority)
	}
	return pool, nil
}
