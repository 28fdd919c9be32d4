package quarantine

import (
	"cmp"
	"context"
	"encoding/binary"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/daisytide/daisytide/internal/conn/wire"
)

// How long a fact holds, and how many are held.
const (
	// SuspectTTL is how long a crash blames what ran at it.
	SuspectTTL = 2 * time.Minute
	// QuarantineTTL is how long a repeat offender is refused.
	QuarantineTTL   = 10 * time.Minute
	maxEvents       = 2048
	maxFingerprints = 256
	expireInterval  = 5 * time.Second
)

// Event tells of one crash, or of one request that ran alone well. Facts only
// add up, so their order and repetition do not matter.
type Event struct {
	ID      uint64 `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	// Fingerprints ran at the crash.
	Fingerprints []Fingerprint `cbor:"3,keyasint,omitempty"`
	// RepeatSuspects are those of Fingerprints that were suspect before.
	RepeatSuspects []Fingerprint `cbor:"4,keyasint,omitempty"`
	// Cleared ran alone well; ClearedCrashes are the facts that no longer blame it.
	Cleared        Fingerprint `cbor:"5,keyasint,omitempty"`
	ClearedCrashes []uint64    `cbor:"6,keyasint,omitempty"`
	// ExpiresUnix is when the fact is dropped, in seconds of the Unix epoch.
	ExpiresUnix int64 `cbor:"7,keyasint"`
}

// Verdict is what a gate does with a request.
type Verdict uint8

// The verdicts.
const (
	// Unsuspected runs among its neighbours.
	Unsuspected Verdict = iota
	// Suspect runs alone.
	Suspect
	// Quarantined is refused.
	Quarantined
)

type classification struct {
	verdict     Verdict
	expiresUnix int64
	// crashes are the facts that blame the request.
	crashes []uint64
}

// index maps a service's fingerprints to verdicts; it is immutable.
type verdictIndex map[string]map[Fingerprint]classification

// EventSet holds the facts of all services and what follows from them. Readers
// take no lock.
type EventSet struct {
	index atomic.Pointer[verdictIndex]

	mu     sync.Mutex
	events map[uint64]Event
	now    func() time.Time
}

// NewEventSet returns an empty ledger.
func NewEventSet(now func() time.Time) *EventSet {
	s := &EventSet{events: map[uint64]Event{}, now: now}
	s.index.Store(&verdictIndex{})
	return s
}

// HasSuspects tells whether anything of a service is suspect or refused; while it is
// not, requests need no fingerprint ahead of their run.
func (s *EventSet) HasSuspects(service string) bool { return len((*s.index.Load())[service]) > 0 }

// Lookup returns the verdict on a request, and the facts that blame it.
func (s *EventSet) Lookup(service string, fingerprint Fingerprint) (Verdict, []uint64) {
	c := (*s.index.Load())[service][fingerprint]
	if c.expiresUnix <= s.now().Unix() {
		return Unsuspected, nil
	}
	return c.verdict, c.crashes
}

// Add folds a fact in and tells whether it was new.
func (s *EventSet) Add(event Event) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if _, ok := s.events[event.ID]; ok || event.ExpiresUnix <= now.Unix() || len(event.Fingerprints) > maxFingerprints {
		return false
	}
	s.expire(now)
	if len(s.events) >= maxEvents {
		return false
	}
	event.ExpiresUnix = min(event.ExpiresUnix, now.Add(QuarantineTTL).Unix())
	s.events[event.ID] = event
	s.rebuild()
	return true
}

// Expire drops facts whose time has passed.
func (s *EventSet) Expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.expire(s.now()) {
		s.rebuild()
	}
}

func (s *EventSet) expire(now time.Time) bool {
	before := len(s.events)
	for id, event := range s.events {
		if event.ExpiresUnix <= now.Unix() {
			delete(s.events, id)
		}
	}
	return len(s.events) != before
}

// rebuild publishes a new index; the caller holds mu.
func (s *EventSet) rebuild() {
	next := verdictIndex{}
	for _, event := range s.events {
		if next[event.Service] == nil {
			next[event.Service] = classify(s.eventsOf(event.Service))
		}
	}
	s.index.Store(&next)
}

func (s *EventSet) eventsOf(service string) []Event {
	var out []Event
	for _, event := range s.events {
		if event.Service == service {
			out = append(out, event)
		}
	}
	slices.SortFunc(out, func(a, b Event) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// judge derives the verdicts from the facts of one service. Whoever crashed
// an upstream twice is refused. A crash that took place with a request which
// crashed another upstream alone blames nobody else.
func classify(events []Event) map[Fingerprint]classification {
	cleared := map[Fingerprint]map[uint64]bool{}
	for _, event := range events {
		for _, id := range event.ClearedCrashes {
			if cleared[event.Cleared] == nil {
				cleared[event.Cleared] = map[uint64]bool{}
			}
			cleared[event.Cleared][id] = true
		}
	}
	classified := map[Fingerprint]classification{}
	for _, event := range events {
		for _, fingerprint := range event.Fingerprints {
			if !cleared[fingerprint][event.ID] {
				classified[fingerprint] = classified[fingerprint].withCrash(event, slices.Contains(event.RepeatSuspects, fingerprint))
			}
		}
	}
	culprits := map[Fingerprint]bool{}
	for _, event := range events {
		if len(event.Fingerprints) == 1 && len(event.RepeatSuspects) == 1 {
			culprits[event.RepeatSuspects[0]] = true
		}
	}
	for _, event := range events {
		if slices.ContainsFunc(event.Fingerprints, func(p Fingerprint) bool { return culprits[p] }) {
			exonerate(classified, event, culprits)
		}
	}
	return classified
}

func (c classification) withCrash(event Event, repeat bool) classification {
	c.crashes = append(c.crashes, event.ID)
	c.expiresUnix = max(c.expiresUnix, event.ExpiresUnix)
	c.verdict = Suspect
	if repeat || len(c.crashes) > 1 {
		c.verdict = Quarantined
	}
	return c
}

// acquit takes the blame for one crash from those who merely ran beside the
// one that brought it about.
func exonerate(classified map[Fingerprint]classification, event Event, culprits map[Fingerprint]bool) {
	for _, fingerprint := range event.Fingerprints {
		if !culprits[fingerprint] {
			classified[fingerprint] = classified[fingerprint].withoutCrash(event.ID)
		}
	}
}

func (c classification) withoutCrash(crash uint64) classification {
	remaining := slices.DeleteFunc(slices.Clone(c.crashes), func(id uint64) bool { return id == crash })
	if len(remaining) == 0 {
		return classification{}
	}
	if len(remaining) < len(c.crashes) {
		c.crashes, c.verdict = remaining, Suspect
	}
	return c
}

// TopicName is the spread topic of crashes.
const TopicName = "crashes"

// Name implements gossip.Topic.
func (s *EventSet) Name() string { return TopicName }

// Merge implements gossip.Topic.
func (s *EventSet) Merge(item []byte) (bool, error) {
	var event Event
	if err := wire.Unmarshal(item, &event); err != nil {
		return false, err
	}
	return s.Add(event), nil
}

// Checksum implements gossip.Topic.
func (s *EventSet) Checksum() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(s.now())
	var sum uint64
	for id := range s.events {
		sum ^= xxhash.Sum64(binary.LittleEndian.AppendUint64(nil, id))
	}
	return sum
}

// Items implements gossip.Topic.
func (s *EventSet) Items() [][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out [][]byte
	for _, event := range s.events {
		if b, err := wire.Marshal(event); err == nil {
			out = append(out, b)
		}
	}
	return out
}

// Run drops old facts until ctx ends.
func (s *EventSet) Run(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.Expire()
		}
	}
}
