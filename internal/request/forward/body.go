package forward

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
)

// MaxBufferedBytes is the largest request body that an entry buffers before it
// calls a gate. A buffered body can be sent any number of times. A larger one is
// streamed; the gate requests it after admission.
const MaxBufferedBytes = 16 << 10

// errAttemptEnded is returned by reads of an attempt that has ended, or whose body
// another attempt has claimed.
var errAttemptEnded = errors.New("the attempt has ended, or another one has claimed the body")

// Body is a caller's request body, offered to several attempts one after
// another. A small body is buffered. A large one is not read until an attempt
// reads its first byte; from then on only that attempt can read it.
type Body struct {
	source io.Reader
	// buffered is the complete body if isBuffered is set.
	buffered   []byte
	isBuffered bool
	// size is the declared length, -1 if it is not known.
	size int64

	// mu guards taken. It is not held during reads of source.
	mu      sync.Mutex
	claimed bool
}

// NewBody prepares the body of r. It reads a small body of declared length
// completely; an error comes from the connection to the caller.
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

// Streamed reports whether the body is requested only after admission.
func (b *Body) Streamed() bool { return !b.isBuffered }

// Size returns the body's length in bytes, -1 if it is not known.
func (b *Body) Size() int64 { return b.size }

// Replayable reports whether another attempt can read the complete body.
func (b *Body) Replayable() bool {
	if b.isBuffered {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.claimed
}

// NewAttemptReader returns the body for one attempt and a function that ends the
// attempt. After that call the attempt starts no further reads from the caller.
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

// claim reserves the body for one attempt.
func (b *Body) claim() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.claimed {
		return false
	}
	b.claimed = true
	return true
}

// attemptReader is one attempt's view of a streamed body. Close leaves the source
// open for the next attempt.
type attemptReader struct {
	body *Body

	// mu orders the first read with end: the attempt has claimed the body
	// before end, or never will.
	mu      sync.Mutex
	claimed bool
	ended   bool
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
	if !a.claimed {
		a.claimed = a.body.claim()
	}
	return a.claimed
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

// bufferedReader reads a buffered body. It is not a type that net/http can rewind,
// so net/http never resends the body by itself.
type bufferedReader struct {
	mu   sync.Mutex
	rest []byte
}

// Read implements io.Reader.
func (r *bufferedReader) Read(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.rest)
	r.rest = r.rest[n:]
	return n, nil
}

// Close implements io.Closer.
func (r *bufferedReader) Close() error { return nil }

// errorTrackingBody records whether reading the body failed.
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
