package metrics

import (
	"io"
	"net/http/httptest"
	"strings"
	"testing"
)

func TestTrafficIsCountedByKindAndDataCentre(t *testing.T) {
	m := New()
	m.Traffic.Add("members", "a", 100)
	m.Traffic.Add("members", "b", 20)
	m.Traffic.Add("members", "c", 3)
	m.Traffic.Add(KindRequest, "b", 5)
	m.Traffic.Add("digest", "a", 7)
	if got, want := m.Traffic.Outside("a"), "members=23 request=5"; got != want {
		t.Errorf("outside a: %q, want %q", got, want)
	}
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	page, err := io.ReadAll(w.Body)
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range []string{
		`daisytide_peer_bytes_total{data_centre="a",kind="members"} 100`,
		`daisytide_peer_bytes_total{data_centre="b",kind="request"} 5`,
	} {
		if !strings.Contains(string(page), line) {
			t.Errorf("/metrics lacks %s", line)
		}
	}
	var none *Traffic
	none.Add("members", "a", 1)
}
