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
const maxPageKeys = 4096

// maxMoving is how many claims one JoinReply carries.
const maxPageClaims = 60_000

// Deduplicator is what one gate knows of keyed calls, per service.
type Deduplicator struct {
	// Self is this incarnation.
	Self   GateID
	Limits Limits

	mu       sync.RWMutex
	services map[string]*serviceState
}

// service is a gate's part in one service.
type serviceState struct {
	table *RecordTable

	// mu orders changes of the fields below against starts and fences: a gate
	// that joins is answered with every fence that was granted before, and
	// fences of older rosters are refused after.
	mu sync.RWMutex
	// ready: the gate may let first attempts through.
	ready bool
	// leaving: the records are being handed over; nothing starts any more.
	draining bool
	// oldest is the lowest roster revision by which fences are granted.
	minRevision uint64
	// view is the newest roster that the gate knows; heard are the gates that
	// know of this one.
	roster  Roster
	knownBy map[GateID]bool

	claims claimSet
	// confirmed is when the roster was last seen to have this gate; seen is
	// when each other gate last answered.
	confirmedAt time.Time
	lastReply   map[GateID]time.Time
	// stale holds a token when somebody knows a newer roster than view.
	refreshSignal chan struct{}
}

// refresh has the keeper read the roster.
func (s *serviceState) requestRefresh() {
	select {
	case s.refreshSignal <- struct{}{}:
	default:
	}
}

// NewDeduplicator returns a gate that knows nothing.
func NewDeduplicator(self GateID, l Limits) *Deduplicator {
	return &Deduplicator{Self: self, Limits: l, services: map[string]*serviceState{}}
}

// find returns the part in a service, nil where there is none.
func (d *Deduplicator) find(name string) *serviceState {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.services[name]
}

// open returns the part in a service and makes it if need be.
func (d *Deduplicator) getOrCreate(name string, now time.Time) *serviceState {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.services[name]
	if s == nil {
		s = &serviceState{table: NewRecordTable(d.Limits, now), knownBy: map[GateID]bool{}, lastReply: map[GateID]time.Time{}, refreshSignal: make(chan struct{}, 1)}
		s.claims.window = d.Limits.RetentionWindow
		d.services[name] = s
	}
	return s
}

// Services lists the services.
func (d *Deduplicator) Services() []string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var out []string
	for name := range d.services {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// Size returns the records and the bytes of saved answers of all services.
func (d *Deduplicator) Size() (records int, responseBytes int64) {
	for _, name := range d.Services() {
		n, bytes := d.find(name).table.Size()
		records += n
		responseBytes += bytes
	}
	return records, responseBytes
}

// Ready tells whether the gate may let first attempts of a service through.
func (d *Deduplicator) Ready(name string) bool {
	s := d.find(name)
	if s == nil {
		return false
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.ready && !s.draining
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
func (d *Deduplicator) Middleware(next call.Handler) call.Handler {
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
		s := d.find(c.Service)
		if s == nil {
			return call.Refuse(api.CallKeyNotReady, nil)
		}
		saved, code := s.begin(c.IdempotencyKey, ballot, RequestFingerprint(r))
		switch {
		case saved != nil:
			return saved.Write(w)
		case code != api.OK:
			return storedOutcome(code)
		}
		return s.run(ctx, w, r, c, next)
	}
}

// told makes the result of a call that was not run now.
func storedOutcome(code api.Code) call.Result {
	info := api.Info(code)
	return call.Result{Code: code, Ran: info.Ran, Status: info.HTTP}
}

func (s *serviceState) begin(key string, b Ballot, fingerprint uint64) (*SavedResponse, api.Code) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if !s.ready || s.draining || time.Since(s.confirmedAt) > confirmationTTL {
		return nil, api.CallKeyNotReady
	}
	return s.table.Begin(key, b, fingerprint, time.Now())
}

// run runs a call that was let through. Its run goes on to its deadline when
// the entry is gone, so that a later attempt finds its answer.
func (s *serviceState) run(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call.Call, next call.Handler) call.Result {
	rec := &responseRecorder{ResponseWriter: w, limit: s.table.limits.MaxResponseBytes}
	ran := api.RanUnknown
	defer func() { s.table.Finish(c.IdempotencyKey, ran, rec.savedResponse(ran), time.Now()) }()
	res := next(context.WithoutCancel(ctx), rec, r, c)
	ran = res.Ran
	rec.overLimit = rec.overLimit || res.Code != api.OK
	return res
}

// GrantFence answers MethodFence.
func (d *Deduplicator) GrantFence(_ context.Context, request KeyRequest) (KeyReply, error) {
	s, err := d.requestedService(request)
	if err != nil {
		return KeyReply{}, err
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.draining {
		return KeyReply{}, api.Errorf(api.CallLeaving, "the records of %s are being handed over", request.Service)
	}
	if request.RosterRevision < s.minRevision {
		return KeyReply{Status: FenceStaleRoster}, nil
	}
	return s.table.Fence(request.Key, request.Ballot, request.Fingerprint, time.Now()), nil
}

// Lookup answers MethodLookup.
func (d *Deduplicator) Lookup(_ context.Context, request KeyRequest) (KeyReply, error) {
	s, err := d.requestedService(request)
	if err != nil {
		return KeyReply{}, err
	}
	return s.table.Lookup(request.Key, request.Fingerprint, time.Now()), nil
}

// asked finds the service of a question to this incarnation.
func (d *Deduplicator) requestedService(request KeyRequest) (*serviceState, error) {
	s := d.find(request.Service)
	if s == nil || request.Incarnation != 0 && request.Incarnation != d.Self.Incarnation {
		return nil, api.Errorf(api.PeerNotKnown, "no such gate of %s", request.Service)
	}
	return s, nil
}

// AdmitGate answers MethodJoin: from now on no fence of a roster without the
// joining gate is granted, and no key whose home it is is numbered here. It is
// told every fence granted before, and every such key numbered before.
func (d *Deduplicator) AdmitGate(_ context.Context, request JoinRequest) (JoinReply, error) {
	s := d.find(request.Service)
	if s == nil || request.Incarnation != d.Self.Incarnation {
		return JoinReply{}, api.Errorf(api.PeerNotKnown, "no such gate of %s", request.Service)
	}
	roster := Roster{Gates: request.Gates, Revision: request.Revision}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.adoptRoster(roster)
	s.minRevision = max(s.minRevision, request.Revision)
	claims := s.claims.ownedBy(roster, request.JoiningGate)
	if len(claims) > maxPageClaims {
		return JoinReply{}, api.Errorf(api.CallShed, "too many keys to hand over")
	}
	if !s.ready || s.draining {
		return JoinReply{Claims: claims}, nil
	}
	reply := pageAfter(s.table.fencesForJoiner(time.Now()), request.AfterKey)
	reply.Ready = true
	reply.Claims = claims
	return reply, nil
}

// adopt takes a newer roster for the gate's view; the caller holds mu.
func (s *serviceState) adoptRoster(r Roster) {
	if r.Revision > s.roster.Revision {
		s.roster = r
	}
}

// Claim answers MethodClaim.
func (d *Deduplicator) Claim(_ context.Context, request ClaimRequest) (ClaimReply, error) {
	s := d.find(request.Service)
	if s == nil {
		return ClaimReply{}, api.Errorf(api.PeerNotKnown, "no gate of %s", request.Service)
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	if !s.ready || s.draining {
		return ClaimReply{}, nil
	}
	if request.Release {
		s.claims.release(hashKey(request.Key))
		return ClaimReply{}, nil
	}
	if request.Revision > s.roster.Revision {
		s.requestRefresh()
	}
	key := hashKey(request.Key)
	if request.Incarnation != 0 && request.Incarnation != d.Self.Incarnation {
		return ClaimReply{Gates: s.roster.Gates, Revision: s.roster.Revision}, nil
	}
	if owner, ok := s.roster.Owner(key); !ok || owner != d.Self {
		return ClaimReply{Gates: s.roster.Gates, Revision: s.roster.Revision}, nil
	}
	if !isSoleOwner(s.roster, d.Self, func(g GateID) bool { return s.knownBy[g] }, key) {
		return ClaimReply{}, nil
	}
	if s.claims.claim(key, d.Limits.MaxRecords, time.Now()) {
		return ClaimReply{IsFirst: true}, nil
	}
	return ClaimReply{IsRepeat: true}, nil
}

// fenced lists the records that a joining gate must know.
func (t *RecordTable) fencesForJoiner(now time.Time) []KeyRecord {
	var out []KeyRecord
	t.Each(now, func(record KeyRecord) {
		state := record.State.FenceForJoiner()
		if state.Phase != PhaseAbsent {
			out = append(out, KeyRecord{Key: record.Key, State: state})
		}
	})
	return out
}

// page cuts the keys after a key, in key order, to one page.
func pageAfter(all []KeyRecord, after string) JoinReply {
	slices.SortFunc(all, func(a, b KeyRecord) int { return strings.Compare(a.Key, b.Key) })
	i, _ := slices.BinarySearchFunc(all, after, func(a KeyRecord, key string) int { return strings.Compare(a.Key, key) })
	for i < len(all) && all[i].Key <= after {
		i++
	}
	rest := all[i:]
	if len(rest) > maxPageKeys {
		return JoinReply{Records: rest[:maxPageKeys], More: true}
	}
	return JoinReply{Records: rest}
}
