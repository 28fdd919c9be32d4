// Package delta encodes a text as its difference from an earlier one.
package delta

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/daisytide/daisytide/api"
)

// blockBytes is the length of the blocks of the base that are indexed.
const blockBytes = 32

// MaxBytes is the size limit of a text that Apply returns. A configuration in the
// store has up to 1 MiB there; encoded anew for peers, with each field written out and
// escaped, it can take several times as many bytes.
const MaxBytes = 4 << 20

// A delta is a list of steps. Each step holds the number of literal bytes, these
// bytes, the offset in the base to copy from, and the number of bytes to copy.
// The numbers are varints.

// Encode returns the delta from base to text.
func Encode(base, text []byte) []byte {
	index := indexBlocks(base)
	var out []byte
	literalStart := 0
	for i := 0; i < len(text); {
		from, ok := findBlock(index, base, text[i:])
		if !ok {
			i++
			continue
		}
		start := i
		for start > literalStart && from > 0 && text[start-1] == base[from-1] {
			start--
			from--
		}
		n := commonPrefix(base[from:], text[start:])
		out = appendStep(out, text[literalStart:start], from, n)
		i = start + n
		literalStart = i
	}
	return appendStep(out, text[literalStart:], 0, 0)
}

// indexBlocks maps the hash of each aligned block of the base to its offset.
func indexBlocks(base []byte) map[uint64]int {
	index := make(map[uint64]int, len(base)/blockBytes)
	for at := 0; at+blockBytes <= len(base); at += blockBytes {
		h := xxhash.Sum64(base[at : at+blockBytes])
		if _, ok := index[h]; !ok {
			index[h] = at
		}
	}
	return index
}

// findBlock returns the offset of a block of the base with which text starts.
func findBlock(index map[uint64]int, base, text []byte) (int, bool) {
	if len(text) < blockBytes {
		return 0, false
	}
	at, ok := index[xxhash.Sum64(text[:blockBytes])]
	return at, ok && commonPrefix(base[at:], text) >= blockBytes
}

func commonPrefix(a, b []byte) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}

// appendStep appends a step with literal bytes and a copy of n bytes of the
// base.
func appendStep(out, literal []byte, from, n int) []byte {
	out = binary.AppendUvarint(out, uint64(len(literal)))
	out = append(out, literal...)
	out = binary.AppendUvarint(out, uint64(from))
	return binary.AppendUvarint(out, uint64(n))
}

// Apply reconstructs the text from the base. A malformed delta, or one for
// another base, gives an error or a wrong text, so the caller must check the
// hash.
func Apply(base, delta []byte) ([]byte, error) {
	var out []byte
	for len(delta) > 0 {
		literalLen, rest, ok := readLength(delta)
		if !ok || literalLen > len(rest) || len(out)+literalLen > MaxBytes {
			return nil, errMalformed()
		}
		out = append(out, rest[:literalLen]...)
		from, rest, ok := readLength(rest[literalLen:])
		if !ok {
			return nil, errMalformed()
		}
		n, rest, ok := readLength(rest)
		if !ok || from > len(base) || n > len(base)-from || len(out)+n > MaxBytes {
			return nil, errMalformed()
		}
		out = append(out, base[from:from+n]...)
		delta = rest
	}
	return out, nil
}

// readLength reads a varint of at most MaxBytes.
func readLength(b []byte) (int, []byte, bool) {
	v, n := binary.Uvarint(b)
	if n <= 0 || v > MaxBytes {
		return 0, nil, false
	}
	return int(v), b[n:], true
}

func errMalformed() error { return api.Errorf(api.PeerFrame, "malformed delta") }
