package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/header"
	"github.com/daisytide/daisytide/internal/request/call"
)

// copyBufferBytes is the size of the buffers that responses are copied with.
const copyBufferBytes = 32 << 10

// blockingResponseBytes is the size above which a caller that stops reading could
// block the writer; smaller responses fit into the socket's buffers.
const blockingResponseBytes = 64 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// errUndelimited is the error for an HTTP/1 response whose end cannot be
// distinguished from a lost connection.
var errUndelimited = errors.New("the response has neither a length nor a chunked encoding")

// WriteResponse streams resp to w, until deadline at the latest. If the response
// ends early, the connection to the caller must be aborted (gate.FinishResponse does
// this), so that the caller does not take it for complete. A response whose end
// cannot be detected is refused before anything is sent.
func WriteResponse(ctx context.Context, w http.ResponseWriter, resp *http.Response, deadline time.Time) call.Result {
	defer resp.Body.Close()
	if undelimited(resp) {
		return call.Result{Code: api.CallShortAnswer, Ran: api.RanYes, Status: api.Info(api.CallShortAnswer).HTTP, Err: errUndelimited}
	}
	h := w.Header()
	header.CopyEndToEnd(h, resp.Header)
	announceTrailers(h, resp)
	large := resp.ContentLength < 0 || resp.ContentLength > blockingResponseBytes
	if large {
		controller := http.NewResponseController(w)
		_ = controller.SetWriteDeadline(deadline)
		defer func() { _ = controller.SetWriteDeadline(time.Time{}) }()
	}
	w.WriteHeader(resp.StatusCode)
	res := call.Result{Code: api.OK, Ran: api.RanYes, Status: resp.StatusCode, HeaderSent: true}
	readErr, writeErr := copyBody(w, resp)
	switch {
	case readErr == nil && writeErr == nil:
		setTrailers(h, resp)
		return res
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		res.Code = api.CallTimeout
	case writeErr != nil || ctx.Err() != nil:
		res.Code = api.CallCancelled
	default:
		res.Code = api.CallShortAnswer
	}
	res.Err = errors.Join(readErr, writeErr)
	return res
}

// undelimited reports whether a response ends only with its connection. Its end
// then looks the same as a crash of the upstream.
func undelimited(resp *http.Response) bool {
	if resp.ProtoMajor != 1 || resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 {
		return false
	}
	return resp.Body != http.NoBody && resp.Request.Method != http.MethodHead
}

// copyBody copies the body. A response of unknown length is flushed after each
// read.
func copyBody(w http.ResponseWriter, resp *http.Response) (readErr, writeErr error) {
	if resp.Body == http.NoBody {
		return nil, nil
	}
	flush := resp.ContentLength < 0
	controller := http.NewResponseController(w)
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	for {
		n, err := resp.Body.Read(buffer[:])
		if n > 0 {
			if _, writeErr = w.Write(buffer[:n]); writeErr != nil {
				return nil, writeErr
			}
		}
		if err == io.EOF {
			return nil, nil
		}
		if err != nil {
			return err, nil
		}
		if flush {
			_ = controller.Flush()
		}
	}
}

func announceTrailers(h http.Header, resp *http.Response) {
	if len(resp.Trailer) == 0 {
		return
	}
	names := make([]string, 0, len(resp.Trailer))
	for k := range resp.Trailer {
		names = append(names, k)
	}
	h.Set("Trailer", strings.Join(names, ", "))
}

func setTrailers(h http.Header, resp *http.Response) {
	announced := h.Get("Trailer")
	for k, v := range resp.Trailer {
		if announced == "" {
			k = http.TrailerPrefix + k
		}
		h[k] = v
	}
}

// ParseRefusal returns the refusal in a peer's response, which has a result code
// in its header. It returns false if the response comes from the upstream.
func ParseRefusal(resp *http.Response) (call.Result, bool) {
	s := resp.Header.Get(call.HeaderCode)
	if s == "" {
		return call.Result{}, false
	}
	n, err := strconv.ParseUint(s, 10, 16)
	if err != nil {
		return call.Result{}, false
	}
	return call.Result{
		Code: api.Code(n), Ran: api.Ran(resp.Header.Get(call.HeaderRan)), Status: resp.StatusCode,
		NestedFailure: resp.Header.Get(call.HeaderNestedFailure) != "",
	}, true
}
