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
		Links:      n.spread.Links(),
		Members:    len(n.members.Index().Members),

		Source:       string(n.provider.Source()),
		Watcher:      n.watcher(),
		StoreReached: n.storeReached(),
	}
}

// Hosts implements operator.Node: every member, with the configuration in
// force there.
func (n *Node) Hosts(ctx context.Context) api.HostsResponse {
	members := n.members.Index().Members
	out := api.HostsResponse{Number: n.holder.Current().Number()}
	found := n.survey.All(ctx)
	for _, r := range members {
		f, ok := found[r.Address]
		if !ok {
			f.Error = "not asked yet"
		}
		out.Hosts = append(out.Hosts, api.Host{
			Address: r.Address, Region: r.Region, DataCentre: r.DataCentre, State: r.State.String(),
			Incarnation: r.Incarnation, Service: r.Service, Version: r.Version,
			Upstream: string(r.Upstream), Slots: r.Slots,
			Number: f.Number, Error: f.Error,
		})
	}
	return out
}

// Audit implements operator.Node.
func (n *Node) Audit(ctx context.Context) (api.AuditResponse, *api.Error) {
	return n.trail.List(ctx)
}

// Announce implements operator.Node.
func (n *Node) Announce(a api.Announcement) *api.Error {
	if a.Service == "" || a.Version == "" || a.Address == "" || a.Slots < 1 {
		return api.Errorf(api.OperatorBody, "an announcement needs service, version, address and slots")
	}
	n.gate.Announce(a)
	n.keeper.Serve(a.Service)
	n.quarantine.Announced()
	n.self.Announce(a)
	return nil
}
