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
	publishEvery = 250 * time.Millisecond
	// recent is the span of the runs that are judged apart from all runs, so
	// that good runs of the past do not hide a fault that comes late.
	recent = 3 * time.Second
	// recordLag is how much later each next node by rank writes an end to the
	// store, so that as a rule one does.
	recordLag = 800 * time.Millisecond
	// lastRank bounds that delay.
	lastRank = 4
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

	mu    sync.Mutex
	moves map[string]*move
	// base are the versions that a service's requests go to outside a move.
	base map[string]map[string]bool
}

// move is one move as this node knows it.
type move struct {
	order ramp.Order
	since time.Time
	phase ramp.Phase
	// recorded tells that the store holds the phase; running is not kept.
	recorded bool
	// decided is when this node learned of the phase, tryAt when it may next
	// write it.
	decided, tryAt time.Time
	began          bool

	tallies map[tallyKey]tally
	own     map[string]map[string]ramp.Tally
	dirty   bool
	sentAt  time.Time
	seq     uint64
	// past are sums of the counts, the oldest first.
	past []sums
}

type sums struct {
	at           time.Time
	older, newer map[string]ramp.Tally
}

// NewManager returns a manager without moves.
func NewManager(cfg Config) *Manager {
	return &Manager{cfg: cfg, wake: loop.NewWaker(), moves: map[string]*move{}, base: map[string]map[string]bool{}}
}

// AddOrder takes an order of the operator.
func (m *Manager) AddOrder(o ramp.Order, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.moves[o.Service]
	if mv := m.order(o, now); mv != before {
		m.publishState(mv, now)
	}
}

// order begins a move unless a later one is known; the caller holds mu.
func (m *Manager) order(o ramp.Order, now time.Time) *move {
	mv := m.moves[o.Service]
	if mv != nil && mv.order.Revision >= o.Revision {
		return mv
	}
	if mv != nil {
		m.adoptBase(mv)
	}
	mv = &move{order: o, since: now, tallies: map[tallyKey]tally{}, own: map[string]map[string]ramp.Tally{}}
	m.moves[o.Service] = mv
	slog.Info(logPrefix+"move ordered",
		logs.FieldService, o.Service, logs.FieldTarget, o.Target, logs.FieldWithin, o.Duration.Milliseconds(), logs.FieldOrder, o.Revision)
	m.wake.Wake()
	return mv
}

// adoptBase keeps what an ended move has made of the versions; the caller
// holds mu.
func (m *Manager) adoptBase(mv *move) {
	switch mv.phase {
	case ramp.Completed:
		m.base[mv.order.Service] = map[string]bool{mv.order.Target: true}
	case ramp.Withdrawn:
		delete(m.base[mv.order.Service], mv.order.Target)
	}
}

// ApplyStoredStatus takes the status that the store holds of a service's move.
func (m *Manager) ApplyStoredStatus(service, target string, p ramp.Phase, revision uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	mv := m.moves[service]
	if mv == nil || mv.order.Target != target || revision < mv.order.Revision {
		return
	}
	if p == ramp.Running {
		mv.began = true
		return
	}
	if mv.phase != p || !mv.recorded {
		mv.phase, mv.recorded = p, true
		logPhase(mv, "the store", time.Now())
		m.publishState(mv, time.Now())
	}
}

// VersionAllowed tells whether requests may go to a version.
func (m *Manager) VersionAllowed(service, version string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	mv := m.moves[service]
	return mv == nil || mv.phase != ramp.Withdrawn || mv.order.Target != version
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
	if mv := m.moves[service]; mv != nil {
		target = mv.order.Target
		share = mv.share(now)
	}
	if n := serving[target]; n > 0 && u < share {
		return target
	}
	if share < 1 {
		u = (u - share) / (1 - share)
	}
	old := m.others(service, target, serving)
	if v := draw(old, u); v != "" {
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
	out := make([]Rollout, 0, len(m.moves))
	for _, mv := range m.moves {
		out = append(out, Rollout{Order: mv.order, Since: mv.since, Phase: mv.phase, Share: mv.share(now)})
	}
	slices.SortFunc(out, func(a, b Rollout) int { return strings.Compare(a.Order.Service, b.Order.Service) })
	return out
}

func (mv *move) share(now time.Time) float64 {
	switch mv.phase {
	case ramp.Completed:
		return 1
	case ramp.Withdrawn:
		return 0
	default:
		return mv.order.Share(now.Sub(mv.since))
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
func (m *Manager) others(service, target string, serving map[string]int) map[string]int {
	base := m.base[service]
	if base == nil {
		base = map[string]bool{}
		m.base[service] = base
	}
	known, all := map[string]int{}, map[string]int{}
	for v, n := range serving {
		if v == target {
			continue
		}
		all[v] = n
		if base[v] {
			known[v] = n
		}
	}
	if len(known) > 0 {
		return known
	}
	for v := range all {
		base[v] = true
	}
	return all
}

// draw picks a version by its number of upstreams.
func draw(versions map[string]int, u float64) string {
	total := 0
	for _, n := range versions {
		total += n
	}
	left := u * float64(total)
	last := ""
	for v, n := range versions {
		if last = v; left < float64(n) {
			return v
		}
		left -= float64(n)
	}
	return last
}

// ObserveRun implements egress.RunObserver. Runs in a cold upstream tell nothing of
// its version's speed, only of its failures.
func (m *Manager) ObserveRun(i *egress.Instance, r *hop.Request, res hop.Result, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	mv := m.moves[r.Service]
	if mv == nil || mv.phase != ramp.Running {
		return
	}
	failed := res.Code != api.OK || res.Answer.Status >= 500
	if !failed && time.Now().Before(i.WarmupEnd) {
		return
	}
	routes := mv.own[i.Version]
	if routes == nil {
		routes = map[string]ramp.Tally{}
		mv.own[i.Version] = routes
	}
	t := routes[r.Route]
	t.Latencies[ramp.LatencyBucket(took)]++
	if failed {
		t.Failed++
	}
	routes[r.Route] = t
	mv.dirty = true
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
	var due []*move
	for _, mv := range m.moves {
		if mv.phase == ramp.Running {
			wait = activeTick
			m.publishTallies(mv, now)
			m.judge(mv, now)
		}
		if m.recordDue(mv, now) {
			due = append(due, mv)
		}
	}
	m.mu.Unlock()
	for _, mv := range due {
		m.record(ctx, mv, now)
	}
	return wait
}
