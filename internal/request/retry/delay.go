package retry

import "time"

const (
	// maxDelayFraction of the time left is the longest delay: callers wait at most a
	// third of it.
	maxDelayFraction = 0.33
	// minLateDelay is the part of the longest delay after which a caller returns at the
	// earliest if it cannot be on time.
	minLateDelay = 0.5
	// onTimeMargin is the multiple of the mean run time that must be left before the
	// objective, as in the queue of a gate.
	onTimeMargin = 1.5
)

// SpreadDelay returns when the caller of a request that full queues refused should send
// it again. drain is the time after which the first queue has started what waits in it;
// callers that all return then meet each other again. The delay is therefore spread, by
// u in [0, 1), from there to the last moment at which the request can be on time. One
// that cannot be on time any more is spread over the later half of the longest delay.
func SpreadDelay(drain, untilObjective, untilDeadline, meanRunTime time.Duration, u float64) time.Duration {
	longest := time.Duration(maxDelayFraction * float64(untilDeadline))
	first, last := drain, min(longest, untilObjective-time.Duration(onTimeMargin*float64(meanRunTime)))
	if last <= first {
		first, last = time.Duration(minLateDelay*float64(longest)), longest
	}
	return first + time.Duration(u*float64(last-first))
}
