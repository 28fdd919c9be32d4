package rollouts

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/version/canary"
	"github.com/daisytide/daisytide/internal/version/rollout"
)

// EvidenceMethod is the RPC method that returns an analyzer's counts of a rollout.
const EvidenceMethod = "move-evidence"

// evidenceTimeout bounds the requests to analyzers when an operator lists rollouts.
const evidenceTimeout = 500 * time.Millisecond

// EvidenceRequest identifies the rollout whose evidence is requested.
type EvidenceRequest struct {
	Service     string `cbor:"1,keyasint"`
	StartConfig uint64 `cbor:"2,keyasint"`
}

// EvidenceReply holds an analyzer's evidence on a rollout.
type EvidenceReply struct {
	// IsAnalyzer is set if the replying node analyzes the rollout.
	IsAnalyzer bool           `cbor:"1,keyasint"`
	Rows       []api.Evidence `cbor:"2,keyasint,omitempty"`
	Warning    string         `cbor:"3,keyasint,omitempty"`
}

// Rollout states shown to operators.
const (
	stateWaiting   = "waiting"
	stateMoving    = "moving"
	stateWatching  = "watching"
	statePaused    = "paused"
	stateDone      = "done"
	stateTakenBack = "taken-back"
)

// Rollouts returns a row for each rollout of the configuration in force, sorted by
// service.
func (m *Manager) Rollouts(ctx context.Context) api.RolloutsResponse {
	s := m.cfg.Holder.Current()
	out := api.RolloutsResponse{Number: s.Number()}
	if s == nil {
		return out
	}
	now := time.Now()
	out.Rollouts = make([]api.Rollout, len(s.Document.Rollouts))
	var requests sync.WaitGroup
	for i, r := range s.Document.Rollouts {
		active, _ := s.ActiveRollout(r.Service)
		key := rollout.Key{Service: r.Service, StartConfig: active.StartConfig}
		requests.Go(func() {
			reply := m.evidence(ctx, key, now)
			out.Rollouts[i] = m.row(key, rollout.NewPlan(r), reply, now)
		})
	}
	requests.Wait()
	sort.Slice(out.Rollouts, func(i, j int) bool { return out.Rollouts[i].Service < out.Rollouts[j].Service })
	return out
}

// evidence returns the analyzers' evidence, from this node if it is an analyzer.
func (m *Manager) evidence(ctx context.Context, key rollout.Key, now time.Time) EvidenceReply {
	request := EvidenceRequest{Service: key.Service, StartConfig: key.StartConfig}
	reply, _ := m.HandleEvidence(ctx, request)
	if reply.IsAnalyzer {
		return reply
	}
	ctx, cancel := context.WithTimeout(ctx, evidenceTimeout)
	defer cancel()
	self := m.cfg.Self().Address
	for _, address := range m.reachableAnalyzers(key, now) {
		if address == self {
			continue
		}
		if err := m.cfg.Peers.Call(ctx, address, EvidenceMethod, request, &reply); err == nil && reply.IsAnalyzer {
			return reply
		}
	}
	return reply
}

// HandleEvidence handles a peer's evidence request.
func (m *Manager) HandleEvidence(_ context.Context, q EvidenceRequest) (EvidenceReply, error) {
	m.mu.Lock()
	ro := m.rollouts[rollout.Key(q)]
	if ro == nil || ro.analyzer == nil {
		m.mu.Unlock()
		return EvidenceReply{}, nil
	}
	analyzer, warning := ro.analyzer, ro.verdict.Warning
	m.mu.Unlock()
	return EvidenceReply{IsAnalyzer: true, Rows: analyzer.Evidence(), Warning: warning}, nil
}

func (m *Manager) row(key rollout.Key, p rollout.Plan, e EvidenceReply, now time.Time) api.Rollout {
	m.mu.Lock()
	defer m.mu.Unlock()
	state := rollout.State{Service: key.Service, StartConfig: key.StartConfig}
	ro := m.rollouts[key]
	if ro != nil {
		state = ro.state
	}
	row := api.Rollout{
		Service: key.Service, From: p.Rollout.From, To: p.Rollout.To, StartConfig: key.StartConfig,
		State: stateName(p, state), Share: state.Share(),
		Step: state.Step.Number, Steps: len(p.Shares),
		Start: p.Rollout.Start, Deadline: p.Rollout.Deadline,
		ExpectedEnd: p.ExpectedEnd(state, now), Evidence: e.Rows,
	}
	f := rollout.Findings{NewReady: 1, OldReady: 1}
	if ro != nil && ro.inForce {
		f = m.findings(ro, canary.Verdict{Warning: e.Warning})
	}
	row.Reason = stateReason(p, state, f)
	if state.Ended() {
		row.ExpectedEnd = finalDecision(state).Time()
	}
	return row
}

func finalDecision(s rollout.State) rollout.Decision {
	if s.Withdrawn != nil {
		return *s.Withdrawn
	}
	return *s.Done
}

func stateName(p rollout.Plan, s rollout.State) string {
	switch {
	case s.Withdrawn != nil:
		return stateTakenBack
	case s.Done != nil:
		return stateDone
	case s.Paused():
		return statePaused
	case s.Step.Number == 0:
		return stateWaiting
	case s.Step.Number >= len(p.Shares):
		return stateWatching
	default:
		return stateMoving
	}
}

// stateReason explains in one sentence why a rollout is in its current state.
func stateReason(p rollout.Plan, s rollout.State, f rollout.Findings) string {
	switch blocked := rollout.BlockedReason(p, s, f); {
	case s.Withdrawn != nil && f.OldReady == 0:
		return s.Withdrawn.Reason + "; no upstream of " + p.Rollout.From + " is left, so calls are refused"
	case s.Ended():
		return finalDecision(s).Reason
	case s.Paused():
		return fmt.Sprintf("paused by %s: %s", s.Pause.Decision.Operator, s.Pause.Decision.Reason)
	case blocked != "":
		return blocked
	case f.OldReady == 0:
		return "no upstream of " + p.Rollout.From + " is left; all calls go to " + p.Rollout.To
	case s.Step.Number == 0:
		return "begins at " + p.Rollout.Start.UTC().Format(time.RFC3339)
	case f.Warning != "":
		return "held by a warning: " + f.Warning
	default:
		return s.Step.Decision.Reason
	}
}
