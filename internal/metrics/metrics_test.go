package metrics

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

func scrape(m *NodeMetrics) string {
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	return w.Body.String()
}

func TestHistogramTotalsAreTheRequestsSeen(t *testing.T) {
	m := New()
	for range 7 {
		m.ObserveRequest(Entry, "r", UpstreamResponded, 3*time.Millisecond)
	}
	m.ObserveRequest(Gate, "r", Refused, time.Minute)
	m.AddGauge("members", "Members of the fleet.", func() float64 { return 12 })
	text := scrape(m)
	for _, want := range []string{
		`daisytide_request_seconds_count{hop="entry",outcome="answered",route="r"} 7`,
		`daisytide_request_seconds_bucket{hop="entry",outcome="answered",route="r",le="0.004"} 7`,
		`daisytide_request_seconds_count{hop="gate",outcome="refused",route="r"} 1`,
		`daisytide_members 12`,
	} {
		if !strings.Contains(text, want) {
			t.Errorf("lacks %s", want)
		}
	}
}

func TestSeriesAreBoundedWhateverTheRoutes(t *testing.T) {
	m := New()
	for i := range 500 {
		m.ObserveRequest(Entry, fmt.Sprint("r", i), UpstreamResponded, time.Millisecond)
	}
	if n := strings.Count(scrape(m), "_count{"); n != maxRoutes+1 {
		t.Errorf("%d series of 500 routes", n)
	}
}

func TestGaugesAreReadAtEachScrape(t *testing.T) {
	m, number := New(), uint64(0)
	m.PublishGauges(Gauges{
		Configuration: func() uint64 { number++; return number },
		Members:       func() int { return 12 }, Links: func() int { return 6 }, Busy: func() int { return 3 },
		Retries: func() uint64 { return 9 },
	})
	scrape(m)
	text := scrape(m)
	for _, want := range []string{"daisytide_configuration 2", "daisytide_members 12", "daisytide_links 6", "daisytide_gate_busy 3", "daisytide_retries 9"} {
		if !strings.Contains(text, want+"\n") {
			t.Errorf("lacks %s", want)
		}
	}
}

func TestNoMetricsCountNothing(t *testing.T) {
	var m *NodeMetrics
	m.ObserveRequest(Entry, "r", UpstreamResponded, time.Millisecond)
}
