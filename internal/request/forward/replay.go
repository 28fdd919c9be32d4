package forward

import (
	"net/http"
	"strings"
)

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
func isReplayedMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	default:
		return false
	}
}
