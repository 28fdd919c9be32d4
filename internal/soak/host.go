package soak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// grace is how long a stopping process may take.
	grace = 6 * time.Second
	// restartAfter is the pause between the end of a process and its next start.
	restartAfter = 300 * time.Millisecond
	settingsMode = 0o600
)

// host is one node process with its backend and the proxies around it.
type host struct {
	number  int
	centre  string
	dir     string
	program string

	callers, peers, control, gate, ready string

	store   *Proxy
	backend *backend
	record  *record
	beats   *http.Client

	mu sync.Mutex
	// disturbed are the spans in which bounds in time do not hold here, heldUp
	// those in which a request on its way to the backend may be held up.
	disturbed, heldUp []span
	process           *os.Process
	starts            int
	// stopping tells that the process got SIGTERM; ended is closed at its end.
	stopping bool
	signaled bool
	ended    chan struct{}
	closing  bool
}

type span struct{ from, to time.Time }

// firstPort is the first of a node's ports. They are below those that the
// kernel gives to connections, which could take the port of a node between two
// starts, and each host of each run has an address of its own.
const firstPort = 7600

// addresses gives the listeners of a host, by the id of this process.
func addresses(number, n int) []string {
	pid := os.Getpid()
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("127.%d.%d.%d:%d", 1+(pid>>8)%200, pid%250, 1+number, firstPort+i))
	}
	return out
}

func newHost(number int, dir, program, service, store string, r *record) (*host, error) {
	a := addresses(number, 5)
	h := &host{
		number: number, centre: fmt.Sprintf("c%d", number%3), dir: dir, program: program, record: r,
		callers: a[0], peers: a[1], control: a[2], gate: a[3], ready: a[4],
		beats: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	var err error
	if h.store, err = NewProxy(store); err != nil {
		return nil, err
	}
	if h.backend, err = newBackend(h, service, r); err != nil {
		return nil, err
	}
	return h, h.settings(true)
}

func (h *host) file() string { return filepath.Join(h.dir, fmt.Sprintf("node-%d.ini", h.number)) }

// settings writes the node's settings file.
func (h *host) settings(first bool) error {
	text := fmt.Sprintf("[node]\nregion = r\ndata-centre = %s\n[callers]\nlisten = %s\n[peers]\nlisten = %s\nsecret = nodes-of-the-soak-share-this\n"+
		"[operators]\nlisten = %s\ntoken = operators-of-the-soak-have-this\n[store]\naddress = http://%s\ntimeout = 1s\nrate = 20\n"+
		"[upstream]\nstop-grace = %s\n[operated]\nenabled = true\ngate = %s\nready = %s\nservice = %s\nupstream = %s\nfirst-start = %t\n",
		h.centre, h.callers, h.peers, h.control, h.store.Address(), grace, h.gate, h.ready, h.backend.service, h.backend.proxy.Address(), first)
	return os.WriteFile(h.file(), []byte(text), settingsMode)
}

// run keeps the process running until ctx ends, then stops it.
func (h *host) run(ctx context.Context) error {
	for ctx.Err() == nil {
		log, err := os.OpenFile(filepath.Join(h.dir, fmt.Sprintf("node-%d.log", h.number)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, settingsMode)
		if err != nil {
			return err
		}
		cmd := exec.Command(h.program, "--settings", h.file())
		cmd.Stdout, cmd.Stderr = log, log
		if err := cmd.Start(); err != nil {
			return err
		}
		h.mu.Lock()
		h.process, h.ended, h.stopping, h.signaled = cmd.Process, make(chan struct{}), false, false
		h.starts++
		ended := h.ended
		h.mu.Unlock()
		h.disturb(time.Now(), settleBound)
		err = cmd.Wait()
		_ = log.Close()
		h.mu.Lock()
		own := !h.signaled && !h.closing
		h.process = nil
		h.mu.Unlock()
		close(ended)
		if own {
			h.record.find("ended: the process of host %d ended by itself: %v", h.number, err)
		}
		if err := h.settings(false); err != nil {
			return err
		}
		sleep(ctx, restartAfter)
	}
	return nil
}

// signal sends a signal to the process that runs.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		h.signaled = true
	}
	h.stopping = h.stopping || s == syscall.SIGTERM
	_ = h.process.Signal(s)
}

// end stops the process for good, with SIGKILL after its grace.
func (h *host) end() {
	h.mu.Lock()
	h.closing = true
	ended, running := h.ended, h.process != nil
	h.mu.Unlock()
	if !running {
		return
	}
	h.signal(syscall.SIGCONT)
	h.signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(grace):
		h.signal(syscall.SIGKILL)
		<-ended
	}
}

// disturb notes that bounds in time do not hold for a while.
func (h *host) disturb(from time.Time, d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.disturbed = append(h.disturbed, span{from, from.Add(d)})
}

// hold notes that requests on their way to the backend may be held up.
func (h *host) hold(from time.Time, d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.heldUp = append(h.heldUp, span{from, from.Add(d)})
}

// calm tells that nothing disturbed the host in a span, nor settleBound before.
func (h *host) calm(from, to time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return undisturbed(h.disturbed, from, to)
}

// flowing tells that nothing held up its requests in a span, nor settleBound
// before.
func (h *host) flowing(from, to time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return undisturbed(h.heldUp, from, to)
}

func undisturbed(spans []span, from, to time.Time) bool {
	return !slices.ContainsFunc(spans, func(s span) bool { return s.from.Before(to) && s.to.Add(settleBound).After(from) })
}

// state tells which start of the process runs, and whether it is stopping.
func (h *host) state() (start int, stopping bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.starts, h.stopping
}
