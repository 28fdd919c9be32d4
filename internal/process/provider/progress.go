package provider

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/daisytide/daisytide/internal/logs"
)

// Times and bounds of Progress.
const (
	// lateAfter is how long a number that was heard may wait before a warning: half of
	// the two seconds within which a change must be in force.
	lateAfter = time.Second
	// lateInterval is the least time between two of these warnings.
	lateInterval = time.Second
	// reportTime is how long the highest number of the store or of the peers stands if
	// it is not repeated and a lower one is heard. Peers repeat theirs each second; a
	// number that was damaged on the way may be too high.
	reportTime = 10 * time.Second
	// maxWaiting bounds the numbers that are kept until they are in force.
	maxWaiting = 64
	// maxLinesPerSecond bounds the lines on numbers heard and on refusals, since peers
	// may report any number at any rate. Changes come some four a second.
	maxLinesPerSecond = 10
)

// Sources of a configuration in log lines.
const (
	fromStore = "the store"
	fromPeer  = "a peer"
)

// neverHeard is the age of the store's last sound reply if there was none.
const neverHeard = -time.Second

// Progress records how configurations reach this node, for logs and metrics. It decides
// nothing. The zero value is ready for use. All methods are safe for concurrent use; on a
// nil Progress they record nothing, and only refusals are logged.
type Progress struct {
	mu           sync.Mutex
	store, peers heardNumber
	inForce      numberInForce
	// waiting holds the numbers that were heard and are not in force, in the order of
	// both number and time.
	waiting                       []heardNumber
	refusedByStore, refusedByPeer uint64
	lastRefusal                   Refusal
	storeReplied                  time.Time
	storeFailures                 uint64
	storeError                    error
	lateLogged                    time.Time
	linesFrom                     time.Time
	lines                         int
}

type heardNumber struct {
	number uint64
	peer   string
	at     time.Time
}

// numberInForce is a number with the time at which it came into force and how long the
// first of the numbers that it brought into force had waited.
type numberInForce struct {
	number uint64
	at     time.Time
	waited time.Duration
}

// Refusal is a configuration that is not usable here. Number is 0 if it could not be
// read, and Revision is 0 for one from a peer.
type Refusal struct {
	Source, Peer     string
	Number, Revision uint64
	Reason           string
}

// ProgressStatus is a Progress at one time.
type ProgressStatus struct {
	// InForce, Store and Peers are the number in force and the highest ones heard.
	InForce, Store, Peers uint64
	// InForceAt is when InForce came into force, StoreAt and PeersAt when Store and Peers
	// were last heard, and Peer is the one that first reported Peers.
	InForceAt, StoreAt, PeersAt time.Time
	Peer                        string
	// Delay is how long the last configuration took from being heard of to being in
	// force. If it replaced others that were never in force, the first of them counts.
	Delay time.Duration
	// Waiting is how long a number has been heard of and not in force; 0 if none is.
	Waiting                       time.Duration
	RefusedByStore, RefusedByPeer uint64
	LastRefusal                   Refusal
	// StoreAge is the age of the store's last sound reply to a watch or a list of the
	// operator's keys, negative if there was none. StoreFailures counts the failures
	// since, and StoreError is the last of them.
	StoreAge      time.Duration
	StoreFailures uint64
	StoreError    error
}

// StoreReplied records the end of a watch or a list of the operator's keys; err is nil
// for a sound reply.
func (p *Progress) StoreReplied(err error, now time.Time) {
	if p == nil || errors.Is(err, context.Canceled) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.storeFailures, p.storeError = p.storeFailures+1, err
		return
	}
	p.storeReplied, p.storeFailures, p.storeError = now, 0, nil
}

// HeardFromStore records the number of a configuration in the store; 0 does nothing.
func (p *Progress) HeardFromStore(number uint64, now time.Time) {
	if p != nil && number != 0 && p.hear(&p.store, heardNumber{number: number, at: now}) {
		slog.Info(logPrefix+"configuration heard of", logs.FieldConfig, number, logs.FieldFrom, fromStore)
	}
}

// HeardFromPeer records the number that a peer reported.
func (p *Progress) HeardFromPeer(peer string, number uint64, now time.Time) {
	if p != nil && p.hear(&p.peers, heardNumber{number: number, peer: peer, at: now}) {
		slog.Info(logPrefix+"configuration heard of", logs.FieldConfig, number, logs.FieldFrom, fromPeer, logs.FieldMember, peer)
	}
}

// hear records a number that was heard in highest, the one of its source, and reports
// whether a line on it is to be logged.
func (p *Progress) hear(highest *heardNumber, h heardNumber) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := p.addWaitingLocked(h)
	samePeer := h.peer != "" && h.peer == highest.peer
	switch {
	case h.number == highest.number:
		highest.at = h.at
	case h.number > highest.number || samePeer || h.at.Sub(highest.at) > reportTime:
		*highest = h
		limit := max(p.store.number, p.peers.number)
		p.waiting = slices.DeleteFunc(p.waiting, func(w heardNumber) bool { return w.number > limit })
	}
	return first
}

// addWaitingLocked adds a number above all others and reports whether a line on it may
// be logged. The caller holds mu.
func (p *Progress) addWaitingLocked(h heardNumber) bool {
	if h.number <= max(p.store.number, p.peers.number, p.inForce.number) {
		return false
	}
	if last := len(p.waiting) - 1; last+1 == maxWaiting {
		p.waiting[last].number = h.number
	} else {
		p.waiting = append(p.waiting, h)
	}
	return p.allowLineLocked(h.at)
}

// allowLineLocked reports whether another line may be logged. The caller holds mu.
func (p *Progress) allowLineLocked(now time.Time) bool {
	if now.Sub(p.linesFrom) >= time.Second {
		p.linesFrom, p.lines = now, 0
	}
	p.lines++
	return p.lines <= maxLinesPerSecond
}

// InForce records that a configuration is in force and returns how long the first of the
// numbers that it brings into force had waited.
func (p *Progress) InForce(number uint64, now time.Time) time.Duration {
	if p == nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if number <= p.inForce.number {
		return 0
	}
	p.inForce = numberInForce{number: number, at: now, waited: p.waitedLocked(number, now)}
	p.waiting = slices.DeleteFunc(p.waiting, func(w heardNumber) bool { return w.number <= number })
	return p.inForce.waited
}

// waitedLocked returns how long the first waiting number up to number has waited. The
// caller holds mu.
func (p *Progress) waitedLocked(number uint64, now time.Time) time.Duration {
	if len(p.waiting) == 0 || p.waiting[0].number > number {
		return 0
	}
	return max(0, now.Sub(p.waiting[0].at))
}

// RefusedFromStore records and logs a configuration in the store that is not usable.
func (p *Progress) RefusedFromStore(number, revision uint64, reason error, now time.Time) {
	p.refused(Refusal{Source: fromStore, Number: number, Revision: revision, Reason: fmt.Sprintf("%.500v", reason)}, now)
}

// RefusedFromPeer records and logs a configuration of a peer that is not usable.
func (p *Progress) RefusedFromPeer(peer string, number uint64, reason error, now time.Time) {
	p.refused(Refusal{Source: fromPeer, Peer: peer, Number: number, Reason: fmt.Sprintf("%.500v", reason)}, now)
}

func (p *Progress) refused(r Refusal, now time.Time) {
	if p == nil || p.countRefusal(r, now) {
		slog.Warn(logPrefix+"configuration refused", logs.FieldConfig, r.Number, logs.FieldFrom, r.Source,
			logs.FieldMember, r.Peer, logs.FieldRevision, r.Revision, logs.FieldError, r.Reason)
	}
}

// countRefusal counts a refusal and reports whether it may be logged.
func (p *Progress) countRefusal(r Refusal, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastRefusal = r
	if r.Source == fromStore {
		p.refusedByStore++
	} else {
		p.refusedByPeer++
	}
	return p.allowLineLocked(now)
}

// Status returns the state at a time.
func (p *Progress) Status(now time.Time) ProgressStatus {
	if p == nil {
		return ProgressStatus{StoreAge: neverHeard}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s := ProgressStatus{
		InForce: p.inForce.number, InForceAt: p.inForce.at, Delay: p.inForce.waited,
		Store: p.store.number, StoreAt: p.store.at, Peers: p.peers.number, PeersAt: p.peers.at, Peer: p.peers.peer,
		RefusedByStore: p.refusedByStore, RefusedByPeer: p.refusedByPeer, LastRefusal: p.lastRefusal,
		StoreAge: neverHeard, StoreFailures: p.storeFailures, StoreError: p.storeError,
	}
	if !p.storeReplied.IsZero() {
		s.StoreAge = max(0, now.Sub(p.storeReplied))
	}
	if len(p.waiting) > 0 {
		s.Waiting = max(0, now.Sub(p.waiting[0].at))
	}
	return s
}

// fields returns the fields of a log line.
func (s ProgressStatus) fields() []any {
	return []any{
		logs.FieldConfig, s.InForce, logs.FieldStoreConfig, s.Store, logs.FieldPeerConfig, s.Peers, logs.FieldMember, s.Peer,
		logs.FieldWaiting, s.Waiting.Milliseconds(), logs.FieldDelay, s.Delay.Milliseconds(),
		logs.FieldStoreAge, s.StoreAge.Milliseconds(), logs.FieldStoreFailures, s.StoreFailures,
		logs.FieldRefusals, fmt.Sprintf("store=%d peer=%d", s.RefusedByStore, s.RefusedByPeer),
		logs.FieldError, fmt.Sprintf("%.500v", s.StoreError),
	}
}

// LogStatus logs the state.
func (p *Progress) LogStatus(now time.Time) {
	slog.Info(logPrefix+"configuration status", p.Status(now).fields()...)
}

// WarnIfLate logs a warning if a number has been heard of and not in force for longer
// than lateAfter, at most once in lateInterval.
func (p *Progress) WarnIfLate(now time.Time) {
	s := p.Status(now)
	if s.Waiting <= lateAfter {
		return
	}
	p.mu.Lock()
	due := now.Sub(p.lateLogged) >= lateInterval
	if due {
		p.lateLogged = now
	}
	p.mu.Unlock()
	if due {
		slog.Warn(logPrefix+"configuration is late", s.fields()...)
	}
}
