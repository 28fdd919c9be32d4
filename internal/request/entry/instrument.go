package entry

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/logs"
	"github.com/daisytide/daisytide/internal/metrics"
	"github.com/daisytide/daisytide/internal/request/call"
)

// idBase is the highest base of strconv, for short IDs.
const idBase = 36

// requestID returns the header values with the caller's request ID. If there is no
// valid one, it generates an ID and sets it in h.
func requestID(h http.Header) []string {
	if provided := h[call.HeaderRequestID]; len(provided) == 1 && provided[0] != "" && len(provided[0]) <= call.MaxIDBytes {
		return provided
	}
	id := []string{strconv.FormatUint(rand.Uint64(), idBase)}
	h[call.HeaderRequestID] = id
	return id
}

// instrument updates the metrics for a call that ended, and logs it unless it
// succeeded at the first attempt. c is nil if serve returned no call.
func (e *Entry) instrument(c *call.Call, id string, res call.Result, arrived time.Time) {
	if c == nil {
		c = &call.Call{ID: id, ConfigNumber: e.Holder.Current().Number(), Deadline: arrived}
	}
	now := time.Now()
	outcome := metrics.OutcomeOf(res.Code, res.Status, res.Ran)
	e.Metrics.ObserveRequest(metrics.Entry, c.Route, outcome, now.Sub(arrived))
	unremarkable := outcome == metrics.UpstreamResponded && len(c.Attempts) <= 1
	if e.Log == nil || unremarkable || !e.Log.AllowRequestLine() {
		return
	}
	status := res.Status
	if status == 0 {
		status = api.Info(res.Code).HTTP
	}
	slog.Info(logs.MessageRequestEnded,
		logs.FieldRequest, id, logs.FieldRoute, c.Route, logs.FieldService, c.Service, logs.FieldVersion, c.Version,
		logs.FieldConfig, c.ConfigNumber, logs.FieldCode, res.Code.String(), logs.FieldRan, string(res.Ran), logs.FieldStatus, status,
		logs.FieldAttempts, c.Attempts, logs.FieldTimeLeft, c.TimeLeft(now).Milliseconds(), logs.FieldTook, now.Sub(arrived).Milliseconds(),
		logs.FieldError, fmt.Sprint(res.Err))
}
