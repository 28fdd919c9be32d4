package header

import (
	"net/http"
	"strings"
	"testing"
)

// A status below 100 was taken for that of an interim response, and the text of others does
// not show in their number.
func TestOnlyThreeDigitsFrom100AreAStatus(t *testing.T) {
	for status, want := range map[string]bool{
		"100": true, "199": true, "200 OK": true, "200 ": true, "404 Not Found": true, "599": true, "999": true,
		"": false, " 200": false, "000": false, "001": false, "099": false, "20": false, "2": false, "0200": false, "2000": false,
		"+99": false, "-99": false, "20x": false, "2x0": false, "x00": false, ":00": false, "1e2": false, "200\tOK": false, "２００": false,
	} {
		err := CheckStatus(&http.Response{Status: status, StatusCode: 200}, false)
		if want != (err == nil) || err != nil && !strings.Contains(err.Error(), "malformed") {
			t.Errorf("%q: %v", status, err)
		}
	}
	if err := CheckStatus(&http.Response{Status: strings.Repeat("2", 10_000)}, false); err == nil || len(err.Error()) > 200 {
		t.Errorf("a long status: error of %d bytes", len(err.Error()))
	}
	for _, mayUpgrade := range []bool{false, true} {
		if err := CheckStatus(&http.Response{Status: "101 Odd", StatusCode: 101}, mayUpgrade); (err == nil) != mayUpgrade {
			t.Errorf("101, asked for %v: %v", mayUpgrade, err)
		}
	}
}
