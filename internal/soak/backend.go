package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/process/localupstream"
	"github.com/daisytide/daisytide/platform"
)

// Times of a backend.
const (
	heartbeatInterval = 500 * time.Millisecond
	heartbeatTimeout  = time.Second
	// workMost bounds the time of one run.
	maxWorkTime = 60 * time.Millisecond
	// leaveFor is how long a leaving backend still serves.
	drainServeTime = drainGrace + time.Second
	// backendSlots is what a backend announces.
	backendSlots = 16
)

// backend is the stand-in of an upstream beside a node, one start after another
// at the same address, behind a proxy.
type backend struct {
	host     *host
	service  string
	checker  *checker
	proxy    *Proxy
	listener net.Listener
	starts   int

	mu sync.Mutex
	// up is the start that runs; nil between two.
	running *incarnation
}

// incarnation is one start.
type incarnation struct {
	id            string
	startedMillis int64
	sequence      atomic.Uint64
	// left is when its leaving was acknowledged, in Unix nanoseconds.
	drainAckedAt atomic.Int64
}

func newBackend(h *host, service string, r *checker) (*backend, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	proxy, err := NewProxy(l.Addr().String())
	if err != nil {
		return nil, err
	}
	b := &backend{host: h, service: service, checker: r, proxy: proxy, listener: l}
	go func() { _ = (&http.Server{Handler: b}).Serve(l) }()
	b.start()
	return b, nil
}

// start begins a new incarnation.
func (b *backend) start() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.starts++
	b.running = &incarnation{id: fmt.Sprintf("i-%d-%d", b.host.number, b.starts), startedMillis: time.Now().UnixMilli()}
}

// crash ends the current incarnation without a word.
func (b *backend) crash() {
	b.mu.Lock()
	b.running = nil
	b.mu.Unlock()
	b.proxy.ResetConnections()
}

func (b *backend) current() *incarnation {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running
}

// beats reports until ctx ends.
func (b *backend) sendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		if up := b.current(); up != nil && up.drainAckedAt.Load() == 0 {
			b.sendHeartbeat(ctx, up, api.UpstreamReady)
		}
		sleep(ctx, heartbeatInterval)
	}
}

// beat reports a state; false without an acknowledgement.
func (b *backend) sendHeartbeat(ctx context.Context, up *incarnation, state api.UpstreamState) bool {
	body, err := platform.EncodeHeartbeat(localupstream.Report{
		Service: b.service, Version: "v1", Address: b.proxy.Address(), Slots: backendSlots,
		State: state, Sequence: up.sequence.Add(1), StartedMillis: up.startedMillis,
	}, b.host.dataCentre)
	if err != nil {
		b.checker.addViolation("a heartbeat cannot be written: %v", err)
		return false
	}
	return b.post(ctx, platform.PathHeartbeat+up.id, body)
}

func (b *backend) post(ctx context.Context, path string, body []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.host.control+path, bytes.NewReader(body))
	if err != nil {
		return false
	}
	resp, err := b.host.heartbeatClient.Do(r)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode == http.StatusOK
}

// leave announces the leaving of the current incarnation, serves on for a while
// and starts the next one. silent deregisters without draining first.
func (b *backend) drainAndRestart(ctx context.Context, silent bool) {
	up := b.current()
	if up == nil || !up.drainAckedAt.CompareAndSwap(0, -1) {
		return
	}
	deregister := func() bool {
		return b.post(ctx, platform.PathDeregister+up.id, fmt.Appendf(nil, `{"born":%d}`, up.startedMillis))
	}
	said := func() bool { return b.sendHeartbeat(ctx, up, api.UpstreamDraining) }
	if silent {
		said = deregister
	}
	for tries := 0; tries < 8 && ctx.Err() == nil; tries++ {
		if said() {
			up.drainAckedAt.Store(time.Now().UnixNano())
			break
		}
		sleep(ctx, heartbeatInterval)
	}
	sleep(ctx, drainServeTime)
	if !silent {
		deregister()
	}
	b.crash()
	sleep(ctx, heartbeatInterval)
	b.start()
}

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	up := b.current()
	if up == nil {
		panic(http.ErrAbortHandler)
	}
	arrived := time.Now()
	id := r.Header.Get(platform.HeaderRequestID)
	w.Header().Set(platform.HeaderRequestID, id)
	if r.Header.Get(platform.HeaderInstance) != up.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	if left := up.drainAckedAt.Load(); left > 0 && arrived.Sub(time.Unix(0, left)) > drainGrace {
		b.checker.addLateRequest(b, id, arrived.Sub(time.Unix(0, left)))
	}
	b.checker.addRun(id, r.URL.Path, b)
	time.Sleep(time.Duration(rand.Int64N(int64(maxWorkTime))))
	if b.current() != up {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(platform.HeaderSignature, "signed")
	_, _ = io.WriteString(w, expectedBody(id))
}

func expectedBody(id string) string { return "whole answer to " + id }

// sleep waits for a time, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
