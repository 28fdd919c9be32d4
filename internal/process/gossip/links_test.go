package gossip

import (
	"testing"
	"time"

	"github.com/daisytide/daisytide/internal/process/membership"
)

// A node that starts looks for addresses before it knows any. It must dial the
// first one that becomes known at once, not after the wait between two dials.
func TestNodeWithoutLinksDialsFirstKnownAddressAtOnce(t *testing.T) {
	var seeds []string
	m := NewManager(Config{
		Self:    func() membership.Record { return membership.Record{Address: "10.0.0.9:1"} },
		Members: membership.NewTable(), SeedAddresses: func() []string { return seeds }, RandomSeed: 1,
	})
	now := time.Unix(1000, 0)
	if a := m.extraDialLocked(now); a != "" {
		t.Fatalf("dials %q", a)
	}
	seeds = []string{"10.0.0.1:1"}
	if a := m.extraDialLocked(now.Add(time.Millisecond)); a != "10.0.0.1:1" {
		t.Errorf("dials %q", a)
	}
	if a := m.extraDialLocked(now.Add(2 * time.Millisecond)); a != "" {
		t.Errorf("dials %q without a wait", a)
	}
}
