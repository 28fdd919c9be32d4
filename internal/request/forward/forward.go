// Package forward passes one request on and streams the answer back.
package forward

import (
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/header"
	"github.com/daisytide/daisytide/internal/request/call"
)

// Read implements io.Reader.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close implements io.Closer.
func (emptyBody) Close() error { return nil }

// extraHeaders is the room for the headers that a hop adds.
const extraHeaders = 12

// Attempt is one sending of a request to one place.
type Attempt struct {
	Transport http.RoundTripper
	// Scheme and Host say where to; Prefix goes before the path.
	Scheme, Host, Prefix string
	// Body is the request body, of ContentLength bytes; -1 where that is not known.
	Body          io.ReadCloser
	ContentLength int64
	// ExpectContinue asks the other side to ask for the body.
	ExpectContinue bool
	// Idempotent allows net/http to send the request again by itself when a
	// reused connection turns out broken.
	Idempotent bool
	// SetHeaders sets the headers of this hop.
	SetHeaders func(http.Header)
}

// Send sends r and returns the answer's header. On failure the result says
// whether anything can have run: "no" only if no byte was sent.
func (a *Attempt) Send(ctx context.Context, r *http.Request) (*http.Response, call.Result) {
	var sent sentTracker
	watched := a.watch()
	resp, err := a.Transport.RoundTrip(a.request(sent.trace(ctx), r))
	if err == nil {
		return resp, call.Result{}
	}
	res := failed(ctx, err, sent.sent(ctx.Err() != nil))
	if watched != nil && watched.failed.Load() && (res.Code == api.CallCut || res.Code == api.CallNotReached) {
		res.Code = api.CallBody
		res.Status = api.Info(api.CallBody).HTTP
	}
	return nil, res
}

// watch notes failures of a streamed body.
func (a *Attempt) watch() *watchedBody {
	if a.ContentLength >= 0 && a.ContentLength <= MaxBufferedBytes {
		return nil
	}
	w := &watchedBody{ReadCloser: a.Body}
	a.Body = w
	return w
}

// request builds the outgoing request.
func (a *Attempt) request(ctx context.Context, r *http.Request) *http.Request {
	u := *r.URL
	u.Scheme, u.Host, u.User, u.Fragment = a.Scheme, a.Host, nil, ""
	u.Path = a.Prefix + u.Path
	if u.RawPath != "" {
		u.RawPath = a.Prefix + u.RawPath
	}
	out := &http.Request{
		Method: r.Method, URL: &u, Host: r.Host, ContentLength: a.ContentLength, Body: a.Body,
		Header: make(http.Header, len(r.Header)+extraHeaders),
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
		a.sendOnce(out)
	}
	return out.WithContext(ctx)
}

// sendOnce keeps net/http from sending the request again by itself.
func (a *Attempt) sendOnce(out *http.Request) {
	hideReplayHeaders(out.Header)
	if a.ContentLength == 0 && usuallyEmpty(out.Method) {
		out.Body = emptyBody{}
	}
}

// failed tells what is known of a round trip without an answer.
func failed(ctx context.Context, err error, sent bool) call.Result {
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
