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
	QuarantineTTL = 10 * time.Minute
	maxFacts      = 2048
	maxPrints     = 256
	expireEvery   = 5 * time.Second
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

type judged struct {
	verdict Verdict
	until   int64
	// crashes are the facts that blame the request.
	crashes []uint64
}

// index maps a service's fingerprints to verdicts; it is immutable.
type index map[string]map[Fingerprint]judged

// EventSet holds the facts of all services and what follows from them. Readers
// take no lock.
type EventSet struct {
	index atomic.Pointer[index]

	mu    sync.Mutex
	facts map[uint64]Event
	now   func() time.Time
}

// NewEventSet returns an empty ledger.
func NewEventSet(now func() time.Time) *EventSet {
	l := &EventSet{facts: map[uint64]Event{}, now: now}
	l.index.Store(&index{})
	return l
}

// HasSuspects tells whether anything of a service is suspect or refused; while it is
// not, requests need no fingerprint ahead of their run.
func (l *EventSet) HasSuspects(service string) bool { return len((*l.index.Load())[service]) > 0 }

// Lookup returns the verdict on a request, and the facts that blame it.
func (l *EventSet) Lookup(service string, p Fingerprint) (Verdict, []uint64) {
	j := (*l.index.Load())[service][p]
	if j.until <= l.now().Unix() {
		return Unsuspected, nil
	}
	return j.verdict, j.crashes
}

// Add folds a fact in and tells whether it was new.
func (l *EventSet) Add(f Event) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if _, ok := l.facts[f.ID]; ok || f.ExpiresUnix <= now.Unix() || len(f.Fingerprints) > maxPrints {
		return false
	}
	l.expire(now)
	if len(l.facts) >= maxFacts {
		return false
	}
	f.ExpiresUnix = min(f.ExpiresUnix, now.Add(QuarantineTTL).Unix())
	l.facts[f.ID] = f
	l.rebuild()
	return true
}

// Expire drops facts whose time has passed.
func (l *EventSet) Expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.expire(l.now()) {
		l.rebuild()
	}
}

func (l *EventSet) expire(now time.Time) bool {
	before := len(l.facts)
	for id, f := range l.facts {
		if f.ExpiresUnix <= now.Unix() {
			delete(l.facts, id)
		}
	}
	return len(l.facts) != before
}

// rebuild publishes a new index; the caller holds mu.
func (l *EventSet) rebuild() {
	next := index{}
	for _, f := range l.facts {
		if next[f.Service] == nil {
			next[f.Service] = judge(l.of(f.Service))
		}
	}
	l.index.Store(&next)
}

func (l *EventSet) of(service string) []Event {
	var out []Event
	for _, f := range l.facts {
		if f.Service == service {
			out = append(out, f)
		}
	}
	slices.SortFunc(out, func(a, b Event) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// judge derives the verdicts from the facts of one service. Whoever crashed
// an upstream twice is refused. A crash that took place with a request which
// crashed another upstream alone blames nobody else.
func judge(facts []Event) map[Fingerprint]judged {
	cleared := map[Fingerprint]map[uint64]bool{}
	for _, f := range facts {
		for _, id := range f.ClearedCrashes {
			if cleared[f.Cleared] == nil {
				cleared[f.Cleared] = map[uint64]bool{}
			}
			cleared[f.Cleared][id] = true
		}
	}
	out := map[Fingerprint]judged{}
	for _, f := range facts {
		for _, p := range f.Fingerprints {
			if !cleared[p][f.ID] {
				out[p] = out[p].blame(f, slices.Contains(f.RepeatSuspects, p))
			}
		}
	}
	certain := map[Fingerprint]bool{}
	for _, f := range facts {
		if len(f.Fingerprints) == 1 && len(f.RepeatSuspects) == 1 {
			certain[f.RepeatSuspects[0]] = true
		}
	}
	for _, f := range facts {
		if slices.ContainsFunc(f.Fingerprints, func(p Fingerprint) bool { return certain[p] }) {
			acquit(out, f, certain)
		}
	}
	return out
}

func (j judged) blame(f Event, again bool) judged {
	j.crashes = append(j.crashes, f.ID)
	j.until = max(j.until, f.ExpiresUnix)
	j.verdict = Suspect
	if again || len(j.crashes) > 1 {
		j.verdict = Quarantined
	}
	return j
}

// acquit takes the blame for one crash from those who merely ran beside the
// one that brought it about.
func acquit(out map[Fingerprint]judged, f Event, certain map[Fingerprint]bool) {
	for _, p := range f.Fingerprints {
		if !certain[p] {
			out[p] = out[p].without(f.ID)
		}
	}
}

func (j judged) without(crash uint64) judged {
	left := slices.DeleteFunc(slices.Clone(j.crashes), func(id uint64) bool { return id == crash })
	if len(left) == 0 {
		return judged{}
	}
	if len(left) < len(j.crashes) {
		j.crashes, j.verdict = left, Suspect
	}
	return j
}

// TopicName is the spread topic of crashes.
const TopicName = "crashes"

// Name implements gossip.Topic.
func (l *EventSet) Name() string { return TopicName }

// Merge implements gossip.Topic.
func (l *EventSet) Merge(item []byte) (bool, error) {
	var f Event
	if err := wire.Unmarshal(item, &f); err != nil {
		return false, err
	}
	return l.Add(f), nil
}

// Checksum implements gossip.Topic.
func (l *EventSet) Checksum() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(l.now())
	var sum uint64
	for id := range l.facts {
		sum ^= xxhash.Sum64(binary.LittleEndian.AppendUint64(nil, id))
	}
	return sum
}

// Items implements gossip.Topic.
func (l *EventSet) Items() [][]byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out [][]byte
	for _, f := range l.facts {
		if b, err := wire.Marshal(f); err == nil {
			out = append(out, b)
		}
	}
	return out
}

// Run drops old facts until ctx ends.
func (l *EventSet) Run(ctx context.Context) {
	ticker := time.NewTicker(expireEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.Expire()
		}
	}
}
