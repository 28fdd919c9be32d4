package settings

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

const watched = `[node]
region = r
data-centre = a
[callers]
listen = 127.0.0.1:1
[peers]
listen = 127.0.0.1:2
secret = nodes-share-this-key
[operators]
listen = 127.0.0.1:3
token = operators-have-this-token
[store]
address = http://127.0.0.1:4
[operated]
enabled = true
gate = 127.0.0.1:5
ready = 127.0.0.1:6
service = s
upstream = 127.0.0.1:7
seed-hosts = 10.0.0.1:9
`

func TestChangedSettingsAreAppliedUnlessFaulty(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.ini")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(watched)
	if _, faults := Load(path); len(faults) > 0 {
		t.Fatal(faults)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals, applied := make(chan os.Signal, 1), make(chan string, 4)
	go func() {
		_ = Watch(ctx, path, nil, signals, func(s *Settings) { applied <- s.Operated.SeedHosts })
	}()
	expect := func(want string) {
		t.Helper()
		select {
		case got := <-applied:
			if got != want {
				t.Errorf("applied %q, want %q", got, want)
			}
		case <-time.After(20 * time.Second):
			t.Fatalf("%q was not applied", want)
		}
	}
	// Let Watch read the initial file before it changes.
	time.Sleep(50 * time.Millisecond)
	write(strings.Replace(watched, "10.0.0.1:9", "10.0.0.2:9", 1))
	signals <- syscall.SIGHUP
	expect("10.0.0.2:9")
	write(strings.Replace(watched, "[operated]", "[operated]\nwhat = 1", 1))
	signals <- syscall.SIGHUP
	time.Sleep(50 * time.Millisecond)
	write(strings.Replace(watched, "10.0.0.1:9", "10.0.0.3:9", 1))
	expect("10.0.0.3:9")
}

func TestOperatedSettingsAreChecked(t *testing.T) {
	for change, want := range map[[2]string]string{
		{"gate = 127.0.0.1:5", "gate = 127.0.0.1:1"}:    "operated.gate",
		{"ready = 127.0.0.1:6", ""}:                     "operated.ready",
		{"service = s", ""}:                             "operated.service",
		{"upstream = 127.0.0.1:7", "upstream = x"}:      "operated.upstream",
		{"seed-hosts = 10.0.0.1:9", "seed-hosts = x"}:   "operated.seed-hosts",
		{"service = s", "service = s\nmemory-mb = 1"}:   "operated.memory-mb",
		{"service = s", "service = s\nretry-ratio = 2"}: "operated.retry-ratio",
		{"service = s", "service = s\nlease-ttl = 1ms"}: "operated.lease-ttl",
	} {
		_, faults := Parse(strings.Replace(watched, change[0], change[1], 1))
		if len(faults) != 1 || faults[0].Path != want {
			t.Errorf("%v: %v", change, faults)
		}
	}
}
