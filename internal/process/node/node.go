// Package node wires the long-lived components of one daisytided and runs them.
package node

import (
	"context"
	"crypto/tls"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/dial"
	"github.com/daisytide/daisytide/internal/conn/kvstore"
	"github.com/daisytide/daisytide/internal/conn/link"
	"github.com/daisytide/daisytide/internal/conn/rpc"
	"github.com/daisytide/daisytide/internal/metrics"
	"github.com/daisytide/daisytide/internal/process/audit"
	"github.com/daisytide/daisytide/internal/process/fleetstatus"
	"github.com/daisytide/daisytide/internal/process/gossip"
	"github.com/daisytide/daisytide/internal/process/membership"
	"github.com/daisytide/daisytide/internal/process/operator"
	"github.com/daisytide/daisytide/internal/process/provider"
	"github.com/daisytide/daisytide/internal/process/rollouts"
	"github.com/daisytide/daisytide/internal/process/settings"
	"github.com/daisytide/daisytide/internal/request/call"
	"github.com/daisytide/daisytide/internal/request/entry"
	"github.com/daisytide/daisytide/internal/request/gate"
	"github.com/daisytide/daisytide/internal/request/idempotency"
	"github.com/daisytide/daisytide/internal/request/quarantine"
	"github.com/daisytide/daisytide/internal/version/snapshot"
	adapter "github.com/daisytide/daisytide/platform"
)

const logPrefix = "node: "

// Limits of the listeners' HTTP servers.
const (
	maxHeaderBytes       = 64 << 10
	readHeaderTimeout    = 5 * time.Second
	maxConcurrentStreams = 1000
)

// Node is one daisytided.
type Node struct {
	cfg      *settings.Settings
	holder   *snapshot.Holder
	members  *membership.Table
	self     *membership.Self
	gossip   *gossip.Manager
	provider *provider.Provider
	gate     *gate.Gate
	entry    *entry.Entry
	peerRPC  *rpc.Client
	traffic  *link.Traffic
	store    kvstore.Store
	// storeReached reports whether the last call to the store was answered.
	storeReached  func() bool
	auditRecorder audit.Recorder
	rollouts      *rollouts.Manager
	auditTrail    *audit.Trail
	fleetStatus   *fleetstatus.Collector
	versions      entry.VersionChooser
	operator      *operator.Server
	metrics       *expvar.Map
	requests      *metrics.NodeMetrics

	runners []func(context.Context) error
	peerMux *http.ServeMux
	// peerCallHandler handles calls from the entries of other nodes. It is not
	// part of peerMux because http.ServeMux redirects paths that are not clean.
	peerCallHandler http.Handler
	// gateMiddlewares process each call at the gate before it is admitted.
	gateMiddlewares []call.Middleware
	// entryMiddlewares process each call before the entry sends it to a gate.
	entryMiddlewares []call.Middleware
	rosterManager    *idempotency.RosterManager
	crashMonitor     *quarantine.CrashMonitor
	deduplicator     *idempotency.Deduplicator

	tls       tlsConfigs
	callers   net.Listener
	peers     net.Listener
	operators net.Listener
}

// New builds a node from checked settings. If store is nil, the node uses the
// store that the settings name. The listeners are open when New returns, so
// that their addresses are known.
func New(cfg *settings.Settings, store kvstore.Store) (*Node, error) {
	n := &Node{
		cfg:      cfg,
		holder:   &snapshot.Holder{},
		members:  membership.NewTable(),
		traffic:  &link.Traffic{},
		metrics:  new(expvar.Map).Init(),
		requests: metrics.New(),
		peerMux:  http.NewServeMux(),
	}
	if err := n.listen(); err != nil {
		return nil, err
	}
	if err := n.loadTLSConfigs(); err != nil {
		n.closeListeners()
		return nil, err
	}
	if store == nil {
		store = &adapter.StoreClient{Base: cfg.Store.Address, HTTP: &http.Client{}, Timeout: cfg.Store.Timeout}
	}
	n.wire(store)
	return n, nil
}

func (n *Node) listen() error {
	for _, l := range []struct {
		listener *net.Listener
		address  string
	}{
		{&n.callers, n.cfg.Callers.Listen},
		{&n.peers, n.cfg.Peers.Listen},
		{&n.operators, n.cfg.Operators.Listen},
	} {
		opened, err := net.Listen("tcp", l.address)
		if err != nil {
			n.closeListeners()
			return fmt.Errorf("listen: %w", err)
		}
		*l.listener = opened
	}
	return nil
}

func (n *Node) closeListeners() {
	for _, l := range []net.Listener{n.callers, n.peers, n.operators} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// wire builds the components. Each function adds its own runners and peer
// routes; a function comes after those whose results it uses.
func (n *Node) wire(store kvstore.Store) {
	transport := dial.PeerTransport(n.tls.toPeers)
	n.store = store
	n.peerRPC = &rpc.Client{HTTP: &http.Client{Transport: transport}, PeerKey: n.cfg.Peers.Secret, Scheme: n.tls.peerScheme()}
	n.wireGossip()
	n.wireAudit()
	n.wireRollouts()
	n.wireQuarantine()
	n.wireIdempotency()
	n.wireCalls(transport)
	n.entry.Middlewares = append(n.entry.Middlewares, n.entryMiddlewares...)
	n.wireOperators()
	n.publishMetrics()
}

// addRunner adds a loop that runs as long as the node.
func (n *Node) addRunner(run func(context.Context) error) {
	n.runners = append(n.runners, run)
}

// CallersAddress returns the address of the listener for callers.
func (n *Node) CallersAddress() string { return n.callers.Addr().String() }

// PeersAddress returns the address of the listener for peers.
func (n *Node) PeersAddress() string { return n.peers.Addr().String() }

// OperatorsAddress returns the address of the listener for operators and the
// local upstream.
func (n *Node) OperatorsAddress() string { return n.operators.Addr().String() }

// Run serves until ctx ends, then stops without interrupting requests.
func (n *Node) Run(ctx context.Context) error {
	servers := []*http.Server{
		n.newServer(n.entry, n.tls.callers),
		n.newServer(n.peerHandler(), n.tls.peers),
		n.newServer(n.operator.Handler(), n.tls.operators),
	}
	g, ctx := errgroup.WithContext(ctx)
	for i, l := range []net.Listener{n.callers, n.peers, n.operators} {
		g.Go(func() error { return serve(servers[i], l) })
	}
	// The runners outlive ctx: the gossip that the node is leaving goes over
	// their links.
	runnerCtx, stopRunners := context.WithCancel(context.WithoutCancel(ctx))
	for _, run := range n.runners {
		g.Go(func() error { return run(runnerCtx) })
	}
	g.Go(func() error {
		<-ctx.Done()
		n.stop(servers, stopRunners)
		return nil
	})
	klog.Infof(logPrefix+"callers on %s, peers on %s, operators on %s", n.CallersAddress(), n.PeersAddress(), n.OperatorsAddress())
	return g.Wait()
}

func (n *Node) newServer(h http.Handler, config *tls.Config) *http.Server {
	var p http.Protocols
	p.SetHTTP1(true)
	p.SetHTTP2(config != nil)
	p.SetUnencryptedHTTP2(config == nil)
	return &http.Server{
		Handler:           h,
		Protocols:         &p,
		TLSConfig:         config,
		ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		HTTP2:             dial.ServerHTTP2Config(maxConcurrentStreams),
	}
}

// peerHandler checks the peer key before it passes a request to a peer route.
func (n *Node) peerHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !link.PeerKeyMatches(r, n.cfg.Peers.Secret) {
			n.metrics.Add("peer_key_refused", 1)
			call.WriteRefusal(w, call.Result{Code: api.PeerKey, Ran: api.RanNo})
			return
		}
		if strings.HasPrefix(r.URL.Path, callPrefix+"/") {
			n.peerCallHandler.ServeHTTP(w, r)
			return
		}
		n.peerMux.ServeHTTP(w, r)
	})
}
