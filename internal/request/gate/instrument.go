package gate

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/logs"
	"github.com/daisytide/daisytide/internal/metrics"
	"github.com/daisytide/daisytide/internal/request/call"
)

// Instrument wraps a handler to count each call and to log those that were
// refused or failed.
func (g *Gate) Instrument(next call.Handler) call.Handler {
	return func(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call.Call) call.Result {
		began := time.Now()
		res := next(ctx, w, r, c)
		took := time.Since(began)
		g.Metrics.ObserveRequest(metrics.Gate, c.Route, metrics.OutcomeOf(res.Code, res.Status, res.Ran), took)
		if res.Code != api.OK && g.Log != nil && g.Log.AllowRequestLine() {
			g.log(c, res, took)
		}
		return res
	}
}

func (g *Gate) log(c *call.Call, res call.Result, took time.Duration) {
	slog.Info(logs.MessageRequestAtGate,
		logs.FieldRequest, c.ID, logs.FieldRoute, c.Route, logs.FieldService, c.Service, logs.FieldVersion, c.Version,
		logs.FieldConfig, c.ConfigNumber, logs.FieldCode, res.Code.String(), logs.FieldRan, string(res.Ran),
		logs.FieldState, string(g.Upstream().State), logs.FieldLoad, g.Load().String(),
		logs.FieldTimeLeft, c.TimeLeft(time.Now()).Milliseconds(), logs.FieldTook, took.Milliseconds(), logs.FieldError, fmt.Sprint(res.Err))
}
