package cluster

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/daisytide/daisytide/internal/conn/dial"
	"github.com/daisytide/daisytide/internal/standin/upstream"
)

// peerServer starts a server with the protocol of a node's peer listener and
// counts its open connections.
func peerServer(b *testing.B, h http.Handler, open *atomic.Int64) *httptest.Server {
	s := httptest.NewUnstartedServer(h)
	var p http.Protocols
	p.SetUnencryptedHTTP2(true)
	s.Config.Protocols = &p
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			open.Add(1)
		case http.StateClosed:
			open.Add(-1)
		}
	}
	s.Start()
	b.Cleanup(s.Close)
	return s
}

// BenchmarkPeerConnections measures the connections and memory of a node that calls
// each of its peers and is called by as many: -bench PeerConnections -benchtime 1x.
// Both ends of each connection are in this process, so its memory is that of one
// node's outgoing and incoming calls.
func BenchmarkPeerConnections(b *testing.B) {
	const callsAtOnce = 4
	for _, peers := range []int{10, 50, 100} {
		b.Run(fmt.Sprint(peers), func(b *testing.B) {
			for range b.N {
				var open atomic.Int64
				var urls []string
				for range peers {
					urls = append(urls, peerServer(b, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
						_, _ = io.WriteString(w, "whole")
					}), &open).URL)
				}
				before := heapAndStackBytes()
				client := &http.Client{Transport: dial.PeerTransport(nil)}
				var wait sync.WaitGroup
				for _, url := range urls {
					for range callsAtOnce {
						wait.Go(func() {
							for range 20 {
								if e := sendRequest(client, http.MethodGet, url+"/look", 0); e.status != http.StatusOK {
									b.Errorf("%+v", e)
								}
							}
						})
					}
				}
				wait.Wait()
				b.ReportMetric(float64(open.Load()), "connections-out")
				b.ReportMetric((heapAndStackBytes()-before)/float64(peers)/1024, "KiB/peer")
				b.ReportMetric((heapAndStackBytes()-before)/1024/1024, "MiB")
				runtime.KeepAlive(client)
			}
		})
	}
}

// heapAndStackBytes returns the memory in use by heap and stacks after a garbage
// collection.
func heapAndStackBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

// BenchmarkUploadsBesideLookups measures the time that look-ups spend outside the
// upstream, alone and while uploads of 16 MB share the connection between the two
// nodes: -bench UploadsBeside -benchtime 1x.
func BenchmarkUploadsBesideLookups(b *testing.B) {
	const (
		rate  = 200
		span  = 3 * time.Second
		bytes = 16 << 20
	)
	c := startService(b, 2, 1, upstream.Options{Service: "svc", Version: "v1", Slots: 20, Connections: 100, WorkTime: 2 * time.Millisecond}, mixedRoutes(30*time.Second))
	entry := c.Hosts[0].CallerBase()
	client := newClient()
	look := func(int) callResult { return sendRequest(client, http.MethodGet, entry+"/look", 0) }
	sendAtRate(rate, span/4, look)
	for _, uploads := range []int{0, 1, 4} {
		b.Run(fmt.Sprintf("uploads-%d", uploads), func(b *testing.B) {
			for range b.N {
				var stop atomic.Bool
				var wait sync.WaitGroup
				var sent, failed atomic.Int64
				for range uploads {
					wait.Go(func() {
						for !stop.Load() {
							if e := sendRequest(client, http.MethodPost, entry+"/photo", bytes); e.status != http.StatusOK {
								b.Logf("upload: %+v", e)
								failed.Add(1)
							}
							sent.Add(1)
						}
					})
				}
				var peak atomic.Uint64
				stopWatch := make(chan struct{})
				go watchHeap(&peak, stopWatch)
				results := sendAtRate(rate, span, look)
				stop.Store(true)
				wait.Wait()
				close(stopWatch)
				b.Logf("results: %v", countByCode(results))
				b.ReportMetric(overheadPercentile(results, 0.5), "look-up-p50-ms")
				b.ReportMetric(overheadPercentile(results, 0.99), "look-up-p99-ms")
				b.ReportMetric(100*float64(successCount(results))/float64(len(results)), "answered-%")
				b.ReportMetric(float64(sent.Load()*bytes)/span.Seconds()/1e6, "upload-MB/s")
				b.ReportMetric(float64(failed.Load()), "uploads-failed")
				b.ReportMetric(float64(peak.Load())/1e6, "peak-heap-MB")
			}
		})
	}
}

func watchHeap(peak *atomic.Uint64, stop <-chan struct{}) {
	for {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		peak.Store(max(peak.Load(), m.HeapInuse))
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}
