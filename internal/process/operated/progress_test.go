package operated_test

import (
	"strings"
	"testing"

	"github.com/daisytide/daisytide/internal/standin/store"
)

// Guards against metrics of the way of a configuration that are not fed on a whole node.
func TestMetricsShowNumberHeardFromStoreAndPeers(t *testing.T) {
	s := store.New(1)
	var fleet []*host
	for _, dataCentre := range []string{"a", "b"} {
		h := startHostIn(t, s, dataCentre, "near", "i-"+dataCentre)
		t.Cleanup(h.stop)
		fleet = append(fleet, h)
	}
	writeConfig(t, s, 3)
	for _, h := range fleet {
		waitFor(t, "number 3 in all metrics", func() bool {
			return h.gauge("configuration_store") == "3" && h.gauge("configuration_peers") == "3" && h.configuration() == 3
		})
		if age := h.gauge("store_silence_seconds"); age == "" || strings.HasPrefix(age, "-") {
			t.Errorf("the store has been silent for %q s", age)
		}
		if n := h.gauge("configuration_refused"); n != "0" {
			t.Errorf("%s configurations refused, want 0", n)
		}
	}
}
