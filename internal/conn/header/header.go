// Package header checks the names of HTTP headers and the statuses of responses, and
// distinguishes hop-by-hop headers from end-to-end ones, which a proxy forwards.
package header

import (
	"net/http"
	"net/textproto"
	"strings"
)

// IsHopByHop reports whether a header applies to a single connection and must
// not be forwarded. The name must be in canonical form.
func IsHopByHop(name string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
		"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	default:
		return false
	}
}

// CopyEndToEnd copies the headers of src except hop-by-hop ones and those that
// its Connection header names. Hop-by-hop headers already in dst stay. dst
// shares the value slices with src.
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
