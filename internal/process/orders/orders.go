// Package orders carries out the operator's orders to move a service to
// another version: it counts runs at this node's upstream, spreads the counts,
// chooses versions for requests, and records how each move ended.
package orders

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/platform"
	"github.com/daisytide/daisytide/internal/logs"
	"github.com/daisytide/daisytide/internal/process/loop"
	"github.com/daisytide/daisytide/internal/process/membership"
	"github.com/daisytide/daisytide/internal/request/egress"
	"github.com/daisytide/daisytide/internal/request/hop"
	"github.com/daisytide/daisytide/internal/version/ramp"
)

const logPrefix = "orders: "

// Periods of the loop.
const (
	activeTick = 100 * time.Millisecond
	idleTick   = 500 * time.Millisecond
	// publishEvery bounds how often a node spreads its counts: a bad version
	// is found within a second of its first runs.
	publishInterval = 250 * time.Millisecond
	// recent is the span of the runs that are judged apart from all runs, so
	// that good runs of the past do not hide a fault that comes late.
	recentWindow = 3 * time.Second
	// recordLag is how much later each next node by rank writes an end to the
	// store, so that as a rule one does.
	recordStagger = 800 * time.Millisecond
	// lastRank bounds that delay.
	maxRank = 4
	// recordTimeout bounds one exchange with the store.
	recordTimeout = 2 * time.Second
)

// Publisher spreads a fact; gossip.Manager implements it.
type Publisher interface {
	Publish(topic string, item []byte)
}

// StatusCodec translates the ends of moves for the store.
type StatusCodec interface {
	// StatusKey is where the status of a service's move stands.
	StatusKey(service string) string
	// EncodeStatus writes the status of an order's move.
	EncodeStatus(o ramp.Order, p ramp.Phase) ([]byte, error)
	// DecodeStatus reads it.
	DecodeStatus(key string, value []byte) (target string, p ramp.Phase, err error)
}

// Config is what a Manager works with.
type Config struct {
	// Self is this node's address, Incarnation tells its starts apart.
	Self        string
	Incarnation uint64
	Members     *membership.Table
	Store       platform.Store
	StatusCodec StatusCodec
	Publisher   Publisher
}

// Manager runs the moves of one node. It implements ingress.VersionChooser and
// egress.RunObserver.
type Manager struct {
	cfg  Config
	wake loop.Waker

	mu       sync.Mutex
	rollouts map[string]*rollout
	// base are the versions that a service's requests go to outside a move.
	baseline map[string]map[string]bool
}

// move is one move as this node knows it.
type rollout struct {
	order     ramp.Order
	startedAt time.Time
	phase     ramp.Phase
	// recorded tells that the store holds the phase; running is not kept.
	recorded bool
	// decided is when this node learned of the phase, tryAt when it may next
	// write it.
	endedAt, nextWrite time.Time
	runningRecorded    bool

	counts      map[countsKey]nodeCounts
	ownCounts   map[string]map[string]ramp.Tally
	dirty       bool
	publishedAt time.Time
	sequence    uint64
	// past are sums of the counts, the oldest first.
	history []countSample
}

type countSample struct {
	at           time.Time
	older, newer map[string]ramp.Tally
}

// NewManager returns a manager without moves.
func NewManager(cfg Config) *Manager {
	return &Manager{cfg: cfg, wake: loop.NewWaker(), rollouts: map[string]*rollout{}, baseline: map[string]map[string]bool{}}
}

// AddOrder takes an order of the operator.
func (m *Manager) AddOrder(o ramp.Order, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.rollouts[o.Service]
	if ro := m.startRollout(o, now); ro != before {
		m.publishState(ro, now)
	}
}

// order begins a move unless a later one is known; the caller holds mu.
func (m *Manager) startRollout(o ramp.Order, now time.Time) *rollout {
	ro := m.rollouts[o.Service]
	if ro != nil && ro.order.Revision >= o.Revision {
		return ro
	}
	if ro != nil {
		m.updateBaseline(ro)
	}
	ro = &rollout{order: o, startedAt: now, counts: map[countsKey]nodeCounts{}, ownCounts: map[string]map[string]ramp.Tally{}}
	m.rollouts[o.Service] = ro
	slog.Info(logPrefix+"move ordered",
		logs.FieldService, o.Service, logs.FieldTarget, o.Target, logs.FieldWithin, o.Duration.Milliseconds(), logs.FieldOrder, o.Revision)
	m.wake.Wake()
	return ro
}

// adoptBase keeps what an ended move has made of the versions; the caller
// holds mu.
func (m *Manager) updateBaseline(ro *rollout) {
	switch ro.phase {
	case ramp.Completed:
		m.baseline[ro.order.Service] = map[string]bool{ro.order.Target: true}
	case ramp.Withdrawn:
		delete(m.baseline[ro.order.Service], ro.order.Target)
	}
}

// ApplyStoredStatus takes the status that the store holds of a service's move.
func (m *Manager) ApplyStoredStatus(service, target string, p ramp.Phase, revision uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	ro := m.rollouts[service]
	if ro == nil || ro.order.Target != target || revision < ro.order.Revision {
		return
	}
	if p == ramp.Running {
		ro.runningRecorded = true
		return
	}
	if ro.phase != p || !ro.recorded {
		ro.phase, ro.recorded = p, true
		logPhase(ro, "the store", time.Now())
		m.publishState(ro, time.Now())
	}
}

// VersionAllowed tells whether requests may go to a version.
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
	old := m.baselineVersions(service, target, serving)
	if v := pickWeighted(old, u); v != "" {
		return v
	}
	if share > 0 && serving[target] > 0 {
		return target
	}
	return ""
}

// Rollout tells of one move.
type Rollout struct {
	Order ramp.Order
	Since time.Time
	Phase ramp.Phase
	// Share is the part of the requests that goes to the target.
	Share float64
}

// Rollouts lists the latest move of each service, in their order.
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

// others returns the versions that serve outside the move. A version that
// appears without an order gets nothing while one that was there before
// serves: its order is on its way. The caller holds mu.
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

// draw picks a version by its number of upstreams.
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

// ObserveRun implements egress.RunObserver. Runs in a cold upstream tell nothing of
// its version's speed, only of its failures.
func (m *Manager) ObserveRun(i *egress.Instance, r *hop.Request, res hop.Result, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	ro := m.rollouts[r.Service]
	if ro == nil || ro.phase != ramp.Running {
		return
	}
	failed := res.Code != api.OK || res.Answer.Status >= 500
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

// Run publishes, judges and records until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	m.wake.Run(ctx, m.tick)
	return nil
}

// tick does what is due and returns the wait until the next.
func (m *Manager) tick(ctx context.Context, now time.Time) time.Duration {
	m.mu.Lock()
	wait := idleTick
	var due []*rollout
	for _, ro := range m.rollouts {
		if ro.phase == ramp.Running {
			wait = activeTick
			m.publishCounts(ro, now)
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
