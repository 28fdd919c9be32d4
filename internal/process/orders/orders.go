// Package orders carries out the rollouts that an operator orders through the
// store: it counts runs at this node's upstream, publishes the counts, chooses
// versions for requests and writes each rollout's status to the store.
package orders

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/kvstore"
	"github.com/daisytide/daisytide/internal/logs"
	"github.com/daisytide/daisytide/internal/process/loop"
	"github.com/daisytide/daisytide/internal/process/membership"
	"github.com/daisytide/daisytide/internal/request/egress"
	"github.com/daisytide/daisytide/internal/request/hop"
	"github.com/daisytide/daisytide/internal/version/ramp"
)

const logPrefix = "orders: "

// Timing of the control loop.
const (
	activeTick = 100 * time.Millisecond
	idleTick   = 500 * time.Millisecond
	// minCountsInterval and maxCountsInterval bound the time between two
	// publications of a node's counts, and maxCountsPerSecond is how many of them
	// the nodes of a data centre make per second. They are so short that a bad
	// version is found within two seconds of its first runs.
	minCountsInterval  = 250 * time.Millisecond
	maxCountsInterval  = time.Second
	maxCountsPerSecond = 40
	// sumsInterval is the minimum time between two publications of a data centre's
	// sums.
	sumsInterval = 300 * time.Millisecond
	// refreshInterval is the time after which unchanged counts are published again.
	refreshInterval = 3 * time.Second
	// collectorTimeout is how long the first collector of a data centre may be
	// silent before the second publishes the sums. It is shorter than
	// refreshInterval: then both refresh them.
	collectorTimeout = time.Second
	// recentWindow is the span of recent runs that are evaluated separately, so
	// that earlier good runs do not hide a fault that appears late.
	recentWindow = 3 * time.Second
	// recordStagger is the delay per rank before a node writes a phase to the
	// store, so that normally only one node writes it. It is also the minimum time
	// between two attempts of a node.
	recordStagger = 800 * time.Millisecond
	// The nodes from maxRank on follow lateStagger after one another, at most
	// maxLateStagger after the one with maxRank: they write only if the store is
	// out of reach of all before them.
	maxRank        = 4
	lateStagger    = 200 * time.Millisecond
	maxLateStagger = 4 * time.Second
	// maxRecordBackoff bounds the time between two attempts of a node, which
	// doubles from recordStagger with each one that fails.
	maxRecordBackoff = 6 * time.Second
	// recordTimeout bounds one writeStatus call with its read and write.
	recordTimeout = 2 * time.Second
)

// Publisher publishes an item of a topic; gossip.Manager implements it.
type Publisher interface {
	Publish(topic string, item []byte)
}

// StatusCodec encodes and decodes rollout statuses for the store.
type StatusCodec interface {
	// StatusKey returns the store key of a service's rollout status.
	StatusKey(service string) string
	// EncodeStatus encodes the status of an order's rollout.
	EncodeStatus(o ramp.Order, p ramp.Phase) ([]byte, error)
	// DecodeStatus decodes a status value.
	DecodeStatus(key string, value []byte) (target string, p ramp.Phase, err error)
}

// Config holds the dependencies of a Manager.
type Config struct {
	// Self is this node's address; Incarnation distinguishes its restarts.
	Self        string
	Incarnation uint64
	// DataCentre is this node's data centre.
	DataCentre  string
	Members     *membership.Table
	Store       kvstore.Store
	StatusCodec StatusCodec
	Publisher   Publisher
}

// Manager runs the rollouts of one node. It implements ingress.VersionChooser and
// egress.RunObserver.
type Manager struct {
	cfg  Config
	wake loop.Waker

	mu       sync.Mutex
	rollouts map[string]*rollout
	// baseline holds, by service, the versions that get requests outside a rollout.
	baseline map[string]map[string]bool
}

// rollout is this node's state of one rollout.
type rollout struct {
	order     ramp.Order
	startedAt time.Time
	phase     ramp.Phase
	// recorded is set once the store holds the final phase, and runningRecorded
	// once it holds the running phase.
	recorded bool
	// endedAt is when this node learned of the final phase; nextWrite is the
	// earliest time of its next attempt to write the phase to the store.
	endedAt, nextWrite time.Time
	// failedWrites is the number of consecutive attempts that failed.
	failedWrites    int
	runningRecorded bool

	// counts holds the latest published counts of every node in this data centre,
	// and sums those of the collectors of all data centres. ownCounts holds this
	// node's counts by version and route; dirty is set while it has unpublished
	// changes, and sumsDirty while counts has changes that are not in published
	// sums.
	counts          map[countsKey]nodeCounts
	sums            map[sumsKey]dataCentreSums
	ownDataCentre   string
	ownCounts       map[string]map[string]ramp.Tally
	dirty           bool
	publishedAt     time.Time
	sumsDirty       bool
	sumsPublishedAt time.Time
	sequence        uint64
	// history holds earlier sums of the counts, oldest first.
	history []countSample
}

// countSample holds the sums of all nodes' counts at a time: older for the old
// versions and newer for the target.
type countSample struct {
	at           time.Time
	older, newer map[string]ramp.Tally
}

// NewManager returns a manager without rollouts.
func NewManager(cfg Config) *Manager {
	return &Manager{cfg: cfg, wake: loop.NewWaker(), rollouts: map[string]*rollout{}, baseline: map[string]map[string]bool{}}
}

// AddOrder starts the rollout of an operator's order unless a newer one is known.
func (m *Manager) AddOrder(o ramp.Order, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.rollouts[o.Service]
	if ro := m.startRollout(o, now); ro != before {
		m.publishState(ro, now)
	}
}

// startRollout starts a rollout unless one with the same or a newer order revision
// exists. It returns the service's latest rollout. The caller holds mu.
func (m *Manager) startRollout(o ramp.Order, now time.Time) *rollout {
	ro := m.rollouts[o.Service]
	if ro != nil && ro.order.Revision >= o.Revision {
		return ro
	}
	if ro != nil {
		m.updateBaseline(ro)
	}
	ro = &rollout{
		order: o, startedAt: now, counts: map[countsKey]nodeCounts{}, sums: map[sumsKey]dataCentreSums{}, ownDataCentre: m.cfg.DataCentre,
		ownCounts: map[string]map[string]ramp.Tally{},
	}
	m.rollouts[o.Service] = ro
	slog.Info(logPrefix+"move ordered",
		logs.FieldService, o.Service, logs.FieldTarget, o.Target, logs.FieldDuration, o.Duration.Milliseconds(), logs.FieldOrder, o.Revision)
	m.wake.Wake()
	return ro
}

// updateBaseline applies the result of an ended rollout to the baseline versions.
// The caller holds mu.
func (m *Manager) updateBaseline(ro *rollout) {
	switch ro.phase {
	case ramp.Completed:
		m.baseline[ro.order.Service] = map[string]bool{ro.order.Target: true}
	case ramp.Withdrawn:
		delete(m.baseline[ro.order.Service], ro.order.Target)
	}
}

// ApplyStoredStatus applies the status that the store holds for a service's rollout.
func (m *Manager) ApplyStoredStatus(service, target string, p ramp.Phase, revision uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	ro := m.rollouts[service]
	if ro == nil || ro.order.Target != target || revision < ro.order.Revision {
		return
	}
	if p == ramp.Running {
		if !ro.runningRecorded {
			ro.runningRecorded = true
			m.publishState(ro, time.Now())
		}
		return
	}
	if ro.phase != p || !ro.recorded {
		ro.phase, ro.recorded = p, true
		logPhase(ro, "the store", time.Now())
		m.publishState(ro, time.Now())
	}
}

// StatusKnown reports whether this node knows what the store holds as the status of an
// order's rollout, or that a newer order has replaced it.
func (m *Manager) StatusKnown(o ramp.Order) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	ro := m.rollouts[o.Service]
	return ro != nil && (ro.order.Revision > o.Revision || ro.recorded || ro.runningRecorded)
}

// VersionAllowed reports whether requests may go to a version; a withdrawn version
// gets none.
func (m *Manager) VersionAllowed(service, version string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	ro := m.rollouts[service]
	return ro == nil || ro.phase != ramp.Withdrawn || ro.order.Target != version
}

// ChooseVersion implements ingress.VersionChooser.
func (m *Manager) ChooseVersion(x *membership.Index, service string, u float64) string {
	serving := servingVersions(x, service)
	if len(serving) == 0 {
		return ""
	}
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	target, share := "", 0.0
	if ro := m.rollouts[service]; ro != nil {
		target = ro.order.Target
		share = ro.share(now)
	}
	if n := serving[target]; n > 0 && u < share {
		return target
	}
	if share < 1 {
		u = (u - share) / (1 - share)
	}
	var kept map[string]bool
	if len(x.ExcludedServing) > 0 {
		kept = m.baselineToKeep(x, service, target)
	}
	old := m.baselineVersions(service, target, serving)
	if kept != nil {
		m.baseline[service] = kept
	}
	if v := pickWeighted(old, u); v != "" {
		return v
	}
	if share > 0 && serving[target] > 0 {
		return target
	}
	return ""
}

// Rollout describes a service's latest rollout.
type Rollout struct {
	Order ramp.Order
	Since time.Time
	Phase ramp.Phase
	// Share is the fraction of the service's requests sent to the target.
	Share float64
}

// Rollouts returns the latest rollout of each service, sorted by service.
func (m *Manager) Rollouts() []Rollout {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	out := make([]Rollout, 0, len(m.rollouts))
	for _, ro := range m.rollouts {
		out = append(out, Rollout{Order: ro.order, Since: ro.startedAt, Phase: ro.phase, Share: ro.share(now)})
	}
	slices.SortFunc(out, func(a, b Rollout) int { return strings.Compare(a.Order.Service, b.Order.Service) })
	return out
}

func (ro *rollout) share(now time.Time) float64 {
	switch ro.phase {
	case ramp.Completed:
		return 1
	case ramp.Withdrawn:
		return 0
	default:
		return ro.order.Share(now.Sub(ro.startedAt))
	}
}

func servingVersions(x *membership.Index, service string) map[string]int {
	out := map[string]int{}
	for k, records := range x.Serving {
		if k.Service == service && len(records) > 0 {
			out[k.Version] = len(records)
		}
	}
	return out
}

// baselineVersions returns the baseline versions that serve, without the target,
// with their numbers of upstreams. If there are none, all other serving versions
// become baseline versions and are returned. So a new version gets no requests
// before its order arrives, as long as a baseline version serves. The caller holds
// mu.
//
// The function is small enough to be inlined, so that its maps stay on the stack of
// each request.
func (m *Manager) baselineVersions(service, target string, serving map[string]int) map[string]int {
	baseline := m.baseline[service]
	if baseline == nil {
		baseline = map[string]bool{}
		m.baseline[service] = baseline
	}
	baselineServing, all := map[string]int{}, map[string]int{}
	for v, n := range serving {
		if v == target {
			continue
		}
		all[v] = n
		if baseline[v] {
			baselineServing[v] = n
		}
	}
	if len(baselineServing) > 0 {
		return baselineServing
	}
	for v := range all {
		baseline[v] = true
	}
	return all
}

// baselineToKeep returns a copy of the baseline versions of a service if one of them
// serves in an excluded data centre: it returns, so the baseline must not be extended
// meanwhile. If there are no baseline versions yet, the excluded ones become the first,
// and the result is nil. The caller holds mu.
func (m *Manager) baselineToKeep(x *membership.Index, service, target string) map[string]bool {
	baseline := m.baseline[service]
	excluded := x.ExcludedVersions(service)
	if slices.ContainsFunc(excluded, func(v string) bool { return baseline[v] }) {
		return maps.Clone(baseline)
	}
	if len(baseline) == 0 {
		first := map[string]bool{}
		for _, v := range excluded {
			if v != target {
				first[v] = true
			}
		}
		m.baseline[service] = first
	}
	return nil
}

// pickWeighted picks a version with probability proportional to its number of
// upstreams; u is uniform in [0, 1).
func pickWeighted(versions map[string]int, u float64) string {
	total := 0
	for _, n := range versions {
		total += n
	}
	remaining := u * float64(total)
	candidate := ""
	for v, n := range versions {
		if candidate = v; remaining < float64(n) {
			return v
		}
		remaining -= float64(n)
	}
	return candidate
}

// ObserveRun implements egress.RunObserver. For an upstream that is still warming
// up it counts only failures, since its run times do not represent the version.
func (m *Manager) ObserveRun(i *egress.Instance, r *hop.Request, res hop.Result, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	ro := m.rollouts[r.Service]
	if ro == nil || ro.phase != ramp.Running {
		return
	}
	failed := res.Code != api.OK || res.Response.Status >= 500
	if !failed && time.Now().Before(i.WarmupEnd) {
		return
	}
	routes := ro.ownCounts[i.Version]
	if routes == nil {
		routes = map[string]ramp.Tally{}
		ro.ownCounts[i.Version] = routes
	}
	t := routes[r.Route]
	t.Latencies[ramp.LatencyBucket(took)]++
	if failed {
		t.Failed++
	}
	routes[r.Route] = t
	ro.dirty = true
}

// Run publishes counts, evaluates rollouts and writes statuses until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	m.wake.Run(ctx, m.tick)
	return nil
}

// tick does the work that is due at now and returns the delay until the next tick.
func (m *Manager) tick(ctx context.Context, now time.Time) time.Duration {
	m.mu.Lock()
	wait := idleTick
	var due []*rollout
	for _, ro := range m.rollouts {
		if ro.phase == ramp.Running {
			wait = activeTick
			m.publishCounts(ro, now)
			m.publishSums(ro, now)
			m.evaluate(ro, now)
		}
		if m.writeDue(ro, now) {
			due = append(due, ro)
		}
	}
	m.mu.Unlock()
	for _, ro := range due {
		m.writeStatus(ctx, ro, now)
	}
	return wait
}
