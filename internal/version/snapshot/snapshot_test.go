package snapshot

import (
	"strings"
	"testing"
	"time"

	"github.com/daisytide/daisytide/internal/version/document"
)

func envelope(t *testing.T, number uint64, text string) []byte {
	t.Helper()
	a := document.AcceptedConfig{Number: number, Session: "s", Operator: "o", At: time.Unix(0, 0), Document: []byte(text)}
	b, err := a.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestHolderIgnoresOlderSnapshots(t *testing.T) {
	var h Holder
	var seen []uint64
	h.OnSwap(func(s *Snapshot) { seen = append(seen, s.Number()) })
	for _, n := range []uint64{2, 1, 2, 5, 4} {
		s, err := Build(envelope(t, n, `{"services":[],"routes":[]}`))
		if err != nil {
			t.Fatal(err)
		}
		h.StoreIfNewer(s)
	}
	if h.Current().Number() != 5 {
		t.Errorf("in force: %d, want 5", h.Current().Number())
	}
	if len(seen) != 2 || seen[0] != 2 || seen[1] != 5 {
		t.Errorf("swaps: %v, want [2 5]", seen)
	}
}

func TestBuildRefusesRouteToUnknownService(t *testing.T) {
	text := `{"services":[],"routes":[{"name":"r","match":{"prefix":"/"},"service":"lacking","time_limit":"1s","caller":"buyer"}]}`
	if _, err := Build(envelope(t, 1, text)); err == nil {
		t.Fatal("a route to an unknown service was accepted")
	}
}

func TestBuildFromSharesUnchangedParts(t *testing.T) {
	const services = `{"name":"a","versions":["v1"],"current":"v1"},{"name":"b","versions":["%s"],"current":"%s"}`
	text := func(b, limit string) string {
		return `{"services":[` + strings.ReplaceAll(services, "%s", b) + `],"routes":[
{"name":"r","match":{"prefix":"/"},"service":"a","time_limit":"` + limit + `","caller":"buyer"}]}`
	}
	build := func(prev *Snapshot, number uint64, text string) *Snapshot {
		s, err := BuildFrom(prev, envelope(t, number, text))
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	first := build(nil, 1, text("v1", "1s"))
	second := build(first, 2, text("v2", "1s"))
	third := build(second, 3, text("v2", "2s"))
	if second.Service("a") != first.Service("a") || second.Routes != first.Routes {
		t.Error("unchanged service or routes were rebuilt")
	}
	if second.Service("b") == first.Service("b") || second.Service("b").Current != "v2" {
		t.Error("a changed service was reused")
	}
	if third.Service("b") != second.Service("b") || third.Routes == second.Routes {
		t.Error("changed routes were reused, or an unchanged service was rebuilt")
	}
}
