package retry

import (
	"net/http"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/request/call"
)

// MaxAttempts bounds the attempts of one call at one hop.
const MaxAttempts = 3

// Costs of another attempt, in retries of the budget. A refusal took no slot of
// an upstream, so retrying it costs only a fraction.
const (
	costRefused = 0.2
	costRun     = 1.0
)

// CallState is the state of a call at this hop.
type CallState struct {
	// Attempts is the number of attempts made so far.
	Attempts   int
	Idempotent bool
	// BodyReplayable is set if the request body can be sent again from its
	// first byte.
	BodyReplayable bool
	// HasTimeLeft is set if the deadline has not passed.
	HasTimeLeft bool
}

// ShouldRetry reports whether another attempt after res is safe and useful, and
// what it costs of the budget. It is safe if the call is idempotent or did not
// run, and useful only at the hop next to the failure.
func ShouldRetry(res call.Result, s CallState) (cost float64, ok bool) {
	if res.HeaderSent || res.NestedFailure || !s.BodyReplayable || !s.HasTimeLeft || s.Attempts >= MaxAttempts {
		return 0, false
	}
	if res.Ran == api.RanNo && acceptableElsewhere(res.Code) {
		return costRefused, true
	}
	return costRun, s.Idempotent && retryableIfIdempotent(res)
}

// acceptableElsewhere reports whether another gate may accept what this one
// refused.
func acceptableElsewhere(c api.Code) bool {
	switch c {
	case api.CallShed, api.CallLeaving, api.CallNoUpstream, api.CallNotReached, api.CallWithdrawn, api.CallKeyNotReady:
		return true
	default:
		return false
	}
}

// retryableIfIdempotent reports whether another upstream may answer an
// idempotent call that this one lost or shed.
func retryableIfIdempotent(res call.Result) bool {
	switch res.Code {
	case api.CallCut, api.CallShortAnswer:
		return true
	case api.OK:
		return res.Status == http.StatusServiceUnavailable
	default:
		return false
	}
}
