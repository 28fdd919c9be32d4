package node

import (
	"context"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/process/member"
)

// hostTimeout bounds the question for one host's status.
const hostTimeout = time.Second

// hostsAtOnce bounds the hosts that are asked at the same time.
const hostsAtOnce = 32

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

// Hosts implements operator.Node: every member, each asked for the
// configuration in force there.
func (n *Node) Hosts(ctx context.Context) api.HostsResponse {
	members := n.members.Index().Members
	out := api.HostsResponse{Number: n.holder.Current().Number(), Hosts: make([]api.Host, len(members))}
	slots := make(chan struct{}, hostsAtOnce)
	for i, r := range members {
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			out.Hosts[i] = n.host(ctx, r)
		}()
	}
	for range hostsAtOnce {
		slots <- struct{}{}
	}
	return out
}

func (n *Node) host(ctx context.Context, r member.Record) api.Host {
	h := api.Host{
		Address: r.Address, Region: r.Region, DataCentre: r.DataCentre, State: r.State.String(),
		Incarnation: r.Incarnation, Service: r.Service, Version: r.Version,
		Upstream: string(r.Upstream), Slots: r.Slots,
	}
	ctx, cancel := context.WithTimeout(ctx, hostTimeout)
	defer cancel()
	var status api.StatusResponse
	if err := n.rpc.Call(ctx, r.Address, statusMethod, struct{}{}, &status); err != nil {
		h.Error = err.Error()
		return h
	}
	h.Number = status.Number
	return h
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
