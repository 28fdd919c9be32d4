package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// backend is a sound backend with slots, a short queue and heartbeats.
type backend struct {
	node    *node
	id      string
	version string
	born    int64
	slots   int
	work    time.Duration
	// answerBytes is the least size of an answer.
	answerBytes int
	server      *http.Server
	cancel      context.CancelFunc
	mu          sync.Mutex
	running     int
	sequence    uint64
	runs        []run
	// quiet stops the heartbeats.
	quiet bool
}

// run is one request that the backend began to work on.
type run struct {
	at time.Time
	id string
}

func (n *node) startBackend(id string, slots int, work time.Duration) error {
	b := &backend{node: n, id: id, version: "v1", born: time.Now().UnixMilli(), slots: slots, work: work}
	l, err := net.Listen("tcp", address(n.ip, n.fleet.ports.upstream))
	if err != nil {
		return err
	}
	b.server = &http.Server{Handler: b}
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	go func() { _ = b.server.Serve(l) }()
	go b.beat(ctx)
	n.backend = b
	return nil
}

func (b *backend) stop() {
	b.cancel()
	_ = b.server.Close()
}

// heartbeat returns the body of the next heartbeat.
func (b *backend) heartbeat(state string) []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	body, _ := json.Marshal(object{
		"service": b.node.service, "address": address(b.node.ip, b.node.fleet.ports.upstream), "zone": b.node.zone, "version": b.version,
		"capacity": b.slots, "state": state, "warmup_left_s": 0, "sequence": b.sequence, "born": b.born,
	})
	return body
}

// report sends a report to the control address of the machine and returns the status,
// 0 if there was no answer within a second.
func (b *backend) report(call string, body []byte) int {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Post("http://"+address(b.node.ip, b.node.fleet.ports.control)+"/"+call+"/"+b.id, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// beat sends a heartbeat every 1.5 s.
func (b *backend) beat(ctx context.Context) {
	for ctx.Err() == nil {
		b.mu.Lock()
		quiet := b.quiet
		b.mu.Unlock()
		wait := 1500 * time.Millisecond
		if !quiet && b.report("Instances.Heartbeat", b.heartbeat("ready")) != http.StatusOK {
			wait = 300 * time.Millisecond
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

func (b *backend) setQuiet(quiet bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.quiet = quiet
}

// runsAfter returns the runs that began after a time.
func (b *backend) runsAfter(at time.Time) []run {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []run
	for _, r := range b.runs {
		if r.at.After(at) {
			out = append(out, r)
		}
	}
	return out
}

// ServeHTTP runs a request as the platform's pages say.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Instance-Id", b.id)
	if r.URL.Path == "/healthz" {
		return
	}
	if target := r.Header.Get("Target-Instance"); target != "" && target != b.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Request-Id")
	b.mu.Lock()
	if id == "" || b.running >= b.slots {
		b.mu.Unlock()
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b.running++
	b.runs = append(b.runs, run{time.Now(), id})
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		b.running--
		b.mu.Unlock()
	}()
	select {
	case <-time.After(b.work):
	case <-r.Context().Done():
		return
	}
	answer := fmt.Sprintf("%s %s %d\n", b.id, id, len(body))
	if len(answer) < b.answerBytes {
		answer += strings.Repeat("a", b.answerBytes-len(answer))
	}
	w.Header().Set("Request-Id", id)
	w.Header().Set("Response-Signature", fmt.Sprintf("%s.%s.%d", b.id, id, len(answer)))
	_, _ = io.WriteString(w, answer)
}
