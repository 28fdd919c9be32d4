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
		// capacity of two upstreams, calls per second
		capacity = 2 * slots / 0.010
		// each way is measured in windows, one beside the other
		windows = 8
		window  = 750 * time.Millisecond
	)
	c := startService(b, 3, 1, upstream.Options{Service: "svc", Version: "v1", Slots: slots, Connections: 100, WorkTime: work}, mixed(2*time.Second))
	entry := c.Hosts[0].CallerBase()
	direct := urls(c.Hosts[1:], upstreamBase)
	client := caller()
	through := func(int) ending { return request(client, http.MethodGet, entry+"/look", 0) }
	straight := func(i int) ending { return request(client, http.MethodGet, direct[i%len(direct)]+"/look", 0) }
	for _, use := range []float64{0.1, 0.5, 1} {
		b.Run(fmt.Sprintf("use-%.1f", use), func(b *testing.B) {
			for range b.N {
				load(use*capacity, window, straight)
				load(use*capacity, window, through)
				var near, far []ending
				var cost [2]usage
				var added []float64
				for range windows {
					d := measured(&cost[0], func() []ending { return load(use*capacity, window, straight) })
					t := measured(&cost[1], func() []ending { return load(use*capacity, window, through) })
					added = append(added, percentile(t, 0.99)-percentile(d, 0.99))
					near = append(near, d...)
					far = append(far, t...)
				}
				slices.Sort(added)
				b.ReportMetric(added[windows/2], "added-p99-window-ms")
				b.ReportMetric(added[windows-1], "added-p99-worst-window-ms")
				for _, p := range []struct {
					name string
					at   float64
				}{{"p50", 0.5}, {"p99", 0.99}, {"p999", 0.999}} {
					d, t := percentile(near, p.at), percentile(far, p.at)
					b.ReportMetric(d, "direct-"+p.name+"-ms")
					b.ReportMetric(t-d, "added-"+p.name+"-ms")
				}
				b.Logf("ends, direct and through: %v %v", ends(near), ends(far))
				n := float64(len(near))
				b.ReportMetric((cost[1].allocs-cost[0].allocs)/n, "added-allocs/call")
				b.ReportMetric((cost[1].seconds-cost[0].seconds)/n*1e6, "added-cpu-us/call")
				b.ReportMetric(100*float64(answered(near))/n, "direct-answered-%")
				b.ReportMetric(100*float64(answered(far))/n, "answered-%")
			}
		})
	}
}

// usage is what a load has cost the process.
type usage struct{ allocs, seconds float64 }

func measured(u *usage, run func() []ending) []ending {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	began := processor()
	out := run()
	u.seconds += (processor() - began).Seconds()
	runtime.ReadMemStats(&after)
	u.allocs += float64(after.Mallocs - before.Mallocs)
	return out
}

// BenchmarkCallCost makes one call after another, directly and through entry
// and gate, for allocations and processor time: -bench CallCost -benchmem.
func BenchmarkCallCost(b *testing.B) {
	c := startService(b, 2, 1, upstream.Options{Service: "svc", Version: "v1", Slots: 10, Connections: 100}, mixed(2*time.Second))
	client := caller()
	for _, way := range []struct{ name, base string }{
		{"direct", upstreamBase(c.Hosts[1])},
		{"local-gate", c.Hosts[1].CallerBase()},
		{"remote-gate", c.Hosts[0].CallerBase()},
	} {
		for _, kind := range []struct {
			name, method, path string
			size               int
		}{{"look-up", http.MethodGet, "/look", 0}, {"credit", http.MethodPost, "/credit", 400}} {
			b.Run(way.name+"/"+kind.name, func(b *testing.B) {
				b.ReportAllocs()
				began := processor()
				for b.Loop() {
					if e := request(client, kind.method, way.base+kind.path, kind.size); e.status != http.StatusOK {
						b.Fatalf("%+v", e)
					}
				}
				b.ReportMetric(float64((processor()-began).Nanoseconds())/float64(b.N)/1000, "cpu-us/op")
			})
		}
	}
}
