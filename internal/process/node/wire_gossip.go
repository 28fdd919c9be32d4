package node

import (
	"context"
	"time"

	"github.com/daisytide/daisytide/internal/conn/kvstore"
	"github.com/daisytide/daisytide/internal/conn/link"
	"github.com/daisytide/daisytide/internal/conn/rpc"
	"github.com/daisytide/daisytide/internal/process/gossip"
	"github.com/daisytide/daisytide/internal/process/membership"
	"github.com/daisytide/daisytide/internal/process/provider"
)

// probeMethod is the RPC method that asks a node to probe another.
const probeMethod = "reach"

// wireGossip builds membership, gossip and the provider of configurations.
func (n *Node) wireGossip() {
	limitedStore := kvstore.NewRateLimitedStore(n.store, n.cfg.Store.Rate)
	n.store = limitedStore
	n.storeReached = limitedStore.Reachable
	n.self = membership.NewSelf(membership.Record{
		Address:    n.peers.Addr().String(),
		Region:     n.cfg.Node.Region,
		DataCentre: n.cfg.Node.DataCentre,
		Rack:       n.cfg.Node.Rack,
	}, n.members, uint64(time.Now().UnixMilli()))
	n.provider = &provider.Provider{
		Store:         n.store,
		Holder:        n.holder,
		RolloutEnded:  func(string) bool { return false },
		View:          n.watchView,
		PublishAccess: n.self.SetStoreAccess,
	}
	n.provider.Start()
	n.members.OnStoreLost = n.provider.StoreLostElsewhere
	seeds := &provider.Seeds{
		Store:      n.store,
		Members:    n.members,
		Self:       n.self.Record,
		Configured: n.cfg.Peers.SeedList(),
	}
	n.gossip = gossip.NewManager(gossip.Config{
		Self:          n.self.Record,
		Members:       n.members,
		Holder:        n.holder,
		ConfigStore:   n.provider,
		Dialer:        &link.Dialer{PeerKey: n.cfg.Peers.Secret, TLS: n.tls.toPeers, Traffic: n.traffic},
		Traffic:       n.traffic,
		SeedAddresses: seeds.Addresses,
		IndirectProbe: n.requestProbe,
	})
	seeds.LinkCount = n.gossip.LinkCount
	n.provider.Synced = n.gossip.Synced
	n.gossip.RegisterTopic(membership.Topic{Table: n.members})
	n.self.Publisher = n.gossip
	n.holder.OnSwap(n.gossip.ConfigChanged)
	n.peerMux.Handle(link.Path, n.gossip)
	n.peerMux.Handle(rpc.PathPrefix+probeMethod, rpc.Handle(n.handleProbe))
	n.addRunner(n.gossip.Run)
	n.addRunner(n.provider.Run)
	n.addRunner(seeds.Run)
}

// watchView returns what decides whether this node watches the store.
func (n *Node) watchView() provider.WatchView {
	return provider.NewWatchView(n.members.Index().Members, n.self.Record(), n.gossip.LinkCount(), provider.WatchersPerDataCentre)
}

func (n *Node) handleProbe(_ context.Context, address string) (bool, error) {
	return n.gossip.Probe(address), nil
}

func (n *Node) requestProbe(ctx context.Context, helper, address string) (bool, error) {
	var reached bool
	err := n.peerRPC.Call(ctx, helper, probeMethod, address, &reached)
	return reached, err
}
