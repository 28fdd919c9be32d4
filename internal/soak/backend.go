package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/process/localupstream"
	"github.com/daisytide/daisytide/platform"
)

const (
	heartbeatInterval = 500 * time.Millisecond
	heartbeatTimeout  = time.Second
	// maxWorkTime limits the time of one run.
	maxWorkTime = 60 * time.Millisecond
	// drainServeTime is how long a draining backend still serves.
	drainServeTime = drainGrace + time.Second
	backendSlots   = 16
)

// backend stands in for the upstream beside a node. Its incarnations follow each
// other at the same address, behind a proxy.
type backend struct {
	host     *host
	service  string
	checker  *checker
	proxy    *Proxy
	listener net.Listener
	starts   int
	// endless makes responses bytes without end.
	endless atomic.Bool

	mu sync.Mutex
	// running is the current incarnation; nil between two of them.
	running *incarnation
}

// incarnation is one start of a backend, up to its end.
type incarnation struct {
	id            string
	startedMillis int64
	sequence      atomic.Uint64
	// lastReady is the body of the latest ready heartbeat.
	lastReady atomic.Pointer[[]byte]
	// drainAckedAt is when the node acknowledged the drain, in Unix nanoseconds;
	// -1 while the acknowledgement is outstanding, 0 before the drain.
	drainAckedAt atomic.Int64
}

func newBackend(h *host, service string, c *checker) (*backend, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	proxy, err := NewProxy(l.Addr().String())
	if err != nil {
		return nil, err
	}
	b := &backend{host: h, service: service, checker: c, proxy: proxy, listener: l}
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

// crash ends the current incarnation without notice and resets its connections.
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

// sendHeartbeats reports the backend as ready until ctx ends, except while it
// drains or is down.
func (b *backend) sendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		if up := b.current(); up != nil && up.drainAckedAt.Load() == 0 {
			b.sendHeartbeat(ctx, up, api.UpstreamReady)
		}
		sleep(ctx, heartbeatInterval)
	}
}

// sendHeartbeat reports a state and returns whether the node acknowledged it.
func (b *backend) sendHeartbeat(ctx context.Context, up *incarnation, state api.UpstreamState) bool {
	body, err := platform.EncodeHeartbeat(localupstream.Report{
		Service: b.service, Version: "v1", Address: b.proxy.Address(), Slots: backendSlots,
		State: state, Sequence: up.sequence.Add(1), StartedMillis: up.startedMillis,
	}, b.host.dataCentre)
	if err != nil {
		b.checker.addViolation("encode a heartbeat: %v", err)
		return false
	}
	if state == api.UpstreamReady {
		up.lastReady.Store(&body)
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

// departure describes how an incarnation leaves.
type departure struct {
	// skipDrain deregisters at once, without draining.
	skipDrain bool
	// nodeSignal, if set, is sent to the node after the acknowledgement, and to the nodes
	// of others. The latest ready heartbeat then arrives again and again, as if it had
	// been delayed, and the backend serves for longer.
	nodeSignal syscall.Signal
	others     []*host
}

// healthPath is the path on which a backend says whether it is there and stays.
const healthPath = "/healthz"

const (
	// lateHeartbeatInterval is the time between two arrivals of a late heartbeat.
	lateHeartbeatInterval = 200 * time.Millisecond
	// lateHeartbeatTime is how long they arrive: until the node has stopped, is back
	// and has had time to use the backend again.
	lateHeartbeatTime = stopGrace + drainGrace
)

// drainAndRestart announces the departure of the current incarnation, serves for a
// while longer and starts the next one.
func (b *backend) drainAndRestart(ctx context.Context, d departure) {
	up := b.current()
	if up == nil || !up.drainAckedAt.CompareAndSwap(0, -1) {
		return
	}
	deregister := func() bool {
		return b.post(ctx, platform.PathDeregister+up.id, fmt.Appendf(nil, `{"born":%d}`, up.startedMillis))
	}
	announce := func() bool { return b.sendHeartbeat(ctx, up, api.UpstreamDraining) }
	if d.skipDrain {
		announce = deregister
	}
	for tries := 0; tries < 8 && ctx.Err() == nil; tries++ {
		if announce() {
			up.drainAckedAt.Store(time.Now().UnixNano())
			break
		}
		sleep(ctx, heartbeatInterval)
	}
	if d.nodeSignal != 0 && up.drainAckedAt.Load() > 0 {
		for _, h := range append([]*host{b.host}, d.others...) {
			if d.nodeSignal == syscall.SIGKILL {
				h.markDisturbed(time.Now(), recoveryTime)
			}
			h.signal(d.nodeSignal)
		}
		b.repeatLateHeartbeat(ctx, up)
	}
	sleep(ctx, drainServeTime)
	if !d.skipDrain {
		deregister()
	}
	b.crash()
	sleep(ctx, heartbeatInterval)
	b.start()
}

// repeatLateHeartbeat sends the latest ready heartbeat of an incarnation that has left.
func (b *backend) repeatLateHeartbeat(ctx context.Context, up *incarnation) {
	late := up.lastReady.Load()
	for end := time.Now().Add(lateHeartbeatTime); late != nil && time.Now().Before(end) && ctx.Err() == nil; {
		b.post(ctx, platform.PathHeartbeat+up.id, *late)
		sleep(ctx, lateHeartbeatInterval)
	}
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
	if r.URL.Path == healthPath {
		w.Header().Set(platform.HeaderInstanceID, up.id)
		if up.drainAckedAt.Load() != 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if r.Header.Get(platform.HeaderTargetInstance) != up.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	if acked := up.drainAckedAt.Load(); acked > 0 && arrived.Sub(time.Unix(0, acked)) > drainGrace {
		b.checker.addLateRequest(b, id, arrived.Sub(time.Unix(0, acked)))
	}
	b.checker.addRun(id, r.URL.Path, b)
	if b.endless.Load() {
		writeEndlessly(w, rand.IntN(2) == 0)
	}
	time.Sleep(time.Duration(rand.Int64N(int64(maxWorkTime))))
	if b.current() != up {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(platform.HeaderSignature, "signed")
	_, _ = io.WriteString(w, expectedBody(id, b.service))
}

// writeEndlessly writes a body, or a header if inHeader is set, that ends only with the
// connection.
func writeEndlessly(w http.ResponseWriter, inHeader bool) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	part := "X-Line: " + strings.Repeat("a", 1<<12) + "\r\n"
	_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
	if !inHeader && err == nil {
		_, err = io.WriteString(conn, "Connection: close\r\n\r\n")
	}
	for err == nil {
		_, err = io.WriteString(conn, part)
	}
	panic(http.ErrAbortHandler)
}

// expectedBody is the complete response body of a service to a request. With the id in
// it, a caller notices a response that belongs to another request.
func expectedBody(id, service string) string { return "whole answer of " + service + " to " + id }

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
