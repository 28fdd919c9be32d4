package quarantine

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/request/call"
)

// BenchmarkCallWithoutSuspects measures the overhead of the monitor per call,
// beside the same handler without it.
func BenchmarkCallWithoutSuspects(b *testing.B) {
	ok := call.Result{Code: api.OK, Ran: api.RanYes}
	handler := func(context.Context, http.ResponseWriter, *http.Request, *call.Call) call.Result { return ok }
	monitor := NewCrashMonitor(NewEventSet(time.Now), func() bool { return true }, func(Event) {})
	for name, h := range map[string]call.Handler{"without-monitor": handler, "with-monitor": monitor.Middleware(handler)} {
		for kind, body := range map[string]string{"look-up": "", "credit": strings.Repeat("x", 512)} {
			b.Run(name+"/"+kind, func(b *testing.B) {
				c := &call.Call{Service: "s", Deadline: time.Now().Add(time.Hour)}
				r := httptest.NewRequest(http.MethodPost, "/credit/7?x=1", nil)
				r.ContentLength = int64(len(body))
				reader := strings.NewReader(body)
				source := http.NoBody
				b.ReportAllocs()
				for b.Loop() {
					reader.Reset(body)
					r.Body = source
					if body != "" {
						r.Body = &prefixedBody{Reader: reader, Closer: source}
					}
					h(context.Background(), nil, r, c)
				}
			})
		}
	}
}
