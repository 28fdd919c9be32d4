// Package forward passes one request on and streams the answer back.
package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/request/call"
)

// copyBufferBytes is the size of the buffer that a body streams through.
const copyBufferBytes = 32 << 10

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Request sends r to base (scheme and authority) through t, after prepare has
// set its headers, and returns the answer's header. On failure the result
// says whether anything can have run.
func Request(ctx context.Context, t http.RoundTripper, base string, r *http.Request, prepare func(http.Header)) (*http.Response, call.Result) {
	var wrote atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaders: func() { wrote.Store(true) },
	})
	out, err := http.NewRequestWithContext(ctx, r.Method, base+r.URL.RequestURI(), r.Body)
	if err != nil {
		return nil, call.Refuse(api.CallHeader, err)
	}
	out.ContentLength = r.ContentLength
	if r.ContentLength == 0 {
		out.Body = http.NoBody
	}
	out.Host = r.Host
	CopyHeader(out.Header, r.Header)
	prepare(out.Header)
	resp, err := t.RoundTrip(out)
	if err != nil {
		return nil, failed(ctx, err, wrote.Load())
	}
	return resp, call.Result{}
}

// failed tells what is known of a round trip without an answer.
func failed(ctx context.Context, err error, sent bool) call.Result {
	if !sent {
		return call.Refuse(api.CallNotReached, err)
	}
	code := api.CallCut
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		code = api.CallTimeout
	case ctx.Err() != nil:
		code = api.CallCancelled
	}
	return call.Result{Code: code, Ran: api.RanUnknown, Status: api.Info(code).HTTP, Err: err}
}

// Answer streams resp to w. An answer that ends early aborts the connection
// to the caller, so that it is never taken for whole.
func Answer(w http.ResponseWriter, resp *http.Response) call.Result {
	defer resp.Body.Close()
	CopyHeader(w.Header(), resp.Header)
	w.WriteHeader(resp.StatusCode)
	res := call.Result{Code: api.OK, Ran: api.RanYes, Status: resp.StatusCode, Sent: true}
	if _, err := io.CopyBuffer(flusher{w}, resp.Body, make([]byte, copyBufferBytes)); err != nil {
		res.Code = api.CallShortAnswer
		res.Err = err
	}
	return res
}

// flusher passes each piece of an answer on at once.
type flusher struct{ w http.ResponseWriter }

// Write implements io.Writer.
func (f flusher) Write(b []byte) (int, error) { return f.w.Write(b) }

// CopyHeader copies all but the headers of one connection.
func CopyHeader(dst, src http.Header) {
	for k, v := range src {
		dst[k] = v
	}
	for _, k := range hopHeaders {
		dst.Del(k)
	}
}

// Refused reads a numbered refusal out of a peer's answer; false where the
// answer is the upstream's own.
func Refused(resp *http.Response) (call.Result, bool) {
	s := resp.Header.Get(call.HeaderCode)
	if s == "" {
		return call.Result{}, false
	}
	n, err := strconv.ParseUint(s, 10, 16)
	if err != nil {
		return call.Result{}, false
	}
	ran := api.Ran(resp.Header.Get(call.HeaderRun))
	return call.Result{Code: api.Code(n), Ran: ran, Status: resp.StatusCode}, true
}
