package soak

import (
	"context"
	"sync"
	"time"
)

const (
	// stallCheckInterval is how often the detector wakes up.
	stallCheckInterval = 20 * time.Millisecond
	// minStall is the shortest delay of a wake-up that counts as a stall. It is below
	// callerTimeout, and below the second after which nodes stop waiting for each
	// other.
	minStall = 400 * time.Millisecond
)

// stallDetector detects when the whole machine, nodes included, did not run.
type stallDetector struct {
	// onStall is called with each stall.
	onStall func(from time.Time, d time.Duration)

	mu        sync.Mutex
	lastStall time.Time
	totalTime time.Duration
}

// watch checks for stalls until ctx ends.
func (s *stallDetector) watch(ctx context.Context) {
	for before := time.Now(); ctx.Err() == nil; {
		sleep(ctx, stallCheckInterval)
		now := time.Now()
		s.observe(before, now)
		before = now
	}
}

// observe checks the time between two consecutive wake-ups for a stall.
func (s *stallDetector) observe(before, now time.Time) {
	late := now.Sub(before) - stallCheckInterval
	if late < minStall {
		return
	}
	s.onStall(before, now.Sub(before))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastStall = now
	s.totalTime += late
}

// stalledSince reports whether the machine stalled after t.
func (s *stallDetector) stalledSince(t time.Time) bool { return s.lastStallTime().After(t) }

// lastStallTime returns the end of the latest stall.
func (s *stallDetector) lastStallTime() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastStall
}

// totalStalled returns the total duration of all stalls.
func (s *stallDetector) totalStalled() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.totalTime.Round(time.Millisecond)
}
