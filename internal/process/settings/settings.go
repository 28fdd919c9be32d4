// Package settings reads what a node is told by its INI file and flags.
package settings

import (
	"errors"
	"io"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/daisytide/daisytide/api"
)

// Settings is all that a node is told when it starts.
type Settings struct {
	Node      Node      `group:"node" namespace:"node"`
	Callers   Callers   `group:"callers" namespace:"callers"`
	Peers     Peers     `group:"peers" namespace:"peers"`
	Operators Operators `group:"operators" namespace:"operators"`
	Store     Store     `group:"store" namespace:"store"`
	Upstream  Upstream  `group:"upstream" namespace:"upstream"`
}

// Node places the node.
type Node struct {
	Region     string `long:"region" ini-name:"region" description:"region of the host"`
	DataCentre string `long:"data-centre" ini-name:"data-centre" description:"data centre of the host"`
	Rack       string `long:"rack" ini-name:"rack" description:"rack of the host, if known"`
}

// TLS names the files of a listener's certificate.
type TLS struct {
	Certificate string `long:"certificate" ini-name:"certificate" description:"PEM file with the certificate"`
	Key         string `long:"key" ini-name:"key" description:"PEM file with the private key"`
	Authorities string `long:"authorities" ini-name:"authorities" description:"PEM file with the authorities that sign the other side"`
}

// Callers is the listener for calls.
type Callers struct {
	Listen string `long:"listen" ini-name:"listen" description:"IP and port for callers"`
	TLS
}

// Peers is the listener for other nodes.
type Peers struct {
	Listen string `long:"listen" ini-name:"listen" description:"IP and port for peers; it identifies the node"`
	Secret string `long:"secret" ini-name:"secret" description:"key that all nodes share"`
	Seeds  string `long:"seeds" ini-name:"seeds" description:"peer addresses to start from, separated by commas"`
	TLS
}

// Operators is the listener for operators and the local upstream.
type Operators struct {
	Listen string `long:"listen" ini-name:"listen" description:"IP and port for operators and the local upstream"`
	Token  string `long:"token" ini-name:"token" description:"token that operators must send"`
	TLS
}

// Store is the platform's key-value store.
type Store struct {
	Address string        `long:"address" ini-name:"address" description:"URL of the platform's store"`
	Timeout time.Duration `long:"timeout" ini-name:"timeout" default:"1s" description:"time limit of one call to the store"`
	Rate    float64       `long:"rate" ini-name:"rate" default:"2" description:"calls to the store per second that the node may make"`
}

// Upstream is the upstream beside the node.
type Upstream struct {
	StopGrace time.Duration `long:"stop-grace" ini-name:"stop-grace" default:"30s" description:"time that requests in progress get when the node stops"`
}

// SeedList splits the seeds.
func (p Peers) SeedList() []string {
	var out []string
	for s := range strings.SplitSeq(p.Seeds, ",") {
		if s = strings.TrimSpace(s); s != "" {
			out = append(out, s)
		}
	}
	return out
}

// Load reads a settings file. Every fault is returned, with its line.
func Load(path string) (*Settings, []api.Fault) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, []api.Fault{{Code: api.SettingsNoFile, Path: path, Message: err.Error()}}
	}
	return Parse(string(text))
}

// Parse reads settings in INI form. After a line that cannot be read the
// rest is read without it, so that all faults are found at once.
func Parse(text string) (*Settings, []api.Fault) {
	lines := strings.Split(text, "\n")
	var faults []api.Fault
	for {
		s, err := parse(strings.NewReader(strings.Join(lines, "\n")))
		if err == nil {
			return s, append(faults, s.Check()...)
		}
		f := faultOf(err)
		faults = append(faults, f)
		if f.Line < 1 || f.Line > len(lines) || lines[f.Line-1] == "" {
			return nil, faults
		}
		lines[f.Line-1] = ""
	}
}

func parse(r io.Reader) (*Settings, error) {
	var s Settings
	p := flags.NewParser(&s, flags.None)
	// The INI parser alone leaves defaults unset.
	if _, err := p.ParseArgs(nil); err != nil {
		return nil, err
	}
	if err := flags.NewIniParser(p).Parse(r); err != nil {
		return nil, err
	}
	return &s, nil
}

func faultOf(err error) api.Fault {
	var ini *flags.IniError
	if !errors.As(err, &ini) {
		return api.Fault{Code: api.SettingsBadValue, Message: err.Error()}
	}
	code := api.SettingsBadValue
	switch {
	case strings.HasPrefix(ini.Message, "unknown"), strings.HasPrefix(ini.Message, "could not find"):
		code = api.SettingsUnknownKey
	case strings.HasPrefix(ini.Message, "malformed"):
		code = api.SettingsSyntax
	}
	return api.Fault{Code: code, Line: int(ini.LineNumber), Message: ini.Message}
}

// Check returns what is missing or contradictory.
func (s *Settings) Check() []api.Fault {
	var faults []api.Fault
	seen := map[string]string{}
	for _, l := range []struct{ path, listen string }{
		{"callers.listen", s.Callers.Listen},
		{"peers.listen", s.Peers.Listen},
		{"operators.listen", s.Operators.Listen},
	} {
		faults = append(faults, checkListen(l.path, l.listen, seen)...)
	}
	for _, m := range []struct{ path, value string }{
		{"node.region", s.Node.Region},
		{"node.data-centre", s.Node.DataCentre},
		{"peers.secret", s.Peers.Secret},
		{"operators.token", s.Operators.Token},
		{"store.address", s.Store.Address},
	} {
		if m.value == "" {
			faults = append(faults, api.Fault{Code: api.SettingsMissing, Path: m.path, Message: "the setting is required"})
		}
	}
	return faults
}

func checkListen(path, listen string, seen map[string]string) []api.Fault {
	if listen == "" {
		return []api.Fault{{Code: api.SettingsMissing, Path: path, Message: "the setting is required"}}
	}
	if _, err := netip.ParseAddrPort(listen); err != nil {
		return []api.Fault{{Code: api.SettingsBadValue, Path: path, Message: "not an IP number and a port: " + listen}}
	}
	if other, ok := seen[listen]; ok {
		return []api.Fault{{Code: api.SettingsClash, Path: path, Message: "the address is also that of " + other}}
	}
	seen[listen] = path
	return nil
}
