package ingress

import (
	"net/netip"
	"sync/atomic"
)

// Origins tells the calls that the upstream beside this node makes from the
// requests of callers, by the address that they come from.
type Origins struct {
	// UpstreamIP is the address of the upstream; the zero value marks no call as
	// nested.
	UpstreamIP netip.Addr
	// othersSeen is set once a request came from another address. Until then the
	// callers may share the host, and the address says nothing.
	othersSeen atomic.Bool
}

// IsNested reports whether a request from an address is a call of the upstream.
func (o *Origins) IsNested(from netip.Addr) bool {
	if from != o.UpstreamIP {
		if !o.othersSeen.Load() {
			o.othersSeen.Store(true)
		}
		return false
	}
	return o.UpstreamIP.IsValid() && o.othersSeen.Load()
}
