// Package operated wires and runs a node that reads configuration and orders
// from the store, where the operator writes them, and whose upstream reports by
// heartbeat.
package operated

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/dial"
	"github.com/daisytide/daisytide/internal/conn/h1"
	"github.com/daisytide/daisytide/internal/conn/kvstore"
	"github.com/daisytide/daisytide/internal/conn/link"
	"github.com/daisytide/daisytide/internal/conn/rpc"
	"github.com/daisytide/daisytide/internal/conn/wire"
	"github.com/daisytide/daisytide/internal/ctxtime"
	"github.com/daisytide/daisytide/internal/logs"
	"github.com/daisytide/daisytide/internal/metrics"
	"github.com/daisytide/daisytide/internal/process/departures"
	"github.com/daisytide/daisytide/internal/process/evacuation"
	"github.com/daisytide/daisytide/internal/process/fleetstatus"
	"github.com/daisytide/daisytide/internal/process/gossip"
	"github.com/daisytide/daisytide/internal/process/localupstream"
	"github.com/daisytide/daisytide/internal/process/membership"
	"github.com/daisytide/daisytide/internal/process/orders"
	"github.com/daisytide/daisytide/internal/process/provider"
	"github.com/daisytide/daisytide/internal/process/quota"
	"github.com/daisytide/daisytide/internal/process/registry"
	"github.com/daisytide/daisytide/internal/process/settings"
	"github.com/daisytide/daisytide/internal/request/balancer"
	"github.com/daisytide/daisytide/internal/request/egress"
	"github.com/daisytide/daisytide/internal/request/hop"
	"github.com/daisytide/daisytide/internal/request/ingress"
	"github.com/daisytide/daisytide/internal/request/linkqueue"
	"github.com/daisytide/daisytide/internal/request/quarantine"
	"github.com/daisytide/daisytide/internal/request/retry"
	"github.com/daisytide/daisytide/internal/version/ramp"
	"github.com/daisytide/daisytide/internal/version/snapshot"
	"github.com/daisytide/daisytide/internal/version/traffic"
)

const logPrefix = "operated: "

// Limits and timeouts of a node.
const (
	// maxStoreBackoff is the maximum wait after failed calls to the store:
	// within two seconds of the store's recovery, the nodes' entries in the
	// store must be renewed and changes in force.
	maxStoreBackoff = time.Second
	// At least minWatchersPerDataCentre nodes of each data centre watch the
	// store, and minWatchers in all; each change costs one call to the store
	// for each of them. Three data centres have nine watchers: if the store
	// refuses a third of the nodes, the chance that it refuses all nine is
	// below one in 10,000.
	minWatchersPerDataCentre = 2
	minWatchers              = 8
	// bytesPerSecondPerMbps converts a link rate from Mbit/s to bytes per
	// second.
	bytesPerSecondPerMbps = 1e6 / 8
	// bodyMemoryDivisor and responseMemoryDivisor are the divisors of the process
	// memory that give the maximum memory for the request bodies that one of the
	// servers of the request path buffers, and for the responses that one of its
	// clients is reading. What a client has given up stays in memory until the next
	// garbage collection.
	bodyMemoryDivisor     = 5
	responseMemoryDivisor = 8
	// maxIdlePeerConns and maxIdleUpstreamConns are the maximum numbers of idle
	// connections kept for one address.
	maxIdlePeerConns     = 16
	maxIdleUpstreamConns = 64
	// peerDialTimeout and upstreamDialTimeout limit the opening of a
	// connection. They are shorter than the second after which a lost packet is
	// retransmitted, because another node answers sooner.
	peerDialTimeout     = 400 * time.Millisecond
	upstreamDialTimeout = 300 * time.Millisecond
	// peerHeaderTimeout and peerIdleTimeout limit connections between nodes.
	peerHeaderTimeout = 5 * time.Second
	peerIdleTimeout   = time.Minute
	maxPeerBodyBytes  = 1 << 30
	// shutdownTimeout is how long a stopped node waits for its loops to return.
	shutdownTimeout = 100 * time.Millisecond
)

// initialCallerLimits are the limits for callers before the first
// configuration.
var initialCallerLimits = h1.Limits{HeaderBytes: 16 << 10, BodyBytes: 64 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// Adapter translates between daisytide and the platform that it runs on.
type Adapter interface {
	hop.HeaderDialect
	orders.StatusCodec
	// OperatorKeys returns the keys of the store under which the operator
	// writes.
	OperatorKeys() traffic.OperatorKeys
	// DecodeOrder decodes an order that was read from the store.
	DecodeOrder(key string, revision uint64, value []byte) (ramp.Order, error)
	// RegisterReportHandlers registers the handlers for the upstream's
	// heartbeats and deregistrations, which pass each report to take. A report is
	// acknowledged only if take returns nil.
	RegisterReportHandlers(mux *http.ServeMux, take func(context.Context, localupstream.Report) error)
	// WarmupLeft returns how long an upstream stays cold by a response of its health
	// path; false if the response does not tell.
	WarmupLeft(resp *h1.Response) (time.Duration, bool)
	// HealthyInstance returns the ID of the instance that says by a response of its
	// health path that it is healthy and not leaving; empty if the response does not.
	HealthyInstance(resp *h1.Response) string
	// ReadyPath returns the path of the platform's readiness probe.
	ReadyPath() string
}

// Node is one daisytided that an operator controls through the store.
type Node struct {
	cfg      *settings.Settings
	adapter  Adapter
	log      *logs.Log
	metrics  *expvar.Map
	requests *metrics.NodeMetrics

	holder           *snapshot.Holder
	members          *membership.Table
	self             *membership.Self
	gossip           *gossip.Manager
	provider         *provider.Follower
	registry         *registry.Registry
	orders           *orders.Manager
	quarantineEvents *quarantine.EventSet
	localUpstream    *localupstream.Tracker
	departures       *departures.Keeper
	confirmer        *localupstream.Confirmer
	evacuations      *evacuation.Set
	evacuationStart  *evacuation.Starter
	quota            *quota.Limiter
	gate             *egress.Gate
	ingress          *ingress.Ingress
	store            *kvstore.RateLimitedStore
	// providerStore is the store with limits of its own, so that the other calls of this
	// node, their tokens and their failures, hold no change back.
	providerStore *kvstore.RateLimitedStore
	peerRPC       *rpc.Client
	fleetStatus   *fleetstatus.Collector
	traffic       *link.Traffic

	callerServer, gateServer, readyServer *h1.Server
	peerServer, operatorServer            *http.Server
	budget                                *h1.Budget
	connLimits                            [listenerCount]*h1.ConnLimit
	listeners                             [listenerCount]net.Listener
	startedAt                             time.Time
	stopping                              atomic.Bool
	// confirmations is the time in which the upstream may confirm a doubted report.
	confirmations   context.Context
	endConfirmation context.CancelFunc
}

// Indexes of the listeners, in the order in which they are opened.
const (
	callerListener = iota
	gateListener
	peerListener
	operatorListener
	readyListener
	listenerCount
)

// New builds a node from checked settings and opens its listeners; log may be
// nil.
func New(cfg *settings.Settings, store kvstore.Store, adapter Adapter, log *logs.Log) (*Node, error) {
	n := &Node{
		cfg: cfg, adapter: adapter, log: log, metrics: new(expvar.Map).Init(), requests: metrics.New(),
		startedAt: time.Now(), holder: &snapshot.Holder{}, members: membership.NewTable(), traffic: &link.Traffic{},
		store: kvstore.NewRateLimitedStore(store, cfg.Store.Rate), providerStore: kvstore.NewRateLimitedStore(store, cfg.Store.Rate),
	}
	n.store.MaxBackoff, n.providerStore.MaxBackoff = maxStoreBackoff, maxStoreBackoff
	if err := n.listen(); err != nil {
		return nil, err
	}
	n.wireLimits()
	n.wireMembership()
	n.wireRequests()
	n.wireEvacuations()
	n.wireDepartures()
	n.wireQuota()
	n.wireServers()
	return n, nil
}

func (n *Node) listen() error {
	for i, address := range [listenerCount]string{
		callerListener: n.cfg.Callers.Listen, gateListener: n.cfg.Operated.Gate, peerListener: n.cfg.Peers.Listen,
		operatorListener: n.cfg.Operators.Listen, readyListener: n.cfg.Operated.Ready,
	} {
		l, err := h1.Listen(address)
		if err != nil {
			for _, open := range n.listeners[:i] {
				_ = open.Close()
			}
			return fmt.Errorf("listen: %w", err)
		}
		n.listeners[i] = l
	}
	return nil
}

// ApplySettings adds the seed hosts of settings that were read again. Changed
// listeners take effect at the next start.
func (n *Node) ApplySettings(cfg *settings.Settings) {
	n.registry.AddSeedHosts(cfg.Operated.SeedHostList())
}

// Metrics returns the node's counters.
func (n *Node) Metrics() *expvar.Map { return n.metrics }

// wireMembership builds membership, gossip, the registry, the provider of
// configuration and orders, and the order manager.
func (n *Node) wireMembership() {
	incarnation := uint64(time.Now().UnixMilli())
	n.self = membership.NewSelf(membership.Record{
		Address: n.cfg.Peers.Listen, Region: n.cfg.Node.Region, DataCentre: n.cfg.Node.DataCentre,
		Gate: n.cfg.Operated.Gate,
	}, n.members, incarnation)
	n.peerRPC = &rpc.Client{HTTP: &http.Client{Transport: dial.PeerTransport(nil)}, PeerKey: n.cfg.Peers.Secret, Scheme: "http"}
	keys := n.adapter.OperatorKeys()
	n.evacuations = &evacuation.Set{}
	n.provider = &provider.Follower{
		Store: n.providerStore, Holder: n.holder, Keys: keys, OnOrder: n.handleOrder, Evacuations: n.evacuations, FirstStart: n.cfg.Operated.FirstStart,
		Progress: &provider.Progress{},
	}
	n.registry = &registry.Registry{
		Store: n.store, Self: n.self.Record, Members: n.members, TTL: n.cfg.Operated.LeaseTTL,
		SeedHosts: n.cfg.Operated.SeedHostList(), FirstStart: n.cfg.Operated.FirstStart,
		// On a host that is removed, the upstream ends before the node, so that a
		// ready upstream means that the node is restarting.
		Restarting: func() bool { return n.localUpstream.Current().Ready() },
	}
	n.gossip = gossip.NewManager(gossip.Config{
		Self: n.self.Record, Members: n.members, Holder: n.holder, ConfigStore: n.provider,
		Dialer:  &link.Dialer{PeerKey: n.cfg.Peers.Secret, Traffic: n.traffic},
		Traffic: n.traffic, SeedAddresses: n.registry.Peers, IndirectProbe: n.requestProbe,
		OnSent: n.requests.Traffic.Add, ConfigObserver: n.provider.Progress,
	})
	n.registry.LinkCount, n.registry.OnList, n.registry.Publisher = n.gossip.LinkCount, n.gossip.Wake, n.gossip
	n.store.OnRecovery, n.providerStore.OnRecovery = n.registry.StoreRecovered, n.registry.StoreRecovered
	n.provider.View = func() provider.WatchView {
		return provider.NewWatchView(n.members.Index().Members, n.self.Record(), n.gossip.LinkCount(), watchersPerDataCentre(n.dataCentreCount()))
	}
	n.provider.PublishAccess = n.self.SetStoreAccess
	n.provider.Start()
	n.members.OnStoreLost = n.provider.StoreLostElsewhere
	// Each data centre has as many watchers as watchersPerDataCentre says; a small
	// fleet has no more of them than members.
	n.provider.WatcherCount = func() int {
		dataCentres := n.dataCentreCount()
		return min(len(n.members.Index().Members), watchersPerDataCentre(dataCentres)*dataCentres)
	}
	n.self.Publisher = n.gossip
	n.orders = orders.NewManager(orders.Config{
		Self: n.cfg.Peers.Listen, Incarnation: incarnation, DataCentre: n.cfg.Node.DataCentre, Members: n.members, Store: n.store,
		StatusCodec: n.adapter, Publisher: n.gossip,
	})
	n.quarantineEvents = quarantine.NewEventSet(time.Now)
	n.gossip.RegisterTopic(membership.Topic{Table: n.members})
	n.gossip.RegisterTopic(orders.StateTopic{Manager: n.orders})
	n.gossip.RegisterTopic(orders.CountsTopic{Manager: n.orders})
	n.gossip.RegisterTopic(orders.SumsTopic{Manager: n.orders})
	n.gossip.RegisterTopic(n.quarantineEvents)
	n.gossip.RegisterTopic(n.registry.StoreRecoveries())
	n.gossip.RegisterTopic(n.evacuations)
	n.holder.OnSwap(n.gossip.ConfigChanged)
}

// watchersPerDataCentre returns how many nodes of each data centre watch the
// store.
func watchersPerDataCentre(dataCentres int) int {
	return max(minWatchersPerDataCentre, (minWatchers+dataCentres-1)/max(1, dataCentres))
}

// dataCentreCount returns the number of data centres that have members.
func (n *Node) dataCentreCount() int {
	seen := map[string]bool{}
	for _, r := range n.members.Index().Members {
		seen[r.DataCentre] = true
	}
	return len(seen)
}

// maxBodyMemory returns the maximum number of bytes of request bodies that one server
// of the request path buffers.
func (n *Node) maxBodyMemory() int64 { return int64(n.cfg.Operated.MemoryMB) << 20 / bodyMemoryDivisor }

// maxResponseMemory returns the maximum number of bytes of responses that one client
// of the request path is reading.
func (n *Node) maxResponseMemory() int64 {
	return int64(n.cfg.Operated.MemoryMB) << 20 / responseMemoryDivisor
}

// wireRequests builds the components on the path of a request.
func (n *Node) wireRequests() {
	n.localUpstream = &localupstream.Tracker{Service: n.cfg.Operated.Service, Address: n.cfg.Operated.Address}
	maxResponseMemory := n.maxResponseMemory()
	// The entry and the gate share the host's link.
	link := linkqueue.NewLink(int64(n.cfg.Operated.LinkMbps * bytesPerSecondPerMbps))
	n.gate = &egress.Gate{
		Upstream: n.localUpstream, Client: &h1.Client{DialTimeout: upstreamDialTimeout, MaxIdleConns: maxIdleUpstreamConns, MaxBufferedBytes: maxResponseMemory, Budget: n.budget}, Dialect: n.adapter,
		Link:           link,
		VersionAllowed: n.orders.VersionAllowed, Evacuated: n.isEvacuated, QuarantineEvents: n.quarantineEvents, PublishCrash: n.gossipCrash, Observer: n.orders, Log: n.log, Metrics: n.requests,
	}
	n.gate.ServiceWarmupRate = n.warmupRate
	n.gate.AskWarmup = n.askWarmup
	n.gate.Announce = func(i egress.Instance, slots int) {
		n.self.SetUpstream(api.Announcement{Service: i.Service, Version: i.Version, Address: i.Address, State: i.State, Slots: slots})
	}
	n.localUpstream.OnChange = n.gate.UpstreamChanged
	n.holder.OnSwap(func(*snapshot.Snapshot) { n.gate.ConfigurationChanged() })
	o := n.cfg.Operated
	retryBudget := retry.FleetBudget{Ratio: o.RetryRatio, Slack: o.RetrySlack, Size: func() int { return len(n.members.Index().Members) }}
	n.ingress = &ingress.Ingress{
		Self: n.cfg.Peers.Listen, Service: o.Service, Holder: n.holder, Members: n.members, Versions: n.orders,
		Picker:       &balancer.Picker{Self: n.cfg.Peers.Listen, DataCentre: n.cfg.Node.DataCentre, Region: n.cfg.Node.Region},
		Budget:       retry.NewBudgetWithBurst(retryBudget.NodeBurst),
		RetryPercent: retryBudget.NodePercent(),
		Local:        n.gate, Client: &h1.Client{DialTimeout: peerDialTimeout, MaxIdleConns: maxIdlePeerConns, MaxBufferedBytes: maxResponseMemory, Budget: n.budget}, Dialect: n.adapter, Log: n.log, Metrics: n.requests,
		Link:          link,
		MostUrgentRun: n.gate.MostUrgentRun,
	}
	if upstream, err := netip.ParseAddrPort(o.Address); err == nil {
		n.ingress.Origins.UpstreamIP = upstream.Addr().Unmap()
	}
	n.holder.OnSwap(n.ingress.PruneRoutes)
}

// warmupRate returns the requests per second that a cold upstream of a service
// sustains, by the configuration in force; 0 is no limit.
func (n *Node) warmupRate(service string) float64 {
	snap := n.holder.Current()
	if snap == nil || snap.Traffic == nil {
		return egress.UnknownWarmupRate
	}
	if s := snap.Traffic.Service(service); s != nil {
		return s.WarmupRate
	}
	return 0
}

// askWarmup asks an upstream on its health path how long it stays cold; false if it
// does not tell.
func (n *Node) askWarmup(ctx context.Context, i egress.Instance) (time.Duration, bool) {
	resp, _ := n.getHealth(ctx, i.Service, i.Address)
	if resp == nil {
		return 0, false
	}
	return n.adapter.WarmupLeft(resp)
}

// handleOrder adds an order that was read from the store. An order from a list
// of all keys may have ended long ago, so that its status is read from the store
// as well, unless the peers have told it.
func (n *Node) handleOrder(e kvstore.Entry, listed bool) error {
	o, err := n.adapter.DecodeOrder(e.Key, e.Revision, e.Value)
	if err != nil {
		return err
	}
	n.orders.AddOrder(o, time.Now())
	if listed {
		go n.readStatus(o)
	}
	return nil
}

const (
	// statusReadTimeout is the time limit for reading the status of one rollout.
	statusReadTimeout = 2 * time.Second
	// statusGossipWait is how long a node waits for its peers to tell a rollout's
	// status before it reads it.
	statusGossipWait = 300 * time.Millisecond
)

func (n *Node) readStatus(o ramp.Order) {
	ctx, cancel := context.WithTimeout(context.Background(), statusReadTimeout)
	defer cancel()
	if ctxtime.Sleep(ctx, statusGossipWait); n.orders.StatusKnown(o) {
		return
	}
	key := n.adapter.StatusKey(o.Service)
	e, err := n.store.Get(ctx, key)
	if err != nil || e.Revision == 0 {
		if err != nil {
			klog.Warningf(logPrefix+"read the status of %s: %v", o.Service, err)
		}
		return
	}
	target, phase, err := n.adapter.DecodeStatus(key, e.Value)
	if err != nil {
		klog.Errorf(logPrefix+"decode the stored rollout status: %v", err)
		return
	}
	n.orders.ApplyStoredStatus(o.Service, target, phase, e.Revision)
}

// gossipCrash publishes a crash of an upstream to all nodes.
func (n *Node) gossipCrash(event quarantine.Event) {
	item, err := wire.Marshal(event)
	if err != nil {
		klog.Errorf(logPrefix+"encode the crash event: %v", err)
		return
	}
	n.gossip.Publish(quarantine.TopicName, item)
}

// probeMethod is the RPC method that asks a node to probe another.
const probeMethod = "reach"

func (n *Node) handleProbe(_ context.Context, address string) (bool, error) {
	return n.gossip.Probe(address), nil
}

func (n *Node) requestProbe(ctx context.Context, helper, address string) (bool, error) {
	var reached bool
	err := n.peerRPC.Call(ctx, helper, probeMethod, address, &reached)
	return reached, err
}

// Run serves until ctx ends, then stops without interrupting requests.
func (n *Node) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	runnerCtx, stopRunners := context.WithCancel(context.WithoutCancel(ctx))
	defer stopRunners()
	defer n.endConfirmation()
	for i, s := range map[int]*h1.Server{callerListener: n.callerServer, gateListener: n.gateServer, readyListener: n.readyServer} {
		g.Go(func() error { return s.Serve(n.listeners[i]) })
	}
	for i, s := range map[int]*http.Server{peerListener: n.peerServer, operatorListener: n.operatorServer} {
		g.Go(func() error {
			if err := s.Serve(n.connLimits[i].Listen(n.listeners[i])); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
				return fmt.Errorf("serve %s: %w", n.listeners[i].Addr(), err)
			}
			return nil
		})
	}
	for _, run := range []func(context.Context) error{n.gossip.Run, n.provider.Run, n.registry.Run, n.orders.Run, n.departures.Run, n.evacuationStart.Run, n.quota.Run} {
		g.Go(func() error { return run(runnerCtx) })
	}
	g.Go(func() error {
		n.quarantineEvents.Run(runnerCtx)
		return nil
	})
	g.Go(func() error {
		n.logTraffic(runnerCtx)
		return nil
	})
	g.Go(func() error {
		n.warnOfLateConfig(runnerCtx)
		return nil
	})
	stopped := make(chan struct{})
	g.Go(func() error {
		<-ctx.Done()
		n.stop(stopRunners)
		close(stopped)
		return nil
	})
	klog.Infof(logPrefix+"node %s of %s in %s, upstream at %s: callers on %s, gate on %s",
		n.cfg.Peers.Listen, n.cfg.Operated.Service, n.cfg.Node.DataCentre, n.cfg.Operated.Address, n.cfg.Callers.Listen, n.cfg.Operated.Gate)
	ended := make(chan error, 1)
	go func() { ended <- g.Wait() }()
	select {
	case err := <-ended:
		return err
	case <-stopped:
	}
	// All responses are sent. What is still running, such as a call to a slow
	// store, must not delay the end of the process beyond the stop grace.
	select {
	case err := <-ended:
		return err
	case <-time.After(shutdownTimeout):
		return nil
	}
}
