// Package quarantine keeps one request from crashing upstream after upstream.
//
// A gate outlives its upstream. When the upstream dies, the gate marks the
// requests that ran as suspect by their fingerprints and tells the other gates
// of the service before it answers anybody. A suspect runs alone, so that its
// next crash hurts no neighbour and leaves no doubt; then it is refused for a
// time. One that ran alone well is cleared.
package quarantine

import (
	"bytes"
	"encoding/binary"
	"io"
	"net/http"
	"net/url"

	"github.com/cespare/xxhash/v2"

	"github.com/daisytide/daisytide/internal/request/forward"
)

// prefixBytes of a small body are part of a request's fingerprint. A body that
// streams is told apart by its length only, since it is not asked for before
// the request is admitted.
const prefixBytes = 256

// Fingerprint identifies requests that are alike, whatever their key.
type Fingerprint uint64

// subject is what a request's fingerprint is made of. It is worked out only
// at a crash, and while a service has suspects.
type requestSummary struct {
	method, contentType string
	url                 *url.URL
	length              int64
	bodyPrefix          []byte
}

// read reads the first bytes of a small body ahead and puts them back in
// front of it. A fingerprint must not depend on how much of a body passed
// before a crash, so the bytes are read before the request is sent on; entries
// send small bodies along with the header.
func summarize(r *http.Request) (requestSummary, error) {
	s := requestSummary{method: r.Method, contentType: r.Header.Get("Content-Type"), url: r.URL, length: r.ContentLength}
	if r.ContentLength <= 0 || r.ContentLength > forward.MaxBufferedBytes || r.Body == nil {
		return s, nil
	}
	prefix := make([]byte, min(prefixBytes, r.ContentLength))
	n, err := io.ReadFull(r.Body, prefix)
	s.bodyPrefix = prefix[:n]
	r.Body = &prefixedBody{Reader: io.MultiReader(bytes.NewReader(s.bodyPrefix), r.Body), Closer: r.Body}
	return s, err
}

// print returns the fingerprint.
func (s *requestSummary) fingerprint() Fingerprint {
	return FingerprintOf(s.method, s.url.RequestURI(), s.contentType, s.length, s.bodyPrefix)
}

// FingerprintOf returns the fingerprint of a request with a body of length bytes
// that begins with head.
func FingerprintOf(method, target, contentType string, length int64, bodyPrefix []byte) Fingerprint {
	d := xxhash.New()
	for _, part := range []string{method, target, contentType} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, uint64(length)))
	_, _ = d.Write(bodyPrefix[:min(len(bodyPrefix), prefixBytes)])
	return Fingerprint(d.Sum64())
}

// restored is a body whose first bytes were read ahead.
type prefixedBody struct {
	io.Reader
	io.Closer
}
