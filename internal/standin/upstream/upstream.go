// Package upstream is a small stand-in of a back end: slots, cold start,
// shedding, draining, deadlines, health and load endpoints, injected faults.
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

// HeaderTook tells how long the request was in the upstream, in nanoseconds.
const HeaderServiceTime = "Standin-Took"

// Fault is what goes wrong on the paths with a prefix.
type Fault struct {
	// Prefix selects paths; empty means all.
	Prefix string
	// Fail answers 500 without running the work.
	Fail bool
	// Slow multiplies the time of the work; 0 leaves it.
	SlowFactor float64
	// Hang never answers before the caller gives up.
	Hang bool
	// Short ends the answer early.
	Truncate bool
	// Crash ends the whole upstream.
	Crash bool
}

// Options describe a stand-in.
type Options struct {
	Service string
	Version string
	Slots   int
	// Connections is announced, not enforced.
	Connections int
	// Work is the time that one request takes.
	WorkTime time.Duration
	// Cold is how long after the start requests take ColdFactor as long.
	Warmup       time.Duration
	WarmupFactor float64
}

// Upstream is one stand-in back end.
type Upstream struct {
	o Options

	mu       sync.Mutex
	started  time.Time
	running  int
	draining bool
	// drained is when draining began.
	drained time.Time
	faults  []Fault
	// ran counts the runs of each idempotency key.
	ran    map[string]int
	total  uint64
	failed uint64
	lie    bool
	server *http.Server
	addr   string
}

// New returns an upstream that does not listen yet.
func New(o Options) *Upstream {
	return &Upstream{o: o, ran: map[string]int{}}
}

// Start listens on address (IP and port; port 0 picks one).
func (u *Upstream) Start(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	u.mu.Lock()
	u.started = time.Now()
	u.addr = l.Addr().String()
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
	return u.addr
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

// Lie makes the health and load endpoints claim an idle upstream.
func (u *Upstream) ReportIdle(on bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.lie = on
}

// DrainGrace is how long a draining upstream still takes what is on its way.
const DrainGrace = time.Second

// Drain makes the upstream refuse new requests after DrainGrace.
func (u *Upstream) Drain() { u.SetDraining(true) }

// SetDraining makes the upstream refuse new requests after DrainGrace, or
// take them again.
func (u *Upstream) SetDraining(on bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if on && !u.draining {
		u.drained = time.Now()
	}
	u.draining = on
}

// Runs returns how often each idempotency key ran.
func (u *Upstream) RunsByKey() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := make(map[string]int, len(u.ran))
	for k, n := range u.ran {
		out[k] = n
	}
	return out
}

// Total returns the number of requests run.
func (u *Upstream) TotalRuns() uint64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.total
}

// Failed returns the number of requests that met an injected fault.
func (u *Upstream) FaultedRequests() uint64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.failed
}

// Announce tells the node at base (its operator listener) of the upstream.
func (u *Upstream) Announce(ctx context.Context, base, token string) error {
	u.mu.Lock()
	a := api.Announcement{
		Service: u.o.Service, Version: u.o.Version, Address: u.addr,
		State: api.UpstreamReady, Slots: u.o.Slots, Connections: u.o.Connections,
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
	mux.HandleFunc("/health", u.health)
	mux.HandleFunc("/load", u.load)
	mux.HandleFunc("/", u.work)
	return mux
}

func (u *Upstream) health(w http.ResponseWriter, _ *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.draining && !u.lie {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (u *Upstream) load(w http.ResponseWriter, _ *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := u.running
	if u.lie {
		n = 0
	}
	fmt.Fprintf(w, "%d/%d\n", n, u.o.Slots)
}

func (u *Upstream) work(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	fault, took, ok := u.begin(r)
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
	case <-time.After(took):
	}
	u.answer(w, r, size, time.Since(began), fault.Truncate)
}

// answer echoes what identifies the request, so that a caller can check that
// the answer is its own and whole.
func (u *Upstream) answer(w http.ResponseWriter, r *http.Request, size int64, took time.Duration, short bool) {
	body := fmt.Sprintf("%s %s %s key=%s body=%d\n", u.o.Service, u.o.Version, r.URL.Path, r.Header.Get(call.HeaderIdempotencyKey), size)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Header().Set(HeaderServiceTime, strconv.FormatInt(int64(took), 10))
	if short {
		body = body[:len(body)/2]
	}
	_, _ = io.WriteString(w, body)
}

// begin takes a slot and finds the fault that applies.
func (u *Upstream) begin(r *http.Request) (Fault, time.Duration, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.draining && time.Since(u.drained) > DrainGrace || u.running >= u.o.Slots {
		return Fault{}, 0, false
	}
	u.running++
	u.total++
	if k := r.Header.Get(call.HeaderIdempotencyKey); k != "" {
		u.ran[k]++
	}
	took := u.o.WorkTime
	if time.Since(u.started) < u.o.Warmup {
		took = time.Duration(float64(took) * u.o.WarmupFactor)
	}
	for _, f := range u.faults {
		if !strings.HasPrefix(r.URL.Path, f.Prefix) {
			continue
		}
		u.failed++
		if f.SlowFactor > 0 {
			took = time.Duration(float64(took) * f.SlowFactor)
		}
		return f, took, true
	}
	return Fault{}, took, true
}

func (u *Upstream) end() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running--
}
