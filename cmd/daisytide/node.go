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

// requestTimeout bounds one question to a node; an apply may wait for the
// store for most of it.
const requestTimeout = 15 * time.Second

// nodeOptions tell which node to ask, for every command that asks one. A flag
// wins over its environment variable, and that over the file.
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

// clientFile is the form of nodeOptions.File.
type clientFile struct {
	Client nodeOptions `group:"client"`
}

// complete fills what flags and environment left open.
func (o nodeOptions) complete() (nodeOptions, error) {
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
	fill(&o.Node, file.Client.Node)
	fill(&o.Token, file.Client.Token)
	fill(&o.Operator, file.Client.Operator)
	fill(&o.Operator, loginName())
	fill(&o.Authorities, file.Client.Authorities)
	fill(&o.Certificate, file.Client.Certificate)
	fill(&o.Key, file.Client.Key)
	fill(&o.Timeout, file.Client.Timeout)
	fill(&o.Timeout, requestTimeout)
	o.Node = strings.TrimSuffix(o.Node, "/")
	return o, nil
}

// fill sets an empty value.
func fill[T comparable](dst *T, v T) {
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

// connect makes the client of the chosen node.
func (o nodeOptions) connect() (*client.Client, error) {
	o, err := o.complete()
	if err != nil {
		return nil, err
	}
	if o.Node == "" || o.Token == "" {
		return nil, usage("this command needs --node and --token, or DAISYTIDE_NODE and DAISYTIDE_TOKEN")
	}
	if !strings.HasPrefix(o.Node, "http://") && !strings.HasPrefix(o.Node, "https://") {
		return nil, usage("--node must be an http or https URL, not " + o.Node)
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	if transport.TLSClientConfig, err = o.tls(); err != nil {
		return nil, err
	}
	return &client.Client{
		BaseURL:  o.Node,
		Token:    o.Token,
		Operator: o.Operator,
		HTTP:     &http.Client{Transport: transport, Timeout: o.Timeout},
	}, nil
}

// tls builds the configuration for a node with certificates; nil where none
// is named.
func (o nodeOptions) tls() (*tls.Config, error) {
	if o.Authorities == "" && o.Certificate == "" && o.Key == "" {
		return nil, nil
	}
	out := &tls.Config{MinVersion: tls.VersionTLS12}
	if o.Authorities != "" {
		pool, err := authorities(o.Authorities)
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

func authorities(file string) (*x509.CertPool, error) {
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

// untilInterrupt gives a context that an interrupt ends.
func untilInterrupt() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt)
}

// asked gives a failed question a number where it has none, so that every
// refusal carries one.
func asked(err error) error {
	var refused *api.Error
	if err == nil || errors.As(err, &refused) {
		return err
	}
	return api.Errorf(api.OperatorNoAnswer, "%w", err)
}

// ordered is asked for an order that has an effect: without an answer it is
// not known whether it was taken.
func ordered(err error) error {
	var refused *api.Error
	if err == nil || errors.As(err, &refused) {
		return err
	}
	return unknownOutcome(api.Errorf(api.OperatorUnknown, "%w", err))
}
