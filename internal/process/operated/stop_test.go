package operated

import (
	"testing"
	"time"
)

// The platform asks once a second and takes a node out after two refusals; an
// upstream beside a node that is restarted is missed from serve on.
func TestStopScheduleLetsCallersLeaveAndIsShort(t *testing.T) {
	const twoProbes = 2 * time.Second
	for _, tc := range []struct {
		grace time.Duration
		// probed tells that callers have time to go.
		probed bool
	}{
		{6 * time.Second, true}, {10 * time.Second, true}, {4 * time.Second, true}, {time.Second, false},
	} {
		serve, listen := stopSchedule(tc.grace)
		if listen < serve || serve < listen/2 || listen > tc.grace*2/3 {
			t.Errorf("grace %v: served until %v, callers taken until %v", tc.grace, serve, listen)
		}
		if tc.probed && (listen < twoProbes+200*time.Millisecond || serve < twoProbes) {
			t.Errorf("grace %v: served until %v, callers taken until %v", tc.grace, serve, listen)
		}
		if listen-serve > 500*time.Millisecond || listen > 2500*time.Millisecond {
			t.Errorf("grace %v: the upstream is missed for %v before the end, callers taken until %v", tc.grace, listen-serve, listen)
		}
	}
}
