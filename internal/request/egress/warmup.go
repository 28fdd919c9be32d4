package egress

import (
	"math"
	"time"
)

// The requests that a cold upstream may receive at once: minWarmupBurst, and in
// addition warmupBurstShare of those of one second. In any span of length t at most
// burst + rate*t requests start. The promise for one second is rate*1.5 + 8, so that
// requests may be late by (4 + rate/4) / rate, at least 0.25 s, on their way to the
// upstream without breaking it.
const (
	minWarmupBurst   = 4
	warmupBurstShare = 0.25
)

// UnknownWarmupRate is the rate for a cold upstream while no configuration is known.
// With its burst at most six requests start in one second, fewer than any configured
// rate allows.
const UnknownWarmupRate = 1

// tokenTolerance is the part of a token that may be missing when a timer that was set
// to the time of the next token fires.
const tokenTolerance = 1e-6

// warmupLimit limits the starts of requests at a cold upstream by a token bucket. It
// begins empty: the upstream may have received requests up to now, from this process
// before it learned of the warm-up or from an earlier process of the node.
type warmupLimit struct {
	rate float64
	// end is when the upstream is expected to be warm.
	end time.Time
	// tokens is the number of requests that could start at updatedAt; the part of a
	// token counts for the next one.
	tokens    float64
	updatedAt time.Time
}

// available returns the number of requests that may start now.
func (w *warmupLimit) available(now time.Time) float64 {
	return min(minWarmupBurst+warmupBurstShare*w.rate, w.tokens+w.rate*max(0, now.Sub(w.updatedAt).Seconds()))
}

// active reports whether the upstream is still cold.
func (w *warmupLimit) active(now time.Time) bool { return w != nil && now.Before(w.end) }

// allows reports whether a request may start.
func (w *warmupLimit) allows(now time.Time) bool {
	return !w.active(now) || w.available(now) >= 1-tokenTolerance
}

// take records the start of a request.
func (w *warmupLimit) take(now time.Time) {
	if w.active(now) {
		w.tokens, w.updatedAt = w.available(now)-1, now
	}
}

// secondsUntil returns the time until n further requests may have started, if the
// upstream stays cold.
func (w *warmupLimit) secondsUntil(now time.Time, n int) float64 {
	return max(0, (float64(n)-w.available(now))/w.rate)
}

// untilNext returns the time until the next request may start or the upstream is warm.
func (w *warmupLimit) untilNext(now time.Time) time.Duration {
	left := w.end.Sub(now)
	if seconds := w.secondsUntil(now, 1); seconds < left.Seconds() {
		return time.Duration(seconds * float64(time.Second))
	}
	return left
}

// set applies a rate and an end that were reported anew.
func (w *warmupLimit) set(now time.Time, rate float64, end time.Time) {
	w.tokens, w.updatedAt = w.available(now), now
	w.rate, w.end = rate, end
}

// SetWarmup limits the starts to a rate until end. A rate of 0 or an end that has
// passed removes the limit. Waiting requests that can no longer start in time are
// refused at once. fresh is set for another instance than before.
func (q *Queue) SetWarmup(now time.Time, rate float64, end time.Time, fresh bool) {
	switch {
	case rate <= 0 || !now.Before(end):
		q.warmup = nil
		return
	case q.warmup == nil || fresh:
		q.warmup = &warmupLimit{rate: rate, end: end, updatedAt: now}
	default:
		q.warmup.set(now, rate, end)
	}
	q.dropOverdue(now, 0)
}

// WarmupRate returns the rate to which the starts are limited; 0 if they are not.
func (q *Queue) WarmupRate(now time.Time) float64 {
	if !q.warmup.active(now) {
		return 0
	}
	return q.warmup.rate
}

// SustainedSlots returns the number of slots that the upstream can keep busy: all of
// them or, while it is cold, those that requests at its rate occupy.
func (q *Queue) SustainedSlots(now time.Time) int {
	if rate := q.WarmupRate(now); rate > 0 {
		return sustainedSlots(rate, q.MeanServiceTime(), q.Slots)
	}
	return q.Slots
}

// sustainedSlots returns how many of the slots requests at a rate keep busy.
func sustainedSlots(rate float64, serviceTime time.Duration, slots int) int {
	return int(min(float64(slots), max(1, math.Ceil(rate*serviceTime.Seconds()))))
}

// SlotTime returns the time after which a slot of SustainedSlots is free for the next
// run: the mean service time or, while the upstream is cold, the longer time that its
// rate allows. Entries derive the wait behind other requests from it.
func (q *Queue) SlotTime(now time.Time) time.Duration {
	mean := q.MeanServiceTime()
	if rate := q.WarmupRate(now); rate > 0 {
		return max(mean, time.Duration(float64(sustainedSlots(rate, mean, q.Slots))/rate*float64(time.Second)))
	}
	return mean
}

// UntilNextStart returns the time after which AdmitWaiting must be called although no
// run has ended: when the rate allows the next start, or when the warm-up ends. The
// result is false if the starts are not limited.
func (q *Queue) UntilNextStart(now time.Time) (time.Duration, bool) {
	switch {
	case q.warmup == nil:
		return 0, false
	case len(q.waiting) == 0 || q.running >= q.Slots:
		return q.warmup.end.Sub(now), true
	default:
		return q.warmup.untilNext(now), true
	}
}

// limitedWait extends an estimated wait for a slot at a position of the queue to the
// time at which the rate allows that start. Requests that cannot start before the
// end of the warm-up wait for slots from then on.
func (q *Queue) limitedWait(now time.Time, position int) time.Duration {
	w, left := q.warmup, q.warmup.end.Sub(now)
	seconds := w.secondsUntil(now, position+1)
	if seconds <= left.Seconds() {
		return max(q.slotWait(position), time.Duration(seconds*float64(time.Second)))
	}
	startedBefore := max(0, int(w.available(now)+w.rate*left.Seconds()))
	return left + q.slotWait(max(0, position-startedBefore))
}
