package h1

import (
	"errors"
	"io"
	"sync/atomic"
)

// minBodyBuffer is the size of the first buffer of a body.
const minBodyBuffer = 4 << 10

var errBodyTooLarge = errors.New("the body exceeds its size limit")

// bodyBuffer reads the body of a response into memory. It counts the buffers that it
// allocates, not the bytes that it has read: while a buffer grows, its predecessor is
// in use as well, and without a bound on both, bodies that never end take several times
// the memory that their bytes do.
type bodyBuffer struct {
	// total counts the buffers of all bodies that are being read; limit bounds it, and
	// 0 sets no bound.
	total *atomic.Int64
	limit int64
	// reserved is the part of total for this body.
	reserved int64
	// budget counts the buffers too, if set.
	budget *Budget
}

const (
	// smallBody is the size up to which a body may exceed the limit by a part of
	// 1/smallBodyShare, so that large ones that are being read do not make it fail.
	smallBody      = 64 << 10
	smallBodyShare = 4
)

// readAll reads a body of at most maxBytes to its end. length is the length that its
// sender gave, negative if none.
func (b *bodyBuffer) readAll(r io.Reader, length, maxBytes int64) ([]byte, error) {
	if length > maxBytes {
		return nil, errBodyTooLarge
	}
	largest := maxBytes + 1
	if length >= 0 {
		// One byte more, to read the end.
		largest = length + 1
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			grown, err := b.grow(body, length, largest)
			if err != nil {
				return nil, err
			}
			body = grown
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > maxBytes:
			return nil, errBodyTooLarge
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// grow returns a larger buffer of at most largest bytes with the same content. length
// is the length that the sender gave, negative if none.
func (b *bodyBuffer) grow(body []byte, length, largest int64) ([]byte, error) {
	size := min(max(minBodyBuffer, 2*int64(cap(body))), largest)
	if length >= 0 {
		// Doubling would leave as much garbage as the body has bytes. The sender of a
		// large body first shows that it sends what it declared.
		size = largest
		if body == nil {
			size = min(smallBody, largest)
		}
	}
	if err := b.reserve(size); err != nil {
		return nil, err
	}
	grown := make([]byte, len(body), size)
	copy(grown, body)
	return grown, b.reserve(-int64(cap(body)))
}

// reserve adds bytes to the total.
func (b *bodyBuffer) reserve(bytes int64) error {
	b.reserved += bytes
	total, within := b.total.Add(bytes), b.budget.add(bytes)
	if bytes <= 0 {
		return nil
	}
	limit := b.limit
	if b.reserved <= smallBody {
		limit += limit / smallBodyShare
	}
	if limit > 0 && total > limit || !within {
		return errTooManyBytes
	}
	return nil
}

// release subtracts the body from the total.
func (b *bodyBuffer) release() {
	b.total.Add(-b.reserved)
	b.budget.add(-b.reserved)
	b.reserved = 0
}
