package operated

import (
	"context"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/process/departures"
	"github.com/daisytide/daisytide/internal/process/localupstream"
)

// wireDepartures builds what makes the departure of the upstream here outlive this
// process.
func (n *Node) wireDepartures() {
	set := departures.NewSet(time.Now)
	set.NotifyOwn(n.cfg.Peers.Listen, func(d departures.Departure) {
		n.localUpstream.RestoreDeparture(d.Instance, d.StartedMillis, time.UnixMilli(d.LeftMillis))
	})
	n.departures = &departures.Keeper{
		Self: n.cfg.Peers.Listen, Store: n.store, Set: set, Publisher: n.gossip, RPC: n.peerRPC,
		FirstStart: n.cfg.Operated.FirstStart, Peers: n.knownPeers, OnRecalled: n.localUpstream.Release,
	}
	n.departures.Start()
	n.gossip.RegisterTopic(set)
	n.localUpstream.HoldReady()
}

// knownPeers returns the addresses of the members, or those found for bootstrapping
// if there are no members yet.
func (n *Node) knownPeers() []string {
	var out []string
	for _, r := range n.members.Index().Members {
		if r.Address != n.cfg.Peers.Listen {
			out = append(out, r.Address)
		}
	}
	if len(out) == 0 {
		return n.registry.Peers()
	}
	return out
}

// applyReport applies a report of the upstream here. The acknowledgement of a
// departure binds later processes of this node as well, so it is given only when the
// departure outlives this one.
func (n *Node) applyReport(ctx context.Context, r localupstream.Report) error {
	now := time.Now()
	if err := n.localUpstream.Apply(r, now); err != nil || r.State == api.UpstreamReady {
		return err
	}
	current := n.localUpstream.Current()
	if current == nil || current.ID != r.ID {
		// An earlier instance has left; requests name the current one, so none
		// reaches it.
		return nil
	}
	if current.Ready() {
		return api.Errorf(api.OperatorBody, "%q was started at %d, the report of state %s is of a start at %d", r.ID, current.StartedMillis, r.State, r.StartedMillis)
	}
	return n.departures.Record(ctx, departures.New(n.cfg.Peers.Listen, current.ID, current.StartedMillis, now))
}
