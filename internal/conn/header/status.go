package header

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// ErrSwitch is the error for a response that switches to a protocol that the request did
// not ask for.
var ErrSwitch = errors.New("malformed response: it switches protocols, which was not asked for")

// CheckStatus returns an error if the status of a response is not three digits from 100 on
// (RFC 9110, 15), or if it is 101 and mayUpgrade, which says that the request asked for
// that, is not set. It reads the status line: net/http also accepts 000 and +99, and in
// HTTP/2 0200, and keeps their numbers.
func CheckStatus(resp *http.Response, mayUpgrade bool) error {
	status, _, _ := strings.Cut(resp.Status, " ")
	if len(status) != 3 || status[0] < '1' || '9' < status[0] || !isDigit(status[1]) || !isDigit(status[2]) {
		return fmt.Errorf("malformed status %.60q", status)
	}
	if resp.StatusCode == http.StatusSwitchingProtocols && !mayUpgrade {
		return ErrSwitch
	}
	return nil
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }
