// Package rollouts runs the rollouts of new versions on one node: it counts calls
// at the gate, analyzes the counts of all gates if the node is one of a rollout's
// analyzers, publishes rollout states, chooses versions for entries and records
// outcomes in the store.
package rollouts

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/daisytide/daisytide/internal/conn/kvstore"
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

// Periods of the control loop.
const (
	// activeTick is the period while a rollout of any service is running.
	activeTick = 100 * time.Millisecond
	// idleTick is the period otherwise.
	idleTick = time.Second
	// baselineLead is how long before a rollout's start the gates begin to
	// report, so that a baseline of the old version exists.
	baselineLead = time.Minute
)

// analyzerCount is the number of a service's nodes that analyze its rollout.
const analyzerCount = 2

// Config holds the dependencies of a Manager.
type Config struct {
	Self      func() membership.Record
	Members   *membership.Table
	Holder    *snapshot.Holder
	Peers     rpc.Invoker
	Store     kvstore.Store
	Audit     audit.Recorder
	Publisher gossip.Publisher
}

// Manager runs the rollouts of one node. It implements entry.VersionChooser and
// gossip.Topic.
type Manager struct {
	cfg  Config
	wake loop.Waker

	// view is the routing data that calls read without locking.
	view atomic.Pointer[routingView]
	// localCounter counts the calls of the upstream beside this node; nil while
	// there is nothing to count.
	localCounter atomic.Pointer[callCounter]

	mu       sync.Mutex
	rollouts map[rollout.Key]*localRollout
	// highestConfig is the highest configuration number that was in force here.
	highestConfig uint64
	// pendingOutcomes are outcomes of replaced rollouts that are not in the store,
	// oldest first; nextPendingWrite is when to write the next one.
	pendingOutcomes  []OutcomeRecord
	nextPendingWrite time.Time

	// readySince is when the local upstream became ready with readyVersion. Only
	// Run's goroutine uses them.
	readySince   time.Time
	readyVersion string

	// sending holds the peers with a report in flight.
	sending sync.Map
	// failedAt holds the time of the last failed report by peer.
	failedAt sync.Map
	// avoidUntil holds, by rollout, until when to avoid the new version after a
	// gate refused it.
	avoidUntil sync.Map

	background sync.WaitGroup
}

// localRollout is this node's state of one rollout.
type localRollout struct {
	state rollout.State
	// plan is set while the rollout belongs to the configuration in force.
	plan    rollout.Plan
	inForce bool
	// sawStart is set if this node had an older configuration in force when the
	// rollout arrived, so the rollout cannot have any earlier state.
	sawStart bool
	// storeChecked is set once the store was read for the rollout's outcome.
	storeChecked bool
	// recorded is set once the store holds the outcome.
	recorded bool
	// nextStoreCall is the earliest time of the next store call, and backoff the
	// delay before the call after it.
	nextStoreCall time.Time
	backoff       time.Duration
	analyzer      *canary.Analyzer
	// lastReport is the time of each gate's last report to the local analyzer.
	lastReport map[string]time.Time
	// verdict is the analyzer's latest verdict.
	verdict canary.Verdict
	// item is the encoded state; nil until the state first changes.
	item []byte
}

// NewManager returns a manager without rollouts.
func NewManager(cfg Config) *Manager {
	m := &Manager{cfg: cfg, wake: loop.NewWaker(), rollouts: map[rollout.Key]*localRollout{}}
	m.view.Store(&routingView{})
	return m
}

// Run counts, reports and analyzes until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	defer m.background.Wait()
	m.wake.Run(ctx, m.tick)
	return nil
}

// tick does the work that is due at now and returns the delay until the next tick.
func (m *Manager) tick(ctx context.Context, now time.Time) time.Duration {
	m.updateCounter(now)
	m.sendReports(ctx, now)
	m.analyze(now)
	m.syncOutcomes(ctx, now)
	if m.anyRunning(now) {
		return activeTick
	}
	return idleTick
}

// anyRunning reports whether any rollout of the configuration in force is
// running.
func (m *Manager) anyRunning(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, ro := range m.rollouts {
		if ro.running(now) {
			return true
		}
	}
	return false
}

// running reports whether the rollout needs counts and verdicts at now.
func (ro *localRollout) running(now time.Time) bool {
	return ro.inForce && !ro.state.Ended() && !now.Before(ro.plan.Rollout.Start.Add(-baselineLead))
}

// ConfigChanged applies the rollouts of a snapshot that came into force. It drops
// the states of rollouts that the snapshot does not contain, except those of later
// configurations, because a published state can arrive before its document.
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

// getOrCreate returns the rollout of a key and creates it if it does not exist.
// The caller holds mu.
func (m *Manager) getOrCreate(key rollout.Key) *localRollout {
	ro := m.rollouts[key]
	if ro == nil {
		ro = &localRollout{state: rollout.State{Service: key.Service, StartConfig: key.StartConfig}}
		m.rollouts[key] = ro
	}
	return ro
}

// setState stores a changed state and updates the routing view. The caller holds mu.
func (m *Manager) setState(ro *localRollout, s rollout.State) {
	ro.state = s
	ro.item = encodeState(s)
	m.rebuildView()
}

// setAndPublish stores a state that this node decided and publishes it. It publishes
// from its own goroutine because the caller holds mu and the publisher may call
// Checksum, which locks mu.
func (m *Manager) setAndPublish(ro *localRollout, s rollout.State) {
	m.setState(ro, s)
	go m.cfg.Publisher.Publish(TopicName, ro.item)
}

// RolloutEnded reports whether the service's rollout under the configuration in
// force has ended or does not exist.
func (m *Manager) RolloutEnded(service string) bool {
	state, ok := m.stateOf(service)
	return !ok || state.Ended()
}

// RolloutDone reports whether the service's rollout under the configuration in
// force is done. It returns false for one that was withdrawn, even after it was
// done.
func (m *Manager) RolloutDone(service string) bool {
	state, ok := m.stateOf(service)
	return ok && state.Done != nil && state.Withdrawn == nil
}

// stateOf returns the state of the service's rollout under the configuration in
// force; ok is false if there is none.
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
