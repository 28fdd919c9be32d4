package header

import (
	"fmt"
	"net/http"
	"strings"
)

// tokenMarks are the characters of a token other than letters and digits (RFC 9110,
// 5.6.2).
const tokenMarks = "!#$%&'*+-.^_`|~"

// CheckNames returns an error if the name of a field in h is not a token. The parser of
// net/http lets blanks in names through, also one before the colon. Other recipients of
// the message may ignore the blank, and then see other fields and another end of it.
func CheckNames(h http.Header) error {
	for name := range h {
		if !isToken(name) {
			return fmt.Errorf("malformed field name %.60q", name)
		}
	}
	return nil
}

func isToken(s string) bool {
	for i := range len(s) {
		c := s[i]
		switch {
		case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		case strings.IndexByte(tokenMarks, c) >= 0:
		default:
			return false
		}
	}
	return s != ""
}
