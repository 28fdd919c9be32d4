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

// copyBufferBytes is the size of the buffer that an answer streams through.
const copyBufferBytes = 32 << 10

// slowAnswerBytes is the size from which a caller that stops reading could
// block the writer; smaller answers fit the socket's buffers.
const slowAnswerBytes = 64 << 10

var buffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// errNoEnd marks an HTTP/1 answer whose end cannot be told from a cut.
var errNoEnd = errors.New("the answer states neither its length nor its end")

// WriteResponse streams resp to w; what is written by deadline counts. An answer that
// ends early must abort the connection to the caller (gate.FinishResponse does), so
// that it is never taken for whole. An answer whose end cannot be known is
// refused before anything is sent.
func WriteResponse(ctx context.Context, w http.ResponseWriter, resp *http.Response, deadline time.Time) call.Result {
	defer resp.Body.Close()
	if endless(resp) {
		return call.Result{Code: api.CallShortAnswer, Ran: api.RanYes, Status: api.Info(api.CallShortAnswer).HTTP, Err: errNoEnd}
	}
	h := w.Header()
	header.CopyEndToEnd(h, resp.Header)
	announceTrailers(h, resp)
	large := resp.ContentLength < 0 || resp.ContentLength > slowAnswerBytes
	if large {
		bound := http.NewResponseController(w)
		_ = bound.SetWriteDeadline(deadline)
		defer func() { _ = bound.SetWriteDeadline(time.Time{}) }()
	}
	w.WriteHeader(resp.StatusCode)
	res := call.Result{Code: api.OK, Ran: api.RanYes, Status: resp.StatusCode, HeaderSent: true}
	readErr, writeErr := stream(w, resp)
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

// endless tells that only the end of the connection would end the answer,
// which a crash does too.
func endless(resp *http.Response) bool {
	if resp.ProtoMajor != 1 || resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 {
		return false
	}
	return resp.Body != http.NoBody && resp.Request.Method != http.MethodHead
}

// stream copies the body. An answer of unknown length is passed on piece by
// piece, as it comes.
func stream(w http.ResponseWriter, resp *http.Response) (readErr, writeErr error) {
	if resp.Body == http.NoBody {
		return nil, nil
	}
	flush := resp.ContentLength < 0
	controller := http.NewResponseController(w)
	buffer := buffers.Get().(*[copyBufferBytes]byte)
	defer buffers.Put(buffer)
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

// ParseRefusal reads a numbered refusal out of a peer's answer; false where the
// answer is the upstream's own.
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
