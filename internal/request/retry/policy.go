package retry

import (
	"net/http"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/request/call"
)

// MaxAttempts bounds the attempts of one call at one hop.
const MaxAttempts = 3

// Costs of another attempt, in retries of the budget. A refusal took no slot
// of an upstream, so another try costs a part only.
const (
	costRefused = 0.2
	costRun     = 1.0
)

// CallState is how far a call has come at this hop.
type CallState struct {
	// Attempts made so far.
	Attempts   int
	Idempotent bool
	// BodyReplayable tells that the request's body can be had from its first byte.
	BodyReplayable bool
	// HasTimeLeft tells that the deadline has not passed.
	HasTimeLeft bool
}

// ShouldRetry tells whether another attempt is safe and of use after res, and what
// it costs of the budget. It is safe when the call is idempotent or was not
// run; it is of use only at the hop next to the failure.
func ShouldRetry(res call.Result, s CallState) (cost float64, ok bool) {
	if res.HeaderSent || res.NestedFailure || !s.BodyReplayable || !s.HasTimeLeft || s.Attempts >= MaxAttempts {
		return 0, false
	}
	if res.Ran == api.RanNo && acceptableElsewhere(res.Code) {
		return costRefused, true
	}
	return costRun, s.Idempotent && retryableIfIdempotent(res)
}

// elsewhere tells that another gate may take what this one refused.
func acceptableElsewhere(c api.Code) bool {
	switch c {
	case api.CallShed, api.CallLeaving, api.CallNoUpstream, api.CallNotReached, api.CallWithdrawn, api.CallKeyNotReady:
		return true
	default:
		return false
	}
}

// worthAnother tells that another upstream may answer an idempotent call that
// this one lost or shed.
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
