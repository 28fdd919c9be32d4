// Package forward sends one request to the next hop and streams the response back.
package forward

import (
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/dial"
	"github.com/daisytide/daisytide/internal/conn/header"
	"github.com/daisytide/daisytide/internal/request/call"
)

// Read implements io.Reader.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close implements io.Closer.
func (emptyBody) Close() error { return nil }

// addedHeaders is the capacity reserved for the headers that a hop adds.
const addedHeaders = 12

// Attempt sends a request to one destination.
type Attempt struct {
	Transport http.RoundTripper
	// Scheme and Host are the destination; Prefix is put before the path.
	Scheme, Host, Prefix string
	// Body has ContentLength bytes, or an unknown number if that is -1.
	Body          io.ReadCloser
	ContentLength int64
	// ExpectContinue sends "Expect: 100-continue", so that the receiver requests
	// the body when it wants it.
	ExpectContinue bool
	// Idempotent allows net/http to resend the request by itself when a
	// reused connection is broken.
	Idempotent bool
	// SetHeaders sets the headers of this hop.
	SetHeaders func(http.Header)
}

// Send sends r and returns the response with its header read. After a failure the
// result states whether the request may have run: api.RanNo only if no byte of it
// was sent.
func (a *Attempt) Send(ctx context.Context, r *http.Request) (*http.Response, call.Result) {
	var tracker sentTracker
	body := a.trackBodyErrors()
	out := a.buildRequest(tracker.trace(ctx), r)
	resp, err := a.Transport.RoundTrip(out)
	if err == nil {
		err = dial.CheckResponse(out, resp, tracker.conn())
	}
	if err == nil {
		return resp, call.Result{}
	}
	res := failureResult(ctx, err, tracker.maybeSent(ctx.Err() != nil))
	if body != nil && body.failed.Load() && (res.Code == api.CallCut || res.Code == api.CallNotReached) {
		res.Code = api.CallBody
		res.Status = api.Info(api.CallBody).HTTP
	}
	return nil, res
}

// trackBodyErrors wraps a streamed body to record read errors.
func (a *Attempt) trackBodyErrors() *errorTrackingBody {
	if a.ContentLength >= 0 && a.ContentLength <= MaxBufferedBytes {
		return nil
	}
	body := &errorTrackingBody{ReadCloser: a.Body}
	a.Body = body
	return body
}

// buildRequest builds the outgoing request.
func (a *Attempt) buildRequest(ctx context.Context, r *http.Request) *http.Request {
	u := *r.URL
	u.Scheme, u.Host, u.User, u.Fragment = a.Scheme, a.Host, nil, ""
	u.Path = a.Prefix + u.Path
	if u.RawPath != "" {
		u.RawPath = a.Prefix + u.RawPath
	}
	out := &http.Request{
		Method: r.Method, URL: &u, Host: r.Host, ContentLength: a.ContentLength, Body: a.Body,
		Header: make(http.Header, len(r.Header)+addedHeaders),
	}
	if a.ContentLength < 0 {
		out.Trailer = r.Trailer
	}
	header.CopyEndToEnd(out.Header, r.Header)
	delete(out.Header, "Expect")
	if a.ExpectContinue {
		out.Header["Expect"] = []string{"100-continue"}
	}
	if _, ok := out.Header["User-Agent"]; !ok {
		out.Header["User-Agent"] = nil
	}
	a.SetHeaders(out.Header)
	if !a.Idempotent {
		a.preventReplay(out)
	}
	return out.WithContext(ctx)
}

// preventReplay keeps net/http from resending the request by itself.
func (a *Attempt) preventReplay(out *http.Request) {
	hideReplayHeaders(out.Header)
	if a.ContentLength == 0 && isReplayedMethod(out.Method) {
		out.Body = emptyBody{}
	}
}

// failureResult returns the result of a round trip that returned no response.
func failureResult(ctx context.Context, err error, sent bool) call.Result {
	code, ran := api.CallCut, api.RanUnknown
	if !sent {
		code, ran = api.CallNotReached, api.RanNo
	}
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		code = api.CallBodyTooLarge
	case errors.Is(ctx.Err(), context.DeadlineExceeded) && sent:
		code = api.CallTimeout
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		code = api.CallNoTime
	case ctx.Err() != nil:
		code = api.CallCancelled
	}
	return call.Result{Code: code, Ran: ran, Status: api.Info(code).HTTP, Err: err}
}
