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

// Sizes of the random schedules.
const (
	scheduleSeeds      = 200
	scheduleSeedsShort = 8
	scheduleNodes      = 9
	scheduleSteps      = 6
	// healTime is above the longest backoff of the store and of a lost address.
	healTime = 60 * time.Second
)

// fault is a failure that lasts from begin to end.
type fault struct {
	name       string
	begin, end func()
}

// schedule runs one seed's failures against a fleet.
type schedule struct {
	*testFleet
	rng *rand.Rand
	log []string

	// written gives the number under which an attempt's document was stored.
	written map[string]uint64

	outcomeMu sync.Mutex
	outcomes  map[string]api.ApplyResponse
	attempts  int
	operators sync.WaitGroup
}

func TestRandomSchedules(t *testing.T) {
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
	s := &schedule{
		testFleet: newTestFleet(t, seed, scheduleNodes),
		rng:       rand.New(rand.NewPCG(seed, 11)),
		written:   map[string]uint64{},
		outcomes:  map[string]api.ApplyResponse{},
	}
	defer func() {
		s.end()
		if t.Failed() {
			t.Log(s.log)
		}
	}()
	s.store.OnPut(s.notePut)
	time.Sleep(time.Duration(s.rng.IntN(8000)) * time.Millisecond)
	for range scheduleSteps {
		s.step()
	}
	s.heal()
	s.wantNumber(s.stored(), "at the end")
	s.wantMembers("at the end")
	s.wantTruth()
}

// notePut notes what the store took; the store calls it in order.
func (s *schedule) notePut(e kvstore.Entry) {
	if e.Key != kvstore.KeyConfig {
		return
	}
	a, doc, err := document.DecodeEnvelope(e.Value)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.fail("the store took a document that cannot be read: %v", err)
		return
	}
	s.written[doc.Routes[0].Name] = a.Number
}

// step brings about two failures at once while operators race.
func (s *schedule) step() {
	all := s.faults()
	first := all[s.rng.IntN(len(all))]
	second := all[s.rng.IntN(len(all))]
	s.log = append(s.log, fmt.Sprintf("%s+%s", first.name, second.name))
	first.begin()
	s.wait(2)
	second.begin()
	for range s.rng.IntN(3) {
		s.operate()
	}
	s.wait(12)
	first.end()
	s.wait(2)
	second.end()
	s.wait(5)
}

func (s *schedule) wait(seconds int) {
	time.Sleep(time.Duration(s.rng.Int64N(int64(seconds) * int64(time.Second))))
}

// operate begins an attempt at a random node.
func (s *schedule) operate() {
	s.attempts++
	attempt := s.attempts
	address := s.names[s.rng.IntN(len(s.names))]
	s.operators.Go(func() {
		out := s.apply(address, attempt)
		s.outcomeMu.Lock()
		defer s.outcomeMu.Unlock()
		s.outcomes[fmt.Sprint("attempt-", attempt)] = out
	})
}

// faults lists the failures that a step draws from, with their victims drawn.
func (s *schedule) faults() []fault {
	one := s.names[s.rng.IntN(len(s.names))]
	dc := s.rng.IntN(3)
	centre := []string{s.names[dc], s.names[dc+3], s.names[dc+6]}
	healthy := func() { s.net.SetFaults(links.Faults{Delay: 5 * time.Millisecond}) }
	faulty := func(w links.Faults) func() { return func() { s.net.SetFaults(w) } }
	storeFaults := func(f store.Faults) func() { return func() { s.store.SetFaults(f) } }
	return []fault{
		{"outage", storeFaults(store.Faults{Down: true}), storeFaults(store.Faults{})},
		{"slow-store", storeFaults(store.Faults{Delay: 3 * time.Second}), storeFaults(store.Faults{})},
		{"lost-replies", storeFaults(store.Faults{LostReplies: 0.7}), storeFaults(store.Faults{})},
		{"operators", s.operate, s.operate},
		{"pause", func() { s.net.Pause(one) }, func() { s.net.Resume(one) }},
		{"cut", func() { s.net.Partition(dc+1, centre...) }, func() { s.net.Partition(0, s.names...) }},
		{"restart", func() { s.crash(one) }, func() { s.revive(one) }},
		{"bounce", func() { s.crash(one); s.revive(one) }, func() {}},
		{"herd", func() { s.each(centre, s.crash) }, func() { s.each(centre, s.revive) }},
		{"corrupt", faulty(links.Faults{Corrupt: 0.2, Delay: 20 * time.Millisecond}), healthy},
		{"loss", faulty(links.Faults{Loss: 0.3, Duplicate: 0.3, Reorder: 0.3, Delay: 500 * time.Millisecond}), healthy},
	}
}

func (s *schedule) each(addresses []string, fn func(string)) {
	for _, a := range addresses {
		fn(a)
	}
}

func (s *schedule) revive(address string) {
	if s.node(address) == nil {
		s.start(address)
	}
}

// heal ends all failures and waits until the operators have their answers and
// the fleet is at rest.
func (s *schedule) heal() {
	s.store.SetFaults(store.Faults{})
	s.net.SetFaults(links.Faults{Delay: 5 * time.Millisecond})
	s.net.Partition(0, s.names...)
	s.each(s.names, s.net.Resume)
	s.each(s.names, s.revive)
	s.operators.Wait()
	time.Sleep(healTime)
}

// wantTruth checks each answer to an operator against what the store took.
func (s *schedule) wantTruth() {
	s.mu.Lock()
	defer s.mu.Unlock()
	numbers := map[uint64]bool{}
	for _, n := range s.written {
		numbers[n] = true
	}
	if len(numbers) != len(s.written) {
		s.fail("two documents got one number: %v", s.written)
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
				s.fail("%s was told accepted as %d, stored %v as %d", name, out.Number, stored, number)
			}
		case api.ApplyUnknown:
		default:
			if stored {
				s.fail("%s was told %s, stored as %d", name, out.Outcome, number)
			}
		}
	}
}
