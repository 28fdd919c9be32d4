package operated_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/daisytide/daisytide/internal/standin/store"
)

// BenchmarkRequest measures one request through two nodes: entry, gate and a
// stand-in upstream, whose time and allocations are included.
func BenchmarkRequest(b *testing.B) {
	for name, body := range map[string]int{"look-up": 0, "upload": 60_000} {
		b.Run(name, func(b *testing.B) {
			s := store.New(1)
			near, far := startHost(b, s, "near", "i-near"), startHost(b, s, "far", "i-far")
			writeConfig(b, s, 3)
			waitFor(b, "a response", func() bool { status, _, _ := send("GET", near.url("/far/1"), nil); return status == http.StatusOK })
			_ = far
			payload := make([]byte, body)
			b.ReportAllocs()
			began := time.Now()
			for b.Loop() {
				if status, _, _ := send("POST", near.url("/far/1"), payload); status != http.StatusOK {
					b.Fatalf("status %d", status)
				}
			}
			b.ReportMetric(float64(b.N)/time.Since(began).Seconds(), "requests/s")
		})
	}
}
