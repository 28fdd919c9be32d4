package forward

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
)

// MaxBufferedBytes is the largest request body that an entry reads before it asks a
// gate. Such a body can be sent again as often as needed; a larger one is
// asked for by the gate after admission and streams.
const MaxBufferedBytes = 16 << 10

// errDetached ends reads of an attempt that is over.
var errAttemptEnded = errors.New("the attempt is over")

// Body is a caller's request body that several attempts may be offered, one
// after another. A small one is held in memory. A large one stays with the
// caller until an attempt reads its first byte; from then on it belongs to
// that attempt.
type Body struct {
	source io.Reader
	// held is the whole body where it is small.
	buffered   []byte
	isBuffered bool
	// size is the declared length; -1 where it is not known.
	size int64

	// mu guards taken. A read of the source does not hold it.
	mu    sync.Mutex
	taken bool
}

// NewBody prepares the body of r. A small body of declared length is read at
// once; an error is the caller's.
func NewBody(r *http.Request) (*Body, error) {
	b := &Body{source: r.Body, size: r.ContentLength}
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		b.isBuffered = true
		b.size = 0
		return b, nil
	}
	if r.ContentLength < 0 || r.ContentLength > MaxBufferedBytes {
		return b, nil
	}
	b.buffered = make([]byte, r.ContentLength)
	b.isBuffered = true
	_, err := io.ReadFull(r.Body, b.buffered)
	return b, err
}

// Streamed tells that the body is asked for after admission.
func (b *Body) Streamed() bool { return !b.isBuffered }

// Size returns the body's length in bytes; -1 where it is not known.
func (b *Body) Size() int64 { return b.size }

// Replayable tells that another attempt can have the body from its first byte.
func (b *Body) Replayable() bool {
	if b.isBuffered {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.taken
}

// NewAttemptReader returns the body for one attempt and a function that ends the
// attempt: after it nothing more is read from the caller for this attempt.
func (b *Body) NewAttemptReader() (io.ReadCloser, func()) {
	if b.size == 0 {
		return http.NoBody, func() {}
	}
	if b.isBuffered {
		return &bufferedReader{rest: b.buffered}, func() {}
	}
	a := &attemptReader{body: b}
	return a, a.end
}

// take gives the body to an attempt.
func (b *Body) claim() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.taken {
		return false
	}
	b.taken = true
	return true
}

// attempt is one attempt's view of a streamed body. Its Close leaves the
// source open for the next attempt.
type attemptReader struct {
	body *Body

	// mu orders the first read against detach: either the attempt has taken
	// the body, or it never will.
	mu    sync.Mutex
	taken bool
	ended bool
}

// Read implements io.Reader.
func (a *attemptReader) Read(p []byte) (int, error) {
	if !a.claimBody() {
		return 0, errAttemptEnded
	}
	return a.body.source.Read(p)
}

func (a *attemptReader) claimBody() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return false
	}
	if !a.taken {
		a.taken = a.body.claim()
	}
	return a.taken
}

func (a *attemptReader) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
}

// Close implements io.Closer.
func (a *attemptReader) Close() error {
	a.end()
	return nil
}

// heldReader reads a held body. It is no type that net/http can rewind, so
// net/http never sends the body twice by itself.
type bufferedReader struct {
	mu   sync.Mutex
	rest []byte
}

// Read implements io.Reader.
func (h *bufferedReader) Read(p []byte) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(p, h.rest)
	h.rest = h.rest[n:]
	return n, nil
}

// Close implements io.Closer.
func (h *bufferedReader) Close() error { return nil }

// watchedBody notes whether the other side of the body failed.
type errorTrackingBody struct {
	io.ReadCloser
	failed atomic.Bool
}

// Read implements io.Reader.
func (b *errorTrackingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF {
		b.failed.Store(true)
	}
	return n, err
}
