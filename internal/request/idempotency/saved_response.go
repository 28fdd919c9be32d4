package idempotency

import (
	"net/http"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/request/call"
)

// HeaderSaved is "1" on a response that an earlier attempt produced.
const HeaderSaved = "Daisytide-Saved"

// SavedResponse is the response of a completed run, kept for repeated attempts.
type SavedResponse struct {
	Status int         `cbor:"1,keyasint"`
	Header http.Header `cbor:"2,keyasint"`
	Body   []byte      `cbor:"3,keyasint"`
}

// Size returns the memory used by the response, in bytes.
func (s *SavedResponse) Size() int {
	if s == nil {
		return 0
	}
	n := len(s.Body)
	for k, vs := range s.Header {
		n += len(k)
		for _, v := range vs {
			n += len(v)
		}
	}
	return n
}

// Write sends the saved response.
func (s *SavedResponse) Write(w http.ResponseWriter) call.Result {
	h := w.Header()
	for k, vs := range s.Header {
		h[k] = vs
	}
	h.Set(HeaderSaved, "1")
	h.Set(call.HeaderRan, string(api.RanYes))
	w.WriteHeader(s.Status)
	res := call.Result{Code: api.OK, Ran: api.RanYes, Status: s.Status, HeaderSent: true}
	if _, err := w.Write(s.Body); err != nil {
		res.Code = api.CallShortAnswer
		res.Err = err
	}
	return res
}

// responseRecorder forwards a response and keeps a copy of up to limit bytes.
// It keeps copying after the connection to the entry has failed, because the
// caller may repeat the request.
type responseRecorder struct {
	http.ResponseWriter
	limit       int
	response    SavedResponse
	overLimit   bool
	writeFailed bool
}

// WriteHeader implements http.ResponseWriter.
func (r *responseRecorder) WriteHeader(status int) {
	if status >= http.StatusOK && r.response.Status == 0 {
		r.response.Status = status
		r.response.Header = r.Header().Clone()
		r.response.Header.Del(call.HeaderLoad)
	}
	r.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (r *responseRecorder) Write(b []byte) (int, error) {
	if r.response.Status == 0 {
		r.WriteHeader(http.StatusOK)
	}
	r.capture(b)
	if r.writeFailed {
		return len(b), nil
	}
	if _, err := r.ResponseWriter.Write(b); err != nil {
		r.writeFailed = true
	}
	return len(b), nil
}

// capture appends b to the copy, or drops the copy when it exceeds the limit.
func (r *responseRecorder) capture(b []byte) {
	if r.overLimit || len(r.response.Body)+len(b) > r.limit {
		r.overLimit = true
		r.response.Body = nil
		return
	}
	r.response.Body = append(r.response.Body, b...)
}

// Unwrap supports http.ResponseController.
func (r *responseRecorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// savedResponse returns the recorded response, or nil if it exceeded the limit
// or is incomplete.
func (r *responseRecorder) savedResponse(ran api.Ran) *SavedResponse {
	if ran != api.RanYes || r.overLimit || r.response.Status == 0 {
		return nil
	}
	return &r.response
}
