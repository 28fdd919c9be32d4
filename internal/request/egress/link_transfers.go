package egress

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/h1"
	"github.com/daisytide/daisytide/internal/request/hop"
	"github.com/daisytide/daisytide/internal/request/linkqueue"
)

// unknownBodyTime is the time of the link that a body of unknown length is taken to
// need: large, but in time on an idle link for the shortest objectives. Entries give
// the length of each body.
const unknownBodyTime = 25 * time.Millisecond

// Errors of transfers that the link refused. They appear in the request's log line.
var (
	errNoRoomForBody     = errors.New("the host's link has no room for the request body in time")
	errNoRoomForResponse = errors.New("the host's link has no room for the response in time")
	errResponseTooLate   = errors.New("the response waited for the host's link until the deadline")
)

// bodyLimits returns when a request's body must have arrived for its objective and
// for its deadline.
func (g *Gate) bodyLimits(r *hop.Request) (objective, deadline time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	margin := time.Duration(objectiveMargin * float64(g.queue.MeanRunTime(r.Route)))
	return r.Objective.Add(-margin), g.queue.latestStart(requestInfo(r))
}

// acquireBody waits until the link has room for a body of the given size, -1 if it is
// unknown, or returns the refusal.
func (g *Gate) acquireBody(ctx context.Context, r *hop.Request, size int64) (release func(), refusal *hop.Result) {
	in := g.Link.In
	if size < 0 {
		size = int64(in.Rate() * unknownBodyTime.Seconds())
	}
	if !in.Large(size) {
		in.Pass(time.Now(), size)
		return func() {}, nil
	}
	objective, deadline := g.bodyLimits(r)
	t := &linkqueue.Transfer{Size: size, Objective: objective, Deadline: deadline, Promised: r.Returned}
	decision, err := in.Acquire(ctx, time.Now(), t)
	switch {
	case err != nil:
		res := hop.Refuse(api.CallNoTime, 0, fmt.Errorf("%w: %w", errNoRoomForBody, err))
		return nil, &res
	case !decision.OK:
		res := hop.Refuse(api.CallShed, decision.RetryAfter, errNoRoomForBody)
		return nil, &res
	}
	return func() { in.End(time.Now(), t) }, nil
}

// reserveResponse refuses a request of another node whose response is expected to be
// large and could not cross the link in time.
func (g *Gate) reserveResponse(r *hop.Request, in *h1.Request, t *linkqueue.Transfer) *hop.Result {
	size := g.responseSizes.Mean(r.Route)
	if !g.Link.Out.Large(size) {
		return nil
	}
	g.mu.Lock()
	lead := g.queue.EstimatedWait(time.Now(), g.queue.Waiting()) + g.queue.MeanRunTime(r.Route)
	if g.queue.Running() < g.queue.Slots {
		lead = g.queue.MeanRunTime(r.Route)
	}
	g.mu.Unlock()
	if body := in.PendingBodySize(); g.Link.In.Large(body) {
		lead += time.Duration(float64(body) / g.Link.In.Rate() * float64(time.Second))
	}
	*t = linkqueue.Transfer{Size: size, Objective: r.Objective, Deadline: r.Deadline, Promised: r.Returned, Estimated: true}
	if decision := g.Link.Out.Reserve(time.Now(), t, lead); !decision.OK {
		res := hop.Refuse(api.CallShed, decision.RetryAfter, errNoRoomForResponse)
		return &res
	}
	return nil
}

// sendResponse waits until the link has room for a response to another node, if it is
// large. The link is released when the response is written.
func (g *Gate) sendResponse(ctx context.Context, r *hop.Request, t *linkqueue.Transfer, res hop.Result) *h1.Response {
	link := g.Link.Out
	size := int64(0)
	if res.Response != nil {
		size = int64(len(res.Response.Body))
	}
	if !link.Large(size) {
		link.End(time.Now(), t)
		link.Pass(time.Now(), size)
		return BuildResponse(res, g.Load())
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	t.Objective, t.Deadline, t.Estimated = r.Objective, r.Deadline, true
	if decision, err := link.AcquireReady(ctx, time.Now(), t, size); err != nil || !decision.OK {
		return BuildResponse(hop.Result{Code: api.CallTimeout, Ran: api.RanYes, Err: errResponseTooLate}, g.Load())
	}
	out := BuildResponse(res, g.Load())
	out.Pace = &h1.Pace{BytesPerSecond: link.Rate()}
	out.Written = func() { link.End(time.Now(), t) }
	return out
}
