// Package scrape reads a node's metrics for tests.
package scrape

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/metrics"
)

// Requests sums the histogram counts of one hop that the operator listener at
// base serves; token may be empty.
func RequestCount(t testing.TB, base, token string, hop metrics.Hop) int {
	t.Helper()
	r, err := http.NewRequest(http.MethodGet, base+"/metrics", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set(api.HeaderToken, token)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("metrics: status %d, %v", resp.StatusCode, err)
	}
	total := 0
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, `daisytide_request_seconds_count{hop="`+string(hop)+`"`) {
			n, err := strconv.Atoi(strings.TrimSpace(line[strings.LastIndex(line, " "):]))
			if err != nil {
				t.Fatal(err)
			}
			total += n
		}
	}
	return total
}
