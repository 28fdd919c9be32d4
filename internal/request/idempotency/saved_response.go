package idempotency

import (
	"net/http"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/request/call"
)

// HeaderSaved is "1" on an answer that an earlier attempt brought about.
const HeaderSaved = "Daisytide-Saved"

// SavedResponse is a saved answer.
type SavedResponse struct {
	Status int         `cbor:"1,keyasint"`
	Header http.Header `cbor:"2,keyasint"`
	Body   []byte      `cbor:"3,keyasint"`
}

// Size is the memory that the answer takes, in bytes.
func (a *SavedResponse) Size() int {
	if a == nil {
		return 0
	}
	n := len(a.Body)
	for k, vs := range a.Header {
		n += len(k)
		for _, v := range vs {
			n += len(v)
		}
	}
	return n
}

// Write sends the saved answer.
func (a *SavedResponse) Write(w http.ResponseWriter) call.Result {
	h := w.Header()
	for k, vs := range a.Header {
		h[k] = vs
	}
	h.Set(HeaderSaved, "1")
	h.Set(call.HeaderRan, string(api.RanYes))
	w.WriteHeader(a.Status)
	res := call.Result{Code: api.OK, Ran: api.RanYes, Status: a.Status, HeaderSent: true}
	if _, err := w.Write(a.Body); err != nil {
		res.Code = api.CallShortAnswer
		res.Err = err
	}
	return res
}

// recorder passes an answer on and keeps a copy of up to limit bytes. It goes
// on copying when the entry has gone, since the caller may ask again.
type recorder struct {
	http.ResponseWriter
	limit  int
	answer SavedResponse
	over   bool
	gone   bool
}

// WriteHeader implements http.ResponseWriter.
func (r *recorder) WriteHeader(status int) {
	if status >= http.StatusOK && r.answer.Status == 0 {
		r.answer.Status = status
		r.answer.Header = r.Header().Clone()
		r.answer.Header.Del(call.HeaderLoad)
	}
	r.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (r *recorder) Write(b []byte) (int, error) {
	if r.answer.Status == 0 {
		r.WriteHeader(http.StatusOK)
	}
	r.keep(b)
	if r.gone {
		return len(b), nil
	}
	if _, err := r.ResponseWriter.Write(b); err != nil {
		r.gone = true
	}
	return len(b), nil
}

func (r *recorder) keep(b []byte) {
	if r.over || len(r.answer.Body)+len(b) > r.limit {
		r.over = true
		r.answer.Body = nil
		return
	}
	r.answer.Body = append(r.answer.Body, b...)
}

// Unwrap serves http.ResponseController.
func (r *recorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// kept returns the answer of a run, nil when it was over the limit or not whole.
func (r *recorder) kept(ran api.Ran) *SavedResponse {
	if ran != api.RanYes || r.over || r.answer.Status == 0 {
		return nil
	}
	return &r.answer
}
