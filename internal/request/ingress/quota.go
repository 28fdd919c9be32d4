package ingress

import (
	"context"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/request/hop"
	"github.com/daisytide/daisytide/internal/version/traffic"
)

// Limiter limits the requests of client accounts over all nodes.
type Limiter interface {
	// Take acquires capacity for one request. If there is none, retryAfter says when
	// to retry. It may wait for a few milliseconds, and until ctx ends at most.
	Take(ctx context.Context, account *traffic.Account, now time.Time) (ok bool, retryAfter time.Duration)
	// Return releases the capacity of a request that certainly did not run.
	Return(account *traffic.Account, now time.Time)
}

// runWithinQuota runs the request if its account's quota allows it. All attempts at
// the request count as one.
func (d *dispatch) runWithinQuota(ctx context.Context, account *traffic.Account) hop.Result {
	limiter := d.ingress.Limiter
	if limiter == nil || account == nil || account.Rate <= 0 {
		return d.run(ctx)
	}
	if ok, retryAfter := limiter.Take(ctx, account, time.Now()); !ok {
		return hop.Refuse(api.CallQuota, retryAfter, nil)
	}
	res := d.run(ctx)
	if res.Ran == api.RanNo {
		limiter.Return(account, time.Now())
	}
	return res
}
