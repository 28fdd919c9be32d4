// Package rollouts runs the moves between versions on one node: it counts the
// calls at the gate, judges where the node is a judge, spreads what was
// decided, chooses versions for entries and records the ends.
package rollouts

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/daisytide/daisytide/internal/conn/platform"
	"github.com/daisytide/daisytide/internal/conn/rpc"
	"github.com/daisytide/daisytide/internal/process/audit"
	"github.com/daisytide/daisytide/internal/process/gossip"
	"github.com/daisytide/daisytide/internal/process/loop"
	"github.com/daisytide/daisytide/internal/process/membership"
	"github.com/daisytide/daisytide/internal/version/canary"
	"github.com/daisytide/daisytide/internal/version/rollout"
	"github.com/daisytide/daisytide/internal/version/snapshot"
)

const logPrefix = "rollouts: "

// Periods of the loop.
const (
	// activeTick is the period while a move of any service runs.
	activeTick = 100 * time.Millisecond
	// idleTick is the period otherwise.
	idleTick = time.Second
	// baselineLead is how long before a move's start gates begin to report,
	// so that the old version's record is known.
	baselineLead = time.Minute
)

// judgeCount is how many nodes of a service judge its move.
const analyzerCount = 2

// Config is what a Manager works with.
type Config struct {
	Self      func() membership.Record
	Members   *membership.Table
	Holder    *snapshot.Holder
	Peers     rpc.Caller
	Store     platform.Store
	Audit     audit.Recorder
	Publisher gossip.Publisher
}

// Manager runs the moves of one node. It implements entry.VersionChooser and
// gossip.Topic.
type Manager struct {
	cfg  Config
	wake loop.Waker

	// view is what calls read without a lock.
	view atomic.Pointer[routingView]
	// local counts the calls of the upstream beside this node.
	localCounter atomic.Pointer[callCounter]

	mu       sync.Mutex
	rollouts map[rollout.Key]*localRollout
	// seen is the highest configuration number that this node has had in force.
	highestConfig uint64
	// lateEnds are ends of replaced moves that the store lacks, the oldest
	// first, and nextLate is when to write the next.
	pendingOutcomes  []OutcomeRecord
	nextPendingWrite time.Time

	// readySince is when the local upstream became ready with readyVersion;
	// only Run uses them.
	readySince   time.Time
	readyVersion string

	// sending holds the peers that a report is on its way to.
	sending sync.Map
	// failed holds when a peer last failed to take a report.
	failedAt sync.Map
	// avoid holds the moves whose new version a gate refused of late.
	avoidUntil sync.Map

	background sync.WaitGroup
}

// move is one move as this node knows it.
type localRollout struct {
	state rollout.State
	// plan is set while the move stands in the configuration in force.
	plan    rollout.Plan
	inForce bool
	// witnessed tells that this node had an older configuration in force when
	// the move came, so nothing can have happened to it before.
	sawStart bool
	// checked tells that the store was read for the move's end.
	storeChecked bool
	// recorded tells that the end is in the store.
	recorded bool
	// nextStore is when the store may be asked again, and backoff the wait
	// after that.
	nextStoreCall time.Time
	backoff       time.Duration
	analyzer      *canary.Analyzer
	// heard is when each gate last reported to the judge here.
	lastReport map[string]time.Time
	// verdict is the judge's latest, for operators.
	verdict canary.Verdict
	item    []byte
}

// NewManager returns a manager without moves.
func NewManager(cfg Config) *Manager {
	m := &Manager{cfg: cfg, wake: loop.NewWaker(), rollouts: map[rollout.Key]*localRollout{}}
	m.view.Store(&routingView{})
	return m
}

// Run counts, reports and judges until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	defer m.background.Wait()
	m.wake.Run(ctx, m.tick)
	return nil
}

// tick does what is due at now and returns the wait until the next.
func (m *Manager) tick(ctx context.Context, now time.Time) time.Duration {
	m.updateCounter(now)
	m.sendReports(ctx, now)
	m.analyze(now)
	m.syncOutcomes(ctx, now)
	if m.active(now) {
		return activeTick
	}
	return idleTick
}

// active tells whether any move of the configuration in force runs.
func (m *Manager) active(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, ro := range m.rollouts {
		if ro.running(now) {
			return true
		}
	}
	return false
}

// running tells whether the move needs counts and verdicts at now.
func (ro *localRollout) running(now time.Time) bool {
	return ro.inForce && !ro.state.Ended() && !now.Before(ro.plan.Rollout.Start.Add(-baselineLead))
}

// ConfigChanged takes the moves of a snapshot that came into force. States of
// moves that it does not hold are dropped, but for those of configurations
// still to come here: facts may overtake the document.
func (m *Manager) ConfigChanged(s *snapshot.Snapshot) {
	m.mu.Lock()
	defer m.mu.Unlock()
	present := map[rollout.Key]bool{}
	for _, r := range s.Document.Rollouts {
		active, _ := s.ActiveRollout(r.Service)
		key := rollout.Key{Service: r.Service, StartConfig: active.StartConfig}
		present[key] = true
		ro := m.getOrCreate(key)
		if !ro.inForce {
			ro.inForce = true
			ro.plan = rollout.NewPlan(r)
			ro.sawStart = m.highestConfig > 0 && m.highestConfig < active.StartConfig
		}
	}
	m.highestConfig = s.Number()
	for key, ro := range m.rollouts {
		if present[key] || key.StartConfig > s.Number() {
			continue
		}
		m.queueReplaced(ro, s)
		delete(m.rollouts, key)
	}
	m.rebuildView()
	m.wake.Wake()
}

// moveOf returns the move of a key, made if need be; the caller holds mu.
func (m *Manager) getOrCreate(key rollout.Key) *localRollout {
	ro := m.rollouts[key]
	if ro == nil {
		ro = &localRollout{state: rollout.State{Service: key.Service, StartConfig: key.StartConfig}}
		m.rollouts[key] = ro
	}
	return ro
}

// set puts a changed state in force here; the caller holds mu.
func (m *Manager) setState(ro *localRollout, s rollout.State) {
	ro.state = s
	ro.item = encodeState(s)
	m.rebuildView()
}

// change sets a state that this node decided and spreads it; the caller holds
// mu, so the publisher, which may ask for the topic's sum, is called apart.
func (m *Manager) setAndPublish(ro *localRollout, s rollout.State) {
	m.setState(ro, s)
	go m.cfg.Publisher.Publish(TopicName, ro.item)
}

// RolloutEnded tells whether the move of a service under the configuration in force
// has ended.
func (m *Manager) RolloutEnded(service string) bool {
	state, ok := m.stateOf(service)
	return !ok || state.Ended()
}

// RolloutDone tells whether the move of a service under the configuration in force
// is done. It is not when it was taken back, also after it was done.
func (m *Manager) RolloutDone(service string) bool {
	state, ok := m.stateOf(service)
	return ok && state.Done != nil && state.Withdrawn == nil
}

// stateOf returns what is known of a service's move under the configuration
// in force; ok is false where that has none.
func (m *Manager) stateOf(service string) (state rollout.State, ok bool) {
	s := m.cfg.Holder.Current()
	if s == nil {
		return rollout.State{}, false
	}
	active, ok := s.ActiveRollout(service)
	if !ok {
		return rollout.State{}, false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	ro := m.rollouts[rollout.Key{Service: service, StartConfig: active.StartConfig}]
	if ro == nil {
		return rollout.State{}, true
	}
	return ro.state, true
}
