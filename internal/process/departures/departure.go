// Package departures keeps the departures of upstreams beyond the process of the
// node beside them. A departure is the acknowledged fact that an instance drains
// or has been deregistered: reports of it that arrive later must not put it in use
// again, even at a process of the node that was started since.
//
// Each departure is written to the store under a lease and spread to all nodes by
// gossip. A node acknowledges it only when the store or a peer holds it, and a node
// that starts reads it back from both before it uses an upstream.
package departures

import (
	"cmp"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/daisytide/daisytide/api"
)

// TTL is how long a departure is kept. A report may arrive seconds late, and an
// upstream may serve for many seconds after its departure. The store allows no
// longer lease.
const TTL = 10 * time.Minute

// MaxReportDelay is how late a report may arrive. A process that has run for longer
// receives no report that was sent before it started.
const MaxReportDelay = 5 * time.Second

// confirmedReportDelay takes the place of MaxReportDelay for a report that the upstream
// confirms by its health response while the store shows trouble. It is not 0, since the
// response may be wrong.
const confirmedReportDelay = 3 * time.Second

// Bounds of a valid departure.
const (
	// maxClockSkew bounds what the clocks of two hosts may differ by. A departure
	// beyond it would take precedence over all later ones.
	maxClockSkew     = time.Minute
	maxAddressBytes  = 256
	maxInstanceBytes = 256
)

// Departure says that an instance of the upstream beside a node leaves or has left.
type Departure struct {
	// Node is the peer address of the node beside the upstream.
	Node string `cbor:"1,keyasint"`
	// Instance is the instance's ID, which a later start may have again.
	Instance string `cbor:"2,keyasint"`
	// StartedMillis is the instance's start in Unix milliseconds; 0 if unknown.
	StartedMillis int64 `cbor:"3,keyasint,omitempty"`
	// LeftMillis is when the node learned of the departure, in Unix milliseconds.
	LeftMillis int64 `cbor:"4,keyasint"`
	// ExpiresUnix is when the departure is dropped, in Unix seconds.
	ExpiresUnix int64 `cbor:"5,keyasint"`
}

// New returns the departure of an instance, learned at the given time.
func New(node, instance string, startedMillis int64, at time.Time) Departure {
	return Departure{Node: node, Instance: instance, StartedMillis: startedMillis, LeftMillis: at.UnixMilli(), ExpiresUnix: at.Add(TTL).Unix()}
}

// latestStart returns the latest start that the departure may be of: an instance of
// unknown start was started before it left.
func (d Departure) latestStart() int64 {
	if d.StartedMillis != 0 {
		return d.StartedMillis
	}
	return d.LeftMillis
}

// compare orders the departures of one node: the later start is greater.
func (d Departure) compare(o Departure) int {
	return cmp.Or(cmp.Compare(d.latestStart(), o.latestStart()), cmp.Compare(d.StartedMillis, o.StartedMillis), cmp.Compare(d.Instance, o.Instance))
}

// hash covers what compare does. The expiry is left out, since nodes may shorten it.
func (d Departure) hash() uint64 {
	key := fmt.Sprintf("%s\n%d\n%d\n%s", d.Node, d.latestStart(), d.StartedMillis, d.Instance)
	return xxhash.Sum64String(key)
}

// validate returns an error for a departure that no node records.
func (d Departure) validate(now time.Time) error {
	if d.Node == "" || len(d.Node) > maxAddressBytes || d.Instance == "" || len(d.Instance) > maxInstanceBytes {
		return api.Errorf(api.PeerFrame, "departure of %.40q beside %.40q", d.Instance, d.Node)
	}
	latest := now.Add(maxClockSkew).UnixMilli()
	if d.StartedMillis < 0 || d.StartedMillis > latest || d.LeftMillis <= 0 || d.LeftMillis > latest {
		return api.Errorf(api.PeerFrame, "departure of %.40q, started at %d, left at %d", d.Instance, d.StartedMillis, d.LeftMillis)
	}
	return nil
}
