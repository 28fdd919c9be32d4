package idempotency

import (
	"testing"

	"github.com/daisytide/daisytide/api"
)

// The fencing model explores every interleaving of the attempts with one key: a
// first attempt that may reach any gate at any time, repeated attempts, a gate
// that joins, gates that crash, and lost messages and replies. A paused gate or
// a waiting entry is covered by interleavings in which its steps come late. The
// transitions are those of KeyState and FenceRound.

const (
	modelGates       = 3 // the last one joins
	joiningGate      = 2
	repeatedAttempts = 2
	maxSends         = 2
)

type modelGate struct {
	dead        bool
	state       KeyState
	minRevision uint8
	// runState: 0 idle, 1 an attempt that runs, 2 one that ends without a run.
	runState       uint8
	runningAttempt uint8
}

type modelAttempt struct {
	// stage: 0 idle, 1 collecting replies, 2 may send, 3 sent, 4 ended.
	stage    uint8
	revision uint8
	rereads  uint8
	pending  uint8
	round    FenceRound
	sends    uint8
	target   uint8
}

type modelState struct {
	gates [modelGates]modelGate
	// joinStage: 0 not joined, 1 in the roster, 2 fences received, 3 ready.
	joinStage    uint8
	learnedFence KeyState
	attempts     [repeatedAttempts + 1]modelAttempt // index 0 is the first attempt
	crashes      uint8
	runs         uint8
}

// modelRules are the decisions under test. A test replaces one of them.
type modelRules struct {
	fence            func(KeyState, Ballot) (KeyState, FenceStatus)
	start            func(KeyState, Ballot) (KeyState, api.Code)
	fenceForJoiner   func(KeyState) KeyState
	rejectStale      bool
	skipLastGate     bool
	repeatedAttempts int
	crashes          uint8
}

func correctRules() modelRules {
	return modelRules{
		fence:            func(s KeyState, b Ballot) (KeyState, FenceStatus) { return s.Fence(b, 0) },
		start:            func(s KeyState, b Ballot) (KeyState, api.Code) { return s.Begin(b, 0) },
		fenceForJoiner:   KeyState.FenceForJoiner,
		rejectStale:      true,
		repeatedAttempts: repeatedAttempts,
		crashes:          1,
	}
}

func ballotOf(i int) Ballot {
	if i == 0 {
		return Ballot{}
	}
	return Ballot{Attempt: uint32(i + 1), Nonce: 1}
}

func (s *modelState) revision() uint8 { return min(s.joinStage, 1) + 1 }

// rosterSize is the number of gates in the roster of a revision.
func rosterSize(rev uint8) int { return int(rev) + 1 }

// stateKey packs the parts of a state that affect its successors. Outcomes and
// phases that block an attempt in the same way are not distinguished.
type stateKey [2*modelGates + 2]uint32

func (s *modelState) packed() stateKey {
	var k stateKey
	for i, g := range s.gates {
		dead := uint32(0)
		if g.dead {
			dead = 1
		}
		k[i] = pack(dead, packRecord(g.state), uint32(g.minRevision), uint32(g.runState), uint32(g.runningAttempt))
	}
	for i, a := range s.attempts {
		outcome := min(a.round.outcome, RoundSuperseded)
		k[modelGates+i] = pack(uint32(a.stage), uint32(a.revision), uint32(a.rereads), uint32(a.pending), uint32(outcome), uint32(a.sends), uint32(a.target))
	}
	k[2*modelGates] = pack(uint32(s.joinStage), uint32(s.crashes), uint32(s.runs))
	k[2*modelGates+1] = packRecord(s.learnedFence)
	return k
}

// pack packs small numbers, four bits each.
func pack(fields ...uint32) uint32 {
	var out uint32
	for _, f := range fields {
		out = out<<4 | f
	}
	return out
}

func packRecord(s KeyState) uint32 { return uint32(min(s.Phase, PhaseUnknown)) + 4*s.Ballot.Attempt }

type explorer struct {
	rules   modelRules
	seen    map[stateKey]struct{}
	pending []modelState
	maxRuns uint8
}

func explore(r modelRules) *explorer {
	e := &explorer{rules: r, seen: map[stateKey]struct{}{}}
	initial := modelState{}
	initial.attempts[0].stage = 2
	e.visit(initial)
	for len(e.pending) > 0 && e.maxRuns <= 1 {
		s := e.pending[len(e.pending)-1]
		e.pending = e.pending[:len(e.pending)-1]
		e.step(s)
	}
	return e
}

func (e *explorer) visit(s modelState) {
	k := s.packed()
	if _, ok := e.seen[k]; ok {
		return
	}
	e.seen[k] = struct{}{}
	e.maxRuns = max(e.maxRuns, s.runs)
	e.pending = append(e.pending, s)
}

func (e *explorer) step(s modelState) {
	e.gateSteps(s)
	e.joinSteps(s)
	for i := range e.rules.repeatedAttempts + 1 {
		switch a := s.attempts[i]; a.stage {
		case 0:
			e.readRoster(s, i)
		case 1:
			e.collectReplies(s, i)
		case 2:
			e.send(s, i)
		case 3:
			e.arrive(s, i)
		}
	}
}

func (e *explorer) gateSteps(s modelState) {
	for g := range s.gates {
		gate := s.gates[g]
		if gate.dead {
			continue
		}
		if s.crashes < e.rules.crashes {
			t := s
			t.crashes++
			t.gates[g] = modelGate{dead: true}
			e.visit(t)
		}
		switch gate.runState {
		case 1:
			e.endRun(s, g, api.RanYes)
			e.endRun(s, g, api.RanUnknown)
		case 2:
			e.endRun(s, g, api.RanNo)
		}
	}
}

func (e *explorer) endRun(s modelState, g int, ran api.Ran) {
	gate := &s.gates[g]
	gate.state = gate.state.Finish(ran)
	if ran == api.RanNo {
		retryOrEnd(&s.attempts[gate.runningAttempt])
	}
	gate.runState, gate.runningAttempt = 0, 0
	e.visit(s)
}

// retryOrEnd lets an attempt that was not run try another gate, if sends are left.
func retryOrEnd(a *modelAttempt) {
	a.stage = 2
	if a.sends == maxSends {
		*a = modelAttempt{stage: 4}
	}
}

func (e *explorer) joinSteps(s modelState) {
	switch s.joinStage {
	case 0:
		s.joinStage = 1
		e.visit(s)
	case 1:
		for g := range joiningGate {
			if s.gates[g].dead {
				continue
			}
			t := s
			t.joinStage = 2
			t.learnedFence = e.rules.fenceForJoiner(t.gates[g].state)
			if e.rules.rejectStale {
				t.gates[g].minRevision = 2
			}
			e.visit(t)
		}
	case 2:
		s.joinStage = 3
		s.gates[joiningGate].state = s.gates[joiningGate].state.Merge(s.learnedFence)
		s.learnedFence = KeyState{}
		e.visit(s)
	}
}

func (e *explorer) readRoster(s modelState, i int) {
	a := &s.attempts[i]
	a.stage, a.revision = 1, s.revision()
	n := rosterSize(a.revision)
	if e.rules.skipLastGate {
		n--
	}
	a.pending = 1<<n - 1
	a.round = NewFenceRound(n)
	e.visit(s)
}

func (e *explorer) collectReplies(s modelState, i int) {
	for g := range modelGates {
		if s.attempts[i].pending&(1<<g) == 0 {
			continue
		}
		s := s
		s.attempts[i].pending &^= 1 << g
		e.addFailure(s, i)
		if s.gates[g].dead {
			continue
		}
		if s.gates[g].minRevision > s.attempts[i].revision {
			e.addReply(s, i, KeyReply{Status: FenceStaleRoster})
			continue
		}
		state, status := e.rules.fence(s.gates[g].state, ballotOf(i))
		s.gates[g].state = state
		e.addFailure(s, i)
		e.addReply(s, i, KeyReply{Status: status, State: state})
	}
}

func (e *explorer) addFailure(s modelState, i int) {
	s.attempts[i].round.AddFailure()
	e.applyOutcome(s, i)
}

func (e *explorer) addReply(s modelState, i int, r KeyReply) {
	s.attempts[i].round.AddReply(r)
	e.applyOutcome(s, i)
}

func (e *explorer) applyOutcome(s modelState, i int) {
	a := &s.attempts[i]
	switch a.round.Outcome() {
	case RoundPending:
	case RoundFenced:
		a.stage, a.round = 2, FenceRound{}
	case RoundStaleRoster:
		rereads := a.rereads + 1
		*a = modelAttempt{rereads: rereads}
		if rereads > 1 {
			a.stage = 4
		}
	default:
		*a = modelAttempt{stage: 4}
	}
	e.visit(s)
}

func (e *explorer) send(s modelState, i int) {
	n := modelGates
	if i > 0 {
		n = rosterSize(s.attempts[i].revision)
	}
	for g := range n {
		t := s
		a := &t.attempts[i]
		a.stage, a.target = 3, uint8(g)
		a.sends++
		e.visit(t)
	}
}

func (e *explorer) arrive(s modelState, i int) {
	a := &s.attempts[i]
	g := int(a.target)
	gate := &s.gates[g]
	notReady := g == joiningGate && s.joinStage < 3
	code := api.CallNotReached
	state := gate.state
	if !gate.dead && !notReady {
		state, code = e.rules.start(gate.state, ballotOf(i))
	}
	if code != api.OK {
		retryOrEnd(a)
		e.visit(s)
		return
	}
	gate.state = state
	gate.runningAttempt = uint8(i)
	a.stage = 4
	running, notRunning := s, s
	running.gates[g].runState = 1
	running.runs++
	e.visit(running)
	notRunning.gates[g].runState = 2
	e.visit(notRunning)
}

func TestNoInterleavingRunsKeyTwice(t *testing.T) {
	for name, configure := range map[string]func(*modelRules){
		"two repeated attempts without a crash": func(r *modelRules) { r.crashes = 0 },
		"one repeated attempt and two crashes":  func(r *modelRules) { r.repeatedAttempts, r.crashes = 1, 2 },
		"two repeated attempts and a crash":     func(*modelRules) {},
	} {
		t.Run(name, func(t *testing.T) {
			r := correctRules()
			configure(&r)
			if raceDetector && r.repeatedAttempts > 1 {
				t.Skip("one goroutine and millions of states: run without the race detector")
			}
			e := explore(r)
			if e.maxRuns != 1 {
				t.Errorf("a key ran %d times", e.maxRuns)
			}
			t.Logf("%d states", len(e.seen))
		})
	}
}

func TestFencingModelDetectsBrokenRules(t *testing.T) {
	for name, breakRule := range map[string]func(*modelRules){
		"a gate is not asked":               func(r *modelRules) { r.skipLastGate = true },
		"a joining gate learns no fences":   func(r *modelRules) { r.fenceForJoiner = func(KeyState) KeyState { return KeyState{} } },
		"a stale roster is not rejected":    func(r *modelRules) { r.rejectStale = false },
		"a lower ballot is granted a fence": func(r *modelRules) { r.fence = fenceOfAnyBallot },
		"a fence is granted over a record":  func(r *modelRules) { r.fence = fenceOverRecords },
		"a start ignores its fence":         func(r *modelRules) { r.start = startOfAnyBallot },
	} {
		t.Run(name, func(t *testing.T) {
			r := correctRules()
			r.crashes = 0
			breakRule(&r)
			if e := explore(r); e.maxRuns < 2 {
				t.Errorf("no violation in %d states", len(e.seen))
			}
		})
	}
}

func fenceOfAnyBallot(s KeyState, b Ballot) (KeyState, FenceStatus) {
	if s.Phase == PhaseFenced {
		s.Ballot = Ballot{}
	}
	return s.Fence(b, 0)
}

func fenceOverRecords(s KeyState, b Ballot) (KeyState, FenceStatus) {
	if s.Phase > PhaseFenced {
		s.Phase = PhaseFenced
	}
	return s.Fence(b, 0)
}

func startOfAnyBallot(s KeyState, b Ballot) (KeyState, api.Code) {
	if s.Phase == PhaseFenced {
		s.Ballot = b
	}
	return s.Begin(b, 0)
}
