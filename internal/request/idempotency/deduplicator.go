package idempotency

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/request/call"
)

// pageKeys is how many fenced keys one JoinReply carries.
const pageKeys = 4096

// maxMoving is how many claims one JoinReply carries.
const maxMoving = 60_000

// Deduplicator is what one gate knows of keyed calls, per service.
type Deduplicator struct {
	// Self is this incarnation.
	Self   GateID
	Limits Limits

	mu       sync.RWMutex
	services map[string]*service
}

// service is a gate's part in one service.
type service struct {
	book *RecordTable

	// mu orders changes of the fields below against starts and fences: a gate
	// that joins is answered with every fence that was granted before, and
	// fences of older rosters are refused after.
	mu sync.RWMutex
	// ready: the gate may let first attempts through.
	ready bool
	// leaving: the records are being handed over; nothing starts any more.
	leaving bool
	// oldest is the lowest roster revision by which fences are granted.
	oldest uint64
	// view is the newest roster that the gate knows; heard are the gates that
	// know of this one.
	view  Roster
	heard map[GateID]bool

	claims claims
	// confirmed is when the roster was last seen to have this gate; seen is
	// when each other gate last answered.
	confirmed time.Time
	seen      map[GateID]time.Time
	// stale holds a token when somebody knows a newer roster than view.
	stale chan struct{}
}

// refresh has the keeper read the roster.
func (s *service) refresh() {
	select {
	case s.stale <- struct{}{}:
	default:
	}
}

// NewDeduplicator returns a gate that knows nothing.
func NewDeduplicator(self GateID, l Limits) *Deduplicator {
	return &Deduplicator{Self: self, Limits: l, services: map[string]*service{}}
}

// find returns the part in a service, nil where there is none.
func (k *Deduplicator) find(name string) *service {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.services[name]
}

// open returns the part in a service and makes it if need be.
func (k *Deduplicator) open(name string, now time.Time) *service {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.services[name]
	if s == nil {
		s = &service{book: NewRecordTable(k.Limits, now), heard: map[GateID]bool{}, seen: map[GateID]time.Time{}, stale: make(chan struct{}, 1)}
		s.claims.window = k.Limits.RetentionWindow
		k.services[name] = s
	}
	return s
}

// Services lists the services.
func (k *Deduplicator) Services() []string {
	k.mu.RLock()
	defer k.mu.RUnlock()
	var out []string
	for name := range k.services {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// Size returns the records and the bytes of saved answers of all services.
func (k *Deduplicator) Size() (records int, answers int64) {
	for _, name := range k.Services() {
		n, a := k.find(name).book.Size()
		records += n
		answers += a
	}
	return records, answers
}

// Ready tells whether the gate may let first attempts of a service through.
func (k *Deduplicator) Ready(name string) bool {
	s := k.find(name)
	if s == nil {
		return false
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.ready && !s.leaving
}

// RequiresAtMostOnce tells whether a call must run at most once and can be recognised.
func RequiresAtMostOnce(c *call.Call) bool { return c.IdempotencyKey != "" && !c.Idempotent }

// RequestFingerprint is the fingerprint by which a key's requests are told apart: method,
// target, type and length. The body streams, so its bytes are not part of it.
func RequestFingerprint(r *http.Request) uint64 {
	d := xxhash.New()
	for _, s := range []string{r.Method, r.URL.RequestURI(), r.Header.Get("Content-Type")} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	var length [8]byte
	for i := range length {
		length[i] = byte(r.ContentLength >> (8 * i))
	}
	_, _ = d.Write(length[:])
	return d.Sum64()
}

// Middleware implements call.Middleware at the gate.
func (k *Deduplicator) Middleware(next call.Handler) call.Handler {
	return func(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call.Call) call.Result {
		if !RequiresAtMostOnce(c) {
			return next(ctx, w, r, c)
		}
		var ballot Ballot
		if c.FencingToken != "" {
			var err error
			if ballot, err = ParseBallot(c.FencingToken); err != nil {
				return call.Refuse(api.CallHeader, err)
			}
		}
		s := k.find(c.Service)
		if s == nil {
			return call.Refuse(api.CallKeyNotReady, nil)
		}
		saved, code := s.begin(c.IdempotencyKey, ballot, RequestFingerprint(r))
		switch {
		case saved != nil:
			return saved.Write(w)
		case code != api.OK:
			return told(code)
		}
		return s.run(ctx, w, r, c, next)
	}
}

// told makes the result of a call that was not run now.
func told(code api.Code) call.Result {
	info := api.Info(code)
	return call.Result{Code: code, Ran: info.Ran, Status: info.HTTP}
}

func (s *service) begin(key string, b Ballot, print uint64) (*SavedResponse, api.Code) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if !s.ready || s.leaving || time.Since(s.confirmed) > confirmFor {
		return nil, api.CallKeyNotReady
	}
	return s.book.Begin(key, b, print, time.Now())
}

// run runs a call that was let through. Its run goes on to its deadline when
// the entry is gone, so that a later attempt finds its answer.
func (s *service) run(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call.Call, next call.Handler) call.Result {
	rec := &recorder{ResponseWriter: w, limit: s.book.limits.MaxResponseBytes}
	ran := api.RanUnknown
	defer func() { s.book.Finish(c.IdempotencyKey, ran, rec.kept(ran), time.Now()) }()
	res := next(context.WithoutCancel(ctx), rec, r, c)
	ran = res.Ran
	rec.over = rec.over || res.Code != api.OK
	return res
}

// GrantFence answers MethodFence.
func (k *Deduplicator) GrantFence(_ context.Context, q KeyRequest) (KeyReply, error) {
	s, err := k.asked(q)
	if err != nil {
		return KeyReply{}, err
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.leaving {
		return KeyReply{}, api.Errorf(api.CallLeaving, "the records of %s are being handed over", q.Service)
	}
	if q.RosterRevision < s.oldest {
		return KeyReply{Status: FenceStaleRoster}, nil
	}
	return s.book.Fence(q.Key, q.Ballot, q.Fingerprint, time.Now()), nil
}

// Lookup answers MethodLookup.
func (k *Deduplicator) Lookup(_ context.Context, q KeyRequest) (KeyReply, error) {
	s, err := k.asked(q)
	if err != nil {
		return KeyReply{}, err
	}
	return s.book.Lookup(q.Key, q.Fingerprint, time.Now()), nil
}

// asked finds the service of a question to this incarnation.
func (k *Deduplicator) asked(q KeyRequest) (*service, error) {
	s := k.find(q.Service)
	if s == nil || q.Incarnation != 0 && q.Incarnation != k.Self.Incarnation {
		return nil, api.Errorf(api.PeerNotKnown, "no such gate of %s", q.Service)
	}
	return s, nil
}

// AdmitGate answers MethodJoin: from now on no fence of a roster without the
// joining gate is granted, and no key whose home it is is numbered here. It is
// told every fence granted before, and every such key numbered before.
func (k *Deduplicator) AdmitGate(_ context.Context, j JoinRequest) (JoinReply, error) {
	s := k.find(j.Service)
	if s == nil || j.Incarnation != k.Self.Incarnation {
		return JoinReply{}, api.Errorf(api.PeerNotKnown, "no such gate of %s", j.Service)
	}
	roster := Roster{Gates: j.Gates, Revision: j.Revision}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.adopt(roster)
	s.oldest = max(s.oldest, j.Revision)
	moving := s.claims.of(roster, j.JoiningGate)
	if len(moving) > maxMoving {
		return JoinReply{}, api.Errorf(api.CallShed, "too many keys to hand over")
	}
	if !s.ready || s.leaving {
		return JoinReply{Claims: moving}, nil
	}
	out := page(s.book.fenced(time.Now()), j.AfterKey)
	out.Ready = true
	out.Claims = moving
	return out, nil
}

// adopt takes a newer roster for the gate's view; the caller holds mu.
func (s *service) adopt(r Roster) {
	if r.Revision > s.view.Revision {
		s.view = r
	}
}

// Claim answers MethodClaim.
func (k *Deduplicator) Claim(_ context.Context, c ClaimRequest) (ClaimReply, error) {
	s := k.find(c.Service)
	if s == nil {
		return ClaimReply{}, api.Errorf(api.PeerNotKnown, "no gate of %s", c.Service)
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	if !s.ready || s.leaving {
		return ClaimReply{}, nil
	}
	if c.Release {
		s.claims.back(hashKey(c.Key))
		return ClaimReply{}, nil
	}
	if c.Revision > s.view.Revision {
		s.refresh()
	}
	key := hashKey(c.Key)
	if c.Incarnation != 0 && c.Incarnation != k.Self.Incarnation {
		return ClaimReply{Gates: s.view.Gates, Revision: s.view.Revision}, nil
	}
	if home, ok := s.view.Owner(key); !ok || home != k.Self {
		return ClaimReply{Gates: s.view.Gates, Revision: s.view.Revision}, nil
	}
	if !mayNumber(s.view, k.Self, func(g GateID) bool { return s.heard[g] }, key) {
		return ClaimReply{}, nil
	}
	if s.claims.first(key, k.Limits.MaxRecords, time.Now()) {
		return ClaimReply{IsFirst: true}, nil
	}
	return ClaimReply{IsRepeat: true}, nil
}

// fenced lists the records that a joining gate must know.
func (b *RecordTable) fenced(now time.Time) []KeyRecord {
	var out []KeyRecord
	b.Each(now, func(known KeyRecord) {
		state := known.State.FenceForJoiner()
		if state.Phase != PhaseAbsent {
			out = append(out, KeyRecord{Key: known.Key, State: state})
		}
	})
	return out
}

// page cuts the keys after a key, in key order, to one page.
func page(all []KeyRecord, after string) JoinReply {
	slices.SortFunc(all, func(a, b KeyRecord) int { return strings.Compare(a.Key, b.Key) })
	i, _ := slices.BinarySearchFunc(all, after, func(a KeyRecord, key string) int { return strings.Compare(a.Key, key) })
	for i < len(all) && all[i].Key <= after {
		i++
	}
	rest := all[i:]
	if len(rest) > pageKeys {
		return JoinReply{Records: rest[:pageKeys], More: true}
	}
	return JoinReply{Records: rest}
}
