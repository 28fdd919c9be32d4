package operated

import "testing"

// The limits of the listeners must leave descriptors for the upstream, peers, the store
// and files, and no caller inside the limits may meet them.
func TestConnLimitsLeaveDescriptorsAndServeOrdinaryCallers(t *testing.T) {
	const ordinaryCallers = 300
	for _, tc := range []struct{ memoryMB, descriptors int64 }{{134, 4100}, {184, 4100}, {284, 4100}, {536, 8192}, {134, 0}, {96, 256}} {
		limits := connLimits(tc.memoryMB<<20, tc.descriptors)
		sum := int64(0)
		for _, n := range limits {
			sum += int64(n)
		}
		if tc.descriptors > 0 && sum > tc.descriptors*8/10 {
			t.Errorf("%+v: the listeners may open %d connections", tc, sum)
		}
		if tc.descriptors != 256 && limits[callerListener] <= ordinaryCallers {
			t.Errorf("%+v: %d callers", tc, limits[callerListener])
		}
		if sum*connBytes > tc.memoryMB<<20/4 {
			t.Errorf("%+v: %d connections take too much memory", tc, sum)
		}
	}
}
