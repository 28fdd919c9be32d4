package forward

import (
	"net/http"
	"strings"
)

// replayHeaders are headers that make net/http resend a request by itself when a
// reused connection breaks, even after the request was written.
var replayHeaders = []string{"Idempotency-Key", "X-Idempotency-Key"}

// hideReplayHeaders moves replayHeaders to lower-case keys, which net/http does
// not check. Header names are case-insensitive on the wire.
func hideReplayHeaders(h http.Header) {
	for _, k := range replayHeaders {
		if v, ok := h[k]; ok {
			delete(h, k)
			h[strings.ToLower(k)] = v
		}
	}
}

// emptyBody keeps net/http from resending a request without a body by itself: it is
// neither nil nor http.NoBody, and it cannot be rewound.
type emptyBody struct{}

// isReplayedMethod reports whether net/http resends requests of the method.
func isReplayedMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	default:
		return false
	}
}
