package call

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/version/document"
)

// StripInternalHeaders deletes the headers that only nodes may set.
func StripInternalHeaders(h http.Header) {
	delete(h, HeaderCall)
	delete(h, HeaderPeerKey)
}

// Fields of HeaderCall, in order, joined by fieldSeparator. One header in place
// of ten saves allocations on both sides.
const (
	fieldService = iota
	fieldRoute
	fieldVersion
	fieldCaller
	fieldConfig
	fieldAttempt
	fieldDepth
	fieldTimeLeft
	fieldIdempotent
	fieldFencingToken
	fieldCount

	fieldSeparator = '|'
)

// EncodeHeader writes the headers that carry c from an entry to a gate.
func (c *Call) EncodeHeader(h http.Header, now time.Time) {
	StripInternalHeaders(h)
	var buffer [256]byte
	b := append(buffer[:0], c.Service...)
	b = appendField(b, c.Route)
	b = appendField(b, c.Version)
	b = appendField(b, string(c.Caller))
	b = strconv.AppendUint(append(b, fieldSeparator), c.ConfigNumber, 10)
	b = strconv.AppendInt(append(b, fieldSeparator), int64(c.Attempt), 10)
	b = strconv.AppendInt(append(b, fieldSeparator), int64(c.Depth), 10)
	b = strconv.AppendInt(append(b, fieldSeparator), c.TimeLeft(now).Microseconds(), 10)
	b = appendField(b, boolField(c.Idempotent))
	b = appendField(b, c.FencingToken)
	h[HeaderCall] = []string{string(b)}
}

func appendField(b []byte, s string) []byte {
	return append(append(b, fieldSeparator), s...)
}

func boolField(on bool) string {
	if on {
		return "1"
	}
	return "0"
}

// DecodeHeader reads a call written by EncodeHeader.
func DecodeHeader(h http.Header, now time.Time) (*Call, error) {
	var fields [fieldCount]string
	n := 0
	for field := range strings.SplitSeq(h.Get(HeaderCall), string(fieldSeparator)) {
		if n < fieldCount {
			fields[n] = field
		}
		n++
	}
	if n != fieldCount {
		return nil, api.Errorf(api.CallHeader, "%s has %d fields", HeaderCall, n)
	}
	var numbers [fieldCount]uint64
	for _, i := range [...]int{fieldConfig, fieldAttempt, fieldDepth, fieldTimeLeft, fieldIdempotent} {
		v, err := strconv.ParseUint(fields[i], 10, 63)
		if err != nil {
			return nil, api.Errorf(api.CallHeader, "%s: field %d: %w", HeaderCall, i, err)
		}
		numbers[i] = v
	}
	return &Call{
		ID: h.Get(HeaderRequestID), Service: fields[fieldService], Route: fields[fieldRoute], Version: fields[fieldVersion],
		Caller: document.Caller(fields[fieldCaller]), Idempotent: numbers[fieldIdempotent] == 1,
		Deadline:       now.Add(time.Duration(numbers[fieldTimeLeft]) * time.Microsecond),
		IdempotencyKey: h.Get(HeaderIdempotencyKey), Attempt: int(numbers[fieldAttempt]), Depth: int(numbers[fieldDepth]),
		ConfigNumber: numbers[fieldConfig], FencingToken: fields[fieldFencingToken], Remote: true,
	}, nil
}

// hopReserve is the part of the time left that each hop keeps for forwarding the
// response, at most the time left divided by hopReserveDivisor.
const (
	hopReserve        = 2 * time.Millisecond
	hopReserveDivisor = 32
)

// SetUpstreamHeaders sets the headers that an upstream copies to the calls that
// it makes for this one: one level deeper, with less time left.
func (c *Call) SetUpstreamHeaders(h http.Header, now time.Time) {
	StripInternalHeaders(h)
	left := c.TimeLeft(now)
	left -= min(hopReserve, left/hopReserveDivisor)
	h[HeaderDepth] = []string{strconv.Itoa(c.Depth + 1)}
	h[HeaderTimeLeft] = []string{strconv.FormatInt(left.Milliseconds(), 10)}
}
