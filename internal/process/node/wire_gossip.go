package node

import (
	"context"
	"time"

	"github.com/daisytide/daisytide/internal/conn/link"
	"github.com/daisytide/daisytide/internal/conn/platform"
	"github.com/daisytide/daisytide/internal/conn/rpc"
	"github.com/daisytide/daisytide/internal/process/gossip"
	"github.com/daisytide/daisytide/internal/process/membership"
	"github.com/daisytide/daisytide/internal/process/provider"
)

// reachMethod asks a node whether it reaches another.
const reachMethod = "reach"

// wireSpread builds membership, links and the provider of configurations.
func (n *Node) wireSpread() {
	guard := platform.NewGuard(n.store, n.cfg.Store.Rate)
	n.store = guard
	n.storeReached = guard.Reached
	n.self = membership.NewSelf(membership.Record{
		Address:    n.peers.Addr().String(),
		Region:     n.cfg.Node.Region,
		DataCentre: n.cfg.Node.DataCentre,
		Rack:       n.cfg.Node.Rack,
	}, n.members, uint64(time.Now().UnixMilli()))
	n.provider = &provider.Provider{
		Store:        n.store,
		Holder:       n.holder,
		RolloutEnded: func(string) bool { return false },
		IsWatcher:    n.watcher,
	}
	seeds := &provider.Seeds{
		Store:      n.store,
		Members:    n.members,
		Self:       n.self.Record,
		Configured: n.cfg.Peers.SeedList(),
	}
	n.spread = gossip.NewManager(gossip.Config{
		Self:          n.self.Record,
		Members:       n.members,
		Holder:        n.holder,
		ConfigStore:   n.provider,
		Dialer:        &link.Dialer{Key: n.cfg.Peers.Secret, TLS: n.tls.toPeers, Traffic: n.traffic},
		Traffic:       n.traffic,
		SeedAddresses: seeds.Addresses,
		IndirectProbe: n.askReach,
	})
	seeds.LinkCount = n.spread.LinkCount
	n.provider.Synced = n.spread.Synced
	n.spread.RegisterTopic(membership.Topic{Table: n.members})
	n.self.Publisher = n.spread
	n.holder.OnSwap(n.spread.ConfigChanged)
	n.peerMux.Handle(link.Path, n.spread)
	n.peerMux.Handle(rpc.Prefix+reachMethod, rpc.Handle(n.reach))
	n.addRunner(n.spread.Run)
	n.addRunner(n.provider.Run)
	n.addRunner(seeds.Run)
}

// watcher tells whether this node is among those of its data centre that
// watch the store.
func (n *Node) watcher() bool {
	return provider.WatcherRank(n.members.Index().Members, n.self.Record()) < provider.WatchersPerDataCentre
}

func (n *Node) reach(_ context.Context, address string) (bool, error) {
	return n.spread.Probe(address), nil
}

func (n *Node) askReach(ctx context.Context, helper, address string) (bool, error) {
	var reached bool
	err := n.rpc.Call(ctx, helper, reachMethod, address, &reached)
	return reached, err
}
