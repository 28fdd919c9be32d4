package node

import (
	"time"

	"github.com/daisytide/daisytide/internal/conn/link"
	"github.com/daisytide/daisytide/internal/process/member"
	"github.com/daisytide/daisytide/internal/process/provider"
	"github.com/daisytide/daisytide/internal/process/spread"
)

// wireSpread builds membership, links and the provider of configurations.
func (n *Node) wireSpread() {
	n.self = member.NewSelf(member.Record{
		Address:    n.peers.Addr().String(),
		Region:     n.cfg.Node.Region,
		DataCentre: n.cfg.Node.DataCentre,
		Rack:       n.cfg.Node.Rack,
	}, n.members, uint64(time.Now().UnixMilli()))
	n.spread = spread.NewManager(spread.Config{
		Self:    n.self.Record,
		Members: n.members,
		Holder:  n.holder,
		Dialer:  &link.Dialer{Key: n.cfg.Peers.Secret, TLS: n.tls.toPeers, Traffic: n.traffic},
		Traffic: n.traffic,
		Seeds:   n.cfg.Peers.SeedList,
	})
	n.spread.Register(member.Topic{Table: n.members})
	n.self.Publisher = n.spread
	n.provider = &provider.Provider{
		Store:  n.store,
		Holder: n.holder,
		Ended:  func(string) bool { return false },
	}
	n.holder.OnSwap(n.spread.ConfigChanged)
	n.peerMux.Handle(link.Path, n.spread)
	n.addRunner(n.spread.Run)
	n.addRunner(n.provider.Run)
}
