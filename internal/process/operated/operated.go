// Package operated wires and runs a node whose operator keeps configuration
// and orders in the store, and whose upstream reports by heartbeat.
package operated

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/dial"
	"github.com/daisytide/daisytide/internal/conn/h1"
	"github.com/daisytide/daisytide/internal/conn/link"
	"github.com/daisytide/daisytide/internal/conn/platform"
	"github.com/daisytide/daisytide/internal/conn/rpc"
	"github.com/daisytide/daisytide/internal/conn/wire"
	"github.com/daisytide/daisytide/internal/logs"
	"github.com/daisytide/daisytide/internal/metrics"
	"github.com/daisytide/daisytide/internal/process/fleetstatus"
	"github.com/daisytide/daisytide/internal/process/gossip"
	"github.com/daisytide/daisytide/internal/process/localupstream"
	"github.com/daisytide/daisytide/internal/process/membership"
	"github.com/daisytide/daisytide/internal/process/orders"
	"github.com/daisytide/daisytide/internal/process/provider"
	"github.com/daisytide/daisytide/internal/process/registry"
	"github.com/daisytide/daisytide/internal/process/settings"
	"github.com/daisytide/daisytide/internal/request/balancer"
	"github.com/daisytide/daisytide/internal/request/egress"
	"github.com/daisytide/daisytide/internal/request/hop"
	"github.com/daisytide/daisytide/internal/request/ingress"
	"github.com/daisytide/daisytide/internal/request/quarantine"
	"github.com/daisytide/daisytide/internal/request/retry"
	"github.com/daisytide/daisytide/internal/version/ramp"
	"github.com/daisytide/daisytide/internal/version/snapshot"
	"github.com/daisytide/daisytide/internal/version/traffic"
)

const logPrefix = "operated: "

// Sizes and times of a node.
const (
	// storeBackoff bounds the wait after failed calls to the store: entries
	// must be back, and changes in force, within two seconds of its return.
	storeBackoff = time.Second
	// At least watchersPerCentre nodes of each data centre watch the store, and
	// watchersLeast in all: each change costs a call for each of them. Of nine,
	// the store turning a third of the nodes away leaves none with a chance of
	// one in 10,000.
	watchersPerCentre = 2
	watchersLeast     = 8
	// bytesPerMbit converts the rate of a link.
	bytesPerMbit = 1e6 / 8
	// heldPart of the memory may hold the bodies of requests.
	heldPart = 5
	// idlePeers and idleUpstream bound the connections kept for one address.
	idlePeers    = 16
	idleUpstream = 64
	// peerDial and upstreamDial bound the opening of a connection: a packet
	// that was lost is sent again after a second, another node answers sooner.
	peerDial     = 400 * time.Millisecond
	upstreamDial = 300 * time.Millisecond
	// peerHeaderTimeout and peerIdle bound connections between nodes.
	peerHeaderTimeout = 5 * time.Second
	peerIdle          = time.Minute
	peerBodyBytes     = 1 << 30
	// endWait is how long a stopped node waits for its loops to end.
	endWait = 100 * time.Millisecond
)

// Limits of callers before the first configuration.
var firstLimits = h1.Limits{HeaderBytes: 16 << 10, BodyBytes: 64 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// Adapter translates between the product and the platform that it runs on.
type Adapter interface {
	hop.HeaderDialect
	orders.StatusCodec
	// OperatorKeys says where the operator writes.
	OperatorKeys() traffic.OperatorKeys
	// DecodeOrder reads an order.
	DecodeOrder(key string, revision uint64, value []byte) (ramp.Order, error)
	// RegisterReportHandlers registers the handlers of the upstream's calls, which give what
	// they read to take.
	RegisterReportHandlers(mux *http.ServeMux, take func(localupstream.Report) error)
	// ReadyPath is where the platform asks whether the node is ready.
	ReadyPath() string
}

// Node is one daisytided that an operator runs through the store.
type Node struct {
	cfg      *settings.Settings
	adapter  Adapter
	log      *logs.Log
	metrics  *expvar.Map
	requests *metrics.Requests

	holder   *snapshot.Holder
	members  *membership.Table
	self     *membership.Self
	spread   *gossip.Manager
	provider *provider.Follower
	registry *registry.Registry
	orders   *orders.Manager
	ledger   *quarantine.EventSet
	upstream *localupstream.Tracker
	gate     *egress.Gate
	ingress  *ingress.Ingress
	store    *platform.Guard
	rpc      *rpc.Client
	survey   *fleetstatus.Collector
	traffic  *link.Traffic

	callers, gates, ready *h1.Server
	peers, control        *http.Server
	listeners             [listenerCount]net.Listener
	began                 time.Time
	leaving               atomic.Bool
}

// The listeners, in the order in which they open.
const (
	forCallers = iota
	forGates
	forPeers
	forControl
	forReady
	listenerCount
)

// New builds a node from checked settings and listens; log may be nil.
func New(cfg *settings.Settings, store platform.Store, adapter Adapter, log *logs.Log) (*Node, error) {
	n := &Node{
		cfg: cfg, adapter: adapter, log: log, metrics: new(expvar.Map).Init(), requests: metrics.New(),
		began: time.Now(), holder: &snapshot.Holder{}, members: membership.NewTable(), traffic: &link.Traffic{},
		store: platform.NewGuard(store, cfg.Store.Rate),
	}
	n.store.BackoffMost = storeBackoff
	if err := n.listen(); err != nil {
		return nil, err
	}
	n.wireMembers()
	n.wireRequests()
	n.wireServers()
	return n, nil
}

func (n *Node) listen() error {
	for i, address := range [listenerCount]string{
		forCallers: n.cfg.Callers.Listen, forGates: n.cfg.Operated.Gate, forPeers: n.cfg.Peers.Listen,
		forControl: n.cfg.Operators.Listen, forReady: n.cfg.Operated.Ready,
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

// ApplySettings takes settings that were read again: other seeds. What stands
// with the listeners takes effect at the next start.
func (n *Node) ApplySettings(cfg *settings.Settings) {
	n.registry.AddSeedHosts(cfg.Operated.SeedHostList())
}

// Metrics returns the node's counters.
func (n *Node) Metrics() *expvar.Map { return n.metrics }

// wireMembers builds what the nodes know of each other and of the configuration.
func (n *Node) wireMembers() {
	incarnation := uint64(time.Now().UnixMilli())
	n.self = membership.NewSelf(membership.Record{
		Address: n.cfg.Peers.Listen, Region: n.cfg.Node.Region, DataCentre: n.cfg.Node.DataCentre,
		Gate: n.cfg.Operated.Gate,
	}, n.members, incarnation)
	n.rpc = &rpc.Client{HTTP: &http.Client{Transport: dial.Peers(nil)}, Key: n.cfg.Peers.Secret, Scheme: "http"}
	keys := n.adapter.OperatorKeys()
	n.provider = &provider.Follower{Store: n.store, Holder: n.holder, Keys: keys, OnOrder: n.takeOrder, FirstStart: n.cfg.Operated.FirstStart}
	n.registry = &registry.Registry{
		Store: n.store, Self: n.self.Record, Members: n.members, TTL: n.cfg.Operated.LeaseTTL,
		SeedHosts: n.cfg.Operated.SeedHostList(), FirstStart: n.cfg.Operated.FirstStart,
		// A host that is given up loses its upstream before its node.
		Restarting: func() bool { return n.upstream.Current().Ready() },
	}
	n.spread = gossip.NewManager(gossip.Config{
		Self: n.self.Record, Members: n.members, Holder: n.holder, ConfigStore: n.provider,
		Dialer:  &link.Dialer{Key: n.cfg.Peers.Secret, Traffic: n.traffic},
		Traffic: n.traffic, SeedAddresses: n.registry.Peers, IndirectProbe: n.askReach,
	})
	n.registry.LinkCount, n.registry.OnList, n.registry.Publisher = n.spread.LinkCount, n.spread.Wake, n.spread
	n.store.Returned = n.registry.StoreRecovered
	n.provider.LinkCount = n.spread.LinkCount
	n.provider.IsWatcher = func() bool {
		return provider.WatcherRank(n.members.Index().Members, n.self.Record()) < watchersIn(n.centres())
	}
	n.provider.MemberCount = func() int {
		centres := n.centres()
		return min(len(n.members.Index().Members), watchersIn(centres)*centres)
	}
	n.self.Publisher = n.spread
	n.orders = orders.NewManager(orders.Config{
		Self: n.cfg.Peers.Listen, Incarnation: incarnation, Members: n.members, Store: n.store,
		StatusCodec: n.adapter, Publisher: n.spread,
	})
	n.ledger = quarantine.NewEventSet(time.Now)
	n.spread.RegisterTopic(membership.Topic{Table: n.members})
	n.spread.RegisterTopic(orders.StateTopic{Manager: n.orders})
	n.spread.RegisterTopic(orders.CountsTopic{Manager: n.orders})
	n.spread.RegisterTopic(n.ledger)
	n.spread.RegisterTopic(n.registry.StoreRecoveries())
	n.holder.OnSwap(n.spread.ConfigChanged)
}

// watchersIn is how many nodes of each of a number of data centres watch.
func watchersIn(centres int) int {
	return max(watchersPerCentre, (watchersLeast+centres-1)/max(1, centres))
}

// centres counts the data centres that have members.
func (n *Node) centres() int {
	seen := map[string]bool{}
	for _, r := range n.members.Index().Members {
		seen[r.DataCentre] = true
	}
	return len(seen)
}

// wireRequests builds the way of a request.
func (n *Node) wireRequests() {
	n.upstream = &localupstream.Tracker{Service: n.cfg.Operated.Service, Address: n.cfg.Operated.Address}
	n.gate = &egress.Gate{
		Upstream: n.upstream, Client: &h1.Client{DialTimeout: upstreamDial, MaxIdle: idleUpstream}, Dialect: n.adapter,
		LinkBytesPerSecond: int64(n.cfg.Operated.LinkMbps * bytesPerMbit),
		VersionAllowed:     n.orders.VersionAllowed, QuarantineEvents: n.ledger, PublishCrash: n.publishCrash, Observer: n.orders, Log: n.log, Metrics: n.requests,
	}
	n.upstream.OnChange = func(i egress.Instance) {
		n.gate.UpstreamChanged(i)
		n.self.SetUpstream(api.Announcement{Service: i.Service, Version: i.Version, Address: i.Address, State: i.State, Slots: i.Slots})
	}
	o := n.cfg.Operated
	repeats := retry.FleetBudget{Ratio: o.RetryRatio, Slack: o.RetrySlack, Size: func() int { return len(n.members.Index().Members) }}
	n.ingress = &ingress.Ingress{
		Self: n.cfg.Peers.Listen, Service: o.Service, Holder: n.holder, Members: n.members, Versions: n.orders,
		Picker:       &balancer.Picker{Self: n.cfg.Peers.Listen, DataCentre: n.cfg.Node.DataCentre, Region: n.cfg.Node.Region},
		Budget:       retry.NewBudgetWithBurst(repeats.NodeBurst),
		RetryPercent: repeats.NodePercent(),
		Local:        n.gate, Client: &h1.Client{DialTimeout: peerDial, MaxIdle: idlePeers}, Dialect: n.adapter, Log: n.log, Metrics: n.requests,
	}
	n.holder.OnSwap(n.ingress.PruneRoutes)
}

// takeOrder takes an order that was read in the store. One that was listed
// may have ended long ago: then the store holds its status.
func (n *Node) takeOrder(e platform.Entry, listed bool) {
	o, err := n.adapter.DecodeOrder(e.Key, e.Revision, e.Value)
	if err != nil {
		klog.Errorf(logPrefix+"the order at revision %d is not usable: %v", e.Revision, err)
		return
	}
	n.orders.AddOrder(o, time.Now())
	if listed {
		go n.readStatus(o)
	}
}

// statusTimeout bounds the reading of one status.
const statusTimeout = 2 * time.Second

func (n *Node) readStatus(o ramp.Order) {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
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
		klog.Errorf(logPrefix+"%v", err)
		return
	}
	n.orders.ApplyStoredStatus(o.Service, target, phase, e.Revision)
}

// publishCrash spreads that an upstream died.
func (n *Node) publishCrash(f quarantine.Event) {
	item, err := wire.Marshal(f)
	if err != nil {
		klog.Errorf(logPrefix+"%v", err)
		return
	}
	n.spread.Publish(quarantine.TopicName, item)
}

// reachMethod asks a node whether it reaches another.
const reachMethod = "reach"

func (n *Node) reach(_ context.Context, address string) (bool, error) {
	return n.spread.Probe(address), nil
}

func (n *Node) askReach(ctx context.Context, helper, address string) (bool, error) {
	var reached bool
	err := n.rpc.Call(ctx, helper, reachMethod, address, &reached)
	return reached, err
}

// Run serves until ctx ends, then stops without cutting a request.
func (n *Node) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	running, stopRunners := context.WithCancel(context.WithoutCancel(ctx))
	defer stopRunners()
	for i, s := range map[int]*h1.Server{forCallers: n.callers, forGates: n.gates, forReady: n.ready} {
		g.Go(func() error { return s.Serve(n.listeners[i]) })
	}
	for i, s := range map[int]*http.Server{forPeers: n.peers, forControl: n.control} {
		g.Go(func() error {
			if err := s.Serve(n.listeners[i]); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
				return fmt.Errorf("serve %s: %w", n.listeners[i].Addr(), err)
			}
			return nil
		})
	}
	for _, run := range []func(context.Context) error{n.spread.Run, n.provider.Run, n.registry.Run, n.orders.Run} {
		g.Go(func() error { return run(running) })
	}
	g.Go(func() error {
		n.ledger.Run(running)
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
	// All answers are out. What still ends, such as a call to a slow store,
	// must not hold the process beyond its grace.
	select {
	case err := <-ended:
		return err
	case <-time.After(endWait):
		return nil
	}
}
