// Package gate is the only way into the upstream beside a node, so that it
// can tell truthfully what ran.
package gate

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/request/call"
	"github.com/daisytide/daisytide/internal/request/forward"
)

// Observer hears how each call that reached the gate ended.
type Observer interface {
	Observe(c *call.Call, res call.Result, took time.Duration)
}

// Gate admits calls to one upstream.
type Gate struct {
	Transport http.RoundTripper
	Observers []Observer

	mu       sync.Mutex
	upstream api.Announcement
	leaving  bool
	running  int
	idle     chan struct{}
}

// Announce takes what the upstream says of itself.
func (g *Gate) Announce(a api.Announcement) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.upstream = a
}

// Upstream returns what the upstream last said of itself.
func (g *Gate) Upstream() api.Announcement {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.upstream
}

// Running returns the requests in progress.
func (g *Gate) Running() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running
}

// Leave refuses new calls from now on; the channel closes when the last
// request in progress has ended.
func (g *Gate) Leave() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = true
	if g.idle == nil {
		g.idle = make(chan struct{})
		g.closeIfIdle()
	}
	return g.idle
}

// closeIfIdle closes idle when nothing runs; the caller holds mu.
func (g *Gate) closeIfIdle() {
	if g.leaving && g.running == 0 && g.idle != nil {
		close(g.idle)
	}
}

// admit takes a slot or says why not.
func (g *Gate) admit(c *call.Call, now time.Time) (api.Announcement, api.Code) {
	g.mu.Lock()
	defer g.mu.Unlock()
	u := g.upstream
	switch {
	case g.leaving || u.State == api.UpstreamDraining:
		return u, api.CallLeaving
	case u.State != api.UpstreamReady || u.Service != c.Service || u.Version != c.Version:
		return u, api.CallNoUpstream
	case c.TimeLeft(now) <= 0:
		return u, api.CallNoTime
	case g.running >= u.Slots:
		return u, api.CallShed
	}
	g.running++
	return u, api.OK
}

func (g *Gate) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	g.closeIfIdle()
}

// Handle implements call.Handler: admit, run, pass the answer on.
func (g *Gate) Handle(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call.Call) call.Result {
	start := time.Now()
	u, code := g.admit(c, start)
	if code != api.OK {
		return call.Refuse(code, nil)
	}
	defer g.release()
	res := g.run(ctx, w, r, c, u)
	for _, o := range g.Observers {
		o.Observe(c, res, time.Since(start))
	}
	return res
}

func (g *Gate) run(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call.Call, u api.Announcement) call.Result {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	resp, res := forward.Request(ctx, g.Transport, "http://"+u.Address, r, func(h http.Header) {
		c.ToGate(h, time.Now())
		h.Del(call.HeaderPeerKey)
	})
	if res.Code != api.OK {
		return res
	}
	resp.Header.Set(call.HeaderRun, string(api.RanYes))
	resp.Header.Del(call.HeaderCode)
	return forward.Answer(w, resp)
}

// ServeHTTP takes a call from an entry; the peer key was checked.
func (g *Gate) ServeHTTP(h call.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, err := call.AtGate(r.Header, time.Now())
		if err != nil {
			call.WriteRefusal(w, call.Refuse(api.CallHeader, err))
			return
		}
		Finish(w, h(r.Context(), w, r, c))
	})
}

// Finish answers what is left to answer: a refusal where nothing was sent,
// an abort where the answer ended early.
func Finish(w http.ResponseWriter, res call.Result) {
	switch {
	case res.Code == api.OK:
	case res.Sent:
		panic(http.ErrAbortHandler)
	default:
		call.WriteRefusal(w, res)
	}
}
