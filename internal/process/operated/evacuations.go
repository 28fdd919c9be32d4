package operated

import (
	"log/slog"

	"github.com/daisytide/daisytide/internal/logs"
	"github.com/daisytide/daisytide/internal/process/evacuation"
)

// wireEvacuations builds what keeps requests away from the upstreams of evacuated data
// centres.
func (n *Node) wireEvacuations() {
	n.evacuations.OnChange = n.evacuationChanged
	n.evacuations.Publish = func(item []byte) { n.gossip.Publish(evacuation.TopicName, item) }
	n.evacuationStart = &evacuation.Starter{
		DataCentre: n.cfg.Node.DataCentre, Key: n.adapter.OperatorKeys().Evacuations + n.cfg.Node.DataCentre,
		Store: n.store, Set: n.evacuations, RPC: n.peerRPC, Peers: n.knownPeers,
		FirstStart: n.cfg.Operated.FirstStart, OnKnown: n.localUpstream.Release,
	}
	n.localUpstream.HoldReady()
}

// isEvacuated reports whether the data centre of this node is evacuated.
func (n *Node) isEvacuated() bool { return n.evacuations.View().Contains(n.cfg.Node.DataCentre) }

// evacuationChanged puts an order that begins or ends into force: the entry leaves the
// upstreams of evacuated data centres out, and the gate here refuses what waits.
func (n *Node) evacuationChanged(o evacuation.Order, v *evacuation.View, source evacuation.Source) {
	message := "evacuation ends"
	if o.InForce {
		message = "evacuation begins"
	}
	slog.Info(logPrefix+message, logs.FieldDataCentre, o.DataCentre, logs.FieldOrder, o.Revision, logs.FieldFrom, string(source))
	n.members.Exclude(v.Set())
	if o.InForce && o.DataCentre == n.cfg.Node.DataCentre {
		n.gate.RefuseEvacuated()
	}
}
