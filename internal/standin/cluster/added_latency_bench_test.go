package cluster

import (
	"fmt"
	"net/http"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/daisytide/daisytide/internal/standin/upstream"
)

// BenchmarkAddedTime compares calls through entry and gate with the same calls
// sent directly to the upstreams, at a steady rate, on real sockets:
// -bench AddedTime -benchtime 1x.
func BenchmarkAddedTime(b *testing.B) {
	const (
		slots = 10
		work  = 10 * time.Millisecond
		// calls per second that two upstreams can run
		capacity = 2 * slots / 0.010
		// direct and forwarded calls are measured in alternating windows
		windows = 8
		window  = 750 * time.Millisecond
	)
	c := startService(b, 3, 1, upstream.Options{Service: "svc", Version: "v1", Slots: slots, Connections: 100, WorkTime: work}, mixedRoutes(2*time.Second))
	entry := c.Hosts[0].CallerBase()
	direct := urls(c.Hosts[1:], upstreamBase)
	client := newClient()
	sendForwarded := func(int) callResult { return sendRequest(client, http.MethodGet, entry+"/look", 0) }
	sendDirect := func(i int) callResult { return sendRequest(client, http.MethodGet, direct[i%len(direct)]+"/look", 0) }
	for _, utilization := range []float64{0.1, 0.5, 1} {
		b.Run(fmt.Sprintf("use-%.1f", utilization), func(b *testing.B) {
			for range b.N {
				sendAtRate(utilization*capacity, window, sendDirect)
				sendAtRate(utilization*capacity, window, sendForwarded)
				var directResults, forwardedResults []callResult
				var usage [2]resourceUsage
				var added []float64
				for range windows {
					d := measureUsage(&usage[0], func() []callResult { return sendAtRate(utilization*capacity, window, sendDirect) })
					f := measureUsage(&usage[1], func() []callResult { return sendAtRate(utilization*capacity, window, sendForwarded) })
					added = append(added, overheadPercentile(f, 0.99)-overheadPercentile(d, 0.99))
					directResults = append(directResults, d...)
					forwardedResults = append(forwardedResults, f...)
				}
				slices.Sort(added)
				b.ReportMetric(added[windows/2], "added-p99-window-ms")
				b.ReportMetric(added[windows-1], "added-p99-worst-window-ms")
				for _, p := range []struct {
					name string
					at   float64
				}{{"p50", 0.5}, {"p99", 0.99}, {"p999", 0.999}} {
					d, f := overheadPercentile(directResults, p.at), overheadPercentile(forwardedResults, p.at)
					b.ReportMetric(d, "direct-"+p.name+"-ms")
					b.ReportMetric(f-d, "added-"+p.name+"-ms")
				}
				b.Logf("results, direct and forwarded: %v %v", countByCode(directResults), countByCode(forwardedResults))
				n := float64(len(directResults))
				b.ReportMetric((usage[1].allocs-usage[0].allocs)/n, "added-allocs/call")
				b.ReportMetric((usage[1].seconds-usage[0].seconds)/n*1e6, "added-cpu-us/call")
				b.ReportMetric(100*float64(successCount(directResults))/n, "direct-answered-%")
				b.ReportMetric(100*float64(successCount(forwardedResults))/n, "answered-%")
			}
		})
	}
}

// resourceUsage is what a load cost the process: allocations and CPU seconds.
type resourceUsage struct{ allocs, seconds float64 }

func measureUsage(u *resourceUsage, run func() []callResult) []callResult {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	start := cpuTime()
	out := run()
	u.seconds += (cpuTime() - start).Seconds()
	runtime.ReadMemStats(&after)
	u.allocs += float64(after.Mallocs - before.Mallocs)
	return out
}

// BenchmarkCallCost makes one call after another, directly and through entry
// and gate, for allocations and CPU time: -bench CallCost -benchmem.
func BenchmarkCallCost(b *testing.B) {
	c := startService(b, 2, 1, upstream.Options{Service: "svc", Version: "v1", Slots: 10, Connections: 100}, mixedRoutes(2*time.Second))
	client := newClient()
	for _, target := range []struct{ name, base string }{
		{"direct", upstreamBase(c.Hosts[1])},
		{"local-gate", c.Hosts[1].CallerBase()},
		{"remote-gate", c.Hosts[0].CallerBase()},
	} {
		for _, kind := range []struct {
			name, method, path string
			size               int
		}{{"look-up", http.MethodGet, "/look", 0}, {"credit", http.MethodPost, "/credit", 400}} {
			b.Run(target.name+"/"+kind.name, func(b *testing.B) {
				b.ReportAllocs()
				start := cpuTime()
				for b.Loop() {
					if e := sendRequest(client, kind.method, target.base+kind.path, kind.size); e.status != http.StatusOK {
						b.Fatalf("%+v", e)
					}
				}
				b.ReportMetric(float64((cpuTime()-start).Nanoseconds())/float64(b.N)/1000, "cpu-us/op")
			})
		}
	}
}
