package operated

import (
	"testing"
	"time"
)

// The platform probes once a second and removes a node after two failed probes.
// After serve has passed, the fleet is without the upstream beside the stopping
// node, so that serve must be close to the end.
func TestStopScheduleLetsCallersLeaveAndIsShort(t *testing.T) {
	const twoProbes = 2 * time.Second
	for _, tc := range []struct {
		grace time.Duration
		// probed is set if the grace is long enough for callers to leave.
		probed bool
	}{
		{6 * time.Second, true}, {10 * time.Second, true}, {4 * time.Second, true}, {time.Second, false},
	} {
		serve, listen := stopSchedule(tc.grace)
		if listen < serve || serve < listen/2 || listen > tc.grace*2/3 {
			t.Errorf("grace %v: served until %v, callers accepted until %v", tc.grace, serve, listen)
		}
		if tc.probed && (listen < twoProbes+200*time.Millisecond || serve < twoProbes) {
			t.Errorf("grace %v: served until %v, callers accepted until %v", tc.grace, serve, listen)
		}
		if listen-serve > 500*time.Millisecond || listen > 2500*time.Millisecond {
			t.Errorf("grace %v: the upstream is unused for %v before the end, callers accepted until %v", tc.grace, listen-serve, listen)
		}
	}
}
