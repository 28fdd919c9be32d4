package rollouts

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/kvstore"
	"github.com/daisytide/daisytide/internal/version/rollout"
	"github.com/daisytide/daisytide/internal/version/snapshot"
)

// Store access.
const (
	// storeMinBackoff is the delay after the first failed store call. It doubles
	// with each further failure up to storeMaxBackoff; each delay is jittered.
	storeMinBackoff = time.Second
	storeMaxBackoff = 30 * time.Second
	// peerGracePeriod is how long to wait for peers to send a rollout's state
	// before its outcome is read from the store.
	peerGracePeriod = time.Second
	// recordStagger is the delay per analyzer rank before an outcome is written,
	// so that normally only one analyzer writes it.
	recordStagger = 3 * time.Second
)

// maxPendingOutcomes bounds the queue of outcomes of replaced rollouts that are
// not written yet.
const maxPendingOutcomes = 64

// Values of OutcomeRecord.Outcome.
const (
	OutcomeDone      = "done"
	OutcomeTakenBack = "taken-back"
	OutcomeReplaced  = "replaced"
)

// OutcomeRecord is the stored record of a finished rollout. It is written once
// under kvstore.PrefixRollouts.
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

// outcomeKey returns the store key of a rollout's outcome.
func outcomeKey(k rollout.Key) string {
	return kvstore.PrefixRollouts + k.Service + "/" + strconv.FormatUint(k.StartConfig, 10)
}

// outcomeRecordOf builds the outcome record of a finished rollout.
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

// syncOutcomes synchronises outcomes with the store for the rollouts that this node
// analyzes: it reads the outcome if this node did not see the rollout start, and
// writes an outcome that is not in the store.
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

// startRecord starts writing an outcome once this analyzer's staggered delay has
// passed. The caller holds mu.
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
			klog.V(1).Infof(logPrefix+"write the outcome of the rollout of %s: %v", e.Service, err)
			return
		}
		ro.recorded = done
	})
}

// backOffStore delays the rollout's next store call with exponential backoff and
// jitter.
func (ro *localRollout) backOffStore(now time.Time) {
	ro.backoff = min(max(2*ro.backoff, storeMinBackoff), storeMaxBackoff)
	ro.nextStoreCall = now.Add(ro.backoff/2 + rand.N(ro.backoff))
}

// recordOutcome writes an outcome unless the store already has one. If nodes
// disagree, a withdrawal replaces a completion. It returns false after a write
// conflict; the caller tries again.
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
	if kvstore.OutcomeOf(err) == kvstore.OutcomeConflict && err != nil {
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

// mustReplace reports whether e must replace the stored record.
func mustReplace(e OutcomeRecord, stored []byte) bool {
	var previous OutcomeRecord
	if err := json.Unmarshal(stored, &previous); err != nil {
		return true
	}
	return e.Outcome == OutcomeTakenBack && previous.Outcome == OutcomeDone
}

// startStoreCheck reads the stored outcome of a rollout whose start this node did
// not see. The first call only schedules the read after peerGracePeriod, because
// peers usually send the state sooner. The caller holds mu.
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
			klog.V(1).Infof(logPrefix+"read the outcome of the rollout of %s: %v", key.Service, err)
			return
		}
		m.applyStoreCheck(ro, key, entry)
	})
}

// applyStoreCheck applies the stored outcome of a rollout, if there is one.
func (m *Manager) applyStoreCheck(ro *localRollout, key rollout.Key, entry kvstore.Entry) {
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

// queueReplaced queues the outcome of a rollout that the new document no longer
// contains, for an analyzer to write. The caller holds mu.
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

// startPendingWrite starts writing the oldest queued outcome of a replaced rollout
// if a write is due. The caller holds mu.
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
