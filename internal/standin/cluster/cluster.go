// Package cluster starts nodes with stand-in upstreams and a stand-in store in
// one process on loopback, for the demo, benchmarks and tests of the whole path.
package cluster

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/process/node"
	"github.com/daisytide/daisytide/internal/process/settings"
	"github.com/daisytide/daisytide/internal/standin/store"
	"github.com/daisytide/daisytide/internal/standin/upstream"
)

// Credentials of every stand-in cluster.
const (
	Token  = "operator-token-of-the-demo"
	Secret = "peer-key-of-the-demo"
)

// anyPort lets the system choose a loopback port.
const anyPort = "127.0.0.1:0"

// anyPorts are the addresses for callers, peers and operators of a new host.
var anyPorts = [3]string{anyPort, anyPort, anyPort}

// Host is one node with the upstream beside it.
type Host struct {
	Node     *node.Node
	Upstream *upstream.Upstream
	cancel   context.CancelFunc
	// done is closed when the node has ended with err.
	done chan struct{}
	err  error
}

// Config describes a cluster.
type Config struct {
	Nodes int
	// DataCentres spreads the nodes; at least 1.
	DataCentres int
	Seed        uint64
	// Upstream gives the upstream beside node i; nil Service means none.
	Upstream func(i int) upstream.Options
	// OnNode, where set, is called with each node before it runs.
	OnNode func(i int, n *node.Node)
}

// Cluster is a set of hosts around one store.
type Cluster struct {
	Store *store.Store
	Hosts []*Host

	cfg    Config
	server *http.Server
	base   string
	group  errgroup.Group
}

// Start starts the store and the nodes. Stop must be called.
func Start(ctx context.Context, cfg Config) (*Cluster, error) {
	c := &Cluster{Store: store.New(cfg.Seed), cfg: cfg}
	l, err := net.Listen("tcp", anyPort)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	c.base = "http://" + l.Addr().String()
	c.server = &http.Server{Handler: c.Store.Handler()}
	go func() { _ = c.server.Serve(l) }()
	for i := range cfg.Nodes {
		h, err := c.startHost(ctx, i, anyPorts)
		if err != nil {
			c.Stop()
			return nil, err
		}
		c.Hosts = append(c.Hosts, h)
	}
	return c, nil
}

// startHost starts host i on the addresses for callers, peers and operators.
func (c *Cluster) startHost(ctx context.Context, i int, listen [3]string) (*Host, error) {
	dc := i % c.cfg.DataCentres
	s := &settings.Settings{}
	s.Node.Region = fmt.Sprintf("region-%d", dc/3)
	s.Node.DataCentre = fmt.Sprintf("dc-%d", dc)
	s.Callers.Listen = listen[0]
	s.Peers.Listen = listen[1]
	s.Peers.Secret = Secret
	s.Peers.Seeds = strings.Join(c.seeds(), ",")
	s.Operators.Listen = listen[2]
	s.Operators.Token = Token
	s.Store.Address = c.base
	s.Store.Timeout = time.Second
	s.Store.Rate = 2
	s.Upstream.StopGrace = 30 * time.Second
	n, err := node.New(s, nil)
	if err != nil {
		return nil, err
	}
	if c.cfg.OnNode != nil {
		c.cfg.OnNode(i, n)
	}
	runCtx, cancel := context.WithCancel(ctx)
	h := &Host{Node: n, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(h.done)
		h.err = n.Run(runCtx)
	}()
	if c.cfg.Upstream == nil {
		return h, nil
	}
	return h, c.startUpstream(ctx, h, c.cfg.Upstream(i))
}

func (c *Cluster) startUpstream(ctx context.Context, h *Host, o upstream.Options) error {
	if o.Service == "" {
		return nil
	}
	h.Upstream = upstream.New(o)
	if err := h.Upstream.Start(anyPort); err != nil {
		return err
	}
	return h.Upstream.Announce(ctx, h.OperatorBase(), Token)
}

// seeds are the first few nodes started.
func (c *Cluster) seeds() []string {
	var out []string
	for _, h := range c.Hosts[:min(len(c.Hosts), 3)] {
		out = append(out, h.Node.PeersAddress())
	}
	return out
}

// OperatorBase is the URL of the host's operator listener.
func (h *Host) OperatorBase() string { return "http://" + h.Node.OperatorsAddress() }

// CallerBase is the URL of the host's caller listener.
func (h *Host) CallerBase() string { return "http://" + h.Node.CallersAddress() }

// Stop ends one node as SIGTERM does and waits for it; again is harmless.
func (h *Host) Stop() error {
	h.cancel()
	<-h.done
	return h.err
}

// Add starts one more host, like those of Start.
func (c *Cluster) AddHost(ctx context.Context) (*Host, error) {
	h, err := c.startHost(ctx, len(c.Hosts), anyPorts)
	if err != nil {
		return nil, err
	}
	c.Hosts = append(c.Hosts, h)
	return h, nil
}

// Crash ends one node without a word to the others and waits for it.
func (h *Host) Crash() error {
	h.Node.Abort()
	return h.Stop()
}

// restartTries and restartWait bound the wait for a port that a connection
// of another process holds for a moment.
const (
	restartTries = 50
	restartWait  = 100 * time.Millisecond
)

// Restart starts a node on the addresses of host i, which has ended. It is
// not for hosts with upstreams.
func (c *Cluster) Restart(ctx context.Context, i int) error {
	old := c.Hosts[i].Node
	listen := [3]string{old.CallersAddress(), old.PeersAddress(), old.OperatorsAddress()}
	h, err := c.startHost(ctx, i, listen)
	for try := 0; err != nil && try < restartTries; try++ {
		time.Sleep(restartWait)
		h, err = c.startHost(ctx, i, listen)
	}
	if err != nil {
		return err
	}
	c.Hosts[i] = h
	return nil
}

// Stop ends all nodes and the store.
func (c *Cluster) Stop() {
	for _, h := range c.Hosts {
		c.group.Go(h.Stop)
	}
	_ = c.group.Wait()
	for _, h := range c.Hosts {
		if h.Upstream != nil {
			h.Upstream.Crash()
		}
	}
	_ = c.server.Close()
}

// AwaitNumber waits until every node has configuration number in force.
func (c *Cluster) AwaitConfig(ctx context.Context, number uint64) error {
	return c.await(ctx, func(s api.StatusResponse) bool { return s.Number >= number })
}

// AwaitMembers waits until every node knows all nodes.
func (c *Cluster) AwaitMembers(ctx context.Context) error {
	return c.await(ctx, func(s api.StatusResponse) bool { return s.Members >= len(c.Hosts) })
}

// pollEvery is how often await looks.
const pollEvery = 2 * time.Millisecond

func (c *Cluster) await(ctx context.Context, reached func(api.StatusResponse) bool) error {
	for _, h := range c.Hosts {
		for !reached(h.Node.Status()) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("wait for %s: %w", h.Node.PeersAddress(), ctx.Err())
			case <-time.After(pollEvery):
			}
		}
	}
	return nil
}
