package client

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/ctxtime"
	"github.com/daisytide/daisytide/internal/version/document"
)

// Number of attempts of one apply whose reply was lost, and the wait between
// them.
const (
	applyAttempts   = 4
	applyRetryDelay = 500 * time.Millisecond
)

// ApplyOnce applies a document at most once. If a reply is lost, it sends the
// same session again, which a node that has accepted the document recognises.
// base is the configuration number that the document is based on, api.BaseNone
// if none is in force, or 0 for any; with 0 a lost reply is only resolved by
// reading the configuration in force. The outcome is ApplyUnknown if every
// reply was lost, or if other documents followed and it cannot be determined
// whether this one was accepted before them.
func (c *Client) ApplyOnce(ctx context.Context, text []byte, base uint64) api.ApplyResponse {
	session := rand.Text()
	// lost is set once an earlier attempt may have taken effect.
	lost := false
	var lastErr error
	for attempt := range applyAttempts {
		if attempt > 0 && !ctxtime.Sleep(ctx, applyRetryDelay) {
			break
		}
		if lost && base == 0 {
			// Without a base, a second attempt could replace another operator's
			// document.
			if out, ok := c.readBack(ctx, session); ok {
				return out
			}
			continue
		}
		out, err := c.applySession(ctx, text, base, session)
		switch {
		case err == nil && out.Outcome == api.ApplyConflict && lost:
			return resolveConflict(out, base)
		case err == nil && out.Outcome == api.ApplyAccepted, err == nil && out.Outcome != api.ApplyUnknown && !lost:
			return out
		case err == nil:
			// The outcome is unknown, or a refusal follows a lost reply and does
			// not say what the first attempt did.
			lastErr = out.Error
			lost = true
		case api.CodeOf(err, 0) == api.OperatorNoAnswer && !lost:
			return api.ApplyResponse{Outcome: api.ApplyRefused, Number: base, Error: toAPIError(err)}
		default:
			lastErr = err
			lost = true
		}
	}
	return unknownOutcome(base, fmt.Errorf("no conclusive reply in %d attempts: %w", applyAttempts, lastErr))
}

// resolveConflict returns the outcome of a conflict that follows a lost reply.
// The store keeps the sessions of the latest document.MaxPast configurations.
// If no more were accepted since base, the node would have recognised this
// session, so that the conflict is final. Otherwise the outcome is unknown.
func resolveConflict(out api.ApplyResponse, base uint64) api.ApplyResponse {
	if base == api.BaseNone {
		base = 0
	}
	if out.Number > base && out.Number-base <= document.MaxPast {
		return out
	}
	return unknownOutcome(out.Number, fmt.Errorf("the reply was lost, and configuration %d is in force now", out.Number))
}

// readBack reports whether the configuration in force was applied by this
// session.
func (c *Client) readBack(ctx context.Context, session string) (api.ApplyResponse, bool) {
	var cfg api.ConfigResponse
	if err := c.Get(ctx, api.PathConfig, &cfg); err != nil || cfg.Session != session {
		return api.ApplyResponse{}, false
	}
	return api.ApplyResponse{Outcome: api.ApplyAccepted, Number: cfg.Number}, true
}

func unknownOutcome(number uint64, err error) api.ApplyResponse {
	return api.ApplyResponse{Outcome: api.ApplyUnknown, Number: number, Error: api.Errorf(api.OperatorUnknown, "%w", err)}
}

// toAPIError returns the api.Error in err, or wraps err in one.
func toAPIError(err error) *api.Error {
	var e *api.Error
	if errors.As(err, &e) {
		return e
	}
	return api.Errorf(api.OperatorNoAnswer, "%w", err)
}
