// Package settings reads and checks the INI file and flags of a node.
package settings

import (
	"strings"
	"time"
)

// Settings holds the settings of a node.
type Settings struct {
	Node      Node      `group:"node" namespace:"node"`
	Callers   Callers   `group:"callers" namespace:"callers"`
	Peers     Peers     `group:"peers" namespace:"peers"`
	Operators Operators `group:"operators" namespace:"operators"`
	Store     Store     `group:"store" namespace:"store"`
	Upstream  Upstream  `group:"upstream" namespace:"upstream"`
	Operated  Operated  `group:"operated" namespace:"operated"`
}

// Operated holds the settings of a node that reads the configuration from the
// store, where the operator writes it, and whose upstream reports by heartbeat.
type Operated struct {
	Enabled bool   `long:"enabled" ini-name:"enabled" description:"take configuration and orders from the store"`
	Gate    string `long:"gate" ini-name:"gate" description:"IP and port for the requests of other nodes"`
	Ready   string `long:"ready" ini-name:"ready" description:"IP and port that tell whether the node is ready"`
	Service string `long:"service" ini-name:"service" description:"service of the upstream beside the node"`
	Address string `long:"upstream" ini-name:"upstream" description:"IP and port of the upstream beside the node"`
	// SeedHosts are addresses on the hosts of other nodes; only their IPs are
	// used.
	SeedHosts  string        `long:"seed-hosts" ini-name:"seed-hosts" description:"addresses on hosts of other nodes, separated by commas"`
	FirstStart bool          `long:"first-start" ini-name:"first-start" description:"the whole fleet starts for the first time"`
	MemoryMB   int           `long:"memory-mb" ini-name:"memory-mb" default:"128" description:"memory of the process in MB"`
	LinkMbps   float64       `long:"link-mbps" ini-name:"link-mbps" default:"0" description:"rate of the host's link in Mbit/s, for large bodies; 0 is not known"`
	RetryRatio float64       `long:"retry-ratio" ini-name:"retry-ratio" default:"0.2" description:"part of a service's requests that may reach a second upstream, over the fleet"`
	RetrySlack float64       `long:"retry-slack" ini-name:"retry-slack" default:"60" description:"requests beyond that part, over the fleet"`
	LeaseTTL   time.Duration `long:"lease-ttl" ini-name:"lease-ttl" default:"10s" description:"life of the node's entry in the store without renewal"`
}

// Node holds the location of the node.
type Node struct {
	Region     string `long:"region" ini-name:"region" description:"region of the host"`
	DataCentre string `long:"data-centre" ini-name:"data-centre" description:"data centre of the host"`
	Rack       string `long:"rack" ini-name:"rack" description:"rack of the host, if known"`
}

// TLS names the PEM files of a listener; without them it serves cleartext.
type TLS struct {
	Certificate string `long:"certificate" ini-name:"certificate" description:"PEM file with the certificate"`
	Key         string `long:"key" ini-name:"key" description:"PEM file with the private key"`
	Authorities string `long:"authorities" ini-name:"authorities" description:"PEM file with the authorities that sign the other side"`
}

// Callers holds the settings of the listener for calls.
type Callers struct {
	Listen string `long:"listen" ini-name:"listen" description:"IP and port for callers"`
	TLS
}

// Peers holds the settings of the listener for other nodes.
type Peers struct {
	Listen string `long:"listen" ini-name:"listen" description:"IP and port for peers; it identifies the node"`
	Secret string `long:"secret" ini-name:"secret" description:"key that all nodes share"`
	Seeds  string `long:"seeds" ini-name:"seeds" description:"peer addresses to start from, separated by commas"`
	TLS
}

// Operators holds the settings of the listener for operators and the local
// upstream.
type Operators struct {
	Listen string `long:"listen" ini-name:"listen" description:"IP and port for operators and the local upstream"`
	Token  string `long:"token" ini-name:"token" description:"token that operators must send"`
	TLS
}

// Store holds the settings of the client of the platform's key-value store.
type Store struct {
	Address string        `long:"address" ini-name:"address" description:"URL of the platform's store"`
	Timeout time.Duration `long:"timeout" ini-name:"timeout" default:"1s" description:"time limit of one call to the store"`
	Rate    float64       `long:"rate" ini-name:"rate" default:"2" description:"calls to the store per second that the node may make"`
}

// Upstream holds the settings for the upstream beside the node.
type Upstream struct {
	StopGrace time.Duration `long:"stop-grace" ini-name:"stop-grace" default:"30s" description:"time that requests in progress get when the node stops"`
}

// SeedList returns Seeds as a list.
func (p Peers) SeedList() []string { return splitList(p.Seeds) }

// SeedHostList returns SeedHosts as a list.
func (o Operated) SeedHostList() []string { return splitList(o.SeedHosts) }

func splitList(list string) []string {
	var out []string
	for s := range strings.SplitSeq(list, ",") {
		if s = strings.TrimSpace(s); s != "" {
			out = append(out, s)
		}
	}
	return out
}
