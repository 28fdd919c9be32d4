package gossip

import (
	"testing"
	"time"

	"github.com/daisytide/daisytide/internal/process/membership"
)

// A starting node looks for an address to dial before it knows any. It must dial
// the first address that becomes known at once, without waiting for the
// bootstrap interval, which applies between two dials.
func TestNodeWithoutLinksDialsFirstKnownAddressAtOnce(t *testing.T) {
	var seeds []string
	m := NewManager(Config{
		Self:    func() membership.Record { return membership.Record{Address: "10.0.0.9:1"} },
		Members: membership.NewTable(), SeedAddresses: func() []string { return seeds }, RandomSeed: 1,
	})
	now := time.Unix(1000, 0)
	if a := m.extraDialLocked(now); a != "" {
		t.Fatalf("dials %q before an address is known", a)
	}
	seeds = []string{"10.0.0.1:1"}
	if a := m.extraDialLocked(now.Add(time.Millisecond)); a != "10.0.0.1:1" {
		t.Errorf("dials %q, want the first known address", a)
	}
	if a := m.extraDialLocked(now.Add(2 * time.Millisecond)); a != "" {
		t.Errorf("dials %q again without a wait", a)
	}
}
