package ingress

import (
	"net/netip"
	"testing"
)

// Guards against treating all requests as calls of the upstream on a host whose
// callers share its address.
func TestOnlyTheUpstreamsOwnCallsAreNested(t *testing.T) {
	upstream, caller := netip.MustParseAddr("10.0.0.1"), netip.MustParseAddr("10.9.0.1")
	o := Origins{UpstreamIP: upstream}
	if o.IsNested(upstream) {
		t.Error("nested before a caller with another address was seen")
	}
	if o.IsNested(caller) || !o.IsNested(upstream) {
		t.Error("the upstream's call is not told from the caller's")
	}
	if unknown := (&Origins{}); unknown.IsNested(caller) || unknown.IsNested(netip.Addr{}) {
		t.Error("nested without an address of the upstream")
	}
}
