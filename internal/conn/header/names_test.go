package header

import (
	"net/http"
	"strings"
	"testing"
)

// A name that is no token is seen as another field by other recipients of the message.
func TestOnlyTokensAreNames(t *testing.T) {
	for _, name := range []string{"X", "x-request-id", "1", "!#$%&'*+-.^_`|~09azAZ", "Content-Length"} {
		if err := CheckNames(http.Header{"A": {"1"}, name: {"1"}}); err != nil {
			t.Errorf("%q: %v", name, err)
		}
	}
	for _, name := range []string{"", " ", "X ", " X", "X Y", "Content-Length ", "X\t", "X\r", "X\x00", "X\x7f", "X\x80", "Größe", "X:", "X(", "X/", "X\"", "X,", "X;", "X=", "X@", "X[", "X\\", "X{", "X}", "X<", "X>", "X?"} {
		if err := CheckNames(http.Header{"A": {"1"}, name: {"1"}}); err == nil || !strings.Contains(err.Error(), "malformed") {
			t.Errorf("%q: error %v", name, err)
		}
	}
	if err := CheckNames(http.Header{strings.Repeat("x ", 10_000): {"1"}}); err == nil || len(err.Error()) > 200 {
		t.Errorf("a long name: error of %d bytes", len(err.Error()))
	}
	if err := CheckNames(nil); err != nil {
		t.Error(err)
	}
}
