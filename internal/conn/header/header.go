// Package header tells which HTTP headers belong to one connection and copies
// the others.
package header

import (
	"net/http"
	"net/textproto"
	"strings"
)

// OfConnection tells that a header belongs to one connection and is not
// passed on. The name is canonical.
func IsHopByHop(name string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
		"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	default:
		return false
	}
}

// Copy copies all but the headers of one connection, and those that the
// Connection header names. What dst has of its own connection stays. The
// values are shared.
func CopyEndToEnd(dst, src http.Header) {
	for k, v := range src {
		if !IsHopByHop(k) {
			dst[k] = v
		}
	}
	for _, line := range src["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			name = textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))
			if !IsHopByHop(name) {
				delete(dst, name)
			}
		}
	}
}
