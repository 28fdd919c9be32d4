package node

import (
	"context"

	"github.com/daisytide/daisytide/api"
)

// Status implements operator.Node.
func (n *Node) Status() api.StatusResponse {
	return api.StatusResponse{
		Address:    n.PeersAddress(),
		Region:     n.cfg.Node.Region,
		DataCentre: n.cfg.Node.DataCentre,
		Number:     n.holder.Current().Number(),
		Ready:      n.holder.Current() != nil,
		Links:      n.gossip.LinkCount(),
		Members:    len(n.members.Index().Members),

		Source:       string(n.provider.Source()),
		Watcher:      n.watchView().Watches(),
		StoreReached: n.storeReached(),
	}
}

// Hosts implements operator.Node.
func (n *Node) Hosts(ctx context.Context) api.HostsResponse { return n.fleetStatus.Hosts(ctx) }

// Audit implements operator.Node.
func (n *Node) Audit(ctx context.Context) (api.AuditResponse, *api.Error) {
	return n.auditTrail.List(ctx)
}

// Announce implements operator.Node.
func (n *Node) Announce(a api.Announcement) *api.Error {
	if a.Service == "" || a.Version == "" || a.Address == "" || a.Slots < 1 {
		return api.Errorf(api.OperatorBody, "an announcement needs service, version, address and slots")
	}
	n.gate.UpdateUpstream(a)
	n.rosterManager.AddService(a.Service)
	n.crashMonitor.UpstreamAnnounced()
	n.self.SetUpstream(a)
	return nil
}
