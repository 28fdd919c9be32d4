package gossip_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/kvstore"
	"github.com/daisytide/daisytide/internal/standin/links"
	"github.com/daisytide/daisytide/internal/standin/store"
	"github.com/daisytide/daisytide/internal/version/document"
)

// Sizes of the random fault schedules.
const (
	scheduleSeeds      = 200
	scheduleSeedsShort = 8
	scheduleNodes      = 9
	scheduleSteps      = 6
	// healTime exceeds the longest backoff of the store and of lost addresses.
	healTime = 60 * time.Second
)

// fault is a failure that lasts from begin to end.
type fault struct {
	name       string
	begin, end func()
}

// faultSchedule applies one seed's random faults to a fleet.
type faultSchedule struct {
	*testFleet
	rng *rand.Rand
	log []string

	// written maps the name of an attempt to the number stored for it.
	written map[string]uint64

	outcomeMu sync.Mutex
	outcomes  map[string]api.ApplyResponse
	attempts  int
	operators sync.WaitGroup
}

func TestRandomFaultSchedules(t *testing.T) {
	seeds := scheduleSeeds
	if testing.Short() {
		seeds = scheduleSeedsShort
	}
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runSchedule(t, seed) })
		})
	}
}

func runSchedule(t *testing.T, seed uint64) {
	s := &faultSchedule{
		testFleet: newTestFleet(t, seed, scheduleNodes),
		rng:       rand.New(rand.NewPCG(seed, 11)),
		written:   map[string]uint64{},
		outcomes:  map[string]api.ApplyResponse{},
	}
	defer func() {
		s.shutdown()
		if t.Failed() {
			t.Log(s.log)
		}
	}()
	s.store.OnPut(s.recordPut)
	time.Sleep(time.Duration(s.rng.IntN(8000)) * time.Millisecond)
	for range scheduleSteps {
		s.step()
	}
	s.heal()
	s.wantNumber(s.storedNumber(), "at the end")
	s.wantMembers("at the end")
	s.checkOutcomes()
}

// recordPut records a write to the store; the store calls it in order.
func (s *faultSchedule) recordPut(e kvstore.Entry) {
	if e.Key != kvstore.KeyConfig {
		return
	}
	a, doc, err := document.DecodeEnvelope(e.Value)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.violationLocked("the store accepted an undecodable document: %v", err)
		return
	}
	s.written[doc.Routes[0].Name] = a.Number
}

// step applies two overlapping faults while operators submit documents.
func (s *faultSchedule) step() {
	all := s.faults()
	first := all[s.rng.IntN(len(all))]
	second := all[s.rng.IntN(len(all))]
	s.log = append(s.log, fmt.Sprintf("%s+%s", first.name, second.name))
	first.begin()
	s.sleepBelow(2)
	second.begin()
	for range s.rng.IntN(3) {
		s.submit()
	}
	s.sleepBelow(12)
	first.end()
	s.sleepBelow(2)
	second.end()
	s.sleepBelow(5)
}

func (s *faultSchedule) sleepBelow(seconds int) {
	time.Sleep(time.Duration(s.rng.Int64N(int64(seconds) * int64(time.Second))))
}

// submit starts an attempt to apply a document through a random node.
func (s *faultSchedule) submit() {
	s.attempts++
	attempt := s.attempts
	address := s.addresses[s.rng.IntN(len(s.addresses))]
	s.operators.Go(func() {
		out := s.apply(address, attempt)
		s.outcomeMu.Lock()
		defer s.outcomeMu.Unlock()
		s.outcomes[fmt.Sprint("attempt-", attempt)] = out
	})
}

// faults returns the faults that a step picks from, with random victims.
func (s *faultSchedule) faults() []fault {
	victim := s.addresses[s.rng.IntN(len(s.addresses))]
	dc := s.rng.IntN(3)
	dataCentre := []string{s.addresses[dc], s.addresses[dc+3], s.addresses[dc+6]}
	healthy := func() { s.net.SetFaults(links.Faults{Delay: 5 * time.Millisecond}) }
	faulty := func(w links.Faults) func() { return func() { s.net.SetFaults(w) } }
	storeFaults := func(f store.Faults) func() { return func() { s.store.SetFaults(f) } }
	return []fault{
		{"outage", storeFaults(store.Faults{Down: true}), storeFaults(store.Faults{})},
		{"slow-store", storeFaults(store.Faults{Delay: 3 * time.Second}), storeFaults(store.Faults{})},
		{"lost-replies", storeFaults(store.Faults{LostReplies: 0.7}), storeFaults(store.Faults{})},
		{"operators", s.submit, s.submit},
		{"pause", func() { s.net.Pause(victim) }, func() { s.net.Wake(victim) }},
		{"partition", func() { s.net.Part(dc+1, dataCentre...) }, func() { s.net.Part(0, s.addresses...) }},
		{"restart", func() { s.crash(victim) }, func() { s.startIfDown(victim) }},
		{"quick-restart", func() { s.crash(victim); s.startIfDown(victim) }, func() {}},
		{"data-centre-restart", func() { s.forEach(dataCentre, s.crash) }, func() { s.forEach(dataCentre, s.startIfDown) }},
		{"corrupt", faulty(links.Faults{Corrupt: 0.2, Delay: 20 * time.Millisecond}), healthy},
		{"loss", faulty(links.Faults{Loss: 0.3, Double: 0.3, Reorder: 0.3, Delay: 500 * time.Millisecond}), healthy},
	}
}

func (s *faultSchedule) forEach(addresses []string, fn func(string)) {
	for _, a := range addresses {
		fn(a)
	}
}

func (s *faultSchedule) startIfDown(address string) {
	if s.node(address) == nil {
		s.start(address)
	}
}

// heal ends all faults and waits until the operators have their results and the
// fleet has settled.
func (s *faultSchedule) heal() {
	s.store.SetFaults(store.Faults{})
	s.net.SetFaults(links.Faults{Delay: 5 * time.Millisecond})
	s.net.Part(0, s.addresses...)
	s.forEach(s.addresses, s.net.Wake)
	s.forEach(s.addresses, s.startIfDown)
	s.operators.Wait()
	time.Sleep(healTime)
}

// checkOutcomes checks the result of each attempt against the store's writes.
func (s *faultSchedule) checkOutcomes() {
	s.mu.Lock()
	defer s.mu.Unlock()
	numbers := map[uint64]bool{}
	for _, n := range s.written {
		numbers[n] = true
	}
	if len(numbers) != len(s.written) {
		s.violationLocked("two documents were stored under the same number: %v", s.written)
	}
	names := make([]string, 0, len(s.outcomes))
	for name := range s.outcomes {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		out := s.outcomes[name]
		number, stored := s.written[name]
		switch out.Outcome {
		case api.ApplyAccepted:
			if !stored || number != out.Number {
				s.violationLocked("%s was reported accepted as %d, stored %v as %d", name, out.Number, stored, number)
			}
		case api.ApplyUnknown:
		default:
			if stored {
				s.violationLocked("%s was reported %s but stored as %d", name, out.Outcome, number)
			}
		}
	}
}
