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
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/daisytide/daisytide/internal/request/forward"
)

// prefixBytes of a small body are part of a request's fingerprint. A body that
// streams is told apart by its length only, since it is not asked for before
// the request is admitted.
const prefixBytes = 256

// Fingerprint identifies requests that are alike, whatever their key.
type Fingerprint uint64

// tracker sees the first bytes of a request's body as they pass, so that the
// fingerprint can be worked out at a crash. That is rare; the passing is not.
type tracker struct {
	request *http.Request
	source  io.ReadCloser

	mu     sync.Mutex
	prefix []byte
	// whole tells that the prefix was read ahead.
	whole bool
}

// track wraps the body of r where its first bytes count.
func track(r *http.Request) *tracker {
	t := &tracker{request: r}
	if r.ContentLength > 0 && r.ContentLength <= forward.HeldBytes && r.Body != nil {
		t.source = r.Body
		r.Body = t
	}
	return t
}

// Read implements io.Reader.
func (t *tracker) Read(b []byte) (int, error) {
	n, err := t.source.Read(b)
	t.mu.Lock()
	defer t.mu.Unlock()
	if room := prefixBytes - len(t.prefix); room > 0 && n > 0 && !t.whole {
		t.prefix = append(t.prefix, b[:min(n, room)]...)
	}
	return n, err
}

// Close implements io.Closer.
func (t *tracker) Close() error { return t.source.Close() }

// print returns the fingerprint by what was read so far.
func (t *tracker) print() Fingerprint {
	d := xxhash.New()
	r := t.request
	for _, s := range []string{r.Method, r.URL.RequestURI(), r.Header.Get("Content-Type")} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, uint64(r.ContentLength)))
	t.mu.Lock()
	defer t.mu.Unlock()
	_, _ = d.Write(t.prefix)
	return Fingerprint(d.Sum64())
}

// peek reads the first bytes ahead and puts them back in front of the body.
func (t *tracker) peek() (Fingerprint, error) {
	r := t.request
	if t.source == nil {
		return t.print(), nil
	}
	head := make([]byte, min(prefixBytes, r.ContentLength))
	n, err := io.ReadFull(t.source, head)
	t.source = struct {
		io.Reader
		io.Closer
	}{io.MultiReader(bytes.NewReader(head[:n]), t.source), t.source}
	t.prefix, t.whole = head[:n], true
	return t.print(), err
}
