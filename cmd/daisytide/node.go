package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net/http"
	"os"
	"os/signal"
	"os/user"
	"strings"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/process/operator/client"
	"github.com/daisytide/daisytide/internal/process/settings"
)

// requestTimeout is the default time limit of one request to a node. An apply may
// spend most of it waiting for the store.
const requestTimeout = 15 * time.Second

// nodeOptions select the node that commands talk to, and the credentials. A flag
// takes precedence over its environment variable, and that over the file.
type nodeOptions struct {
	Node        string        `long:"node" ini-name:"node" env:"DAISYTIDE_NODE" description:"URL of a node's operator listener, as in http://10.0.0.1:8082"`
	Token       string        `long:"token" ini-name:"token" env:"DAISYTIDE_TOKEN" description:"operator token"`
	Operator    string        `long:"operator" ini-name:"operator" env:"DAISYTIDE_OPERATOR" description:"name entered in the audit trail (default: the login name)"`
	Authorities string        `long:"authorities" ini-name:"authorities" env:"DAISYTIDE_AUTHORITIES" description:"PEM file with the authorities that sign the node's certificate"`
	Certificate string        `long:"certificate" ini-name:"certificate" env:"DAISYTIDE_CERTIFICATE" description:"PEM file with a certificate, for nodes that ask for one"`
	Key         string        `long:"key" ini-name:"key" env:"DAISYTIDE_KEY" description:"PEM file with the private key of the certificate"`
	Timeout     time.Duration `long:"timeout" ini-name:"timeout" env:"DAISYTIDE_TIMEOUT" description:"time limit of one question to the node (default: 15s)"`
	File        string        `long:"client-file" env:"DAISYTIDE_CLIENT_FILE" no-ini:"true" description:"INI file with a section [client] that gives the options above"`
}

// clientFile is the format of the file named by nodeOptions.File.
type clientFile struct {
	Client nodeOptions `group:"client"`
}

// withDefaults sets the options that neither flags nor environment gave, from the
// client file or to their defaults.
func (o nodeOptions) withDefaults() (nodeOptions, error) {
	var file clientFile
	if o.File != "" {
		text, err := os.ReadFile(o.File)
		if err != nil {
			return o, api.Errorf(api.SettingsNoFile, "%w", err)
		}
		if faults := settings.ParseInto(&file, string(text)); len(faults) > 0 {
			refused := api.Errorf(faults[0].Code, "%s is wrong", o.File)
			refused.Faults = faults
			return o, refused
		}
	}
	setIfEmpty(&o.Node, file.Client.Node)
	setIfEmpty(&o.Token, file.Client.Token)
	setIfEmpty(&o.Operator, file.Client.Operator)
	setIfEmpty(&o.Operator, loginName())
	setIfEmpty(&o.Authorities, file.Client.Authorities)
	setIfEmpty(&o.Certificate, file.Client.Certificate)
	setIfEmpty(&o.Key, file.Client.Key)
	setIfEmpty(&o.Timeout, file.Client.Timeout)
	setIfEmpty(&o.Timeout, requestTimeout)
	o.Node = strings.TrimSuffix(o.Node, "/")
	return o, nil
}

// setIfEmpty sets *dst to v if it has its zero value.
func setIfEmpty[T comparable](dst *T, v T) {
	var zero T
	if *dst == zero {
		*dst = v
	}
}

func loginName() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

// newClient returns a client for the selected node.
func (o nodeOptions) newClient() (*client.Client, error) {
	o, err := o.withDefaults()
	if err != nil {
		return nil, err
	}
	if o.Node == "" || o.Token == "" {
		return nil, usageError("this command needs --node and --token, or DAISYTIDE_NODE and DAISYTIDE_TOKEN")
	}
	if !strings.HasPrefix(o.Node, "http://") && !strings.HasPrefix(o.Node, "https://") {
		return nil, usageError("--node must be an http or https URL, not " + o.Node)
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	if transport.TLSClientConfig, err = o.tlsConfig(); err != nil {
		return nil, err
	}
	return &client.Client{
		BaseURL:  o.Node,
		Token:    o.Token,
		Operator: o.Operator,
		HTTP:     &http.Client{Transport: transport, Timeout: o.Timeout},
	}, nil
}

// tlsConfig builds the TLS configuration, or returns nil if no certificate
// option is set.
func (o nodeOptions) tlsConfig() (*tls.Config, error) {
	if o.Authorities == "" && o.Certificate == "" && o.Key == "" {
		return nil, nil
	}
	out := &tls.Config{MinVersion: tls.VersionTLS12}
	if o.Authorities != "" {
		pool, err := loadAuthorities(o.Authorities)
		if err != nil {
			return nil, err
		}
		out.RootCAs = pool
	}
	if o.Certificate == "" && o.Key == "" {
		return out, nil
	}
	pair, err := tls.LoadX509KeyPair(o.Certificate, o.Key)
	if err != nil {
		return nil, api.Errorf(api.SettingsBadValue, "certificate and key: %w", err)
	}
	out.Certificates = []tls.Certificate{pair}
	return out, nil
}

func loadAuthorities(file string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, api.Errorf(api.SettingsNoFile, "%w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, api.Errorf(api.SettingsBadValue, "%s holds no certificate", file)
	}
	return pool, nil
}

// interruptContext returns a context that an interrupt cancels.
func interruptContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt)
}

// queryError gives the error of a request without side effects a result code if it
// has none, so that every failure is reported with one.
func queryError(err error) error {
	var refused *api.Error
	if err == nil || errors.As(err, &refused) {
		return err
	}
	return api.Errorf(api.OperatorNoAnswer, "%w", err)
}

// orderError does the same as queryError for a request with side effects: without
// a response from the node its outcome is unknown.
func orderError(err error) error {
	var refused *api.Error
	if err == nil || errors.As(err, &refused) {
		return err
	}
	return unknownOutcome(api.Errorf(api.OperatorUnknown, "%w", err))
}
