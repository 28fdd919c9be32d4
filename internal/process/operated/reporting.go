package operated

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/daisytide/daisytide/internal/ctxtime"
	"github.com/daisytide/daisytide/internal/logs"
	"github.com/daisytide/daisytide/internal/process/provider"
)

// trafficLogInterval is the time between two log lines on the traffic with other data
// centres and the store.
const trafficLogInterval = 10 * time.Second

// logTraffic logs the bytes exchanged with other data centres by kind, and the calls to
// the store by operation, until ctx ends.
func (n *Node) logTraffic(ctx context.Context) {
	for ctx.Err() == nil {
		ctxtime.Sleep(ctx, trafficLogInterval)
		slog.Info(logPrefix+"traffic with other data centres and the store",
			logs.FieldBytes, n.requests.Traffic.Outside(n.cfg.Node.DataCentre), logs.FieldStoreCalls, fmt.Sprint(n.storeCalls()))
		n.provider.Progress.LogStatus(time.Now())
	}
}

// lateCheckInterval is the time between two checks for a configuration that is late.
const lateCheckInterval = 250 * time.Millisecond

// warnOfLateConfig logs while a configuration is late, until ctx ends.
func (n *Node) warnOfLateConfig(ctx context.Context) {
	for ctx.Err() == nil {
		ctxtime.Sleep(ctx, lateCheckInterval)
		n.provider.Progress.WarnIfLate(time.Now())
	}
}

// storeCalls returns the number of calls sent to the store by operation.
func (n *Node) storeCalls() map[string]uint64 {
	out := n.store.CallsByOperation()
	for op, calls := range n.providerStore.CallsByOperation() {
		out[op] += calls
	}
	return out
}

// totalStoreCalls returns the number of calls sent to the store.
func (n *Node) totalStoreCalls() uint64 { return n.store.Calls() + n.providerStore.Calls() }

// publishProgress adds the gauges of how configurations reach this node.
func (n *Node) publishProgress() {
	for name, g := range map[string]struct {
		help string
		read func(provider.ProgressStatus) float64
	}{
		"configuration_store":         {"Highest number of a configuration heard from the store.", func(s provider.ProgressStatus) float64 { return float64(s.Store) }},
		"configuration_peers":         {"Highest number of a configuration that peers reported.", func(s provider.ProgressStatus) float64 { return float64(s.Peers) }},
		"configuration_delay_seconds": {"Time from hearing of the last configuration to its being in force.", func(s provider.ProgressStatus) float64 { return s.Delay.Seconds() }},
		"configuration_refused":       {"Configurations of the store and of peers that were not usable, since the start.", func(s provider.ProgressStatus) float64 { return float64(s.RefusedByStore + s.RefusedByPeer) }},
		"store_silence_seconds":       {"Age of the store's last sound reply to a watch or list of the operator's keys; -1 if there was none.", func(s provider.ProgressStatus) float64 { return s.StoreAge.Seconds() }},
	} {
		n.requests.AddGauge(name, g.help, func() float64 { return g.read(n.provider.Progress.Status(time.Now())) })
	}
}
