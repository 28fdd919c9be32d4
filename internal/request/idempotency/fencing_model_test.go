package idempotency

import (
	"testing"

	"github.com/daisytide/daisytide/api"
)

// The walk visits every interleaving of one key's attempts: a first attempt
// that may arrive at any gate at any time, however late, later attempts,
// a gate that joins, a gate that dies, messages and answers that are lost.
// A paused gate, and an entry that waits, are interleavings in which their
// steps come late. The transitions are those of State and Collection.

const (
	gatesInWalk = 3 // the last one joins
	joining     = 2
	laters      = 2
	maxSends    = 2
)

type walkGate struct {
	dead   bool
	state  KeyState
	minRev uint8
	// run is 0 idle, 1 an attempt that runs, 2 one that will not have run.
	run    uint8
	runner uint8
}

type walkAttempt struct {
	// stage: 0 idle, 1 collecting, 2 may send, 3 sent, 4 over.
	stage   uint8
	rev     uint8
	rereads uint8
	pending uint8
	coll    FenceRound
	sends   uint8
	target  uint8
}

type walkState struct {
	gates [gatesInWalk]walkGate
	// join: 0 not there, 1 in the roster, 2 its question was answered, 3 may run.
	join     uint8
	learned  KeyState
	attempts [laters + 1]walkAttempt // index 0 is the first attempt
	crashes  uint8
	runs     uint8
}

// walkRules are the decisions under test; a test breaks one of them.
type walkRules struct {
	fence    func(KeyState, Ballot) (KeyState, FenceStatus)
	start    func(KeyState, Ballot) (KeyState, api.Code)
	joiner   func(KeyState) KeyState
	stale    bool
	skipLast bool
	laters   int
	crashes  uint8
}

func rules() walkRules {
	return walkRules{
		fence:   func(s KeyState, b Ballot) (KeyState, FenceStatus) { return s.Fence(b, 0) },
		start:   func(s KeyState, b Ballot) (KeyState, api.Code) { return s.Begin(b, 0) },
		joiner:  KeyState.FenceForJoiner,
		stale:   true,
		laters:  laters,
		crashes: 1,
	}
}

func ballotOf(i int) Ballot {
	if i == 0 {
		return Ballot{}
	}
	return Ballot{Attempt: uint32(i + 1), Nonce: 1}
}

func (s *walkState) revision() uint8 { return min(s.join, 1) + 1 }

// rosterSize is the number of gates in the roster of a revision.
func rosterSize(rev uint8) int { return int(rev) + 1 }

// walkKey packs what matters of a state. Verdicts and phases that bar an
// attempt in the same way count as one.
type walkKey [2*gatesInWalk + 2]uint32

func (s *walkState) key() walkKey {
	var k walkKey
	for i, g := range s.gates {
		dead := uint32(0)
		if g.dead {
			dead = 1
		}
		k[i] = pack(dead, record(g.state), uint32(g.minRev), uint32(g.run), uint32(g.runner))
	}
	for i, a := range s.attempts {
		verdict := min(a.coll.verdict, RoundSuperseded)
		k[gatesInWalk+i] = pack(uint32(a.stage), uint32(a.rev), uint32(a.rereads), uint32(a.pending), uint32(verdict), uint32(a.sends), uint32(a.target))
	}
	k[2*gatesInWalk] = pack(uint32(s.join), uint32(s.crashes), uint32(s.runs))
	k[2*gatesInWalk+1] = record(s.learned)
	return k
}

// pack joins small numbers, four bits each.
func pack(fields ...uint32) uint32 {
	var out uint32
	for _, f := range fields {
		out = out<<4 | f
	}
	return out
}

func record(s KeyState) uint32 { return uint32(min(s.Phase, PhaseUnknown)) + 4*s.Ballot.Attempt }

type walker struct {
	rules walkRules
	seen  map[walkKey]struct{}
	work  []walkState
	worst uint8
}

func walk(r walkRules) *walker {
	w := &walker{rules: r, seen: map[walkKey]struct{}{}}
	first := walkState{}
	first.attempts[0].stage = 2
	w.visit(first)
	for len(w.work) > 0 && w.worst <= 1 {
		s := w.work[len(w.work)-1]
		w.work = w.work[:len(w.work)-1]
		w.step(s)
	}
	return w
}

func (w *walker) visit(s walkState) {
	k := s.key()
	if _, ok := w.seen[k]; ok {
		return
	}
	w.seen[k] = struct{}{}
	w.worst = max(w.worst, s.runs)
	w.work = append(w.work, s)
}

func (w *walker) step(s walkState) {
	w.gateSteps(s)
	w.joinSteps(s)
	for i := range w.rules.laters + 1 {
		switch a := s.attempts[i]; a.stage {
		case 0:
			w.read(s, i)
		case 1:
			w.collect(s, i)
		case 2:
			w.send(s, i)
		case 3:
			w.arrive(s, i)
		}
	}
}

func (w *walker) gateSteps(s walkState) {
	for g := range s.gates {
		gate := s.gates[g]
		if gate.dead {
			continue
		}
		if s.crashes < w.rules.crashes {
			t := s
			t.crashes++
			t.gates[g] = walkGate{dead: true}
			w.visit(t)
		}
		switch gate.run {
		case 1:
			w.end(s, g, api.RanYes)
			w.end(s, g, api.RanUnknown)
		case 2:
			w.end(s, g, api.RanNo)
		}
	}
}

func (w *walker) end(s walkState, g int, ran api.Ran) {
	gate := &s.gates[g]
	gate.state = gate.state.Finish(ran)
	if ran == api.RanNo {
		again(&s.attempts[gate.runner])
	}
	gate.run, gate.runner = 0, 0
	w.visit(s)
}

// again lets an attempt that was not run try another gate.
func again(a *walkAttempt) {
	a.stage = 2
	if a.sends == maxSends {
		*a = walkAttempt{stage: 4}
	}
}

func (w *walker) joinSteps(s walkState) {
	switch s.join {
	case 0:
		s.join = 1
		w.visit(s)
	case 1:
		for y := range joining {
			if s.gates[y].dead {
				continue
			}
			t := s
			t.join = 2
			t.learned = w.rules.joiner(t.gates[y].state)
			if w.rules.stale {
				t.gates[y].minRev = 2
			}
			w.visit(t)
		}
	case 2:
		s.join = 3
		s.gates[joining].state = s.gates[joining].state.Merge(s.learned)
		s.learned = KeyState{}
		w.visit(s)
	}
}

func (w *walker) read(s walkState, i int) {
	a := &s.attempts[i]
	a.stage, a.rev = 1, s.revision()
	n := rosterSize(a.rev)
	if w.rules.skipLast {
		n--
	}
	a.pending = 1<<n - 1
	a.coll = NewFenceRound(n)
	w.visit(s)
}

func (w *walker) collect(s walkState, i int) {
	for g := range gatesInWalk {
		if s.attempts[i].pending&(1<<g) == 0 {
			continue
		}
		s := s
		s.attempts[i].pending &^= 1 << g
		w.missed(s, i)
		if s.gates[g].dead {
			continue
		}
		if s.gates[g].minRev > s.attempts[i].rev {
			w.heard(s, i, KeyReply{Status: FenceStaleRoster})
			continue
		}
		state, grant := w.rules.fence(s.gates[g].state, ballotOf(i))
		s.gates[g].state = state
		w.missed(s, i)
		w.heard(s, i, KeyReply{Status: grant, State: state})
	}
}

func (w *walker) missed(s walkState, i int) {
	s.attempts[i].coll.AddFailure()
	w.decide(s, i)
}

func (w *walker) heard(s walkState, i int, r KeyReply) {
	s.attempts[i].coll.AddReply(r)
	w.decide(s, i)
}

func (w *walker) decide(s walkState, i int) {
	a := &s.attempts[i]
	switch a.coll.Outcome() {
	case RoundPending:
	case RoundFenced:
		a.stage, a.coll = 2, FenceRound{}
	case RoundStaleRoster:
		rereads := a.rereads + 1
		*a = walkAttempt{rereads: rereads}
		if rereads > 1 {
			a.stage = 4
		}
	default:
		*a = walkAttempt{stage: 4}
	}
	w.visit(s)
}

func (w *walker) send(s walkState, i int) {
	n := gatesInWalk
	if i > 0 {
		n = rosterSize(s.attempts[i].rev)
	}
	for g := range n {
		t := s
		a := &t.attempts[i]
		a.stage, a.target = 3, uint8(g)
		a.sends++
		w.visit(t)
	}
}

func (w *walker) arrive(s walkState, i int) {
	a := &s.attempts[i]
	g := int(a.target)
	gate := &s.gates[g]
	notReady := g == joining && s.join < 3
	code := api.CallNotReached
	state := gate.state
	if !gate.dead && !notReady {
		state, code = w.rules.start(gate.state, ballotOf(i))
	}
	if code != api.OK {
		again(a)
		w.visit(s)
		return
	}
	gate.state = state
	gate.runner = uint8(i)
	a.stage = 4
	ran, not := s, s
	ran.gates[g].run = 1
	ran.runs++
	w.visit(ran)
	not.gates[g].run = 2
	w.visit(not)
}

func TestNoInterleavingRunsAKeyTwice(t *testing.T) {
	for name, set := range map[string]func(*walkRules){
		"two later attempts and no crash":  func(r *walkRules) { r.crashes = 0 },
		"one later attempt and two deaths": func(r *walkRules) { r.laters, r.crashes = 1, 2 },
		"two later attempts and a crash":   func(*walkRules) {},
	} {
		t.Run(name, func(t *testing.T) {
			r := rules()
			set(&r)
			if raceDetector && r.laters > 1 {
				t.Skip("one goroutine and millions of states: run without the race detector")
			}
			w := walk(r)
			if w.worst != 1 {
				t.Errorf("a key ran %d times", w.worst)
			}
			t.Logf("%d states", len(w.seen))
		})
	}
}

func TestTheWalkFindsEachBrokenRule(t *testing.T) {
	for name, broken := range map[string]func(*walkRules){
		"a gate is not asked":              func(r *walkRules) { r.skipLast = true },
		"a joining gate learns no fences":  func(r *walkRules) { r.joiner = func(KeyState) KeyState { return KeyState{} } },
		"an old roster is not told stale":  func(r *walkRules) { r.stale = false },
		"a lower ballot takes the fence":   func(r *walkRules) { r.fence = fenceOfAnyBallot },
		"a fence is granted over a record": func(r *walkRules) { r.fence = fenceOverRecords },
		"a start ignores the fence":        func(r *walkRules) { r.start = startOfAnyBallot },
	} {
		t.Run(name, func(t *testing.T) {
			r := rules()
			r.crashes = 0
			broken(&r)
			if w := walk(r); w.worst < 2 {
				t.Errorf("no violation in %d states", len(w.seen))
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
