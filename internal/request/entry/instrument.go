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

// idBase writes ids in the fewest digits that strconv has.
const idBase = 36

// requestID returns the caller's id for the request as the values of its
// header; without a usable one it makes one up and sets it in h.
func requestID(h http.Header) []string {
	if given := h[call.HeaderRequestID]; len(given) == 1 && given[0] != "" && len(given[0]) <= call.MaxIDBytes {
		return given
	}
	id := []string{strconv.FormatUint(rand.Uint64(), idBase)}
	h[call.HeaderRequestID] = id
	return id
}

// observe counts a call that ended, and writes a line unless it simply
// succeeded; c is nil where no route was found.
func (e *Entry) observe(c *call.Call, id string, res call.Result, arrived time.Time) {
	if c == nil {
		c = &call.Call{ID: id, ConfigNumber: e.Holder.Current().Number(), Deadline: arrived}
	}
	now := time.Now()
	outcome := metrics.OutcomeOf(res.Code, res.Status, res.Ran)
	e.Metrics.ObserveRequest(metrics.Entry, c.Route, outcome, now.Sub(arrived))
	plain := outcome == metrics.UpstreamResponded && len(c.Attempts) <= 1
	if e.Log == nil || plain || !e.Log.AllowRequestLine() {
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
