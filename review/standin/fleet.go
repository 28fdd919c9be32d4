package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Bounds of the deployment, as in the settings of cushion-mesh.
const (
	stableWindow   = 3 * time.Second
	drainTime      = 2 * time.Second
	stopGrace      = 6 * time.Second
	heartbeatEvery = 1500 * time.Millisecond
	restartDelay   = 500 * time.Millisecond
)

// Ports of a machine, the same on all machines.
const (
	portPeers   = 7600
	portControl = 8620
	portInbound = 8624
	portReady   = 8625
	portApp     = 8628
	portOut     = 8629
	portStore   = 8627
)

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	out   *bufio.Writer
	began time.Time
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// world is one run of a case.
type world struct {
	dir      string
	trouble  bool
	record   *record
	store    *store
	network  string
	address  string
	machines []*machine
}

var errCannotRun = errors.New("the case cannot run")

// newWorld makes the folder of the run, picks free loopback addresses and starts the
// store.
func newWorld(recordFile string, machines int) (*world, error) {
	file, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	w := &world{trouble: os.Getenv("TROUBLE") != "0", record: &record{out: bufio.NewWriter(file), began: time.Now()}, store: newStore()}
	if w.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	for range 50 {
		w.network = fmt.Sprintf("127.%d.%d", 1+rand.IntN(200), rand.IntN(250))
		if w.free(machines) {
			w.address = fmt.Sprintf("%s.250:%d", w.network, portStore)
			l, err := net.Listen("tcp", w.address)
			if err != nil {
				return nil, err
			}
			go func() { _ = (&http.Server{Handler: w.store}).Serve(l) }()
			return w, nil
		}
	}
	return nil, errCannotRun
}

func (w *world) free(machines int) bool {
	for n := 1; n <= machines; n++ {
		for _, port := range []int{portPeers, portControl, portInbound, portReady, portApp, portOut} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", w.network, n, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// end stops all processes and removes the folder of the run.
func (w *world) end() {
	for _, m := range w.machines {
		m.stopForGood()
	}
	w.record.mu.Lock()
	_ = w.record.out.Flush()
	w.record.mu.Unlock()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("kept", w.dir)
	}
}

// route is a route of the configuration.
type route struct {
	name, host, prefix, kind, service string
	attempts                          int
}

// configure writes a configuration as the operator and returns its size.
func (w *world) configure(version int, services []string, routes []route) int {
	out := map[string]any{"version": fmt.Sprintf("%08x", version), "limits": map[string]any{
		"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15,
	}}
	s, r := map[string]any{}, map[string]any{}
	for _, name := range services {
		s[name] = map[string]any{"health_path": "/healthz", "max_connections": 120, "protocol": "h1", "tls": false}
	}
	for _, x := range routes {
		r[x.name] = map[string]any{
			"host": x.host, "path_prefix": x.prefix, "route_type": x.kind, "timeout_s": 1.5, "target_latency_s": 0.6,
			"priority": 1, "service": x.service, "max_attempts": x.attempts,
		}
	}
	out["services"], out["routes"] = s, r
	text, _ := json.Marshal(out)
	w.store.write("op/config", text)
	w.record.add("operator: configuration %08x of %d bytes acknowledged", version, len(text))
	return len(text)
}

// machine is one machine of the platform: the node's process and the backend beside
// it.
type machine struct {
	world         *world
	name, ip      string
	zone, service string

	mu       sync.Mutex
	cmd      *exec.Cmd
	exited   chan struct{}
	ended    bool
	expected bool
	// crashes counts the ends of the process without a signal of this test.
	crashes int
}

func (m *machine) at(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// addMachine adds a machine and starts its node.
func (w *world) addMachine(name, zone, service string) (*machine, error) {
	m := &machine{world: w, name: name, zone: zone, service: service, ip: fmt.Sprintf("%s.%d", w.network, len(w.machines)+1)}
	w.machines = append(w.machines, m)
	return m, m.start(true)
}

// start writes the settings file, as deploy/node.ini.tmpl gives it, and starts the
// node with the command of deploy/system.toml.
func (m *machine) start(bootstrap bool) error {
	seeds := ""
	for _, other := range m.world.machines {
		if other != m && len(seeds) < 60 {
			if seeds != "" {
				seeds += ","
			}
			seeds += other.at(portControl)
		}
	}
	text := fmt.Sprintf(`[node]
region = r1
data-centre = %s
[callers]
listen = %s
[peers]
listen = %s
secret = nodes-of-one-fleet-on-loopback
[operators]
listen = %s
token = operators-of-this-fleet
[store]
address = http://%s
timeout = 1s
rate = 4
[upstream]
stop-grace = 6s
[operated]
enabled = true
gate = %s
ready = %s
service = %s
upstream = %s
seed-hosts = %s
first-start = %t
memory-mb = 284
link-mbps = 1000.0
lease-ttl = 20s
retry-ratio = 0.2
retry-slack = 60
`, m.zone, m.at(portOut), m.at(portPeers), m.at(portControl), m.world.address, m.at(portInbound), m.at(portReady), m.service, m.at(portApp), seeds, bootstrap)
	file := filepath.Join(m.world.dir, m.name+".ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.world.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/daisytided", "--settings", file)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DAISYTIDE_CONFIG=" + file}
	// The kernel ends the node if this program ends first.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return errors.Join(errCannotRun, err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cmd, m.exited, m.expected = cmd, make(chan struct{}), false
	exited := m.exited
	m.world.record.add("%s: the node starts", m.name)
	go func() {
		err := cmd.Wait()
		m.mu.Lock()
		if !m.expected && !m.ended {
			m.crashes++
		}
		m.mu.Unlock()
		m.world.record.add("%s: the node has ended: %v", m.name, err)
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the node.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		m.expected = true
	}
	m.world.record.add("%s: signal %v to the node", m.name, s)
	_ = m.cmd.Process.Signal(s)
}

// restart kills the node and starts it again after a short delay, as the platform does.
func (m *machine) restart() error {
	m.signal(syscall.SIGKILL)
	<-m.exited
	time.Sleep(restartDelay)
	return m.start(false)
}

func (m *machine) stopForGood() {
	m.mu.Lock()
	m.ended = true
	cmd, exited := m.cmd, m.exited
	m.mu.Unlock()
	if cmd == nil {
		return
	}
	select {
	case <-exited:
		return
	default:
	}
	_ = cmd.Process.Signal(syscall.SIGCONT)
	_ = cmd.Process.Signal(syscall.SIGKILL)
	<-exited
}

// ready asks the readiness of the node once.
func (m *machine) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + m.at(portReady) + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready.
func (w *world) awaitReady() error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		all := true
		for _, m := range w.machines {
			all = all && m.ready()
		}
		if all {
			return nil
		}
	}
	return errCannotRun
}

// reporter sends the heartbeats of one start of a backend.
type reporter struct {
	machine  *machine
	id       string
	born     int64
	capacity int
	sequence atomic.Uint64
	silent   atomic.Bool
}

func newReporter(m *machine, id string, capacity int) *reporter {
	return &reporter{machine: m, id: id, born: time.Now().UnixMilli(), capacity: capacity}
}

// run reports the backend as ready until ctx ends or it turns silent.
func (r *reporter) run(ctx context.Context) {
	for ctx.Err() == nil && !r.silent.Load() {
		r.send(r.beat("ready"))
		sleep(ctx, heartbeatEvery)
	}
}

// report is a heartbeat or a deregistration that can be delivered at any time.
type report struct {
	path, what string
	body       []byte
}

func (r *reporter) beat(state string) report {
	sequence := r.sequence.Add(1)
	body, _ := json.Marshal(map[string]any{
		"service": r.machine.service, "address": r.machine.at(portApp), "zone": r.machine.zone, "version": "v1", "capacity": r.capacity,
		"state": state, "warmup_left_s": 0, "sequence": sequence, "born": r.born,
	})
	return report{"/Instances.Heartbeat/" + r.id, fmt.Sprintf("heartbeat %d (%s) of %s", sequence, state, r.id), body}
}

func (r *reporter) leave() report {
	return report{"/Instances.Deregister/" + r.id, "deregistration of " + r.id, fmt.Appendf(nil, `{"born":%d}`, r.born)}
}

// send delivers a report and returns whether it was acknowledged within a second.
func (r *reporter) send(x report) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+r.machine.at(portControl)+x.path, "application/json", bytes.NewReader(x.body))
	if err != nil {
		r.machine.world.record.add("%s: %s: no answer", r.machine.name, x.what)
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	r.machine.world.record.add("%s: %s: answer %d", r.machine.name, x.what, resp.StatusCode)
	return resp.StatusCode/100 == 2
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// answer is what a client got.
type answer struct {
	status    int
	signature string
	id        string
	body      string
	err       error
	sentAt    time.Time
}

func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	return fmt.Sprintf("%d, Request-Id %q, Response-Signature %q, body %q", a.status, a.id, a.signature, a.body)
}

var clientTransport = &http.Transport{DisableKeepAlives: true, DisableCompression: true}

// request sends one request of a client of a machine and records its answer.
func (m *machine) request(method, host, path, id string, body []byte) answer {
	a := answer{sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, method, "http://"+m.at(portOut)+path, bytes.NewReader(body))
	r.Host = host
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", "1500")
	m.world.record.add("client of %s: sends %s %s%s, request %s", m.name, method, host, path, id)
	resp, err := clientTransport.RoundTrip(r)
	if err == nil {
		var text []byte
		text, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		a.status, a.signature, a.id, a.body = resp.StatusCode, resp.Header.Get("Response-Signature"), resp.Header.Get("Request-Id"), string(text)
	}
	a.err = err
	m.world.record.add("client of %s: request %s gets %s", m.name, id, a)
	return a
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// broken is the result of a run whose rule was broken.
type broken struct{ text string }

func (b broken) Error() string { return b.text }
