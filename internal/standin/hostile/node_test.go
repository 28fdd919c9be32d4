// Package hostile runs a node as a process of its own and attacks its listeners
// as callers outside the limits do.
package hostile

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/process/localupstream"
	"github.com/daisytide/daisytide/internal/standin/store"
	"github.com/daisytide/daisytide/internal/version/traffic"
	"github.com/daisytide/daisytide/platform"
)

// Limits of the node under attack, below those of every deployment so that few
// clients suffice, and the bounds that follow from them.
const (
	memoryMB    = 96
	descriptors = 256
	// maxPeakKB bounds the peak of the resident memory.
	maxPeakKB = memoryMB << 10
	// maxDescriptors bounds the open descriptors: a node that reaches the limit
	// reaches neither its upstream nor the store.
	maxDescriptors = descriptors - 16
)

const (
	service    = "s0"
	instance   = "i-1"
	routeHost  = "hostile.test"
	slots      = 32
	workTime   = 5 * time.Millisecond
	peerSecret = "nodes-of-the-attack-share-this"
	token      = "operators-of-the-attack-have-this"
	// hangTimeout bounds waits, so that a test fails instead of hanging. No check
	// depends on it otherwise.
	hangTimeout = 20 * time.Second
	fileMode    = 0o600
	firstPort   = 7600
)

// Listeners of the node.
const (
	callers = iota
	gate
	peers
	operators
	ready
	listenerCount
)

var binary string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	flag.Parse()
	if testing.Short() {
		// All tests are skipped.
		return m.Run()
	}
	dir, err := os.MkdirTemp("", "hostile")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "daisytided")
	if out, err := exec.Command("go", "build", "-o", binary, "github.com/daisytide/daisytide/cmd/daisytided").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build daisytided: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// node is a daisytided process with a store and an upstream.
type node struct {
	t         *testing.T
	addresses [listenerCount]string
	upstream  string
	cmd       *exec.Cmd
	exited    chan error
	logFile   string
	// peakDescriptors is the largest number of open descriptors seen.
	peakDescriptors atomic.Int64
}

// nodeCount numbers the loopback addresses of the nodes of this process.
var nodeCount atomic.Int64

// startNode starts a node with the given memory and descriptor limit and waits until
// it serves requests.
func startNode(t *testing.T, memory, descriptorLimit int) *node {
	t.Helper()
	if testing.Short() {
		t.Skip("starts processes and attacks them for seconds")
	}
	n := &node{t: t, exited: make(chan error, 1)}
	pid, number := os.Getpid(), nodeCount.Add(1)
	for i := range n.addresses {
		n.addresses[i] = fmt.Sprintf("127.%d.%d.%d:%d", 1+(pid>>8)%200, pid%250, number, firstPort+i)
	}
	storeAddress := n.serve((startStore(t)).Handler())
	n.upstream = n.serve(http.HandlerFunc(serveUpstream))
	dir := t.TempDir()
	file := filepath.Join(dir, "node.ini")
	n.logFile = filepath.Join(dir, "node.log")
	text := fmt.Sprintf("[node]\nregion = r\ndata-centre = c\n[callers]\nlisten = %s\n[peers]\nlisten = %s\nsecret = %s\n[operators]\nlisten = %s\ntoken = %s\n"+
		"[store]\naddress = http://%s\nrate = 20\n[upstream]\nstop-grace = 1s\n"+
		"[operated]\nenabled = true\ngate = %s\nready = %s\nservice = %s\nupstream = %s\nfirst-start = true\nmemory-mb = %d\n",
		n.addresses[callers], n.addresses[peers], peerSecret, n.addresses[operators], token, storeAddress, n.addresses[gate], n.addresses[ready], service, n.upstream, memory)
	if err := os.WriteFile(file, []byte(text), fileMode); err != nil {
		t.Fatal(err)
	}
	log, err := os.OpenFile(n.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	// The shell lowers the limit of the process alone and is replaced by it.
	n.cmd = exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" --settings "$1"`, descriptorLimit), binary, file)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { n.exited <- n.cmd.Wait() }()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		_ = n.cmd.Process.Kill()
		select {
		case <-n.exited:
		case <-time.After(hangTimeout):
		}
	})
	go n.sendHeartbeats(ctx)
	go n.sampleDescriptors(ctx)
	if err := n.requestUntilAnswered(); err != nil {
		t.Fatalf("the node does not start: %v\n%s", err, n.logTail())
	}
	return n
}

// serve starts a server on loopback for the time of the test.
func (n *node) serve(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		n.t.Fatal(err)
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	n.t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

// startStore returns a store with a configuration of one route, with the limits for
// callers that docs/ROADMAP.md states.
func startStore(t *testing.T) *store.Store {
	s := store.New(1)
	value, err := platform.EncodeConfig(1, traffic.Config{
		Callers:  traffic.CallerLimits{HeaderBytes: 16384, BodyBytes: 64 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		Services: []traffic.Service{{Name: service, Connections: 100, HealthPath: "/healthz"}},
		Routes: []traffic.Route{{
			Name: "all", Host: routeHost, Prefix: "/", Kind: traffic.Idempotent, TimeLimit: 10 * time.Second, Objective: 5 * time.Second,
			Priority: 1, Attempts: 2, Shares: []traffic.WeightedService{{Service: service, Weight: 1}},
		}},
	})
	if err == nil {
		_, err = s.CompareAndSwap(context.Background(), platform.KeyConfig, 0, value, "")
	}
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// serveUpstream answers /bytes/N with N bytes and any other path with a short body.
func serveUpstream(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(platform.HeaderTargetInstance) != instance {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	time.Sleep(workTime)
	w.Header().Set(platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID))
	w.Header().Set(platform.HeaderSignature, "signed")
	size, ok := strings.CutPrefix(r.URL.Path, "/bytes/")
	if !ok {
		_, _ = io.WriteString(w, ordinaryBody)
		return
	}
	left, _ := strconv.Atoi(size)
	w.Header().Set("Content-Length", size)
	for part := make([]byte, 64<<10); left > 0; {
		written, err := w.Write(part[:min(left, len(part))])
		if err != nil {
			return
		}
		left -= written
	}
}

const ordinaryBody = "an ordinary answer"

// sendHeartbeats reports the upstream as ready until ctx ends.
func (n *node) sendHeartbeats(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	born := time.Now().UnixMilli()
	for sequence := uint64(1); ctx.Err() == nil; sequence++ {
		body, err := platform.EncodeHeartbeat(localupstream.Report{
			Service: service, Version: "v1", Address: n.upstream, Slots: slots, State: api.UpstreamReady, Sequence: sequence, StartedMillis: born,
		}, "c")
		if err != nil {
			return
		}
		resp, err := client.Post("http://"+n.addresses[operators]+platform.PathHeartbeat+instance, "application/json", bytes.NewReader(body))
		if err == nil {
			_ = resp.Body.Close()
		}
		select {
		case <-ctx.Done():
		case <-time.After(300 * time.Millisecond):
		}
	}
}

func (n *node) sampleDescriptors(ctx context.Context) {
	for ctx.Err() == nil {
		entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.cmd.Process.Pid))
		if err == nil {
			n.peakDescriptors.Store(max(n.peakDescriptors.Load(), int64(len(entries))))
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// request sends one ordinary request, with a body if it has one, on a connection of
// its own.
func (n *node) request(body string) error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 3 * time.Second}
	method := http.MethodGet
	if body != "" {
		method = http.MethodPost
	}
	r, err := http.NewRequest(method, "http://"+n.addresses[callers]+"/ordinary", strings.NewReader(body))
	if err != nil {
		return err
	}
	r.Host = routeHost
	r.Header.Set(platform.HeaderRequestID, "ordinary")
	resp, err := client.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK || string(got) != ordinaryBody {
		return fmt.Errorf("status %d, body %.100q, error %v", resp.StatusCode, got, err)
	}
	return nil
}

// requestUntilAnswered repeats an ordinary request without and one with a body until
// each is answered. A refusal under attack is allowed.
func (n *node) requestUntilAnswered() error {
	end := time.Now().Add(hangTimeout)
	for _, body := range []string{"", strings.Repeat("b", 1000)} {
		for {
			err := n.request(body)
			if err == nil {
				break
			}
			if time.Now().After(end) {
				return err
			}
			select {
			case exit := <-n.exited:
				n.exited <- exit
				return fmt.Errorf("the process has ended: %v", exit)
			case <-time.After(100 * time.Millisecond):
			}
		}
	}
	return nil
}

// peakKB returns the peak of the resident memory of the process.
func (n *node) peakKB() (int, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			return strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")))
		}
	}
	return 0, errors.New("no VmHWM")
}

func (n *node) logTail() string {
	text, _ := os.ReadFile(n.logFile)
	return string(text[max(0, len(text)-4000):])
}

// check checks that the process has survived within its bounds.
func (n *node) check(maxKB, maxOpen int) {
	n.t.Helper()
	select {
	case exit := <-n.exited:
		n.exited <- exit
		n.t.Errorf("the process has ended: %v\n%s", exit, n.logTail())
		return
	default:
	}
	if text, _ := os.ReadFile(n.logFile); bytes.Contains(text, []byte("panicked")) || bytes.Contains(text, []byte("panic:")) {
		n.t.Errorf("the process panicked:\n%s", n.logTail())
	}
	peak, err := n.peakKB()
	if err != nil {
		n.t.Fatal(err)
	}
	n.t.Logf("peak of %d kB (bound %d), %d descriptors (bound %d)", peak, maxKB, n.peakDescriptors.Load(), maxOpen)
	if peak > maxKB {
		n.t.Errorf("peak memory of %d kB, want at most %d", peak, maxKB)
	}
	if open := int(n.peakDescriptors.Load()); open > maxOpen {
		n.t.Errorf("%d open descriptors, want at most %d", open, maxOpen)
	}
}
