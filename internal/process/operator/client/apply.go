package client

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/pause"
	"github.com/daisytide/daisytide/internal/version/document"
)

// Tries of one apply whose reply was lost, and the wait between them.
const (
	applyAttempts   = 4
	applyRetryDelay = 500 * time.Millisecond
)

// ApplyOnce applies a document and settles a lost reply: the same session is
// sent again, and a node recognises a document that it has accepted under it.
// base is the configuration number that the operator started from,
// api.BaseNone where none is in force, and 0 for whichever is: then a lost
// reply is settled by reading back alone. The outcome is ApplyUnknown when every try was lost
// or when another document has followed, so that nothing tells whether this
// one was accepted between.
func (c *Client) ApplyOnce(ctx context.Context, text []byte, base uint64) api.ApplyResponse {
	session := rand.Text()
	lost := false
	var last error
	for try := range applyAttempts {
		if try > 0 && !pause.For(ctx, applyRetryDelay) {
			break
		}
		if lost && base == 0 {
			// Without a base a second try could replace another's document.
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
			// A refusal after a lost reply says nothing of the first try.
			last = out.Error
			lost = true
		case api.CodeOf(err, 0) == api.OperatorNoAnswer && !lost:
			return api.ApplyResponse{Outcome: api.ApplyRefused, Number: base, Error: toAPIError(err)}
		default:
			last = err
			lost = true
		}
	}
	return unknownOutcome(base, fmt.Errorf("no answer after %d tries: %w", applyAttempts, last))
}

// resolveConflict judges a conflict that follows a lost reply. The store names
// the latest sessions, so that the node would have recognised this one, unless
// too many documents have followed.
func resolveConflict(out api.ApplyResponse, base uint64) api.ApplyResponse {
	if base == api.BaseNone {
		base = 0
	}
	if out.Number > base && out.Number-base <= document.MaxPast {
		return out
	}
	return unknownOutcome(out.Number, fmt.Errorf("the reply was lost, and configuration %d is in force now", out.Number))
}

// readBack looks for the session in the configuration in force.
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

// toAPIError finds the numbered error in err.
func toAPIError(err error) *api.Error {
	var e *api.Error
	if errors.As(err, &e) {
		return e
	}
	return api.Errorf(api.OperatorNoAnswer, "%w", err)
}
