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
	storeWait    = time.Second
	storeMaxWait = 30 * time.Second
	// askAfter is how long peers have to tell of a move before the store is read.
	askAfter = time.Second
	// recordLag is how much later each further judge writes an end, so that as
	// a rule only one does.
	recordLag = 3 * time.Second
)

// maxLateEnds bounds the ends of replaced moves that wait for the store.
const maxLateEnds = 64

// The outcomes of a move in its record.
const (
	OutcomeDone      = "done"
	OutcomeTakenBack = "taken-back"
	OutcomeReplaced  = "replaced"
)

// OutcomeRecord is the record of an ended move in the store, written once under
// platform.PrefixMoves.
type OutcomeRecord struct {
	Service string    `json:"service"`
	Since   uint64    `json:"since"`
	From    string    `json:"from"`
	To      string    `json:"to"`
	Outcome string    `json:"outcome"`
	Why     string    `json:"why"`
	By      string    `json:"by"`
	At      time.Time `json:"at"`
}

// endKey is where the end of a move stands in the store.
func endKey(k rollout.Key) string {
	return platform.PrefixMoves + k.Service + "/" + strconv.FormatUint(k.StartConfig, 10)
}

// endOf makes the record of a state that ended.
func endOf(mv *move) OutcomeRecord {
	s, r := mv.state, mv.plan.Rollout
	e := OutcomeRecord{Service: s.Service, Since: s.StartConfig, From: r.From, To: r.To, By: daisytide}
	mark := s.Done
	e.Outcome = OutcomeDone
	if s.Withdrawn != nil {
		mark, e.Outcome = s.Withdrawn, OutcomeTakenBack
	}
	e.Why, e.At = mark.Reason, mark.Time().UTC()
	if mark.Operator != "" {
		e.By = mark.Operator
	}
	return e
}

// keepEnds lets the judges read what the store knows of moves that are news
// to this node, and write the ends that the store lacks.
func (m *Manager) keepEnds(ctx context.Context, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.startLate(ctx, now)
	for key, mv := range m.moves {
		if !mv.inForce || now.Before(mv.nextStore) {
			continue
		}
		rank := m.rankOf(key)
		if rank >= judgeCount {
			continue
		}
		switch {
		case mv.state.Ended() && !mv.recorded:
			m.startRecord(ctx, mv, rank, now)
		case !mv.state.Ended() && mv.state.Step.Number == 0 && !mv.witnessed && !mv.checked:
			m.startCheck(ctx, mv, now)
		}
	}
}

// startRecord writes an end when this judge's turn has come; the caller holds mu.
func (m *Manager) startRecord(ctx context.Context, mv *move, rank int, now time.Time) {
	e := endOf(mv)
	if now.Before(e.At.Add(time.Duration(rank) * recordLag)) {
		return
	}
	mv.delayStore(now)
	m.work.Go(func() {
		done, err := m.recordEnd(ctx, e)
		m.mu.Lock()
		defer m.mu.Unlock()
		if err != nil {
			klog.V(1).Infof(logPrefix+"record the end of %s: %v", e.Service, err)
			return
		}
		mv.recorded = done
	})
}

// delayStore keeps a move from the store for a while, longer each time.
func (mv *move) delayStore(now time.Time) {
	mv.backoff = min(max(2*mv.backoff, storeWait), storeMaxWait)
	mv.nextStore = now.Add(mv.backoff/2 + rand.N(mv.backoff))
}

// recordEnd writes an end unless the store has one. Of a move that was done
// here and taken back there, the store keeps the withdrawal.
func (m *Manager) recordEnd(ctx context.Context, e OutcomeRecord) (bool, error) {
	value, err := json.Marshal(e)
	if err != nil {
		return false, err
	}
	key := endKey(rollout.Key{Service: e.Service, StartConfig: e.Since})
	held, err := m.cfg.Store.Get(ctx, key)
	if err != nil {
		return false, err
	}
	if held.Revision != 0 && !overrules(e, held.Value) {
		return true, nil
	}
	_, err = m.cfg.Store.CompareAndSwap(ctx, key, held.Revision, value, "")
	if platform.OutcomeOf(err) == platform.OutcomeConflict && err != nil {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	m.cfg.Audit.Record(api.AuditEntry{
		At: e.At, Operator: e.By, Action: "rollout-end", From: e.Since, To: e.Since,
		Outcome: e.Outcome + ": " + e.Why,
		Changes: []string{e.Service + ": " + e.From + " to " + e.To},
	})
	return true, nil
}

// overrules tells whether e must replace the record in the store.
func overrules(e OutcomeRecord, held []byte) bool {
	var old OutcomeRecord
	if err := json.Unmarshal(held, &old); err != nil {
		return true
	}
	return e.Outcome == OutcomeTakenBack && old.Outcome == OutcomeDone
}

// startCheck reads the end of a move that this node did not see begin; the
// caller holds mu. The peers come first: they tell within askAfter.
func (m *Manager) startCheck(ctx context.Context, mv *move, now time.Time) {
	if mv.backoff == 0 {
		mv.backoff = storeWait / 2
		mv.nextStore = now.Add(askAfter)
		return
	}
	key := mv.state.Key()
	mv.delayStore(now)
	m.work.Go(func() {
		entry, err := m.cfg.Store.Get(ctx, endKey(key))
		if err != nil {
			klog.V(1).Infof(logPrefix+"read the end of %s: %v", key.Service, err)
			return
		}
		m.checked(mv, key, entry)
	})
}

// checked takes what the store knows of a move's end.
func (m *Manager) checked(mv *move, key rollout.Key, entry platform.Entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	mv.checked = true
	if entry.Revision == 0 {
		return
	}
	var e OutcomeRecord
	if err := json.Unmarshal(entry.Value, &e); err != nil {
		klog.Errorf(logPrefix+"the end of %s in the store: %v", key.Service, err)
		return
	}
	mv.recorded = true
	mark := &rollout.Decision{AtMillis: e.At.UnixMilli(), Reason: e.Why, Operator: e.By}
	s := mv.state
	if e.Outcome == OutcomeDone {
		s.Done = mark
	} else {
		s.Withdrawn = mark
	}
	m.change(mv, rollout.Merge(mv.state, s))
}

// replaced keeps the end of a move that the new document no longer holds, to
// be written by a judge; the caller holds mu.
func (m *Manager) replaced(mv *move, s *snapshot.Snapshot) {
	if !mv.inForce || mv.recorded || m.rankOf(mv.state.Key()) >= judgeCount {
		return
	}
	if len(m.lateEnds) == maxLateEnds {
		m.lateEnds = m.lateEnds[1:]
	}
	if mv.state.Ended() {
		m.lateEnds = append(m.lateEnds, endOf(mv))
		return
	}
	r := mv.plan.Rollout
	m.lateEnds = append(m.lateEnds, OutcomeRecord{
		Service: r.Service, Since: mv.state.StartConfig, From: r.From, To: r.To, Outcome: OutcomeReplaced,
		Why: "replaced by " + s.Accepted.Describe(), By: s.Accepted.Operator, At: s.Accepted.At,
	})
}

// startLate writes the oldest end of a replaced move; the caller holds mu.
func (m *Manager) startLate(ctx context.Context, now time.Time) {
	if len(m.lateEnds) == 0 || now.Before(m.nextLate) {
		return
	}
	m.nextLate = now.Add(storeMaxWait)
	e := m.lateEnds[0]
	m.work.Go(func() {
		done, err := m.recordEnd(ctx, e)
		m.mu.Lock()
		defer m.mu.Unlock()
		if err != nil || !done {
			m.nextLate = now.Add(storeWait + rand.N(storeMaxWait))
			return
		}
		if len(m.lateEnds) > 0 && m.lateEnds[0] == e {
			m.lateEnds = m.lateEnds[1:]
		}
		m.nextLate = time.Time{}
	})
}
