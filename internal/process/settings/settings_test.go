package settings

import (
	"testing"
	"time"
)

const whole = `[node]
region = caribbean
data-centre = tt-north-1
[callers]
listen = 127.0.0.1:7001
[peers]
listen = 127.0.0.1:7002
secret = s
[operators]
listen = 127.0.0.1:7003
token = t
[store]
address = http://127.0.0.1:7009
`

func TestUnsetSettingsTakeDefaults(t *testing.T) {
	s, faults := Parse(whole)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	if s.Store.Timeout != time.Second || s.Upstream.StopGrace != 30*time.Second {
		t.Errorf("store timeout %v, stop grace %v", s.Store.Timeout, s.Upstream.StopGrace)
	}
}
