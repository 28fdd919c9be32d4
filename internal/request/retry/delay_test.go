package retry

import (
	"testing"
	"time"
)

// Guards against refused callers that return together, after the time at which they can
// be on time, or so late that no other attempt is left.
func TestSpreadDelay(t *testing.T) {
	const ms = time.Millisecond
	for _, tc := range []struct {
		name                                 string
		drain, untilObjective, untilDeadline time.Duration
		first, last                          time.Duration
	}{
		{"can be on time", 50 * ms, 400 * ms, 1500 * ms, 50 * ms, 310 * ms},
		{"longest delay comes first", 50 * ms, 900 * ms, 1000 * ms, 50 * ms, 330 * ms},
		{"cannot be on time after the drain", 350 * ms, 400 * ms, 1500 * ms, 247 * ms, 495 * ms},
		{"objective has passed", 50 * ms, -100 * ms, 1000 * ms, 165 * ms, 330 * ms},
	} {
		for _, end := range []struct {
			u    float64
			want time.Duration
		}{{0, tc.first}, {1, tc.last}} {
			if got := SpreadDelay(tc.drain, tc.untilObjective, tc.untilDeadline, 60*ms, end.u); (got - end.want).Abs() > ms {
				t.Errorf("%s, %v: %v, want %v", tc.name, end.u, got, end.want)
			}
		}
	}
}
