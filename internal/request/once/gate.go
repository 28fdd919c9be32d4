package once

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

// pageKeys is how many fenced keys one Joined carries.
const pageKeys = 4096

// maxMoving is how many claims one Joined carries.
const maxMoving = 60_000

// Keys is what one gate knows of keyed calls, per service.
type Keys struct {
	// Self is this incarnation.
	Self   Gate
	Limits Limits

	mu       sync.RWMutex
	services map[string]*service
}

// service is a gate's part in one service.
type service struct {
	book *Book

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
	heard map[Gate]bool

	claims claims
	// confirmed is when the roster was last seen to have this gate; seen is
	// when each other gate last answered.
	confirmed time.Time
	seen      map[Gate]time.Time
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

// NewKeys returns a gate that knows nothing.
func NewKeys(self Gate, l Limits) *Keys {
	return &Keys{Self: self, Limits: l, services: map[string]*service{}}
}

// find returns the part in a service, nil where there is none.
func (k *Keys) find(name string) *service {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.services[name]
}

// open returns the part in a service and makes it if need be.
func (k *Keys) open(name string, now time.Time) *service {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.services[name]
	if s == nil {
		s = &service{book: NewBook(k.Limits, now), heard: map[Gate]bool{}, seen: map[Gate]time.Time{}, stale: make(chan struct{}, 1)}
		s.claims.window = k.Limits.Window
		k.services[name] = s
	}
	return s
}

// Names lists the services.
func (k *Keys) Names() []string {
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
func (k *Keys) Size() (records int, answers int64) {
	for _, name := range k.Names() {
		n, a := k.find(name).book.Size()
		records += n
		answers += a
	}
	return records, answers
}

// Ready tells whether the gate may let first attempts of a service through.
func (k *Keys) Ready(name string) bool {
	s := k.find(name)
	if s == nil {
		return false
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.ready && !s.leaving
}

// Guarded tells whether a call must run at most once and can be recognised.
func Guarded(c *call.Call) bool { return c.Key != "" && !c.Idempotent }

// Print is the fingerprint by which a key's requests are told apart: method,
// target, type and length. The body streams, so its bytes are not part of it.
func Print(r *http.Request) uint64 {
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
func (k *Keys) Middleware(next call.Handler) call.Handler {
	return func(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call.Call) call.Result {
		if !Guarded(c) {
			return next(ctx, w, r, c)
		}
		var ballot Ballot
		if c.Fence != "" {
			var err error
			if ballot, err = ParseBallot(c.Fence); err != nil {
				return call.Refuse(api.CallHeader, err)
			}
		}
		s := k.find(c.Service)
		if s == nil {
			return call.Refuse(api.CallKeyNotReady, nil)
		}
		saved, code := s.begin(c.Key, ballot, Print(r))
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

func (s *service) begin(key string, b Ballot, print uint64) (*Answer, api.Code) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if !s.ready || s.leaving || time.Since(s.confirmed) > confirmFor {
		return nil, api.CallKeyNotReady
	}
	return s.book.Start(key, b, print, time.Now())
}

// run runs a call that was let through. Its run goes on to its deadline when
// the entry is gone, so that a later attempt finds its answer.
func (s *service) run(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call.Call, next call.Handler) call.Result {
	rec := &recorder{ResponseWriter: w, limit: s.book.limits.AnswerBytes}
	ran := api.RanUnknown
	defer func() { s.book.End(c.Key, ran, rec.kept(ran), time.Now()) }()
	res := next(context.WithoutCancel(ctx), rec, r, c)
	ran = res.Ran
	rec.over = rec.over || res.Code != api.OK
	return res
}

// Fence answers MethodFence.
func (k *Keys) Fence(_ context.Context, q Question) (Reply, error) {
	s, err := k.asked(q)
	if err != nil {
		return Reply{}, err
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.leaving {
		return Reply{}, api.Errorf(api.CallLeaving, "the records of %s are being handed over", q.Service)
	}
	if q.Revision < s.oldest {
		return Reply{Grant: Stale}, nil
	}
	return s.book.Fence(q.Key, q.Ballot, q.Print, time.Now()), nil
}

// Look answers MethodLook.
func (k *Keys) Look(_ context.Context, q Question) (Reply, error) {
	s, err := k.asked(q)
	if err != nil {
		return Reply{}, err
	}
	return s.book.Look(q.Key, q.Print, time.Now()), nil
}

// asked finds the service of a question to this incarnation.
func (k *Keys) asked(q Question) (*service, error) {
	s := k.find(q.Service)
	if s == nil || q.Gate != 0 && q.Gate != k.Self.Instance {
		return nil, api.Errorf(api.PeerNotKnown, "no such gate of %s", q.Service)
	}
	return s, nil
}

// Join answers MethodJoin: from now on no fence of a roster without the
// joining gate is granted, and no key whose home it is is numbered here. It is
// told every fence granted before, and every such key numbered before.
func (k *Keys) Join(_ context.Context, j Join) (Joined, error) {
	s := k.find(j.Service)
	if s == nil || j.Gate != k.Self.Instance {
		return Joined{}, api.Errorf(api.PeerNotKnown, "no such gate of %s", j.Service)
	}
	roster := Roster{Gates: j.Gates, Revision: j.Revision}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.adopt(roster)
	s.oldest = max(s.oldest, j.Revision)
	moving := s.claims.of(roster, j.Joining)
	if len(moving) > maxMoving {
		return Joined{}, api.Errorf(api.CallShed, "too many keys to hand over")
	}
	if !s.ready || s.leaving {
		return Joined{Claims: moving}, nil
	}
	out := page(s.book.fenced(time.Now()), j.After)
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
func (k *Keys) Claim(_ context.Context, c Claim) (Claimed, error) {
	s := k.find(c.Service)
	if s == nil {
		return Claimed{}, api.Errorf(api.PeerNotKnown, "no gate of %s", c.Service)
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	if !s.ready || s.leaving {
		return Claimed{}, nil
	}
	if c.Back {
		s.claims.back(hashKey(c.Key))
		return Claimed{}, nil
	}
	if c.Revision > s.view.Revision {
		s.refresh()
	}
	key := hashKey(c.Key)
	if c.Gate != 0 && c.Gate != k.Self.Instance {
		return Claimed{Gates: s.view.Gates, Revision: s.view.Revision}, nil
	}
	if home, ok := s.view.Home(key); !ok || home != k.Self {
		return Claimed{Gates: s.view.Gates, Revision: s.view.Revision}, nil
	}
	if !mayNumber(s.view, k.Self, func(g Gate) bool { return s.heard[g] }, key) {
		return Claimed{}, nil
	}
	if s.claims.first(key, k.Limits.Records, time.Now()) {
		return Claimed{First: true}, nil
	}
	return Claimed{Later: true}, nil
}

// fenced lists the records that a joining gate must know.
func (b *Book) fenced(now time.Time) []Known {
	var out []Known
	b.Each(now, func(known Known) {
		state := known.State.Joiner()
		if state.Phase != Absent {
			out = append(out, Known{Key: known.Key, State: state})
		}
	})
	return out
}

// page cuts the keys after a key, in key order, to one page.
func page(all []Known, after string) Joined {
	slices.SortFunc(all, func(a, b Known) int { return strings.Compare(a.Key, b.Key) })
	i, _ := slices.BinarySearchFunc(all, after, func(a Known, key string) int { return strings.Compare(a.Key, key) })
	for i < len(all) && all[i].Key <= after {
		i++
	}
	rest := all[i:]
	if len(rest) > pageKeys {
		return Joined{Known: rest[:pageKeys], More: true}
	}
	return Joined{Known: rest}
}
