package logs

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/daisytide/daisytide/api"
)

// A line on a request that ended after two attempts, as an entry writes it.
func BenchmarkRequestLine(b *testing.B) {
	l := New(io.Discard)
	defer l.Close()
	logger := slog.New(slog.NewJSONHandler(l, nil))
	attempts := []Attempt{{"10.2.0.31:7240", api.CallShed, 64 * time.Millisecond}, {"10.3.0.15:7240", api.OK, 120 * time.Millisecond}}
	b.ReportAllocs()
	for b.Loop() {
		logger.Info(MessageRequestEnded,
			FieldRequest, "7f669567776399c5", FieldRoute, "r-gnwp65x", FieldService, "vovo56b", FieldVersion, "v1",
			FieldConfig, uint64(17), FieldCode, api.OK.String(), FieldRan, "yes", FieldStatus, 200,
			FieldAttempts, attempts, FieldTimeLeft, int64(119), FieldTook, int64(184), FieldRetryAfter, int64(0), FieldError, "<nil>")
	}
}
