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

// Headers between nodes.
const (
	// headerAfter carries, in milliseconds, when a refused request may return.
	headerRetryAfter = "Daisytide-After"
	// headerReached tells that the upstream itself refused the request.
	headerUpstreamRefused = "Daisytide-Reached"
	// headerNeed carries, in microseconds, the usual time of the route's runs.
	headerMeanRunTime = "Daisytide-Need"
	// headerShort tells that the route's runs are short beside others.
	headerShortRoute = "Daisytide-Short"
)

// BuildResponse writes a result for the node that sent the request.
func BuildResponse(res hop.Result, l gate.Load) *h1.Response {
	out := newResponse(res, l)
	if res.MeanRunTime > 0 {
		out.Header[headerMeanRunTime] = []string{strconv.FormatInt(res.MeanRunTime.Microseconds(), 10)}
	}
	return out
}

func newResponse(res hop.Result, l gate.Load) *h1.Response {
	if res.Code == api.OK {
		out := &h1.Response{Status: res.Answer.Status, Header: h1.Forwardable(res.Answer.Header), Body: res.Answer.Body}
		out.Header[call.HeaderLoad] = []string{l.String()}
		delete(out.Header, call.HeaderCode)
		return out
	}
	h := http.Header{
		call.HeaderCode:  {strconv.Itoa(int(res.Code))},
		call.HeaderRan:   {string(res.Ran)},
		call.HeaderLoad:  {l.String()},
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

// ParseResponse reads what BuildResponse wrote, and the load where it stands.
func ParseResponse(resp *h1.Response) (hop.Result, gate.Load, bool) {
	l, err := gate.ParseLoad(resp.Header.Get(call.HeaderLoad))
	delete(resp.Header, call.HeaderLoad)
	// A missing time reads as zero, which means that it is not known.
	need, _ := strconv.ParseInt(resp.Header.Get(headerMeanRunTime), 10, 64)
	delete(resp.Header, headerMeanRunTime)
	res := parseResult(resp)
	res.MeanRunTime = time.Duration(need) * time.Microsecond
	return res, l, err == nil
}

func parseResult(resp *h1.Response) hop.Result {
	text := resp.Header.Get(call.HeaderCode)
	if text == "" {
		return hop.Result{Code: api.OK, Ran: api.RanYes, Answer: resp}
	}
	code, codeErr := strconv.ParseUint(text, 10, 16)
	if codeErr != nil {
		return hop.Result{Code: api.CallCut, Ran: api.RanUnknown, Err: codeErr}
	}
	// A missing time reads as zero: the sender then takes its own.
	after, _ := strconv.ParseInt(resp.Header.Get(headerRetryAfter), 10, 32)
	return hop.Result{
		Code: api.Code(code), Ran: api.Ran(resp.Header.Get(call.HeaderRan)), RetryAfter: time.Duration(after) * time.Millisecond,
		UpstreamRefused: resp.Header.Get(headerUpstreamRefused) != "", ShortRoute: resp.Header.Get(headerShortRoute) != "",
	}
}

// instanceHash names an instance in facts.
func instanceHash(i *Instance) uint64 {
	return xxhash.Sum64String(i.ID + " " + strconv.FormatInt(i.StartedMillis, 10))
}
