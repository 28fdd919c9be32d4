package settings

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"time"

	"github.com/daisytide/daisytide/api"
)

// Permitted ranges of settings.
const (
	minSecretBytes = 16
	minTimeout     = 10 * time.Millisecond
	maxTimeout     = time.Minute
	maxStopGrace   = time.Hour
	minRate        = 0.1
	maxRate        = 1000.0
	minMemoryMB    = 16.0
	maxMemoryMB    = 1 << 20
	maxRetrySlack  = 1e6
	maxLinkMbps    = 1e6
	minLeaseTTL    = time.Second
	maxLeaseTTL    = 10 * time.Minute
)

// Check returns a fault for each setting that is missing, out of range or in
// conflict with another, and for each named file that cannot be used. lines
// may be nil.
func (s *Settings) Check(lines lineNumbers) []api.Fault {
	c := &checker{lines: lines, listeners: map[string]netip.AddrPort{}}
	c.required("node.region", s.Node.Region)
	c.required("node.data-centre", s.Node.DataCentre)
	c.listen("callers.listen", s.Callers.Listen)
	if peers := c.listen("peers.listen", s.Peers.Listen); peers.IsValid() && peers.Addr().IsUnspecified() {
		c.addFault(api.SettingsBadValue, "peers.listen", "%s names no host; other nodes connect to this address", s.Peers.Listen)
	}
	c.listen("operators.listen", s.Operators.Listen)
	c.secret("peers.secret", s.Peers.Secret)
	c.secret("operators.token", s.Operators.Token)
	c.seeds(s.Peers)
	c.store(s.Store)
	checkRange(c, "upstream.stop-grace", s.Upstream.StopGrace, 0, maxStopGrace)
	c.operated(s.Operated)
	c.tls("callers", s.Callers.TLS)
	c.tls("peers", s.Peers.TLS)
	c.tls("operators", s.Operators.TLS)
	return c.faults
}

// checker collects the faults of one Settings value.
type checker struct {
	lines     lineNumbers
	listeners map[string]netip.AddrPort
	faults    []api.Fault
}

func (c *checker) addFault(code api.Code, path, format string, args ...any) {
	f := api.Fault{Code: code, Path: path, Line: c.lines.lineOf(path), Message: fmt.Sprintf(format, args...)}
	c.faults = append(c.faults, f)
}

func (c *checker) required(path, value string) bool {
	if value == "" {
		c.addFault(api.SettingsMissing, path, "the setting is required")
	}
	return value != ""
}

func checkRange[N time.Duration | float64](c *checker, path string, n, low, high N) {
	if n < low || n > high {
		c.addFault(api.SettingsBadValue, path, "%v is not from %v to %v", n, low, high)
	}
}

// address parses an IP address and port; port 0 is a fault.
func (c *checker) address(path, value string) netip.AddrPort {
	a, err := netip.ParseAddrPort(value)
	if err != nil || a.Port() == 0 {
		c.addFault(api.SettingsBadValue, path, "%q is not an IP address and port", value)
		return netip.AddrPort{}
	}
	return a
}

// listen checks a listener's address, also against the listeners checked
// before it.
func (c *checker) listen(path, value string) netip.AddrPort {
	if !c.required(path, value) {
		return netip.AddrPort{}
	}
	a := c.address(path, value)
	if !a.IsValid() {
		return a
	}
	for _, other := range []string{"callers.listen", "peers.listen", "operators.listen", "operated.gate", "operated.ready"} {
		b, ok := c.listeners[other]
		if ok && a.Port() == b.Port() && (a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()) {
			c.addFault(api.SettingsClash, path, "%s clashes with %s, which is %s", a, other, b)
		}
	}
	c.listeners[path] = a
	return a
}

func (c *checker) secret(path, value string) {
	if c.required(path, value) && len(value) < minSecretBytes {
		c.addFault(api.SettingsBadValue, path, "the value has fewer than %d bytes", minSecretBytes)
	}
}

func (c *checker) seeds(p Peers) {
	for _, seed := range p.SeedList() {
		c.address("peers.seeds", seed)
	}
}

func (c *checker) store(s Store) {
	if c.required("store.address", s.Address) {
		u, err := url.Parse(s.Address)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
			c.addFault(api.SettingsBadValue, "store.address", "%q is not an http or https URL", s.Address)
		}
	}
	checkRange(c, "store.timeout", s.Timeout, minTimeout, maxTimeout)
	checkRange(c, "store.rate", s.Rate, minRate, maxRate)
}

// operated checks the section of an operated node if it is enabled.
func (c *checker) operated(o Operated) {
	if !o.Enabled {
		return
	}
	c.listen("operated.gate", o.Gate)
	c.listen("operated.ready", o.Ready)
	c.required("operated.service", o.Service)
	if c.required("operated.upstream", o.Address) {
		c.address("operated.upstream", o.Address)
	}
	for _, host := range o.SeedHostList() {
		c.address("operated.seed-hosts", host)
	}
	checkRange(c, "operated.memory-mb", float64(o.MemoryMB), minMemoryMB, maxMemoryMB)
	checkRange(c, "operated.link-mbps", o.LinkMbps, 0, maxLinkMbps)
	checkRange(c, "operated.retry-ratio", o.RetryRatio, 0, 1)
	checkRange(c, "operated.retry-slack", o.RetrySlack, 0, maxRetrySlack)
	checkRange(c, "operated.lease-ttl", o.LeaseTTL, minLeaseTTL, maxLeaseTTL)
}

// tls checks that a listener's TLS files can be read and match.
func (c *checker) tls(section string, t TLS) {
	certificate := c.file(section+".certificate", t.Certificate)
	key := c.file(section+".key", t.Key)
	authorities := c.file(section+".authorities", t.Authorities)
	switch {
	case t.Certificate != "" && t.Key == "":
		c.addFault(api.SettingsClash, section+".certificate", "a certificate needs a key")
	case t.Certificate == "" && t.Key != "":
		c.addFault(api.SettingsClash, section+".key", "a key needs a certificate")
	case t.Certificate == "" && t.Authorities != "":
		c.addFault(api.SettingsClash, section+".authorities", "authorities need a certificate and a key")
	}
	if certificate != nil && key != nil {
		if _, err := tls.X509KeyPair(certificate, key); err != nil {
			c.addFault(api.SettingsBadValue, section+".certificate", "%v", err)
		}
	}
	if authorities != nil && !x509.NewCertPool().AppendCertsFromPEM(authorities) {
		c.addFault(api.SettingsBadValue, section+".authorities", "the file holds no certificate")
	}
}

// file reads the file called name. It returns nil if name is empty or, with a
// fault, if the file cannot be read.
func (c *checker) file(path, name string) []byte {
	if name == "" {
		return nil
	}
	b, err := os.ReadFile(name)
	if err != nil {
		c.addFault(api.SettingsNoFile, path, "%v", err)
		return nil
	}
	return b
}
