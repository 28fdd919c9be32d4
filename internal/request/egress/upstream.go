package egress

import (
	"time"

	"github.com/daisytide/daisytide/api"
)

// Instance is one start of the upstream beside the node, as it is believed to be.
type Instance struct {
	// ID names the instance; a start may have the id of an earlier one.
	ID string
	// StartedMillis is the Unix time of the start in milliseconds; 0 where it was not told.
	StartedMillis int64
	// Sequence counts the instance's reports since its start.
	Sequence uint64
	Service  string
	Version  string
	Address  string
	Slots    int
	State    api.UpstreamState
	// WarmupEnd is when the instance should be warm.
	WarmupEnd time.Time
	// ReportedAt is when its latest report came.
	ReportedAt time.Time
}

// Ready tells whether the instance takes requests.
func (i *Instance) Ready() bool { return i != nil && i.State == api.UpstreamReady }

// Upstream keeps what the upstream beside the node says of itself.
type Upstream interface {
	// Current returns the instance; nil before the first report.
	Current() *Instance
	// MarkUnreachable notes that nothing listens at the instance's address, and
	// MarkReplaced that another one answers there; both hold until its next report.
	MarkUnreachable(id string)
	MarkReplaced(id string)
}
