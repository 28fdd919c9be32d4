package operated

import (
	"context"
	"math/rand/v2"
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
		FirstStart: n.cfg.Operated.FirstStart, Peers: n.knownPeers, OnRecalled: n.releaseUpstream,
	}
	n.departures.Start()
	n.gossip.RegisterTopic(set)
	n.localUpstream.HoldReady()
}

// knownPeers returns the addresses of the other members in random order, those of the
// own data centre first, or those found for bootstrapping if there are no members yet.
func (n *Node) knownPeers() []string {
	var near, far []string
	for _, r := range n.members.Index().Members {
		switch {
		case r.Address == n.cfg.Peers.Listen:
		case r.DataCentre == n.cfg.Node.DataCentre:
			near = append(near, r.Address)
		default:
			far = append(far, r.Address)
		}
	}
	if len(near)+len(far) == 0 {
		near = n.registry.Peers()
	}
	for _, peers := range [][]string{near, far} {
		rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	}
	return append(near, far...)
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
	if current.State != api.UpstreamDraining && current.State != api.UpstreamDown {
		// The report is of an earlier start. What does not apply is not acknowledged.
		return api.Errorf(api.OperatorBody, "%q was started at %d, the report of state %s is of a start at %d", r.ID, current.StartedMillis, r.State, r.StartedMillis)
	}
	return n.departures.Record(ctx, departures.New(n.cfg.Peers.Listen, current.ID, current.StartedMillis, now))
}
