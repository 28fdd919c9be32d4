package forward

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// CopyHeader copies all but the headers of one connection, and those that the
// Connection header names. The values are shared.
func CopyHeader(dst, src http.Header) {
	for k, v := range src {
		dst[k] = v
	}
	for _, line := range src["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			delete(dst, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, k := range hopHeaders {
		delete(dst, k)
	}
}

// replayHeaders make net/http send a request again by itself when a reused
// connection breaks, even after it was written.
var replayHeaders = []string{"Idempotency-Key", "X-Idempotency-Key"}

// hideReplayHeaders moves those headers to keys that net/http does not look
// at. On the wire the names mean the same.
func hideReplayHeaders(h http.Header) {
	for _, k := range replayHeaders {
		if v, ok := h[k]; ok {
			delete(h, k)
			h[strings.ToLower(k)] = v
		}
	}
}

// emptyBody keeps net/http from sending a request without a body again by
// itself: it is neither nil nor http.NoBody, and it cannot be rewound.
type emptyBody struct{}

// usuallyEmpty lists the methods that net/http sends again by itself.
func usuallyEmpty(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	default:
		return false
	}
}
