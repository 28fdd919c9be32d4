// Package entry takes calls from callers and brings each to a gate.
package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/process/member"
	"github.com/daisytide/daisytide/internal/request/call"
	"github.com/daisytide/daisytide/internal/request/forward"
	"github.com/daisytide/daisytide/internal/request/gate"
	"github.com/daisytide/daisytide/internal/request/pick"
	"github.com/daisytide/daisytide/internal/request/route"
	"github.com/daisytide/daisytide/internal/version/document"
	"github.com/daisytide/daisytide/internal/version/snapshot"
)

// maxAttempts bounds the tries of one call at this hop.
const maxAttempts = 3

// Versions chooses the version of a service that gets a call.
type Versions interface {
	// Version returns a version's name; u is uniform in [0, 1).
	Version(s *snapshot.Snapshot, service string, u float64) string
}

// Entry is the handler of the caller listener.
type Entry struct {
	Holder   *snapshot.Holder
	Members  *member.Table
	Versions Versions
	Picker   *pick.Picker
	// Transport reaches the gates of other nodes.
	Transport http.RoundTripper
	// Scheme of the peer listeners, http or https.
	Scheme string
	// PeerKey is sent to gates.
	PeerKey string
	// GatePath prefixes the paths of calls on the peer listener.
	GatePath string
	// Middlewares see each call before it is sent to a gate, in order.
	Middlewares []call.Middleware
}

// ServeHTTP implements http.Handler.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	gate.Finish(w, e.serve(w, r))
}

func (e *Entry) serve(w http.ResponseWriter, r *http.Request) call.Result {
	snap := e.Holder.Current()
	if snap == nil {
		return call.Refuse(api.CallNotReady, nil)
	}
	rt := snap.Routes.Find(r.Method, r.Host, r.URL.Path)
	if rt == nil {
		return call.Refuse(api.CallNoRoute, nil)
	}
	c, err := newCall(r, rt, snap)
	if err != nil {
		return call.Refuse(api.CallHeader, err)
	}
	if r.ContentLength > c.BodyLimit {
		return call.Refuse(api.CallBodyTooLarge, nil)
	}
	r.Body = http.MaxBytesReader(w, r.Body, c.BodyLimit)
	ctx, cancel := context.WithDeadline(r.Context(), c.Deadline)
	defer cancel()
	send := func(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call.Call) call.Result {
		return e.try(ctx, w, r, c, snap)
	}
	return call.Chain(send, e.Middlewares...)(ctx, w, r, c)
}

func newCall(r *http.Request, rt *document.Route, snap *snapshot.Snapshot) (*call.Call, error) {
	c, err := call.FromCaller(r.Header, time.Duration(rt.TimeLimit), time.Now())
	if err != nil {
		return nil, err
	}
	c.Service = rt.Service
	c.Route = rt.Name
	c.Caller = rt.Caller
	c.Idempotent = rt.Idempotent
	c.Config = snap.Number()
	c.BodyLimit = int64(rt.BodyLimit)
	if c.BodyLimit == 0 {
		c.BodyLimit = route.DefaultBodyLimit
	}
	return c, nil
}

// try sends the call to one gate after another while that is safe.
func (e *Entry) try(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call.Call, snap *snapshot.Snapshot) call.Result {
	var tried []string
	res := call.Refuse(api.CallNoUpstream, nil)
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	for range maxAttempts {
		c.Version = e.Versions.Version(snap, c.Service, rng.Float64())
		nodes := e.Members.Index().Serving[member.UpstreamKey{Service: c.Service, Version: c.Version}]
		node, ok := e.Picker.Pick(nodes, tried, rng)
		if !ok {
			return res
		}
		tried = append(tried, node.Address)
		res = e.send(ctx, w, r, c, node)
		if res.Code == api.OK || res.Sent || res.Ran != api.RanNo || r.ContentLength != 0 {
			return res
		}
	}
	return res
}

func (e *Entry) send(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call.Call, node member.Record) call.Result {
	resp, res := forward.Request(ctx, e.Transport, e.Scheme+"://"+node.Address+e.GatePath, r, func(h http.Header) {
		c.ToGate(h, time.Now())
		h.Set(call.HeaderPeerKey, e.PeerKey)
	})
	if res.Code != api.OK {
		return res
	}
	if refusal, ok := forward.Refused(resp); ok {
		resp.Body.Close()
		return refusal
	}
	return forward.Answer(w, resp)
}
