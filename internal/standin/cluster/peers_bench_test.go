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

// peerServer is a listener like that of peers, which counts its connections.
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

// BenchmarkPeerConnections gives the connections and memory that calls between
// nodes take of one node, which calls each of its peers and is called by as
// many: -bench PeerConnections -benchtime 1x. Both ends are in this process,
// so what it holds is what one node holds for calls out and in.
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
				before := memory()
				client := &http.Client{Transport: dial.PeerTransport(nil)}
				var wait sync.WaitGroup
				for _, url := range urls {
					for range callsAtOnce {
						wait.Go(func() {
							for range 20 {
								if e := request(client, http.MethodGet, url+"/look", 0); e.status != http.StatusOK {
									b.Errorf("%+v", e)
								}
							}
						})
					}
				}
				wait.Wait()
				b.ReportMetric(float64(open.Load()), "connections-out")
				b.ReportMetric((memory()-before)/float64(peers)/1024, "KiB/peer")
				b.ReportMetric((memory()-before)/1024/1024, "MiB")
				runtime.KeepAlive(client)
			}
		})
	}
}

// memory is what heap and stacks hold after a collection, in bytes.
func memory() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

// BenchmarkUploadsBesideLookups gives the time of look-ups outside the
// upstream alone and while uploads of 16 MB share the connection between the
// two nodes: -bench UploadsBeside -benchtime 1x.
func BenchmarkUploadsBesideLookups(b *testing.B) {
	const (
		rate  = 200
		span  = 3 * time.Second
		bytes = 16 << 20
	)
	c := startService(b, 2, 1, upstream.Options{Service: "svc", Version: "v1", Slots: 20, Connections: 100, WorkTime: 2 * time.Millisecond}, mixed(30*time.Second))
	entry := c.Hosts[0].CallerBase()
	client := caller()
	look := func(int) ending { return request(client, http.MethodGet, entry+"/look", 0) }
	load(rate, span/4, look)
	for _, uploads := range []int{0, 1, 4} {
		b.Run(fmt.Sprintf("uploads-%d", uploads), func(b *testing.B) {
			for range b.N {
				var over atomic.Bool
				var wait sync.WaitGroup
				var sent, failed atomic.Int64
				for range uploads {
					wait.Go(func() {
						for !over.Load() {
							if e := request(client, http.MethodPost, entry+"/photo", bytes); e.status != http.StatusOK {
								b.Logf("upload: %+v", e)
								failed.Add(1)
							}
							sent.Add(1)
						}
					})
				}
				var peak atomic.Uint64
				watch := make(chan struct{})
				go watchHeap(&peak, watch)
				es := load(rate, span, look)
				over.Store(true)
				wait.Wait()
				close(watch)
				b.Logf("ends: %v", ends(es))
				b.ReportMetric(percentile(es, 0.5), "look-up-p50-ms")
				b.ReportMetric(percentile(es, 0.99), "look-up-p99-ms")
				b.ReportMetric(100*float64(answered(es))/float64(len(es)), "answered-%")
				b.ReportMetric(float64(sent.Load()*bytes)/span.Seconds()/1e6, "upload-MB/s")
				b.ReportMetric(float64(failed.Load()), "uploads-failed")
				b.ReportMetric(float64(peak.Load())/1e6, "peak-heap-MB")
			}
		})
	}
}

func watchHeap(peak *atomic.Uint64, over <-chan struct{}) {
	for {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		peak.Store(max(peak.Load(), m.HeapInuse))
		select {
		case <-over:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}
