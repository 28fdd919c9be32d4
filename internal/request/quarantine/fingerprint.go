// Package quarantine keeps one request from crashing upstream after upstream.
//
// A gate survives a crash of its upstream. It then marks the requests that ran
// at the upstream as suspect by their fingerprints, and notifies the other gates
// of the service before it responds to any of them. A suspect request runs
// alone, so that another crash affects no other request and has only one possible
// cause. If it crashes the upstream again, it is rejected for some time. A suspect
// that ran alone without a crash is cleared.
//
// The gate of package egress uses only the event set: it runs suspects beside
// other requests, and rejects a request that ran at two crashes.
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

// prefixBytes is how much of a small body is part of a request's fingerprint.
// Of a streamed body only the length counts, because it is not read before the
// request is admitted.
const prefixBytes = 256

// Fingerprint identifies equal requests, whatever their idempotency keys.
type Fingerprint uint64

// requestSummary holds the input of a request's fingerprint. The fingerprint is
// computed only at a crash and while a service has suspects.
type requestSummary struct {
	method, contentType string
	url                 *url.URL
	length              int64
	bodyPrefix          []byte
}

// summarize reads the first bytes of a small body and puts them back in front of
// it. The fingerprint must not depend on how much of the body was forwarded
// before a crash, so the bytes are read before the request is forwarded; entries
// send small bodies together with the header.
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

// fingerprint returns the request's fingerprint.
func (s *requestSummary) fingerprint() Fingerprint {
	return FingerprintOf(s.method, s.url.RequestURI(), s.contentType, s.length, s.bodyPrefix)
}

// FingerprintOf returns the fingerprint of a request whose body has the given
// length and begins with bodyPrefix. qualifier is whatever else distinguishes
// requests: the content type here, the calling service in package egress.
func FingerprintOf(method, target, qualifier string, length int64, bodyPrefix []byte) Fingerprint {
	d := xxhash.New()
	for _, part := range []string{method, target, qualifier} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, uint64(length)))
	_, _ = d.Write(bodyPrefix[:min(len(bodyPrefix), prefixBytes)])
	return Fingerprint(d.Sum64())
}

// prefixedBody is a body whose first bytes have been read and put back.
type prefixedBody struct {
	io.Reader
	io.Closer
}
