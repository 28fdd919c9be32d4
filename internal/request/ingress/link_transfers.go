package ingress

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/h1"
	"github.com/daisytide/daisytide/internal/request/balancer"
	"github.com/daisytide/daisytide/internal/request/hop"
	"github.com/daisytide/daisytide/internal/request/linkqueue"
)

// Fractions of a route's mean run time that must be left when a body has arrived: for
// the objective, and for the deadline. The gate applies the same.
const (
	objectiveRunMargin = 1.5
	deadlineRunMargin  = 0.7
	// minReturnedAfter is the time used up from which a request counts as one that
	// came back. It is below every retry delay and above the delay of a header.
	minReturnedAfter = 10 * time.Millisecond
)

// Errors of transfers that this host's link refused. They appear in the request's log
// line.
var (
	errNoRoomToSend    = errors.New("the entry's link has no room for the request body in time")
	errNoRoomToReceive = errors.New("the entry's link has no room for the response in time")
)

// linkTransfers are the large transfers of one attempt at another node that cross the
// link of the entry's host. A nil transfer is small.
type linkTransfers struct {
	link           linkqueue.Link
	body, response *linkqueue.Transfer
}

// linkRequirements sets the requirements that concern hosts' links.
func (d *dispatch) linkRequirements(req *balancer.Requirements) {
	link := d.ingress.Link.Out
	req.LargeBody = req.HasBody && (link == nil || link.Large(int64(len(d.in.Body))))
	req.LargeResponse = link.Large(d.ingress.responseSizes.Mean(d.req.Route))
}

// reserveLink reserves the transfers of an attempt on the link of the entry's host, or
// returns the refusal.
func (d *dispatch) reserveLink(now time.Time) (*linkTransfers, *hop.Result) {
	ing, r := d.ingress, d.req
	x := &linkTransfers{link: ing.Link}
	run := float64(ing.meanRunTime(r.Route))
	bodySize := int64(len(d.in.Body))
	if x.link.Out.Large(bodySize) {
		t := &linkqueue.Transfer{
			Size: bodySize, Promised: r.Returned,
			Objective: r.Objective.Add(-time.Duration(objectiveRunMargin * run)), Deadline: r.Deadline.Add(-time.Duration(deadlineRunMargin * run)),
		}
		if decision := x.link.Out.Reserve(now, t, 0); !decision.OK {
			res := hop.Refuse(api.CallShed, decision.RetryAfter, errNoRoomToSend)
			return nil, &res
		}
		x.body = t
	} else {
		x.link.Out.Pass(now, bodySize)
	}
	if size := ing.responseSizes.Mean(r.Route); x.link.In.Large(size) {
		t := &linkqueue.Transfer{Size: size, Promised: r.Returned, Objective: r.Objective, Deadline: r.Deadline}
		if decision := x.link.In.Reserve(now, t, time.Duration(run)); !decision.OK {
			x.end()
			res := hop.Refuse(api.CallShed, decision.RetryAfter, errNoRoomToReceive)
			return nil, &res
		}
		x.response = t
	}
	return x, nil
}

// apply makes an exchange wait for its turn before it sends the body.
func (x *linkTransfers) apply(exchange *h1.ClientRequest) {
	if x.body == nil {
		return
	}
	exchange.Pace = &h1.Pace{BytesPerSecond: x.link.Out.Rate()}
	exchange.BeforeBody = func(ctx context.Context) error {
		decision, err := x.link.Out.AcquireReady(ctx, time.Now(), x.body, x.body.Size)
		if err != nil || !decision.OK {
			return fmt.Errorf("%w: %w", errNoRoomToSend, errors.Join(err, context.Cause(ctx)))
		}
		return nil
	}
	exchange.AfterBody = x.endBody
}

func (x *linkTransfers) endBody() { x.link.Out.End(time.Now(), x.body) }

// end releases the link when the attempt has ended.
func (x *linkTransfers) end() {
	now := time.Now()
	x.link.Out.End(now, x.body)
	x.link.In.End(now, x.response)
}
