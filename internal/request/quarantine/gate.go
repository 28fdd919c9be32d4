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

// Gate watches the requests that run at one upstream.
type Gate struct {
	Ledger *Ledger
	// Reachable tells whether the upstream takes connections.
	Reachable func() bool
	// Tell brings a fact to the other gates of its service, and spreads it. It
	// returns when those gates know, or its own time is up.
	Tell func(Fact)
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

// NewGate returns a gate without requests.
func NewGate(l *Ledger, reachable func() bool, tell func(Fact)) *Gate {
	return &Gate{Ledger: l, Reachable: reachable, Tell: tell, running: map[*run]struct{}{}}
}

// Announced takes note of an announcement of the upstream.
func (g *Gate) Announced() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.announced++
	g.dead = false
}

// Middleware implements call.Middleware at the gate.
func (g *Gate) Middleware(next call.Handler) call.Handler {
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
func (g *Gate) judge(n *run) (Verdict, []uint64) {
	if !g.Ledger.Any(n.service) {
		return Free, nil
	}
	return g.Ledger.Judge(n.service, n.print())
}

func (g *Gate) refuse() call.Result {
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
func (g *Gate) watch(n *run, do func() call.Result) call.Result {
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
func (g *Gate) open(n *run) {
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
func (g *Gate) decide(q *inquest) {
	defer close(q.done)
	e := Evidence{Reachable: g.Reachable(), Running: len(q.runs)}
	if e.Reachable && e.Running > 1 {
		time.Sleep(settle)
	}
	g.mu.Lock()
	e.Announced = g.announced != q.announced
	for _, n := range q.runs {
		if n.cut {
			e.Cut++
		}
	}
	same := g.dead && !e.Reachable
	crashed := Crashed(e)
	g.dead = crashed
	g.mu.Unlock()
	if same || !crashed {
		g.dismiss(q)
		return
	}
	g.count("crashes")
	f := g.fact(q, time.Now())
	klog.Warningf(logPrefix+"the upstream of %s died with %d requests; %d of them were suspect", f.Service, len(f.Prints), len(f.Again))
	g.Ledger.Add(f)
	g.Tell(f)
}

// dismiss lets the runs that go on be looked into again.
func (g *Gate) dismiss(q *inquest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for n := range g.running {
		if n.inquest == q {
			n.inquest = nil
		}
	}
}

// fact writes down a crash.
func (g *Gate) fact(q *inquest, now time.Time) Fact {
	f := Fact{ID: rand.Uint64(), Service: q.runs[0].service, Until: now.Add(SuspectFor).Unix()}
	for _, n := range q.runs[:min(len(q.runs), maxPrints)] {
		p := n.print()
		f.Prints = append(f.Prints, p)
		if verdict, _ := g.Ledger.Judge(f.Service, p); verdict != Free {
			f.Again = append(f.Again, p)
			f.Until = now.Add(QuarantineFor).Unix()
		}
	}
	return f
}

// clear tells that a suspect ran alone well.
func (g *Gate) clear(service string, p Fingerprint, blame []uint64) {
	g.count("cleared")
	f := Fact{ID: rand.Uint64(), Service: service, Cleared: p, Crashes: blame, Until: time.Now().Add(SuspectFor).Unix()}
	g.Ledger.Add(f)
	g.Tell(f)
}

func (g *Gate) count(name string) {
	if g.Metrics != nil {
		g.Metrics.Add(name, 1)
	}
}

// Entry returns the middleware of the entry: it refuses what every gate of
// the service would refuse.
func Entry(l *Ledger) call.Middleware {
	return func(next call.Handler) call.Handler {
		return func(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call.Call) call.Result {
			if !l.Any(c.Service) {
				return next(ctx, w, r, c)
			}
			about, err := read(r)
			if err != nil {
				return call.Refuse(api.CallBody, err)
			}
			if verdict, _ := l.Judge(c.Service, about.print()); verdict == Quarantined {
				return call.Refuse(api.CallQuarantined, nil)
			}
			return next(ctx, w, r, c)
		}
	}
}
