package operated

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/h1"
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
		FirstStart: n.cfg.Operated.FirstStart, Peers: n.knownPeers, OnConfirmable: n.confirmUpstream, OnRecalled: n.departuresRecalled,
	}
	n.departures.Start()
	n.gossip.RegisterTopic(set)
	n.confirmer = &localupstream.Confirmer{Tracker: n.localUpstream, Ask: n.askHealth}
	n.confirmations, n.endConfirmation = context.WithCancel(context.Background())
	n.localUpstream.DoubtReady(n.startedAt.Add(-startSlack))
}

// startSlack is how long before this process an instance may have been started whose
// departure no earlier process can have acknowledged. After a loss of power a host's
// node and upstream start together; an instance runs for longer than this before it
// leaves.
const startSlack = time.Second

// upstreamDoubted returns 1 while a ready report of the upstream is doubted, else 0.
func (n *Node) upstreamDoubted() float64 {
	if _, doubted := n.localUpstream.Doubted(time.Time{}); doubted {
		return 1
	}
	return 0
}

// confirmUpstream has the upstream confirm the reports that are received at the given time
// or later: a departure that no process remembers may be missing in the store.
func (n *Node) confirmUpstream(receivedFrom time.Time) {
	go n.confirmer.Run(n.confirmations, receivedFrom)
}

// departuresRecalled ends the doubt whether the upstream has left: no departure is
// missing, or a report that was sent before this process started can't arrive any more.
func (n *Node) departuresRecalled(complete bool) {
	n.endConfirmation()
	if complete {
		n.localUpstream.Trust()
	} else {
		n.localUpstream.TrustLaterReports()
	}
}

// askHealth asks the upstream that a report describes on its health path whether it is
// there and stays.
func (n *Node) askHealth(ctx context.Context, r localupstream.Report) localupstream.Health {
	resp, noPath := n.getHealth(ctx, r.Service, r.Address)
	if resp == nil {
		return localupstream.Health{NoPath: noPath}
	}
	return localupstream.Health{Instance: n.adapter.HealthyInstance(resp)}
}

// getHealth makes a health request, and returns nil if there is no response. noPath is
// set if the configuration in force gives the service no health path. The connection is
// not kept, so that the response cannot be confused with one to a request.
func (n *Node) getHealth(ctx context.Context, service, address string) (resp *h1.Response, noPath bool) {
	snap := n.holder.Current()
	if snap == nil || snap.Traffic == nil {
		return nil, false
	}
	s := snap.Traffic.Service(service)
	if s == nil {
		return nil, false
	}
	if s.HealthPath == "" {
		return nil, true
	}
	client := h1.Client{DialTimeout: upstreamDialTimeout}
	resp, err := client.Do(ctx, address, &h1.ClientRequest{Method: http.MethodGet, Target: s.HealthPath, Host: address, Header: http.Header{}})
	if err != nil {
		klog.V(1).Infof(logPrefix+"health of %s: %v", address, err)
		return nil, false
	}
	return resp, false
}

// knownPeers returns the addresses of the other members in random order, or those found
// for bootstrapping if there are no members yet. Those of the own data centre and of
// others take turns, so that the loss of a data centre leaves some of the first few.
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
	return alternate(near, far)
}

// alternate returns the elements of two lists in turn, beginning with the first list,
// and the rest of the longer list at the end.
func alternate(a, b []string) []string {
	out := make([]string, 0, len(a)+len(b))
	for i := range max(len(a), len(b)) {
		if i < len(a) {
			out = append(out, a[i])
		}
		if i < len(b) {
			out = append(out, b[i])
		}
	}
	return out
}

// applyReport applies a report of the upstream here. The acknowledgement of a
// departure binds later processes of this node as well, so it is given only when the
// departure outlives this one.
func (n *Node) applyReport(ctx context.Context, r localupstream.Report) error {
	now := time.Now()
	if err := n.localUpstream.Apply(r, now); err != nil || r.State == api.UpstreamReady {
		n.confirmer.Wake()
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
