package soak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// stopGrace is how long a stopping process may take.
	stopGrace = 6 * time.Second
	// restartDelay is the time between the exit of a process and its next start.
	restartDelay = 300 * time.Millisecond
	fileMode     = 0o600
)

// host is one node process with its backend and the proxies around it.
type host struct {
	number     int
	dataCentre string
	dir        string
	binary     string
	// template is the text of the settings with the platform's placeholders.
	template string

	callers, peers, control, gate, ready string

	store           *Proxy
	backend         *backend
	checker         *checker
	heartbeatClient *http.Client

	mu sync.Mutex
	// disturbances are the time ranges in which time limits do not hold on this
	// host; delays are those in which requests to its backend may be delayed.
	disturbances, delays []timeRange
	process              *os.Process
	starts               int
	// stopping is set when the process was sent SIGTERM, signaled also for
	// SIGKILL. exited is closed when the process ends.
	stopping     bool
	signaled     bool
	exited       chan struct{}
	shuttingDown bool
}

type timeRange struct{ from, to time.Time }

// firstPort is the first of a node's ports. They lie below the kernel's
// ephemeral range, from which an outgoing connection could take a node's port
// between two starts.
const firstPort = 7600

// addresses returns the listen addresses of a host. The loopback IP is derived
// from this process's id and the host number, so that runs do not collide.
func addresses(number, n int) []string {
	pid := os.Getpid()
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("127.%d.%d.%d:%d", 1+(pid>>8)%200, pid%250, 1+number, firstPort+i))
	}
	return out
}

func newHost(number int, o Options, service, store string, c *checker) (*host, error) {
	a := addresses(number, 5)
	h := &host{
		// Each service is in more than one data centre, if there are more hosts than
		// services, so that it is served during an evacuation.
		number: number, dataCentre: fmt.Sprintf("c%d", (number+number/len(services))%3), dir: o.Dir, binary: o.Binary, template: o.Template, checker: c,
		callers: a[0], peers: a[1], control: a[2], gate: a[3], ready: a[4],
		heartbeatClient: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	var err error
	if h.store, err = NewProxy(store); err != nil {
		return nil, err
	}
	if h.backend, err = newBackend(h, service, c); err != nil {
		return nil, err
	}
	return h, h.writeSettings(true)
}

func (h *host) settingsFile() string {
	return filepath.Join(h.dir, fmt.Sprintf("node-%d.ini", h.number))
}

// writeSettings writes the node's settings file; first sets first-start.
func (h *host) writeSettings(first bool) error {
	text := strings.NewReplacer(
		"{{region}}", "r", "{{zone}}", h.dataCentre, "{{service}}", h.backend.service, "{{app_addr}}", h.backend.proxy.Address(),
		"{{bind_addrs.outbound}}", h.callers, "{{bind_addrs.control}}", h.control, "{{bind_addrs.inbound}}", h.gate, "{{bind_addrs.ready_addr}}", h.ready,
		"{{ip}}:{{port_range.0}}", h.peers, "{{provider.address}}", h.store.Address(),
		// The platform names the control addresses of three hosts.
		"{{seed_nodes}}", strings.Join([]string{addresses(0, 3)[2], addresses(1, 3)[2], addresses(2, 3)[2]}, ","),
		"{{bootstrap}}", fmt.Sprint(first), "{{bounds.grace_s}}", fmt.Sprint(stopGrace.Seconds()),
		"{{limits.memory_mb}}", "134", "{{limits.link_mbps}}", "1000", "{{bounds.retry_budget_ratio}}", "0.2", "{{bounds.budget_slack}}", "60",
	).Replace(h.template)
	return os.WriteFile(h.settingsFile(), []byte(text), fileMode)
}

// run starts the process, and again after each exit, until ctx ends.
func (h *host) run(ctx context.Context) error {
	for ctx.Err() == nil {
		log, err := os.OpenFile(filepath.Join(h.dir, fmt.Sprintf("node-%d.log", h.number)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
		if err != nil {
			return err
		}
		cmd := exec.Command(h.binary, "--settings", h.settingsFile())
		cmd.Stdout, cmd.Stderr = log, log
		if err := cmd.Start(); err != nil {
			return err
		}
		h.mu.Lock()
		h.process, h.exited, h.stopping, h.signaled = cmd.Process, make(chan struct{}), false, false
		h.starts++
		exited := h.exited
		h.mu.Unlock()
		h.markDisturbed(time.Now(), recoveryTime)
		err = cmd.Wait()
		_ = log.Close()
		h.mu.Lock()
		unexpected := !h.signaled && !h.shuttingDown
		h.process = nil
		h.mu.Unlock()
		close(exited)
		if unexpected {
			h.checker.addViolation("ended: the process of host %d exited unexpectedly: %v", h.number, err)
		}
		if err := h.writeSettings(false); err != nil {
			return err
		}
		sleep(ctx, restartDelay)
	}
	return nil
}

// signal sends a signal to the process if it is running.
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

// shutDown stops the process for good, with SIGKILL after stopGrace.
func (h *host) shutDown() {
	h.mu.Lock()
	h.shuttingDown = true
	exited, running := h.exited, h.process != nil
	h.mu.Unlock()
	if !running {
		return
	}
	h.signal(syscall.SIGCONT)
	h.signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(stopGrace):
		h.signal(syscall.SIGKILL)
		<-exited
	}
}

// markDisturbed records that time limits do not hold on the host for d.
func (h *host) markDisturbed(from time.Time, d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.disturbances = append(h.disturbances, timeRange{from, from.Add(d)})
}

// markDelayed records that requests to the backend may be delayed for d.
func (h *host) markDelayed(from time.Time, d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.delays = append(h.delays, timeRange{from, from.Add(d)})
}

// undisturbed reports whether nothing disturbed the host between from and to,
// nor in the recoveryTime before.
func (h *host) undisturbed(from, to time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return noneOverlaps(h.disturbances, from, to)
}

// calm reports whether nothing disturbed the host between from and to. The recoveryTime
// after a disturbance is part of its range.
func (h *host) calm(from, to time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return noneIncludes(h.disturbances, from, to)
}

// noneIncludes reports whether none of the ranges overlaps the time between from and to.
func noneIncludes(spans []timeRange, from, to time.Time) bool {
	return !slices.ContainsFunc(spans, func(s timeRange) bool { return !s.from.After(to) && s.to.After(from) })
}

// undelayed reports whether nothing delayed requests to the backend between from
// and to, nor in the recoveryTime before.
func (h *host) undelayed(from, to time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return noneOverlaps(h.delays, from, to)
}

// noneOverlaps reports whether none of the ranges, each extended by recoveryTime,
// overlaps the time between from and to.
func noneOverlaps(spans []timeRange, from, to time.Time) bool {
	return !slices.ContainsFunc(spans, func(s timeRange) bool { return s.from.Before(to) && s.to.Add(recoveryTime).After(from) })
}

// state returns how often the process was started, and whether it is stopping.
func (h *host) state() (start int, stopping bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.starts, h.stopping
}
