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

// Lifetimes and limits of events.
const (
	// SuspectTTL is how long a crash makes the requests that ran at it suspect.
	SuspectTTL = 2 * time.Minute
	// QuarantineTTL is how long a request is rejected after a repeated crash.
	QuarantineTTL   = 10 * time.Minute
	maxEvents       = 2048
	maxFingerprints = 256
	expireInterval  = 5 * time.Second
)

// Event reports a crash, or a suspect that ran alone without one. Events are only
// added, so neither their order nor duplicates matter.
type Event struct {
	ID      uint64 `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	// Fingerprints are those of the requests that ran at the crash.
	Fingerprints []Fingerprint `cbor:"3,keyasint,omitempty"`
	// RepeatSuspects are those of Fingerprints that were suspect before.
	RepeatSuspects []Fingerprint `cbor:"4,keyasint,omitempty"`
	// Cleared ran alone without a crash; the events ClearedCrashes no longer
	// count against it.
	Cleared        Fingerprint `cbor:"5,keyasint,omitempty"`
	ClearedCrashes []uint64    `cbor:"6,keyasint,omitempty"`
	// ExpiresUnix is when the event is dropped, in Unix seconds.
	ExpiresUnix int64 `cbor:"7,keyasint"`
}

// Verdict determines how a gate treats a request.
type Verdict uint8

// Verdicts.
const (
	// Unsuspected requests run concurrently with others.
	Unsuspected Verdict = iota
	// Suspect requests run alone.
	Suspect
	// Quarantined requests are rejected.
	Quarantined
)

type classification struct {
	verdict     Verdict
	expiresUnix int64
	// crashes are the IDs of the crash events that count against the request.
	crashes []uint64
}

// verdictIndex maps services and fingerprints to verdicts. It is immutable.
type verdictIndex map[string]map[Fingerprint]classification

// EventSet holds the events of all services and the verdicts derived from them.
// Reading verdicts takes no lock.
type EventSet struct {
	index atomic.Pointer[verdictIndex]

	mu     sync.Mutex
	events map[uint64]Event
	now    func() time.Time
}

// NewEventSet returns an empty set.
func NewEventSet(now func() time.Time) *EventSet {
	s := &EventSet{events: map[uint64]Event{}, now: now}
	s.index.Store(&verdictIndex{})
	return s
}

// HasSuspects reports whether any request of a service is suspect or quarantined.
// If not, requests need no fingerprint before they run.
func (s *EventSet) HasSuspects(service string) bool { return len((*s.index.Load())[service]) > 0 }

// Lookup returns the verdict on a request and the crash events that count
// against it.
func (s *EventSet) Lookup(service string, fingerprint Fingerprint) (Verdict, []uint64) {
	c := (*s.index.Load())[service][fingerprint]
	if c.expiresUnix <= s.now().Unix() {
		return Unsuspected, nil
	}
	return c.verdict, c.crashes
}

// Add adds an event and reports whether it was new.
func (s *EventSet) Add(event Event) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if _, ok := s.events[event.ID]; ok || event.ExpiresUnix <= now.Unix() || event.isOversized() {
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

// isOversized reports whether a list of the event is longer than any node makes it.
func (e Event) isOversized() bool {
	return len(e.Fingerprints) > maxFingerprints || len(e.RepeatSuspects) > maxFingerprints || len(e.ClearedCrashes) > maxEvents
}

// Expire drops expired events.
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

// rebuild publishes a new index. The caller holds mu.
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

// classify derives the verdicts from the events of one service. A request that
// ran at two crashes is quarantined. If a request has crashed another upstream
// while running alone, the crashes it took part in count against no other
// request.
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
	confirmedCauses := map[Fingerprint]bool{}
	for _, event := range events {
		if len(event.Fingerprints) == 1 && len(event.RepeatSuspects) == 1 {
			confirmedCauses[event.RepeatSuspects[0]] = true
		}
	}
	for _, event := range events {
		if slices.ContainsFunc(event.Fingerprints, func(f Fingerprint) bool { return confirmedCauses[f] }) {
			clearOthers(classified, event, confirmedCauses)
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

// clearOthers removes one crash from the requests that only ran beside its cause.
func clearOthers(classified map[Fingerprint]classification, event Event, confirmedCauses map[Fingerprint]bool) {
	for _, fingerprint := range event.Fingerprints {
		if !confirmedCauses[fingerprint] {
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

// TopicName is the gossip topic of crash events.
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

// Run drops expired events until ctx ends.
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
