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

// maxPageKeys is the maximum number of fenced keys in one JoinReply.
const maxPageKeys = 4096

// maxPageClaims is the maximum number of claims in one JoinReply.
const maxPageClaims = 60_000

// Deduplicator tracks the keyed calls of one gate, per service.
type Deduplicator struct {
	// Self identifies this incarnation of the gate.
	Self   GateID
	Limits Limits

	mu       sync.RWMutex
	services map[string]*serviceState
}

// serviceState is a gate's state for one service.
type serviceState struct {
	table *RecordTable

	// mu orders changes of the fields below with starts and fences: the reply to
	// a joining gate contains every fence granted before it, and fences of older
	// rosters are rejected after it.
	mu sync.RWMutex
	// ready is true once the gate may start first attempts.
	ready bool
	// draining is true while records are handed over; no attempt is started.
	draining bool
	// minRevision is the lowest roster revision for which fences are granted.
	minRevision uint64
	// roster is the newest known roster; knownBy holds the gates that have
	// acknowledged this one.
	roster  Roster
	knownBy map[GateID]bool

	claims claimSet
	// confirmedAt is when the roster was last seen to contain this gate;
	// lastReply is when each other gate last replied, or was first probed if it
	// has not replied yet.
	confirmedAt time.Time
	lastReply   map[GateID]time.Time
	// refreshSignal holds a token if another node has a newer roster.
	refreshSignal chan struct{}
}

// requestRefresh makes the roster manager read the roster.
func (s *serviceState) requestRefresh() {
	select {
	case s.refreshSignal <- struct{}{}:
	default:
	}
}

// NewDeduplicator returns a deduplicator without services.
func NewDeduplicator(self GateID, l Limits) *Deduplicator {
	return &Deduplicator{Self: self, Limits: l, services: map[string]*serviceState{}}
}

// find returns the state of a service, nil if there is none.
func (d *Deduplicator) find(name string) *serviceState {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.services[name]
}

// getOrCreate returns the state of a service, creating it if needed.
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

// Services returns the names of the services, sorted.
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

// Size returns the number of records and the total size of saved responses of
// all services.
func (d *Deduplicator) Size() (records int, responseBytes int64) {
	for _, name := range d.Services() {
		n, bytes := d.find(name).table.Size()
		records += n
		responseBytes += bytes
	}
	return records, responseBytes
}

// Ready reports whether the gate may start first attempts of a service.
func (d *Deduplicator) Ready(name string) bool {
	s := d.find(name)
	if s == nil {
		return false
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.ready && !s.draining
}

// RequiresAtMostOnce reports whether a call must run at most once and has a key.
func RequiresAtMostOnce(c *call.Call) bool { return c.IdempotencyKey != "" && !c.Idempotent }

// RequestFingerprint distinguishes the requests that use one key, by method,
// target, content type and length. The body is streamed and not part of it.
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

// storedOutcome returns the result of a call that was not run now, for the
// outcome of an earlier attempt.
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

// run runs a started attempt. It continues until its deadline even if the entry
// disconnects, so that a repeated attempt finds the response.
func (s *serviceState) run(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call.Call, next call.Handler) call.Result {
	rec := &responseRecorder{ResponseWriter: w, limit: s.table.limits.MaxResponseBytes}
	ran := api.RanUnknown
	defer func() { s.table.Finish(c.IdempotencyKey, ran, rec.savedResponse(ran), time.Now()) }()
	res := next(context.WithoutCancel(ctx), rec, r, c)
	ran = res.Ran
	rec.overLimit = rec.overLimit || res.Code != api.OK
	return res
}

// GrantFence handles MethodFence.
func (d *Deduplicator) GrantFence(_ context.Context, request KeyRequest) (KeyReply, error) {
	s, err := d.requestedService(request)
	if err != nil {
		return KeyReply{}, err
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.draining {
		return KeyReply{}, api.Errorf(api.CallLeaving, "the records of service %q are being handed over", request.Service)
	}
	if request.RosterRevision < s.minRevision {
		return KeyReply{Status: FenceStaleRoster}, nil
	}
	return s.table.Fence(request.Key, request.Ballot, request.Fingerprint, time.Now()), nil
}

// Lookup handles MethodLookup.
func (d *Deduplicator) Lookup(_ context.Context, request KeyRequest) (KeyReply, error) {
	s, err := d.requestedService(request)
	if err != nil {
		return KeyReply{}, err
	}
	return s.table.Lookup(request.Key, request.Fingerprint, time.Now()), nil
}

// requestedService returns the service of a request to this incarnation.
func (d *Deduplicator) requestedService(request KeyRequest) (*serviceState, error) {
	s := d.find(request.Service)
	if s == nil || request.Incarnation != 0 && request.Incarnation != d.Self.Incarnation {
		return nil, api.Errorf(api.PeerNotKnown, "no gate of service %q with the requested incarnation", request.Service)
	}
	return s, nil
}

// AdmitGate handles MethodJoin. From now on, fences of a roster without the
// joining gate are rejected, and keys that the joining gate owns are not
// claimed here. The reply contains all fences granted and all such claims made
// so far.
func (d *Deduplicator) AdmitGate(_ context.Context, request JoinRequest) (JoinReply, error) {
	s := d.find(request.Service)
	if s == nil || request.Incarnation != d.Self.Incarnation {
		return JoinReply{}, api.Errorf(api.PeerNotKnown, "no gate of service %q with the requested incarnation", request.Service)
	}
	roster := Roster{Gates: request.Gates, Revision: request.Revision}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.adoptRoster(roster)
	s.minRevision = max(s.minRevision, request.Revision)
	claims := s.claims.ownedBy(roster, request.JoiningGate)
	if len(claims) > maxPageClaims {
		return JoinReply{}, api.Errorf(api.CallShed, "too many claims for one reply")
	}
	if !s.ready || s.draining {
		return JoinReply{Claims: claims}, nil
	}
	reply := pageAfter(s.table.fencesForJoiner(time.Now()), request.AfterKey)
	reply.Ready = true
	reply.Claims = claims
	return reply, nil
}

// adoptRoster replaces the roster by a newer one. The caller holds mu.
func (s *serviceState) adoptRoster(r Roster) {
	if r.Revision > s.roster.Revision {
		s.roster = r
	}
}

// Claim handles MethodClaim.
func (d *Deduplicator) Claim(_ context.Context, request ClaimRequest) (ClaimReply, error) {
	s := d.find(request.Service)
	if s == nil {
		return ClaimReply{}, api.Errorf(api.PeerNotKnown, "no gate of service %q", request.Service)
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

// fencesForJoiner returns the fences that a joining gate must respect.
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

// pageAfter returns one page of the records after a key, in key order.
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
