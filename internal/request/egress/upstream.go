package egress

import (
	"time"

	"github.com/daisytide/daisytide/api"
)

// Instance is the last known state of one process of the upstream beside the
// node.
type Instance struct {
	// ID identifies the instance. A later start may reuse the ID of an earlier
	// one.
	ID string
	// StartedMillis is the start time in Unix milliseconds; 0 if not reported.
	StartedMillis int64
	// Sequence numbers the instance's reports since its start.
	Sequence uint64
	Service  string
	Version  string
	Address  string
	Slots    int
	State    api.UpstreamState
	// WarmupEnd is the expected end of the instance's warm-up.
	WarmupEnd time.Time
	// ReportedAt is when the latest report arrived.
	ReportedAt time.Time
}

// Ready reports whether the instance accepts requests. It is false for nil.
func (i *Instance) Ready() bool { return i != nil && i.State == api.UpstreamReady }

// Upstream holds the state that the upstream beside the node reports.
type Upstream interface {
	// Current returns the current instance; nil before the first report.
	Current() *Instance
	// MarkUnreachable records that nothing listens at the instance's address,
	// and MarkReplaced that another instance answers there. Both apply until
	// the next report.
	MarkUnreachable(id string)
	MarkReplaced(id string)
	// MarkCold records the end of the warm-up that the instance gave in a health
	// response. Of it and that of the latest report, the later one applies.
	MarkCold(id string, end time.Time)
}
