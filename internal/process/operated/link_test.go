package operated_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/daisytide/daisytide/internal/standin/store"
)

// Uploads and downloads that saturate the links of two hosts are answered whole or
// refused as not run, none is lost, and afterwards nothing is left on the links.
func TestTransfersOnSaturatedLinksAreWholeOrNotRun(t *testing.T) {
	s := store.New(1)
	near, far := startHostWithLink(t, s, "near", "i-near", 10), startHostWithLink(t, s, "far", "i-far", 10)
	writeConfig(t, s, 3)
	waitFor(t, "a response from the other host", func() bool {
		status, _, _ := send("GET", near.url("/far/1"), nil)
		return status == http.StatusOK
	})
	var wait sync.WaitGroup
	var mu sync.Mutex
	counts := map[string]int{}
	exchange := func(kind, method, path string, body []byte, extra int) {
		wait.Add(1)
		go func() {
			defer wait.Done()
			status, got, id := send(method, near.url(path), body)
			runs := far.runsOf(id)
			mu.Lock()
			defer mu.Unlock()
			counts[fmt.Sprintf("%s %d", kind, status)]++
			switch {
			case status == http.StatusOK && (got != "whole "+id+strings.Repeat(" ", extra) || runs == 0):
				t.Errorf("%s: %d bytes after %d runs", kind, len(got), runs)
			case status == http.StatusServiceUnavailable && runs != 0:
				t.Errorf("%s: refused after %d runs", kind, runs)
			}
		}()
	}
	// Two seconds of each direction within a second, objective 1 s.
	for i := range 40 {
		exchange("upload", "POST", "/far/u", make([]byte, 60_000), 0)
		exchange("download", "GET", "/far/d?bytes=60000", nil, 60_000)
		if i%4 == 0 {
			exchange("look-up", "GET", "/far/s", nil, 0)
		}
		time.Sleep(25 * time.Millisecond)
	}
	wait.Wait()
	t.Logf("%v", counts)
	for _, kind := range []string{"upload", "download", "look-up"} {
		if counts[kind+" 200"] == 0 {
			t.Errorf("no %s was answered: %v", kind, counts)
		}
	}
	for _, h := range []*host{near, far} {
		waitFor(t, "the links to be free", func() bool {
			text := h.metricsText()
			return strings.Contains(text, "daisytide_link_pending_bytes_in 0\n") && strings.Contains(text, "daisytide_link_pending_bytes_out 0\n")
		})
	}
}

// metricsText returns the node's metrics.
func (h *host) metricsText() string {
	resp, err := http.Get("http://" + h.cfg.Operators.Listen + "/metrics")
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	return string(text)
}
