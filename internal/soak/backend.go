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
	beatEvery = 500 * time.Millisecond
	beatLimit = time.Second
	// workMost bounds the time of one run.
	workMost = 60 * time.Millisecond
	// leaveFor is how long a leaving backend still serves.
	leaveFor = drainBound + time.Second
	// backendSlots is what a backend announces.
	backendSlots = 16
)

// backend is the stand-in of an upstream beside a node, one start after another
// at the same address, behind a proxy.
type backend struct {
	host    *host
	service string
	record  *record
	proxy   *Proxy
	l       net.Listener
	starts  int

	mu sync.Mutex
	// up is the start that runs; nil between two.
	up *incarnation
}

// incarnation is one start.
type incarnation struct {
	id       string
	born     int64
	sequence atomic.Uint64
	// left is when its leaving was acknowledged, in Unix nanoseconds.
	left atomic.Int64
}

func newBackend(h *host, service string, r *record) (*backend, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	proxy, err := NewProxy(l.Addr().String())
	if err != nil {
		return nil, err
	}
	b := &backend{host: h, service: service, record: r, proxy: proxy, l: l}
	go func() { _ = (&http.Server{Handler: b}).Serve(l) }()
	b.start()
	return b, nil
}

// start begins a new incarnation.
func (b *backend) start() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.starts++
	b.up = &incarnation{id: fmt.Sprintf("i-%d-%d", b.host.number, b.starts), born: time.Now().UnixMilli()}
}

// crash ends the current incarnation without a word.
func (b *backend) crash() {
	b.mu.Lock()
	b.up = nil
	b.mu.Unlock()
	b.proxy.ResetConnections()
}

func (b *backend) current() *incarnation {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.up
}

// beats reports until ctx ends.
func (b *backend) beats(ctx context.Context) {
	for ctx.Err() == nil {
		if up := b.current(); up != nil && up.left.Load() == 0 {
			b.beat(ctx, up, api.UpstreamReady)
		}
		sleep(ctx, beatEvery)
	}
}

// beat reports a state; false without an acknowledgement.
func (b *backend) beat(ctx context.Context, up *incarnation, state api.UpstreamState) bool {
	body, err := platform.EncodeHeartbeat(localupstream.Report{
		Service: b.service, Version: "v1", Address: b.proxy.Address(), Slots: backendSlots,
		State: state, Sequence: up.sequence.Add(1), StartedMillis: up.born,
	}, b.host.centre)
	if err != nil {
		b.record.find("a heartbeat cannot be written: %v", err)
		return false
	}
	return b.call(ctx, platform.PathHeartbeat+up.id, body)
}

func (b *backend) call(ctx context.Context, path string, body []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, beatLimit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.host.control+path, bytes.NewReader(body))
	if err != nil {
		return false
	}
	resp, err := b.host.beats.Do(r)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode == http.StatusOK
}

// leave announces the leaving of the current incarnation, serves on for a while
// and starts the next one. silent deregisters without draining first.
func (b *backend) leave(ctx context.Context, silent bool) {
	up := b.current()
	if up == nil || !up.left.CompareAndSwap(0, -1) {
		return
	}
	deregister := func() bool {
		return b.call(ctx, platform.PathDeregister+up.id, fmt.Appendf(nil, `{"born":%d}`, up.born))
	}
	said := func() bool { return b.beat(ctx, up, api.UpstreamDraining) }
	if silent {
		said = deregister
	}
	for tries := 0; tries < 8 && ctx.Err() == nil; tries++ {
		if said() {
			up.left.Store(time.Now().UnixNano())
			break
		}
		sleep(ctx, beatEvery)
	}
	sleep(ctx, leaveFor)
	if !silent {
		deregister()
	}
	b.crash()
	sleep(ctx, beatEvery)
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
	if r.Header.Get(platform.HeaderTargetInstance) != up.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	if left := up.left.Load(); left > 0 && arrived.Sub(time.Unix(0, left)) > drainBound {
		b.record.late(b, id, arrived.Sub(time.Unix(0, left)))
	}
	b.record.ran(id, r.URL.Path, b)
	time.Sleep(time.Duration(rand.Int64N(int64(workMost))))
	if b.current() != up {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(platform.HeaderSignature, "signed")
	_, _ = io.WriteString(w, wholeBody(id))
}

func wholeBody(id string) string { return "whole answer to " + id }

// sleep waits for a time, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
