package quarantine

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/request/call"
)

const logPrefix = "quarantine: "

// How long requests wait at the turnstile, at most.
const (
	alonePatience = 2 * time.Second
	// sharedPatience is short: another gate may take the request at once.
	sharedPatience = 50 * time.Millisecond
	// waitPart of its time left is what a request may wait.
	waitPart = 2
)

// CrashMonitor watches the requests that run at one upstream.
type CrashMonitor struct {
	Events *EventSet
	// Reachable tells whether the upstream takes connections.
	Reachable func() bool
	// Broadcast brings a fact to the other gates of its service, and spreads it. It
	// returns when those gates know, or its own time is up.
	Broadcast func(Event)
	// Metrics may be nil.
	Metrics *expvar.Map

	turnstile turnstile

	mu      sync.Mutex
	running map[*run]struct{}
	// announced counts the upstream's announcements.
	announced int
	// dead is set from a crash until the upstream answers or announces itself
	// again: connections that break meanwhile belong to that crash.
	dead bool
}

// run is one request in the upstream.
type run struct {
	subject
	service string
	cut     bool
	// inquest is the one whose crash this run was in.
	inquest *inquest
}

// inquest finds out about one crash; done closes when the gates know.
type inquest struct {
	runs      []*run
	announced int
	done      chan struct{}
}

// NewCrashMonitor returns a gate without requests.
func NewCrashMonitor(l *EventSet, reachable func() bool, tell func(Event)) *CrashMonitor {
	return &CrashMonitor{Events: l, Reachable: reachable, Broadcast: tell, running: map[*run]struct{}{}}
}

// UpstreamAnnounced takes note of an announcement of the upstream.
func (g *CrashMonitor) UpstreamAnnounced() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.announced++
	g.dead = false
}

// Middleware implements call.Middleware at the gate.
func (g *CrashMonitor) Middleware(next call.Handler) call.Handler {
	return func(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call.Call) call.Result {
		about, err := read(r)
		if err != nil {
			return call.Refuse(api.CallBody, err)
		}
		n := &run{subject: about, service: c.Service}
		verdict, blame := g.judge(n)
		if verdict == Quarantined {
			return g.refuse()
		}
		alone := verdict == Suspect
		if !g.turnstile.enter(ctx, alone, patience(alone, c.TimeLeft(time.Now()))) {
			return call.Refuse(api.CallShed, nil)
		}
		defer g.turnstile.leave(alone)
		// It may have crashed another upstream while it waited.
		if verdict, _ := g.judge(n); verdict == Quarantined {
			return g.refuse()
		}
		res := g.watch(n, func() call.Result { return next(ctx, w, r, c) })
		if alone && res.Code == api.OK {
			g.clear(c.Service, n.print(), blame)
		}
		return res
	}
}

// judge finds the verdict on a request.
func (g *CrashMonitor) judge(n *run) (Verdict, []uint64) {
	if !g.Events.HasSuspects(n.service) {
		return Unsuspected, nil
	}
	return g.Events.Lookup(n.service, n.print())
}

func (g *CrashMonitor) refuse() call.Result {
	g.count("refused")
	return call.Refuse(api.CallQuarantined, nil)
}

func patience(alone bool, left time.Duration) time.Duration {
	if alone {
		return min(alonePatience, left/waitPart)
	}
	return min(sharedPatience, left/waitPart)
}

// watch runs a request and looks into its end.
func (g *CrashMonitor) watch(n *run, do func() call.Result) call.Result {
	g.mu.Lock()
	g.running[n] = struct{}{}
	g.mu.Unlock()
	res := do()
	cut := res.Code == api.CallCut || res.Code == api.CallShortAnswer
	g.mu.Lock()
	delete(g.running, n)
	n.cut = cut
	if res.Code == api.OK {
		g.dead = false
	}
	if cut && n.inquest == nil {
		g.open(n)
	}
	q := n.inquest
	g.mu.Unlock()
	if cut {
		<-q.done
	}
	return res
}

// open begins an inquest into a run that was cut; the caller holds mu.
func (g *CrashMonitor) open(n *run) {
	q := &inquest{runs: []*run{n}, announced: g.announced, done: make(chan struct{})}
	n.inquest = q
	for other := range g.running {
		if other.inquest == nil {
			other.inquest = q
			q.runs = append(q.runs, other)
		}
	}
	go g.decide(q)
}

// decide ends an inquest, and tells the other gates of a crash.
func (g *CrashMonitor) decide(q *inquest) {
	defer close(q.done)
	e := CrashEvidence{Reachable: g.Reachable(), RequestsRunning: len(q.runs)}
	if e.Reachable && e.RequestsRunning > 1 {
		time.Sleep(settle)
	}
	g.mu.Lock()
	e.Reannounced = g.announced != q.announced
	for _, n := range q.runs {
		if n.cut {
			e.ConnectionsLost++
		}
	}
	same := g.dead && !e.Reachable
	crashed := IsCrash(e)
	g.dead = crashed
	g.mu.Unlock()
	if same || !crashed {
		g.dismiss(q)
		return
	}
	g.count("crashes")
	f := g.fact(q, time.Now())
	klog.Warningf(logPrefix+"the upstream of %s died with %d requests; %d of them were suspect", f.Service, len(f.Fingerprints), len(f.RepeatSuspects))
	g.Events.Add(f)
	g.Broadcast(f)
}

// dismiss lets the runs that go on be looked into again.
func (g *CrashMonitor) dismiss(q *inquest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for n := range g.running {
		if n.inquest == q {
			n.inquest = nil
		}
	}
}

// fact writes down a crash.
func (g *CrashMonitor) fact(q *inquest, now time.Time) Event {
	f := Event{ID: rand.Uint64(), Service: q.runs[0].service, ExpiresUnix: now.Add(SuspectTTL).Unix()}
	for _, n := range q.runs[:min(len(q.runs), maxPrints)] {
		p := n.print()
		f.Fingerprints = append(f.Fingerprints, p)
		if verdict, _ := g.Events.Lookup(f.Service, p); verdict != Unsuspected {
			f.RepeatSuspects = append(f.RepeatSuspects, p)
			f.ExpiresUnix = now.Add(QuarantineTTL).Unix()
		}
	}
	return f
}

// clear tells that a suspect ran alone well.
func (g *CrashMonitor) clear(service string, p Fingerprint, blame []uint64) {
	g.count("cleared")
	f := Event{ID: rand.Uint64(), Service: service, Cleared: p, ClearedCrashes: blame, ExpiresUnix: time.Now().Add(SuspectTTL).Unix()}
	g.Events.Add(f)
	g.Broadcast(f)
}

func (g *CrashMonitor) count(name string) {
	if g.Metrics != nil {
		g.Metrics.Add(name, 1)
	}
}

// EntryMiddleware returns the middleware of the entry: it refuses what every gate of
// the service would refuse.
func EntryMiddleware(l *EventSet) call.Middleware {
	return func(next call.Handler) call.Handler {
		return func(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call.Call) call.Result {
			if !l.HasSuspects(c.Service) {
				return next(ctx, w, r, c)
			}
			about, err := read(r)
			if err != nil {
				return call.Refuse(api.CallBody, err)
			}
			if verdict, _ := l.Lookup(c.Service, about.print()); verdict == Quarantined {
				return call.Refuse(api.CallQuarantined, nil)
			}
			return next(ctx, w, r, c)
		}
	}
}
