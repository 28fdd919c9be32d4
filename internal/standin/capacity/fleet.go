package capacity

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/process/operator/client"
	"github.com/daisytide/daisytide/internal/standin/store"
	"github.com/daisytide/daisytide/internal/standin/upstream"
)

// Ports of each host. Hosts differ in their loopback address.
const (
	portCallers   = 7101
	portPeers     = 7102
	portOperators = 7103
	portUpstream  = 7104
	portStore     = 7105
)

// hostsPerBlock is the number of hosts that share the first three bytes of an
// address.
const hostsPerBlock = 200

// Properties of the fleet. They are those of the target fleet at every size.
const (
	dataCentres         = 9
	regions             = 3
	seedCount           = 3
	upstreamSlots       = 10
	upstreamWork        = time.Millisecond
	upstreamConnections = 100
)

// Credentials of the measured fleet.
const (
	token  = "operator-token-of-the-measurement"
	secret = "peer-key-of-the-measurement"
)

const (
	convergeTimeout = 60 * time.Second
	stopTimeout     = 20 * time.Second
	pollInterval    = 20 * time.Millisecond
)

// host is one daisytided process and the stand-in upstream beside it.
type host struct {
	index    int
	cmd      *exec.Cmd
	upstream *upstream.Upstream
	operator *client.Client
}

func (h *host) address(port int) string {
	return fmt.Sprintf("127.9.%d.%d:%d", h.index/hostsPerBlock, h.index%hostsPerBlock+1, port)
}

// fleet is a set of daisytided processes around one stand-in store.
type fleet struct {
	binary string
	dir    string
	hosts  []*host
	store  *store.Store
	server *http.Server
}

// startFleet starts n processes of binary and waits until every node knows all
// others.
func startFleet(ctx context.Context, binary, dir string, n int) (*fleet, error) {
	f := &fleet{binary: binary, dir: dir, store: store.New(1)}
	f.server = &http.Server{Addr: f.storeAddress(), Handler: f.store.Handler()}
	go func() { _ = f.server.ListenAndServe() }()
	for i := range n {
		if err := f.startHost(ctx, i, n); err != nil {
			f.stop()
			return nil, err
		}
	}
	if err := f.awaitMembers(ctx); err != nil {
		f.stop()
		return nil, err
	}
	return f, nil
}

func (f *fleet) storeAddress() string { return fmt.Sprintf("127.0.0.1:%d", portStore) }

func (f *fleet) startHost(ctx context.Context, i, n int) error {
	h := &host{index: i}
	if err := os.WriteFile(f.hostFile(h, "ini"), []byte(f.settings(h, n)), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	if err := f.startProcess(ctx, h); err != nil {
		return err
	}
	h.operator = &client.Client{
		BaseURL:  "http://" + h.address(portOperators),
		Token:    token,
		Operator: "capacity",
		HTTP:     &http.Client{Timeout: 5 * time.Second},
	}
	f.hosts = append(f.hosts, h)
	h.upstream = upstream.New(upstream.Options{
		Service:     serviceName(i),
		Version:     onlyVersion,
		Slots:       upstreamSlots,
		Connections: upstreamConnections,
		WorkTime:    upstreamWork,
	})
	return h.upstream.Start(h.address(portUpstream))
}

// hostFile returns the path of a host's file in the fleet's directory.
func (f *fleet) hostFile(h *host, extension string) string {
	return filepath.Join(f.dir, fmt.Sprintf("host-%d.%s", h.index, extension))
}

// startProcess starts the daisytided of a host.
func (f *fleet) startProcess(ctx context.Context, h *host) error {
	log, err := os.OpenFile(f.hostFile(h, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open the log: %w", err)
	}
	defer log.Close()
	h.cmd = exec.CommandContext(ctx, f.binary, "--settings", f.hostFile(h, "ini"))
	h.cmd.Stderr = log
	if err := h.cmd.Start(); err != nil {
		return fmt.Errorf("start the node process: %w", err)
	}
	return nil
}

func (f *fleet) settings(h *host, n int) string {
	dc := h.index % dataCentres
	var seeds []string
	for i := range min(seedCount, n) {
		seeds = append(seeds, (&host{index: i}).address(portPeers))
	}
	return fmt.Sprintf(`[node]
region = region-%d
data-centre = dc-%d
rack = rack-%d
[callers]
listen = %s
[peers]
listen = %s
secret = %s
seeds = %s
[operators]
listen = %s
token = %s
[store]
address = http://%s
`, dc%regions, dc, h.index/dataCentres%4, h.address(portCallers), h.address(portPeers), secret,
		strings.Join(seeds, ","), h.address(portOperators), token, f.storeAddress())
}

// awaitMembers announces the upstreams and waits until every node knows all others.
func (f *fleet) awaitMembers(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, convergeTimeout)
	defer cancel()
	for _, h := range f.hosts {
		if err := pollUntil(ctx, func() bool { return h.upstream.Announce(ctx, h.operator.BaseURL, token) == nil }); err != nil {
			return fmt.Errorf("announce to host %d: %w", h.index, err)
		}
	}
	for _, h := range f.hosts {
		knowsAll := func() bool { return f.status(ctx, h).Members >= len(f.hosts) }
		if err := pollUntil(ctx, knowsAll); err != nil {
			return fmt.Errorf("host %d knows %d of %d hosts: %w", h.index, f.status(ctx, h).Members, len(f.hosts), err)
		}
	}
	return nil
}

func (f *fleet) status(ctx context.Context, h *host) api.StatusResponse {
	var s api.StatusResponse
	_ = h.operator.Get(ctx, api.PathStatus, &s)
	return s
}

// awaitNumber waits until every node has the configuration in force.
func (f *fleet) awaitNumber(ctx context.Context, number uint64) error {
	ctx, cancel := context.WithTimeout(ctx, convergeTimeout)
	defer cancel()
	for _, h := range f.hosts {
		if err := pollUntil(ctx, func() bool { return f.status(ctx, h).Number >= number }); err != nil {
			return fmt.Errorf("host %d: %w", h.index, err)
		}
	}
	return nil
}

// stop stops the processes that the fleet started, and the store.
func (f *fleet) stop() {
	for _, h := range f.hosts {
		_ = h.cmd.Process.Signal(syscall.SIGTERM)
	}
	for _, h := range f.hosts {
		kill := time.AfterFunc(stopTimeout, func() { _ = h.cmd.Process.Kill() })
		_ = h.cmd.Wait()
		kill.Stop()
		if h.upstream != nil && h.upstream.Address() != "" {
			h.upstream.Crash()
		}
	}
	_ = f.server.Close()
}

// pollUntil polls reached until it returns true or ctx ends.
func pollUntil(ctx context.Context, reached func() bool) error {
	for !reached() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// nodeVars holds the counters that are read from a node's /debug/vars.
type nodeVars struct {
	Daisytide struct {
		LinkSent     uint64 `json:"link_bytes_sent"`
		LinkReceived uint64 `json:"link_bytes_received"`
		Messages     uint64 `json:"link_messages_sent"`
		RPCBytes     uint64 `json:"question_bytes"`
		Links        int    `json:"links"`
	} `json:"daisytide"`
	Memory struct {
		HeapAlloc uint64
		Sys       uint64
	} `json:"memstats"`
}

func (f *fleet) vars(ctx context.Context, h *host) (nodeVars, error) {
	var v nodeVars
	var raw json.RawMessage
	if err := h.operator.Get(ctx, "/debug/vars", &raw); err != nil {
		return v, err
	}
	if err := json.Unmarshal(raw, &v); err != nil {
		return v, fmt.Errorf("decode /debug/vars: %w", err)
	}
	if v.Memory.Sys == 0 {
		return v, errors.New("the node publishes no counters")
	}
	return v, nil
}
