package egress

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/h1"
	"github.com/daisytide/daisytide/internal/request/call"
	"github.com/daisytide/daisytide/internal/request/gate"
	"github.com/daisytide/daisytide/internal/request/hop"
)

// Headers of responses between nodes.
const (
	// headerRetryAfter is the time in milliseconds after which a refused request may
	// be sent again.
	headerRetryAfter = "Daisytide-After"
	// headerUpstreamRefused is set if the upstream itself refused the request.
	headerUpstreamRefused = "Daisytide-Reached"
	// headerMeanRunTime is the mean run time of the route in microseconds.
	headerMeanRunTime = "Daisytide-Need"
	// headerShortRoute is set if the route's runs are short compared with others.
	headerShortRoute = "Daisytide-Short"
)

// BuildResponse encodes a result as the response to the node that sent the
// request.
func BuildResponse(res hop.Result, load gate.Load) *h1.Response {
	out := newResponse(res, load)
	if res.MeanRunTime > 0 {
		out.Header[headerMeanRunTime] = []string{strconv.FormatInt(res.MeanRunTime.Microseconds(), 10)}
	}
	return out
}

func newResponse(res hop.Result, load gate.Load) *h1.Response {
	if res.Code == api.OK {
		out := &h1.Response{Status: res.Response.Status, Header: h1.ForwardableHeaders(res.Response.Header), Body: res.Response.Body}
		out.Header[call.HeaderLoad] = []string{load.String()}
		delete(out.Header, call.HeaderCode)
		return out
	}
	h := http.Header{
		call.HeaderCode:  {strconv.Itoa(int(res.Code))},
		call.HeaderRan:   {string(res.Ran)},
		call.HeaderLoad:  {load.String()},
		headerRetryAfter: {strconv.FormatInt(res.RetryAfter.Milliseconds(), 10)},
	}
	if res.ShortRoute {
		h[headerShortRoute] = []string{"1"}
	}
	if res.UpstreamRefused {
		h[headerUpstreamRefused] = []string{"1"}
	}
	return &h1.Response{Status: api.Info(res.Code).HTTP, Header: h}
}

// ParseResponse decodes a response built by BuildResponse. The bool reports
// whether it carried a valid load.
func ParseResponse(resp *h1.Response) (hop.Result, gate.Load, bool) {
	load, err := gate.ParseLoad(resp.Header.Get(call.HeaderLoad))
	delete(resp.Header, call.HeaderLoad)
	// A missing header parses as zero, which means unknown.
	meanRunTime, _ := strconv.ParseInt(resp.Header.Get(headerMeanRunTime), 10, 64)
	delete(resp.Header, headerMeanRunTime)
	res := parseResult(resp)
	res.MeanRunTime = time.Duration(meanRunTime) * time.Microsecond
	return res, load, err == nil
}

func parseResult(resp *h1.Response) hop.Result {
	text := resp.Header.Get(call.HeaderCode)
	if text == "" {
		return hop.Result{Code: api.OK, Ran: api.RanYes, Response: resp}
	}
	code, codeErr := strconv.ParseUint(text, 10, 16)
	if codeErr != nil {
		return hop.Result{Code: api.CallCut, Ran: api.RanUnknown, Err: codeErr}
	}
	// A missing header parses as zero; the caller then uses its default.
	retryAfter, _ := strconv.ParseInt(resp.Header.Get(headerRetryAfter), 10, 32)
	return hop.Result{
		Code: api.Code(code), Ran: api.Ran(resp.Header.Get(call.HeaderRan)), RetryAfter: time.Duration(retryAfter) * time.Millisecond,
		UpstreamRefused: resp.Header.Get(headerUpstreamRefused) != "", ShortRoute: resp.Header.Get(headerShortRoute) != "",
	}
}

// instanceHash identifies an instance in crash events.
func instanceHash(i *Instance) uint64 {
	return xxhash.Sum64String(i.ID + " " + strconv.FormatInt(i.StartedMillis, 10))
}
