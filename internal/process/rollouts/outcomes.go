package rollouts

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/platform"
	"github.com/daisytide/daisytide/internal/version/rollout"
	"github.com/daisytide/daisytide/internal/version/snapshot"
)

// Times of the store.
const (
	// storeWait is the first wait after a call that failed; it doubles up to
	// storeMaxWait, each wait with full jitter.
	storeMinBackoff = time.Second
	storeMaxBackoff = 30 * time.Second
	// askAfter is how long peers have to tell of a move before the store is read.
	peerGracePeriod = time.Second
	// recordLag is how much later each further judge writes an end, so that as
	// a rule only one does.
	recordStagger = 3 * time.Second
)

// maxLateEnds bounds the ends of replaced moves that wait for the store.
const maxPendingOutcomes = 64

// The outcomes of a move in its record.
const (
	OutcomeDone      = "done"
	OutcomeTakenBack = "taken-back"
	OutcomeReplaced  = "replaced"
)

// OutcomeRecord is the record of an ended move in the store, written once under
// platform.PrefixMoves.
type OutcomeRecord struct {
	Service     string    `json:"service"`
	StartConfig uint64    `json:"since"`
	From        string    `json:"from"`
	To          string    `json:"to"`
	Outcome     string    `json:"outcome"`
	Reason      string    `json:"why"`
	Operator    string    `json:"by"`
	At          time.Time `json:"at"`
}

// endKey is where the end of a move stands in the store.
func outcomeKey(k rollout.Key) string {
	return platform.PrefixMoves + k.Service + "/" + strconv.FormatUint(k.StartConfig, 10)
}

// endOf makes the record of a state that ended.
func outcomeRecordOf(ro *localRollout) OutcomeRecord {
	s, r := ro.state, ro.plan.Rollout
	e := OutcomeRecord{Service: s.Service, StartConfig: s.StartConfig, From: r.From, To: r.To, Operator: systemOperator}
	decision := s.Done
	e.Outcome = OutcomeDone
	if s.Withdrawn != nil {
		decision, e.Outcome = s.Withdrawn, OutcomeTakenBack
	}
	e.Reason, e.At = decision.Reason, decision.Time().UTC()
	if decision.Operator != "" {
		e.Operator = decision.Operator
	}
	return e
}

// keepEnds lets the judges read what the store knows of moves that are news
// to this node, and write the ends that the store lacks.
func (m *Manager) syncOutcomes(ctx context.Context, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.startPendingWrite(ctx, now)
	for key, ro := range m.rollouts {
		if !ro.inForce || now.Before(ro.nextStoreCall) {
			continue
		}
		rank := m.ownRank(key)
		if rank >= analyzerCount {
			continue
		}
		switch {
		case ro.state.Ended() && !ro.recorded:
			m.startRecord(ctx, ro, rank, now)
		case !ro.state.Ended() && ro.state.Step.Number == 0 && !ro.sawStart && !ro.storeChecked:
			m.startStoreCheck(ctx, ro, now)
		}
	}
}

// startRecord writes an end when this judge's turn has come; the caller holds mu.
func (m *Manager) startRecord(ctx context.Context, ro *localRollout, rank int, now time.Time) {
	e := outcomeRecordOf(ro)
	if now.Before(e.At.Add(time.Duration(rank) * recordStagger)) {
		return
	}
	ro.backOffStore(now)
	m.background.Go(func() {
		done, err := m.recordOutcome(ctx, e)
		m.mu.Lock()
		defer m.mu.Unlock()
		if err != nil {
			klog.V(1).Infof(logPrefix+"record the end of %s: %v", e.Service, err)
			return
		}
		ro.recorded = done
	})
}

// delayStore keeps a move from the store for a while, longer each time.
func (ro *localRollout) backOffStore(now time.Time) {
	ro.backoff = min(max(2*ro.backoff, storeMinBackoff), storeMaxBackoff)
	ro.nextStoreCall = now.Add(ro.backoff/2 + rand.N(ro.backoff))
}

// recordEnd writes an end unless the store has one. Of a move that was done
// here and taken back there, the store keeps the withdrawal.
func (m *Manager) recordOutcome(ctx context.Context, e OutcomeRecord) (bool, error) {
	value, err := json.Marshal(e)
	if err != nil {
		return false, err
	}
	key := outcomeKey(rollout.Key{Service: e.Service, StartConfig: e.StartConfig})
	stored, err := m.cfg.Store.Get(ctx, key)
	if err != nil {
		return false, err
	}
	if stored.Revision != 0 && !mustReplace(e, stored.Value) {
		return true, nil
	}
	_, err = m.cfg.Store.CompareAndSwap(ctx, key, stored.Revision, value, "")
	if platform.OutcomeOf(err) == platform.OutcomeConflict && err != nil {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	m.cfg.Audit.Record(api.AuditEntry{
		At: e.At, Operator: e.Operator, Action: "rollout-end", From: e.StartConfig, To: e.StartConfig,
		Outcome: e.Outcome + ": " + e.Reason,
		Changes: []string{e.Service + ": " + e.From + " to " + e.To},
	})
	return true, nil
}

// overrules tells whether e must replace the record in the store.
func mustReplace(e OutcomeRecord, stored []byte) bool {
	var previous OutcomeRecord
	if err := json.Unmarshal(stored, &previous); err != nil {
		return true
	}
	return e.Outcome == OutcomeTakenBack && previous.Outcome == OutcomeDone
}

// startCheck reads the end of a move that this node did not see begin; the
// caller holds mu. The peers come first: they tell within askAfter.
func (m *Manager) startStoreCheck(ctx context.Context, ro *localRollout, now time.Time) {
	if ro.backoff == 0 {
		ro.backoff = storeMinBackoff / 2
		ro.nextStoreCall = now.Add(peerGracePeriod)
		return
	}
	key := ro.state.Key()
	ro.backOffStore(now)
	m.background.Go(func() {
		entry, err := m.cfg.Store.Get(ctx, outcomeKey(key))
		if err != nil {
			klog.V(1).Infof(logPrefix+"read the end of %s: %v", key.Service, err)
			return
		}
		m.applyStoreCheck(ro, key, entry)
	})
}

// checked takes what the store knows of a move's end.
func (m *Manager) applyStoreCheck(ro *localRollout, key rollout.Key, entry platform.Entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	ro.storeChecked = true
	if entry.Revision == 0 {
		return
	}
	var e OutcomeRecord
	if err := json.Unmarshal(entry.Value, &e); err != nil {
		klog.Errorf(logPrefix+"the end of %s in the store: %v", key.Service, err)
		return
	}
	ro.recorded = true
	decision := &rollout.Decision{AtMillis: e.At.UnixMilli(), Reason: e.Reason, Operator: e.Operator}
	s := ro.state
	if e.Outcome == OutcomeDone {
		s.Done = decision
	} else {
		s.Withdrawn = decision
	}
	m.setAndPublish(ro, rollout.Merge(ro.state, s))
}

// replaced keeps the end of a move that the new document no longer holds, to
// be written by a judge; the caller holds mu.
func (m *Manager) queueReplaced(ro *localRollout, s *snapshot.Snapshot) {
	if !ro.inForce || ro.recorded || m.ownRank(ro.state.Key()) >= analyzerCount {
		return
	}
	if len(m.pendingOutcomes) == maxPendingOutcomes {
		m.pendingOutcomes = m.pendingOutcomes[1:]
	}
	if ro.state.Ended() {
		m.pendingOutcomes = append(m.pendingOutcomes, outcomeRecordOf(ro))
		return
	}
	r := ro.plan.Rollout
	m.pendingOutcomes = append(m.pendingOutcomes, OutcomeRecord{
		Service: r.Service, StartConfig: ro.state.StartConfig, From: r.From, To: r.To, Outcome: OutcomeReplaced,
		Reason: "replaced by " + s.Accepted.Describe(), Operator: s.Accepted.Operator, At: s.Accepted.At,
	})
}

// startLate writes the oldest end of a replaced move; the caller holds mu.
func (m *Manager) startPendingWrite(ctx context.Context, now time.Time) {
	if len(m.pendingOutcomes) == 0 || now.Before(m.nextPendingWrite) {
		return
	}
	m.nextPendingWrite = now.Add(storeMaxBackoff)
	e := m.pendingOutcomes[0]
	m.background.Go(func() {
		done, err := m.recordOutcome(ctx, e)
		m.mu.Lock()
		defer m.mu.Unlock()
		if err != nil || !done {
			m.nextPendingWrite = now.Add(storeMinBackoff + rand.N(storeMaxBackoff))
			return
		}
		if len(m.pendingOutcomes) > 0 && m.pendingOutcomes[0] == e {
			m.pendingOutcomes = m.pendingOutcomes[1:]
		}
		m.nextPendingWrite = time.Time{}
	})
}
