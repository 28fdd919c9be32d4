package hostile

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// slowReader reads from r at most bytesPerSecond.
type slowReader struct {
	r              io.Reader
	bytesPerSecond int
}

// Read implements io.Reader.
func (s slowReader) Read(p []byte) (int, error) {
	n, err := s.r.Read(p[:min(len(p), s.bytesPerSecond/20)])
	time.Sleep(time.Duration(n) * time.Second / time.Duration(s.bytesPerSecond))
	return n, err
}

// fetch requests size bytes and reads them at a rate.
func (n *node) fetch(size, bytesPerSecond int) error {
	conn, err := net.Dial("tcp", n.addresses[callers])
	if err != nil {
		return err
	}
	defer conn.Close()
	// A small buffer leaves the rest of the response with the node.
	_ = conn.(*net.TCPConn).SetReadBuffer(64 << 10)
	if _, err := io.WriteString(conn, get(fmt.Sprintf("/bytes/%d", size))); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReaderSize(slowReader{conn, bytesPerSecond}, 64<<10), nil)
	if err != nil {
		return err
	}
	got, err := io.Copy(io.Discard, resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK || got != int64(size) {
		return fmt.Errorf("status %d with %d of %d bytes, error %v", resp.StatusCode, got, size, err)
	}
	return nil
}

// Limits against callers that read nothing must not cut off one that reads slowly
// while there is room.
func TestSlowReaderOfALargeResponseReceivesItWhole(t *testing.T) {
	n := startNode(t, memoryMB, descriptors)
	if err := n.fetch(8<<20, 1<<20); err != nil {
		t.Error(err)
	}
	n.check(maxPeakKB, maxDescriptors)
}

// Callers inside the limits must not meet a default: 300 that read 540 kB each at
// 2 Mbit/s.
func TestManyReadersOfOrdinaryResponsesAreServed(t *testing.T) {
	const memory, open = 184, 4100
	n := startNode(t, memory, open)
	var readers sync.WaitGroup
	for range 300 {
		readers.Go(func() {
			if err := n.fetch(540_000, 250_000); err != nil {
				t.Error(err)
			}
		})
	}
	readers.Wait()
	n.check(memory<<10, open-200)
}

// Callers inside the limits must not meet a default: 130 connections with 128
// pipelined small requests each.
func TestManyPipelinedSmallRequestsAreAnswered(t *testing.T) {
	const memory, open, pipelined = 184, 4100, 128
	n := startNode(t, memory, open)
	var mu sync.Mutex
	statuses := map[int]int{}
	var readers sync.WaitGroup
	for range 130 {
		readers.Go(func() {
			conn, err := net.Dial("tcp", n.addresses[callers])
			if err != nil {
				t.Error(err)
				return
			}
			defer conn.Close()
			go func() { _, _ = io.WriteString(conn, strings.Repeat(get("/"), pipelined)) }()
			br := bufio.NewReader(conn)
			for i := range pipelined {
				resp, err := http.ReadResponse(br, nil)
				if err == nil {
					_, err = io.Copy(io.Discard, resp.Body)
				}
				if err != nil {
					t.Errorf("response %d: %v", i, err)
					return
				}
				mu.Lock()
				statuses[resp.StatusCode]++
				mu.Unlock()
			}
		})
	}
	readers.Wait()
	t.Logf("responses by status: %v", statuses)
	// The queue refuses what would wait for too long, as it should.
	if got := statuses[http.StatusOK] + statuses[http.StatusServiceUnavailable]; got != 130*pipelined {
		t.Errorf("%d of %d requests were served or refused by the queue", got, 130*pipelined)
	}
	n.check(memory<<10, open-200)
}
