// Package upstream is a small stand-in for an upstream, with request slots,
// warm-up, load shedding, draining, health and load endpoints, and injected
// faults.
package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/request/call"
)

// HeaderServiceTime is the response header that holds the time the request spent
// in the upstream, in nanoseconds.
const HeaderServiceTime = "Standin-Took"

// Fault is a failure injected into requests whose path has a prefix.
type Fault struct {
	// Prefix selects paths; empty means all.
	Prefix string
	// Fail responds with status 500 without spending the work time.
	Fail bool
	// SlowFactor multiplies the work time; 0 leaves it unchanged.
	SlowFactor float64
	// Hang sends no response before the caller gives up.
	Hang bool
	// Truncate ends the response body halfway.
	Truncate bool
	// Crash ends the whole upstream.
	Crash bool
}

// Options configures an upstream.
type Options struct {
	Service string
	Version string
	Slots   int
	// Connections is announced, not enforced.
	Connections int
	// WorkTime is the time that one request takes.
	WorkTime time.Duration
	// Warmup is how long after the start requests take WarmupFactor times as long.
	Warmup       time.Duration
	WarmupFactor float64
}

// Upstream is one stand-in upstream.
type Upstream struct {
	options Options

	mu         sync.Mutex
	started    time.Time
	running    int
	draining   bool
	drainStart time.Time
	faults     []Fault
	// runsByKey counts the runs of each idempotency key.
	runsByKey       map[string]int
	totalRuns       uint64
	faultedRequests uint64
	reportIdle      bool
	server          *http.Server
	address         string
}

// New returns an upstream that does not listen yet.
func New(o Options) *Upstream {
	return &Upstream{options: o, runsByKey: map[string]int{}}
}

// Start listens on address (IP and port; port 0 picks one).
func (u *Upstream) Start(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	u.mu.Lock()
	u.started = time.Now()
	u.address = l.Addr().String()
	u.server = &http.Server{Handler: u.handler()}
	server := u.server
	u.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	return nil
}

// Address returns where the upstream listens.
func (u *Upstream) Address() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.address
}

// Crash closes the listener and every connection at once.
func (u *Upstream) Crash() {
	u.mu.Lock()
	server := u.server
	u.mu.Unlock()
	_ = server.Close()
}

// SetFaults replaces the injected faults.
func (u *Upstream) SetFaults(f ...Fault) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults = f
}

// ReportIdle makes the health and load endpoints report a healthy, idle upstream
// regardless of its state.
func (u *Upstream) ReportIdle(on bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.reportIdle = on
}

// DrainGrace is how long a draining upstream still accepts requests that are on
// their way to it.
const DrainGrace = time.Second

// Drain makes the upstream refuse new requests after DrainGrace.
func (u *Upstream) Drain() { u.SetDraining(true) }

// SetDraining makes the upstream refuse new requests after DrainGrace, or accept
// them again.
func (u *Upstream) SetDraining(on bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if on && !u.draining {
		u.drainStart = time.Now()
	}
	u.draining = on
}

// RunsByKey returns how often a request ran for each idempotency key.
func (u *Upstream) RunsByKey() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := make(map[string]int, len(u.runsByKey))
	for k, n := range u.runsByKey {
		out[k] = n
	}
	return out
}

// TotalRuns returns the number of requests that took a slot.
func (u *Upstream) TotalRuns() uint64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.totalRuns
}

// FaultedRequests returns the number of requests that an injected fault applied
// to.
func (u *Upstream) FaultedRequests() uint64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.faultedRequests
}

// Announce announces the upstream, with its current state, to the node whose
// operator listener is at the URL base.
func (u *Upstream) Announce(ctx context.Context, base, token string) error {
	u.mu.Lock()
	a := api.Announcement{
		Service: u.options.Service, Version: u.options.Version, Address: u.address,
		State: api.UpstreamReady, Slots: u.options.Slots, Connections: u.options.Connections,
	}
	if u.draining {
		a.State = api.UpstreamDraining
	}
	u.mu.Unlock()
	b, err := json.Marshal(a)
	if err != nil {
		return fmt.Errorf("announce: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+api.PathAnnounce, bytes.NewReader(b))
	if err != nil {
		return fmt.Errorf("announce: %w", err)
	}
	req.Header.Set(api.HeaderToken, token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("announce: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("announce: %s", resp.Status)
	}
	return nil
}

func (u *Upstream) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/health", u.serveHealth)
	mux.HandleFunc("/load", u.serveLoad)
	mux.HandleFunc("/", u.serveRequest)
	return mux
}

func (u *Upstream) serveHealth(w http.ResponseWriter, _ *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.draining && !u.reportIdle {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (u *Upstream) serveLoad(w http.ResponseWriter, _ *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := u.running
	if u.reportIdle {
		n = 0
	}
	fmt.Fprintf(w, "%d/%d\n", n, u.options.Slots)
}

func (u *Upstream) serveRequest(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	fault, workTime, ok := u.begin(r)
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer u.end()
	size, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	switch {
	case fault.Crash:
		u.Crash()
		return
	case fault.Hang:
		<-r.Context().Done()
		return
	case fault.Fail:
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	select {
	case <-r.Context().Done():
		return
	case <-time.After(workTime):
	}
	u.writeResponse(w, r, size, time.Since(began), fault.Truncate)
}

// writeResponse echoes what identifies the request, so that a caller can check
// that the response belongs to its request and is complete.
func (u *Upstream) writeResponse(w http.ResponseWriter, r *http.Request, size int64, serviceTime time.Duration, truncate bool) {
	body := fmt.Sprintf("%s %s %s key=%s body=%d\n", u.options.Service, u.options.Version, r.URL.Path, r.Header.Get(call.HeaderIdempotencyKey), size)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Header().Set(HeaderServiceTime, strconv.FormatInt(int64(serviceTime), 10))
	if truncate {
		body = body[:len(body)/2]
	}
	_, _ = io.WriteString(w, body)
}

// begin takes a slot and returns the fault that applies and the work time, or
// false when the request is refused.
func (u *Upstream) begin(r *http.Request) (Fault, time.Duration, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.draining && time.Since(u.drainStart) > DrainGrace || u.running >= u.options.Slots {
		return Fault{}, 0, false
	}
	u.running++
	u.totalRuns++
	if k := r.Header.Get(call.HeaderIdempotencyKey); k != "" {
		u.runsByKey[k]++
	}
	workTime := u.options.WorkTime
	if time.Since(u.started) < u.options.Warmup {
		workTime = time.Duration(float64(workTime) * u.options.WarmupFactor)
	}
	for _, f := range u.faults {
		if !strings.HasPrefix(r.URL.Path, f.Prefix) {
			continue
		}
		u.faultedRequests++
		if f.SlowFactor > 0 {
			workTime = time.Duration(float64(workTime) * f.SlowFactor)
		}
		return f, workTime, true
	}
	return Fault{}, workTime, true
}

func (u *Upstream) end() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running--
}
