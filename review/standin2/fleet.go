package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports that are the same on all machines.
type ports struct{ callers, peers, control, gate, ready, upstream, store int }

// fleet is a small deployment: node processes on loopback addresses of their own, a
// backend beside each, and a store.
type fleet struct {
	dir      string
	memoryMB int
	linkMbps float64
	ports    ports
	store    *store
	storeIP  string
	nodes    []*node
	rec      *record
	host     string
}

// node is one machine with its daisytided process and its backend.
type node struct {
	fleet       *fleet
	index       int
	ip, zone    string
	service     string
	first       bool
	settings    string
	mu          sync.Mutex
	cmd         *exec.Cmd
	waited      chan struct{}
	expectedEnd bool
	ends        []string
	backend     *backend
	starts      int
}

// record is the file of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	began time.Time
	w     *bufio.Writer
	f     *os.File
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), w: bufio.NewWriter(f), f: f}, nil
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf("%8.3f  ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(r.w, text)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.f.Close()
}

// newFleet chooses addresses with free ports for a number of machines.
func newFleet(rec *record, services []string, zones, memoryMB int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "daisytide-review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, memoryMB: memoryMB, linkMbps: 1000, store: newStore(), rec: rec, host: "review.example"}
	for range 50 {
		net := fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), rand.IntN(250))
		base := 20000 + rand.IntN(10000)
		f.ports = ports{base, base + 1, base + 2, base + 3, base + 4, base + 5, base + 6}
		f.storeIP = net + ".250"
		f.nodes = nil
		for i, s := range services {
			f.nodes = append(f.nodes, &node{fleet: f, index: i, ip: fmt.Sprintf("%s.%d", net, i+1), zone: fmt.Sprintf("zone-%c", 'a'+i%zones), service: s, first: true})
		}
		if f.free() {
			return f, nil
		}
	}
	return nil, fmt.Errorf("no free addresses")
}

func (f *fleet) free() bool {
	addresses := []string{address(f.storeIP, f.ports.store)}
	for _, n := range f.nodes {
		for _, p := range []int{f.ports.callers, f.ports.peers, f.ports.control, f.ports.gate, f.ports.ready, f.ports.upstream} {
			addresses = append(addresses, address(n.ip, p))
		}
	}
	for _, a := range addresses {
		l, err := net.Listen("tcp", a)
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

func address(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// serveStore opens the store's listener.
func (f *fleet) serveStore() error {
	l, err := net.Listen("tcp", address(f.storeIP, f.ports.store))
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(l, f.store) }()
	return nil
}

var placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)

// writeSettings fills in the template of the deploy file.
func (n *node) writeSettings() error {
	template, err := os.ReadFile("deploy/node.ini.tmpl")
	if err != nil {
		return err
	}
	f := n.fleet
	var seeds []string
	for _, o := range f.nodes[:min(3, len(f.nodes))] {
		seeds = append(seeds, address(o.ip, f.ports.control))
	}
	values := map[string]string{
		"region": "region-1", "zone": n.zone, "ip": n.ip, "port_range.0": strconv.Itoa(f.ports.peers),
		"bind_addrs.outbound": address(n.ip, f.ports.callers), "bind_addrs.control": address(n.ip, f.ports.control),
		"bind_addrs.inbound": address(n.ip, f.ports.gate), "bind_addrs.ready_addr": address(n.ip, f.ports.ready),
		"provider.address": address(f.storeIP, f.ports.store), "bounds.grace_s": "6", "bounds.retry_budget_ratio": "0.2",
		"bounds.budget_slack": "62", "service": n.service, "app_addr": address(n.ip, f.ports.upstream),
		"seed_nodes": strings.Join(seeds, ","), "bootstrap": strconv.FormatBool(n.first),
		"limits.memory_mb": strconv.Itoa(f.memoryMB), "limits.link_mbps": strconv.FormatFloat(f.linkMbps, 'f', 1, 64),
	}
	missing := ""
	text := placeholder.ReplaceAllStringFunc(string(template), func(s string) string {
		v, ok := values[strings.Trim(s, "{}")]
		if !ok {
			missing = s
		}
		return v
	})
	if missing != "" {
		return fmt.Errorf("the template's %s is not known", missing)
	}
	n.settings = filepath.Join(f.dir, fmt.Sprintf("node-%d.ini", n.index+1))
	return os.WriteFile(n.settings, []byte(text), 0o600)
}

// start starts the node's process with the command of the deploy file.
func (n *node) start() error {
	if err := n.writeSettings(); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.fleet.dir, fmt.Sprintf("node-%d.log", n.index+1)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/daisytided", "--settings", n.settings)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + n.fleet.dir, "LANG=C.UTF-8", "DAISYTIDE_CONFIG=" + n.settings, "GOMAXPROCS=1"}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	_ = log.Close()
	waited := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.waited, n.expectedEnd, n.first = cmd, waited, false, false
	n.starts++
	n.mu.Unlock()
	n.fleet.rec.line("node %d started, process %d", n.index+1, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		n.mu.Lock()
		if !n.expectedEnd {
			n.ends = append(n.ends, fmt.Sprint(err))
			n.fleet.rec.line("node %d ended by itself: %v", n.index+1, err)
		}
		n.mu.Unlock()
		close(waited)
	}()
	return nil
}

// signal sends a signal to the node's process.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		n.expectedEnd = true
	}
	_ = n.cmd.Process.Signal(s)
}

// kill ends the process at once and waits for its end.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	<-n.waited
}

func (n *node) alive() bool {
	select {
	case <-n.waited:
		return false
	default:
		return true
	}
}

// memoryKB returns the resident memory of the process and its peak.
func (n *node) memoryKB() (now, peak int) {
	n.mu.Lock()
	pid := n.cmd.Process.Pid
	n.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		switch fields[0] {
		case "VmRSS:":
			now, _ = strconv.Atoi(fields[1])
		case "VmHWM:":
			peak, _ = strconv.Atoi(fields[1])
		}
	}
	return now, peak
}

// ready asks the node as the platform does.
func (n *node) ready() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + address(n.ip, n.fleet.ports.ready) + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready.
func (f *fleet) awaitReady(timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		all := true
		for _, n := range f.nodes {
			all = all && n.ready()
		}
		if all {
			return true
		}
	}
	return false
}

// stop ends all processes and removes the temporary folder.
func (f *fleet) stop() {
	for _, n := range f.nodes {
		if n.cmd != nil && n.alive() {
			n.kill()
		}
		if n.backend != nil {
			n.backend.stop()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("kept", f.dir)
	}
}
